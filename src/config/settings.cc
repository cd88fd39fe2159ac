#include "mosspath/config/settings.h"

#include <spdlog/spdlog.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace mosspath::config {
namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
// Of the time that a cancellation has beyond a worker's lease, that the leader's view may be old.
constexpr double kViewShare = 0.9;

[[noreturn]] void Bad(const std::string& key, const std::string& what) {
  throw SettingsError("settings: " + key + " " + what);
}

std::string Text(const toml::table& t, const std::string& path, const char* key) {
  auto v = t[key].value_exact<std::string>();
  if (!v) Bad(path + key, t[key] ? "is not a string" : "is missing");
  if (v->empty()) Bad(path + key, "is empty");
  return *v;
}

double Number(const toml::table& t, const std::string& path, const char* key, double least,
              double most = kInf) {
  if (!t[key]) Bad(path + key, "is missing");
  if (!t[key].is_number()) Bad(path + key, "is not a number");
  const double v = *t[key].value<double>();
  if (!std::isfinite(v) || v < least || v > most) Bad(path + key, "is out of range");
  return v;
}

int Whole(const toml::table& t, const std::string& path, const char* key, int least) {
  const double v = Number(t, path, key, least, 1e9);
  if (v != std::floor(v)) Bad(path + key, "is not a whole number");
  return static_cast<int>(v);
}

std::string Address(const toml::table& t, const std::string& path, const char* key) {
  std::string v = Text(t, path, key);
  const size_t colon = v.rfind(':');
  const bool digits = colon != std::string::npos && colon > 0 && colon + 1 < v.size() &&
                      v.size() - colon <= 6 &&
                      v.find_first_not_of("0123456789", colon + 1) == std::string::npos;
  if (!digits) Bad(path + key, "is not of the form ADDRESS:PORT");
  const int port = std::stoi(v.substr(colon + 1));
  if (port < 1 || port > 65535) Bad(path + key, "has a port out of range");
  return v;
}

const toml::table& Table(const toml::table& t, const std::string& path, const char* key) {
  const toml::table* v = t[key].as_table();
  if (v == nullptr) Bad(path + key, t[key] ? "is not a table" : "is missing");
  return *v;
}

template <typename F>
void EachTable(const toml::table& t, const std::string& path, const char* key, F f) {
  if (!t[key]) return;
  const toml::array* list = t[key].as_array();
  if (list == nullptr) Bad(path + key, "is not a list");
  for (size_t i = 0; i < list->size(); ++i) {
    const std::string at = path + key + "[" + std::to_string(i) + "].";
    const toml::table* entry = list->get(i)->as_table();
    if (entry == nullptr) Bad(at, "is not a table");
    f(*entry, at);
  }
}

Settings FromTable(const toml::table& t) {
  Settings s;
  s.name = Text(t, "", "label");
  s.zone = Text(t, "", "domain");
  s.public_address = Address(t, "", "public_addr");
  s.peer_address = Address(t, "", "back");
  EachTable(t, "", "seeds", [&](const toml::table& p, const std::string& at) {
    s.peers.push_back({Text(p, at, "label"), Text(p, at, "domain"), Address(p, at, "address")});
  });
  // A process that took itself for one of the others would wait for its own word.
  std::set<std::string> labels{s.name};
  for (size_t i = 0; i < s.peers.size(); ++i) {
    const std::string at = "seeds[" + std::to_string(i) + "].";
    if (!labels.insert(s.peers[i].name).second) Bad(at + "label", "names a controller twice");
    if (s.peers[i].address == s.peer_address) Bad(at + "address", "is this controller's own");
  }
  if (s.public_address == s.peer_address) Bad("back", "is the same as public_addr");
  const toml::table& outside = Table(t, "", "outside");
  s.cloud_address = Address(outside, "outside.", "cloud");
  s.store_address = Address(outside, "outside.", "state");

  const toml::table& facts = Table(t, "", "facts");
  s.controller_count = Whole(facts, "facts.", "initial_size", 1);
  const toml::array* zones = facts["zones"].as_array();
  if (zones == nullptr) Bad("facts.zones", facts["zones"] ? "is not a list" : "is missing");
  for (const toml::node& z : *zones) {
    auto name = z.value_exact<std::string>();
    if (!name || name->empty()) Bad("facts.zones", "has an element that is not a zone's name");
    s.zones.push_back(*name);
  }
  if (s.zones.empty()) Bad("facts.zones", "is empty");
  s.clock_error_ms = Number(facts, "facts.", "clock_error_ms", 0);
  EachTable(facts, "facts.", "teams", [&](const toml::table& e, const std::string& at) {
    Team team{Text(e, at, "name"), Number(e, at, "cpus", 0), Number(e, at, "cpus_max", 0),
              Number(e, at, "gpus", 0), Number(e, at, "gpus_max", 0)};
    s.teams.push_back(std::move(team));
  });
  if (s.teams.empty()) Bad("facts.teams", "is missing or empty");
  EachTable(facts, "facts.", "objectives", [&](const toml::table& e, const std::string& at) {
    Objective o;
    o.kind = Text(e, at, "kind");
    if (e["class"]) o.job_class = Text(e, at, "class");
    if (e["within_s"]) o.within_s = Number(e, at, "within_s", 0);
    if (e["share"]) o.share = Number(e, at, "share", 0, 1);
    if (e["times"]) o.times = Number(e, at, "times", 0);
    if (o.kind != "wait" && o.kind != "finished" && o.kind != "deadline") {
      spdlog::info("settings: {}kind {} is not known, nothing is decided by it", at, o.kind);
    }
    s.objectives.push_back(std::move(o));
  });
  const toml::table& workers = Table(facts, "facts.", "workers");
  s.heartbeat_s = Number(workers, "facts.workers.", "report_s", 0.01, 3600);
  s.agent_lease_s = Number(workers, "facts.workers.", "lease_s", 0.1, 86400);
  s.cancel_within_s = Number(workers, "facts.workers.", "cancel_s", 0.1, 86400);
  if (s.agent_lease_s <= s.heartbeat_s) Bad("facts.workers.lease_s", "is not above report_s");
  const toml::table& state = Table(facts, "facts.", "state");
  s.store_requests_per_s = Number(state, "facts.state.", "rps", 1);
  s.store_writes_per_s = Number(state, "facts.state.", "write_rps", 1);
  s.store_value_kb = Number(state, "facts.state.", "value_kb", 1);
  s.store_transaction_changes = Whole(state, "facts.state.", "txn_ops", 2);
  const toml::table& cloud = Table(facts, "facts.", "cloud");
  s.cloud_requests_per_s = Number(cloud, "facts.cloud.", "rps", 0.01);
  s.machine_list_lag_s = Number(cloud, "facts.cloud.", "list_lag_s", 0);
  const toml::table& limits = Table(facts, "facts.", "limits");
  s.cpu_share = Number(limits, "facts.limits.", "cores", 0.001);
  s.memory_mb = Number(limits, "facts.limits.", "memory_mb", 16);
  s.max_connections = Whole(limits, "facts.limits.", "sockets", 32);
  return s;
}

}  // namespace

