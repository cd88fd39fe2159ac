// Golden values of the records that two complete controllers write to the key-value store. Covers
// the records that only the running service composes (the leader key, the supported record formats,
// offers to hold a shard, shard leases), and the key and store lease of every record. The
// controllers run in this process against fakes of the key-value store and the cloud. The tests
// wait for each expected record and do not check how long a record takes.
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <regex>
#include <string>
#include <vector>

#include "fakes/http_services.h"
#include "fakes/loopback.h"
#include "mosspath/config/settings.h"
#include "mosspath/net/http_client.h"
#include "mosspath/service/controller.h"

namespace mosspath {
namespace {

using nlohmann::json;

constexpr int kControllers = 2;
constexpr double kTimeoutS = 60;
constexpr double kHeartbeatIntervalS = 0.3;
constexpr double kTaskRunS = 0.2;

class GoldenCluster : public ::testing::Test {
 protected:
  GoldenCluster()
      : state_(io_),
        cloud_(io_, {public_[0].text(), public_[1].text()}, kHeartbeatIntervalS, kTaskRunS) {
    for (int i = 0; i < kControllers; ++i) {
      settings_.push_back(SettingsOf(i));
      nodes_.push_back(std::make_unique<service::Controller>(io_, settings_.back()));
      nodes_.back()->Start();
      public_clients_.push_back(Client(public_[i].text()));
      peer_clients_.push_back(Client(peer_[i].text()));
    }
    for (auto& client : public_clients_) {
      EXPECT_TRUE(WaitUntil([&] { return SendRequest(*client, "GET", "/healthz").status == 200; }));
    }
  }

  std::unique_ptr<net::HttpClient> Client(const std::string& address) {
    return std::make_unique<net::HttpClient>(io_, address, net::HttpClient::Options{});
  }
  static std::string Name(int i) { return "hut-" + std::to_string(i); }

  config::Settings SettingsOf(int i) const {
    config::Settings s;
    s.name = Name(i);
    s.zone = "a";
    s.public_address = public_[i].text();
    s.peer_address = peer_[i].text();
    s.peers = {{Name(1 - i), "a", peer_[1 - i].text()}};
    s.cloud_address = cloud_.address();
    s.store_address = state_.address();
    s.controller_count = kControllers;
    s.zones = {"a"};
    s.clock_error_ms = 5;
    s.teams = {{"t", 0, 20, 0, 0}};
    s.heartbeat_s = kHeartbeatIntervalS;
    s.agent_lease_s = 6;
    s.cancel_within_s = 10;
    s.store_requests_per_s = 400;
    s.store_writes_per_s = 100;
    s.store_value_kb = 8;
    s.store_transaction_changes = 8;
    s.cloud_requests_per_s = 20;
    s.machine_list_lag_s = 0.5;
    s.cpu_share = 1;
    s.memory_mb = 200;
    s.max_connections = 500;
    s.lease_shards = true;
    return s;
  }

  net::HttpResult SendRequest(net::HttpClient& client, const std::string& method,
                              const std::string& path, const std::string& body = {}) {
    bool done = false;
    net::HttpResult result;
    client.Send(method, path, body, 5, [&](net::HttpResult r) {
      result = std::move(r);
      done = true;
    });
    while (!done) io_.run_one();
    return result;
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    const double deadline = net::Now() + kTimeoutS;
    while (net::Now() < deadline) {
      if (condition()) return true;
      io_.run_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  bool Has(const std::string& key) const { return state_.pairs().contains(key); }
  // Returns the stored value as JSON text; empty if the key does not exist.
  std::string Stored(const std::string& key) const {
    const auto it = state_.pairs().find(key);
    return it == state_.pairs().end() ? "" : it->second.at("v").dump();
  }
  // Returns the store lease that the key is attached to; 0 if there is none.
  uint64_t StoreLeaseOf(const std::string& key) const {
    const auto it = state_.pairs().find(key);
    return it == state_.pairs().end() ? 0 : it->second.value("berth", uint64_t{0});
  }
  // Returns the first key under the prefix whose value contains `part`; empty if there is none.
  std::string FirstUnder(const std::string& prefix, const std::string& part) const {
    for (const auto& [key, pair] : state_.pairs()) {
      if (key.starts_with(prefix) && Stored(key).find(part) != std::string::npos) return key;
    }
    return "";
  }

  // A service job runs until it is cancelled.
  static std::string SpecText(const std::string& id, const std::string& kind) {
    return R"({"apart":false,"cards":0.0,"catch":")" + kind +
           R"(","crates":1,"guess_s":0.25,"house":"t","id":")" + id +
           R"(","kit":"img","loaners":true,"lot":"work","mem_gb":1.0,"rank":"standard",)" +
           R"("size_gb":1.0,"stow_s":0.0,"tally_s":0.0,"together":false,"vcpus":1.0})";
  }
  net::HttpResult Submit(const std::string& id, const std::string& kind) {
    return SendRequest(*public_clients_[0], "POST", "/api/jobs", SpecText(id, kind));
  }
  std::string NextId() { return "req-" + std::to_string(++jobs_); }
  // Submits jobs one at a time until a job is stored in a record under the prefix. Returns the
  // record's key. The record format that the controller writes depends on the settings and on the
  // record formats of the other controllers, as far as the controller has read these formats.
  std::string SubmitUntilStoredUnder(const std::string& prefix) {
    std::string key;
    EXPECT_TRUE(WaitUntil([&] {
      last_id_ = NextId();
      const net::HttpResult answer = Submit(last_id_, "daemon");
      EXPECT_EQ(answer.status, 201);
      EXPECT_EQ(answer.body, R"({"id":")" + last_id_ + R"(","stage":"queued"})");
      key = FirstUnder(prefix, R"("id":")" + last_id_ + R"(")");
      return !key.empty();
    }));
    return key;
  }
  // Returns the entry of the last submitted job. `at`: the submission time that the controller
  // recorded.
  std::string LastEntry(const json& at) const {
    return R"({"at":)" + at.dump() + R"(,"spec":)" + SpecText(last_id_, "daemon") + "}";
  }

