#include <gtest/gtest.h>

#include <random>

#include "mosspath/config/operator_settings.h"
#include "mosspath/wire/status_snapshot.h"
#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

StatusSnapshot Sample() {
  StatusSnapshot d;
  d.leader = "hut-1";
  d.token = 1234567890123;
  d.recovery_complete = true;
  d.leader_for_s = 12.5;
  d.queues = {{"tally", 3, 40, 12, 1.5, kNeverS, 60.25, "all machines are in use"}};
  d.teams = {{"desk", 3, 40, 12, 1.5, 2, 60.25, "the team's limit"}};
  d.machines = {{"box", "a", true, 5, 1, 2, 160, 120.5}};
  d.progress = {{"finished", "tally", 200, 1, 0.92, 11, 12}, {"deadline", "x", 0, 1.5, 0.9, 0, 0}};
  d.incidents = {{3.25, "machine vm-1 was lost"}};
  d.jobs = {{"req-000001", 3, 4}, {"req-000002", 0, 1}};
  return d;
}

TEST(Varint, RoundTripsTheEdges) {
  for (uint64_t v : {uint64_t{0}, uint64_t{127}, uint64_t{128}, uint64_t{1} << 35, ~uint64_t{0}}) {
    VarintWriter w;
    w.Put(v);
    const std::string bytes = w.Take();
    VarintReader r(bytes);
    EXPECT_EQ(r.Get(), v);
    r.End();
  }
  EXPECT_THROW(VarintReader(std::string(10, '\xff')).Get(), BadMessage);
  EXPECT_THROW(VarintReader(std::string(9, '\xff') + '\x02').Get(), BadMessage);
}

TEST(Digest, RoundTrip) { EXPECT_EQ(DecodeStatusSnapshot(Encode(Sample())), Sample()); }

TEST(Digest, HostileFramesAreRefused) {
  const std::string good = Encode(Sample());
  for (size_t n = 0; n < good.size(); ++n) {
    EXPECT_THROW(DecodeStatusSnapshot(good.substr(0, n)), BadMessage) << n;
  }
  EXPECT_THROW(DecodeStatusSnapshot(good + "x"), BadMessage);
  EXPECT_THROW(DecodeStatusSnapshot(std::string(kMaxStatusSnapshotBytes + 1, 'x')), BadMessage);
  std::string other_version = good;
  other_version[4] = 3;  // after the four bytes of the kind
  EXPECT_THROW(DecodeStatusSnapshot(other_version), BadMessage);
  // Random damage may go unnoticed but never does harm.
  std::mt19937_64 random(3);
  for (int i = 0; i < 20000; ++i) {
    std::string bad = good;
    for (int k = 0; k < 3; ++k) bad[random() % bad.size()] = static_cast<char>(random());
    try {
      DecodeStatusSnapshot(bad);
    } catch (const BadMessage&) {
    }
  }
}

TEST(Digest, IsBoundedHoweverManyJobs) {
  StatusSnapshot d = Sample();
  for (uint32_t i = 0; i < 20000; ++i) d.jobs.push_back({"req-" + std::to_string(i), i, i});
  const std::string frame = Encode(d);
  EXPECT_LE(frame.size(), kMaxStatusSnapshotBytes);
  EXPECT_GT(DecodeStatusSnapshot(frame).jobs.size(), 1000u);
}

TEST(Presence, RoundTripsAndRefusesWhatIsNone) {
  const PeerHeartbeat p{"hut-1", true, 0.25, kNeverS, 1.5, {{"hut-0", 0.5}, {"hut-2", kNeverS}}};
  const std::string good = Encode(p);
  EXPECT_EQ(DecodePeerHeartbeat(good), p);
  for (size_t n = 0; n < good.size(); ++n) {
    EXPECT_THROW(DecodePeerHeartbeat(good.substr(0, n)), BadMessage) << n;
  }
  EXPECT_THROW(DecodePeerHeartbeat(good + "x"), BadMessage);
  EXPECT_THROW(DecodePeerHeartbeat(Encode(Sample())), BadMessage);
}

// The page says of each controller when it was heard, by whom, and what it lacks.
TEST(Status, TellsWhoIsThereAndHowOldItIs) {
  Status s;
  s.snapshot = Sample();
  s.served_by = "hut-0";
  s.snapshot_age_s = 7;
  s.controllers = {{"hut-0", "a", false, 0, "hut-0", {}},
                   {"hut-1", "b", true, 65, "hut-2", {"word from it here"}}};
  const std::string page = StatusPage(s);
  for (const char* part : {"figures are 7 s old", "heard 65 s ago by hut-2", "lacks nothing",
                           "all machines are in use", "finished never", "the team's limit"}) {
    EXPECT_NE(page.find(part), std::string::npos) << part << "\n" << page;
  }
  const Json j = StatusJson(s);
  EXPECT_EQ(j["controllers"][1]["heard_by"], "hut-2");
  EXPECT_TRUE(j["queues"][0]["finished_ago_s"].is_null());
  EXPECT_EQ(j["teams"][0]["waits_for"], "the team's limit");
}

TEST(OperatorSettings, EachIsValidated) {
  const config::OperatorSettings base;
  EXPECT_EQ(config::Change(base, config::ToJson(base)), base);
  EXPECT_EQ(config::Change(base, Json{{"gamma", 2.5}}).gamma, 2.5);
  const std::vector<std::pair<const char*, Json>> bad = {
      {"gamma", 0.5},        {"gamma", "2"},       {"epsilon", -0.1},    {"epsilon", 2},
      {"max_machines", 1.5}, {"max_machines", -1}, {"horizon_boots", 0}, {"keep_idle_boots", -1},
      {"reserve", 11},       {"preemption", 1},    {"unheard_of", 1}};
  for (const auto& [key, value] : bad) {
    try {
      config::Change(base, Json{{key, value}});
      ADD_FAILURE() << key << " = " << value << " was accepted";
    } catch (const BadMessage& e) {
      EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
    }
  }
}

}  // namespace
}  // namespace mosspath::wire