Settings Parse(const std::string& toml_text) {
  try {
    return FromTable(toml::parse(toml_text));
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "settings: line " << e.source().begin.line << ": " << e.description();
    throw SettingsError(where.str());
  }
}

Settings Load(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw SettingsError("settings: can't read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return Parse(text.str());
}

DerivedSettings::DerivedSettings(const Settings& s) {
  // The grant ends well before the workers' leases do, so that a successor finds them working; and
  // soon, since nothing starts meanwhile.
  store_lease_s = s.agent_lease_s / 8;
  store_lease_renew_s = store_lease_s / 6;
  renew_timeout_s = store_lease_s / 3;
  promise_s = s.agent_lease_s / 24;
  lapse_margin_s = store_lease_s * (4 * kMaxClockDrift) + 0.02 * store_lease_s;
  agent_lease_over_s = s.agent_lease_s * (1 + 4 * kMaxClockDrift) + 0.02 * s.agent_lease_s;
  probe_answer_s = s.heartbeat_s / 4;
  // After a takeover: a report, and as much again for those that have to find the new leader.
  agents_find_leader_s = 1.25 * s.heartbeat_s + 2.0;
  // A worker gives up on an answer after 4 s, and tries the next node 1 s later.
  agent_suspect_s = 2 * s.heartbeat_s + 4.0;
  agents_try_all_s = s.controller_count * (4.0 + 1.0) + 1.25 * s.heartbeat_s;
  // Told of at T, a cancellation is acted on at T + view_s at the latest, or no worker is answered
  // from then on and their leases end what they run by T + view_s + gone_s, which is before T +
  // cancel_s.
  max_view_age_s = std::max(kViewShare * (s.cancel_within_s - agent_lease_over_s), s.heartbeat_s);
  // By its own clock a view must not be older than view_s.
  shard_hold_s = max_view_age_s * (1 + 2 * kMaxClockDrift);
  record_flush_s = std::max(0.25, 6.0 / s.store_writes_per_s);
  placement_interval_s = s.heartbeat_s / 40;
  scaling_interval_s = 1 / s.cloud_requests_per_s;
  catch_up_interval_s = std::max(0.05, 3.0 * s.controller_count / s.store_requests_per_s);
  // A view is as old as when the last look was asked for, so it grows to two waits before the next
  // returns: well below the half of view_s at which a leader resigns.
  watch_s = std::min(std::max(2.0, s.agent_lease_s / 4), std::max(0.5, max_view_age_s / 6));
  call_timeout_s = std::min(2.0, s.agent_lease_s / 12);
  cloud_timeout_s = std::max(5.0, 2 * s.heartbeat_s);
  machine_list_interval_s = std::max(s.machine_list_lag_s, 10.0 / s.cloud_requests_per_s);
  user_deadline_s = 2.0;
}

}  // namespace mosspath::config