  asio::io_context io_;
  const fakes::ReservedAddress public_[kControllers] = {fakes::ReservedAddress(io_),
                                                        fakes::ReservedAddress(io_)};
  const fakes::ReservedAddress peer_[kControllers] = {fakes::ReservedAddress(io_),
                                                      fakes::ReservedAddress(io_)};
  fakes::FakeKeyValueStore state_;
  fakes::FakeCloud cloud_;
  std::vector<config::Settings> settings_;
  std::vector<std::unique_ptr<net::HttpClient>> public_clients_;
  std::vector<std::unique_ptr<net::HttpClient>> peer_clients_;
  std::vector<std::unique_ptr<service::Controller>> nodes_;
  int jobs_ = 0;
  std::string last_id_;
};

TEST_F(GoldenCluster, LeaderRecordFormatsAndShards) {
  const std::string leader_key = "mosspath/live/leader";
  ASSERT_TRUE(WaitUntil([&] { return Has(leader_key); }));
  const bool first_leads = Stored(leader_key) == R"({"grant":)" +
                                                     std::to_string(StoreLeaseOf(leader_key)) +
                                                     R"(,"node":"hut-0"})";
  const std::string leader = first_leads ? "hut-0" : "hut-1";
  const std::string holder = first_leads ? "hut-1" : "hut-0";
  EXPECT_NE(StoreLeaseOf(leader_key), 0u);
  EXPECT_EQ(Stored(leader_key), R"({"grant":)" + std::to_string(StoreLeaseOf(leader_key)) +
                                    R"(,"node":")" + leader + R"("})");
  for (const std::string node : {"hut-0", "hut-1"}) {
    const std::string record_formats = "mosspath/live/speaks/" + node;
    ASSERT_TRUE(WaitUntil([&] { return Has(record_formats); }));
    EXPECT_EQ(Stored(record_formats), R"({"batches":1,"marks":1})");
    EXPECT_EQ(StoreLeaseOf(record_formats), 0u);
  }
  const std::string offer = "mosspath/live/holders/" + holder;
  const std::string shard_lease = "mosspath/live/blocks/" + holder;
  ASSERT_TRUE(WaitUntil([&] { return Has(shard_lease); }));
  ASSERT_TRUE(Has(offer));
  EXPECT_NE(StoreLeaseOf(offer), 0u);
  EXPECT_NE(StoreLeaseOf(offer), StoreLeaseOf(leader_key));
  EXPECT_EQ(Stored(offer), R"({"grant":)" + std::to_string(StoreLeaseOf(offer)) + "}");
  EXPECT_EQ(StoreLeaseOf(shard_lease), StoreLeaseOf(offer));
  EXPECT_EQ(Stored(shard_lease), R"({"grant":)" + std::to_string(StoreLeaseOf(offer)) + "}");
}

TEST_F(GoldenCluster, Types) {
  ASSERT_TRUE(WaitUntil([&] { return Has("mosspath/live/types"); }));
  EXPECT_EQ(Stored("mosspath/live/types"),
            R"({"builds":[{"cards":0.0,"hourly":1.0,"local_gb":20.0,"low_price":0.0,"mem_gb":32.0,)"
            R"("name":"box","pull_gb_per_s":1.0,"shores":["a"],"startup_s":1.0,"vcpus":8.0}]})");
  EXPECT_EQ(StoreLeaseOf("mosspath/live/types"), 0u);
}

TEST_F(GoldenCluster, JobsInBothFormsAndTheOperatorsSettings) {
  const std::string batch = SubmitUntilStoredUnder("mosspath/live/batch/");
  EXPECT_TRUE(std::regex_match(batch, std::regex(R"(mosspath/live/batch/hut-0\.\d+\.1)"))) << batch;
  const json batch_record = state_.pairs().at(batch).at("v");
  EXPECT_EQ(batch_record.dump(), R"({"jobs":[)" + LastEntry(batch_record["jobs"][0]["at"]) + "]}");
  EXPECT_EQ(StoreLeaseOf(batch), 0u);

  const std::string settings =
      R"({"begin_share":0.1,"epsilon":0.001,"gamma":2.5,"give_ahead":0.15,"horizon_boots":2.0,)"
      R"("keep_idle_boots":0.02,"lease_blocks":true,"max_machines":100000,"ordinary_boots":1.0,)"
      R"("preemption":true,"reserve":0.1,"share_acceptances":false,"turn_share":0.15,)"
      R"("weights":{}})";
  const net::HttpResult changed =
      SendRequest(*peer_clients_[0], "PUT", "/admin/v1/settings",
                  R"({"version":0,"settings":{"gamma":2.5,"share_acceptances":false}})");
  EXPECT_EQ(changed.status, 200);
  EXPECT_EQ(Stored("mosspath/live/settings"), settings);
  EXPECT_EQ(StoreLeaseOf("mosspath/live/settings"), 0u);
  const uint64_t version = state_.pairs().at("mosspath/live/settings").at("mark").get<uint64_t>();
  EXPECT_EQ(changed.body,
            R"({"settings":)" + settings + R"(,"version":)" + std::to_string(version) + "}");
  EXPECT_EQ(SendRequest(*peer_clients_[0], "GET", "/admin/v1/settings").body, changed.body);

  const std::string job = SubmitUntilStoredUnder("mosspath/live/job/");
  EXPECT_EQ(job, "mosspath/live/job/" + last_id_);
  const json entry = state_.pairs().at(job).at("v");
  EXPECT_EQ(entry.dump(), LastEntry(entry["at"]));
  EXPECT_EQ(StoreLeaseOf(job), 0u);
}

TEST_F(GoldenCluster, PacksAndFinalRecords) {
  ASSERT_EQ(Submit("req-1", "array").status, 201);
  ASSERT_TRUE(WaitUntil([&] { return Has("mosspath/final/req-1"); }));
  EXPECT_EQ(Stored("mosspath/final/req-1"), R"({"stage":"done"})");
  EXPECT_EQ(StoreLeaseOf("mosspath/final/req-1"), 0u);
  EXPECT_EQ(SendRequest(*public_clients_[0], "GET", "/api/jobs/req-1").body,
            R"({"id":"req-1","stage":"done"})");
  EXPECT_TRUE(Has("mosspath/live/machines/0"));
  EXPECT_EQ(StoreLeaseOf("mosspath/live/machines/0"), 0u);

  ASSERT_EQ(Submit("req-2", "daemon").status, 201);
  const net::HttpResult cancelled =
      SendRequest(*public_clients_[0], "POST", "/api/jobs/req-2/cancel");
  EXPECT_EQ(cancelled.body, R"({"id":"req-2","stage":"aborted"})");
  EXPECT_EQ(Stored("mosspath/final/req-2"), R"({"stage":"aborted"})");
}

TEST_F(GoldenCluster, ErrorsToUsers) {
  net::HttpClient& user = *public_clients_[0];
  EXPECT_EQ(SendRequest(user, "GET", "/api/jobs/req-9").body, R"({"error":"no such job"})");
  EXPECT_EQ(SendRequest(user, "GET", "/api/jobs/x").body, R"({"error":"no such job"})");
  EXPECT_EQ(SendRequest(user, "GET", "/nowhere").body, R"({"error":"no such path"})");
  EXPECT_EQ(SendRequest(user, "DELETE", "/api/jobs/req-9").body,
            R"({"error":"method not allowed"})");
  EXPECT_EQ(SendRequest(user, "POST", "/api/jobs", "nonsense").body, R"({"error":"not JSON"})");
  EXPECT_EQ(SendRequest(user, "POST", "/api/jobs", R"({"id":"req-9"})").body,
            R"({"error":"lot is missing"})");
}

}  // namespace
}  // namespace mosspath
