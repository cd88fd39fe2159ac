#include "fakes/fake_key_value_store.h"

#include <asio/post.hpp>
#include <utility>

#include "fakes/loopback.h"

namespace mosspath::fakes {
namespace {

using nlohmann::json;

const std::string kGrantPrefix = "/grants/";
const std::string kKeyPrefix = "/kv/";

// Returns the value of a query parameter; empty if the parameter is absent.
std::string Parameter(const net::HttpRequest& request, const std::string& name) {
  const std::string& query = request.query;
  const size_t at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

void Respond(const net::HttpServer::Responder& respond, int status, const json& body) {
  respond({status, body.dump()});
}

}  // namespace

FakeKeyValueStore::FakeKeyValueStore(asio::io_context& io, size_t addresses) : io_(io) {
  for (size_t i = 0; i < addresses; ++i) {
    servers_.push_back(std::make_unique<net::HttpServer>(
        io, kAnyLoopbackPort, net::HttpServer::Options{},
        [this, i](const net::HttpRequest& request, const Responder& respond) {
          Handle(i, request, respond);
        }));
  }
}

std::string FakeKeyValueStore::address(size_t index) const {
  return LoopbackAddress(*servers_.at(index));
}

void FakeKeyValueStore::Handle(size_t address_index, const net::HttpRequest& request,
                               const Responder& respond) {
  const std::string& path = request.path;
  if (Refuses(address_index)) return Respond(respond, 503, {{"error", "trouble"}});
  if (path == "/multi") return HandleTransaction(json::parse(request.body), respond);
  if (path == "/follow") return HandleWatch(address_index, request, respond);
  if (path == "/grants") return HandleGrant(request, respond);
  if (path.starts_with(kGrantPrefix)) return HandleRenewal(request, respond);
  if (path == "/kv") return HandleRange(request, respond);
  if (path.starts_with(kKeyPrefix)) return HandleSingleRead(request, respond);
  Respond(respond, 404, json::object());
}

// ---------------------------------------------------------------------------- leases

void FakeKeyValueStore::HandleGrant(const net::HttpRequest& request, const Responder& respond) {
  const uint64_t lease = ++last_lease_;
  const double life_s = json::parse(request.body).at("life_ms").get<double>() / 1000;
  leases_[lease] = {life_s, std::make_unique<net::Timer>(io_)};
  StartLeaseTimer(lease);
  Respond(respond, 200, {{"berth", lease}});
}

void FakeKeyValueStore::HandleRenewal(const net::HttpRequest& request, const Responder& respond) {
  const uint64_t lease = std::stoull(request.path.substr(kGrantPrefix.size()));
  if (!leases_.contains(lease)) return Respond(respond, 404, json::object());
  StartLeaseTimer(lease);
  Respond(respond, 200, json::object());
}

void FakeKeyValueStore::StartLeaseTimer(uint64_t lease) {
  Lease& state = leases_[lease];
  state.timer->After(state.life_s, [this, lease] {
    if (down) return StartLeaseTimer(lease);
    ExpireLease(lease);
  });
}

void FakeKeyValueStore::ExpireLease(uint64_t lease) {
  ++revision_;
  std::vector<std::string> keys;
  for (const auto& [key, pair] : pairs_) {
    if (pair.value("berth", uint64_t{0}) == lease) keys.push_back(key);
  }
  for (const auto& key : keys) Apply(key, nullptr, 0);
  // The caller is the lease's own timer, which must not be destroyed while it runs. A later
  // callback therefore erases the lease.
  asio::post(io_, [this, lease] { leases_.erase(lease); });
  AnswerWatches();
}

// ---------------------------------------------------------------------------- reads

void FakeKeyValueStore::HandleRange(const net::HttpRequest& request, const Responder& respond) {
  const std::string prefix = Parameter(request, "under");
  const std::string after_key = Parameter(request, "since");
  json items = json::array();
  for (const auto& [key, pair] : pairs_) {
    if (key.starts_with(prefix) && key > after_key) items.push_back(pair);
  }
  Respond(respond, 200, {{"pairs", items}, {"truncated", false}, {"epoch", revision_}});
}

void FakeKeyValueStore::HandleSingleRead(const net::HttpRequest& request,
                                         const Responder& respond) {
  ++single_reads;
  if (const auto hook = std::exchange(before_single_read, nullptr)) hook();
  const auto pair = pairs_.find(request.path.substr(kKeyPrefix.size()));
  if (pair == pairs_.end()) return Respond(respond, 404, {{"epoch", revision_}});
  Respond(respond, 200, pair->second);
}

// ---------------------------------------------------------------------------- changes

void FakeKeyValueStore::Apply(const std::string& key, const json* value, uint64_t lease) {
  if (value == nullptr) {
    pairs_.erase(key);
    changes_.push_back({{"delete", key}, {"mark", revision_}});
    return;
  }
  pairs_[key] = {{"k", key}, {"v", *value}, {"mark", revision_}};
  if (lease != 0) pairs_[key]["berth"] = lease;
  changes_.push_back({{"put", key}, {"v", *value}, {"mark", revision_}});
}

void FakeKeyValueStore::HandleTransaction(const json& body, const Responder& respond) {
  const json changes = body.value("apply", json::array());
  for (const json& condition : body.at("if")) {
    const auto pair = pairs_.find(condition.at("k").get<std::string>());
    const uint64_t version = pair == pairs_.end() ? 0 : pair->second.at("mark").get<uint64_t>();
    if (version == condition.at("mark").get<uint64_t>()) continue;
    return Respond(respond, 409, {{"failed", {condition.at("k")}}, {"epoch", revision_}});
  }
  for (const json& change : changes) {
    if (!change.contains("berth") || leases_.contains(change["berth"].get<uint64_t>())) continue;
    return respond({400, R"({"error":"no such lease"})"});
  }
  ++revision_;
  for (const json& change : changes) {
    if (change.contains("put")) {
      Apply(change["put"].get<std::string>(), &change.at("v"), change.value("berth", uint64_t{0}));
    } else {
      Apply(change.at("delete").get<std::string>(), nullptr, 0);
    }
  }
  if (!lose_changes) Respond(respond, 200, {{"epoch", revision_}});
  AnswerWatches();
}

uint64_t FakeKeyValueStore::Put(const std::string& key, const json& value) {
  ++revision_;
  Apply(key, &value, 0);
  AnswerWatches();
  return revision_;
}

// ---------------------------------------------------------------------------- watches

json FakeKeyValueStore::ChangesUnder(const std::string& prefix, uint64_t since) const {
  json changes = json::array();
  for (const json& entry : changes_) {
    const std::string key = entry.contains("put") ? entry["put"] : entry["delete"];
    if (entry["mark"].get<uint64_t>() > since && key.starts_with(prefix)) changes.push_back(entry);
  }
  return changes;
}

void FakeKeyValueStore::HandleWatch(size_t address_index, const net::HttpRequest& request,
                                    const Responder& respond) {
  const std::string prefix = Parameter(request, "under");
  const uint64_t since = std::stoull(Parameter(request, "since"));
  const int wait_ms = std::stoi(Parameter(request, "wait_ms"));
  const json changes = ChangesUnder(prefix, since);
  if (!changes.empty() || wait_ms == 0) {
    return Respond(respond, 200, {{"epoch", revision_}, {"log", changes}});
  }
  auto watch = std::make_shared<Watch>(
      Watch{prefix, since, respond, std::make_unique<net::Timer>(io_), false, address_index});
  watch->timer->After(wait_ms / 1000.0, [this, watch] {
    if (watch->answered || Refuses(watch->address_index)) return;
    watch->answered = true;
    Respond(watch->respond, 200, {{"epoch", revision_}, {"log", json::array()}});
  });
  watches_.push_back(std::move(watch));
}

void FakeKeyValueStore::AnswerWatches() {
  for (auto& watch : watches_) {
    const json changes = ChangesUnder(watch->prefix, watch->since);
    if (watch->answered || changes.empty() || Refuses(watch->address_index)) continue;
    watch->answered = true;
    watch->timer->Cancel();
    Respond(watch->respond, 200, {{"epoch", revision_}, {"log", changes}});
  }
  std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
}

}  // namespace mosspath::fakes
