#include "mosspath/config/settings.h"

#include <spdlog/spdlog.h>
#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

namespace mosspath::config {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kMaxWhole = 1e9;
constexpr int kMaxPort = 65535;
constexpr size_t kMaxPortDigits = 5;

[[noreturn]] void Fail(const std::string& key, const std::string& what) {
  throw SettingsError("settings: " + key + " " + what);
}

// A table of the file, with its path for error messages. Each reading function throws SettingsError
// if the key is missing or its value is invalid.
class Section {
 public:
  // `path` ends with a dot; it is empty for the root table. The table must outlive this object.
  Section(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

  [[nodiscard]] bool Has(const char* key) const { return static_cast<bool>(table_[key]); }
  [[noreturn]] void Fail(const char* key, const std::string& what) const {
    config::Fail(path_ + key, what);
  }

  // Returns a string that is not empty.
  [[nodiscard]] std::string Text(const char* key) const {
    const auto value = table_[key].value_exact<std::string>();
    if (!value) Fail(key, Has(key) ? "is not a string" : "is missing");
    if (value->empty()) Fail(key, "is empty");
    return *value;
  }

  [[nodiscard]] double Number(const char* key, double min, double max = kInfinity) const {
    if (!Has(key)) Fail(key, "is missing");
    if (!table_[key].is_number()) Fail(key, "is not a number");
    const double value = *table_[key].value<double>();
    if (!std::isfinite(value) || value < min || value > max) Fail(key, "is out of range");
    return value;
  }

  [[nodiscard]] int Whole(const char* key, int min) const {
    const double value = Number(key, min, kMaxWhole);
    if (value != std::floor(value)) Fail(key, "is not a whole number");
    return static_cast<int>(value);
  }

  [[nodiscard]] std::string Address(const char* key) const {
    std::string address = Text(key);
    const size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) FailAddress(key);
    const std::string port = address.substr(colon + 1);
    if (port.empty() || port.size() > kMaxPortDigits ||
        port.find_first_not_of("0123456789") != std::string::npos) {
      FailAddress(key);
    }
    const int number = std::stoi(port);
    if (number < 1 || number > kMaxPort) Fail(key, "has a port out of range");
    return address;
  }

  [[nodiscard]] Section Table(const char* key) const {
    const toml::table* table = table_[key].as_table();
    if (table == nullptr) Fail(key, Has(key) ? "is not a table" : "is missing");
    return {*table, path_ + key + "."};
  }

  [[nodiscard]] const toml::array& List(const char* key) const {
    const toml::array* list = table_[key].as_array();
    if (list == nullptr) Fail(key, Has(key) ? "is not a list" : "is missing");
    return *list;
  }

  // Calls `visit` with each element of a list of tables. Calls nothing if the key is missing.
  template <typename Visitor>
  void EachTable(const char* key, Visitor visit) const {
    if (!Has(key)) return;
    const toml::array& list = List(key);
    for (size_t i = 0; i < list.size(); ++i) {
      const std::string path = path_ + key + "[" + std::to_string(i) + "].";
      const toml::table* table = list.get(i)->as_table();
      if (table == nullptr) config::Fail(path, "is not a table");
      visit(Section(*table, path));
    }
  }

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  [[noreturn]] void FailAddress(const char* key) const {
    Fail(key, "is not of the form ADDRESS:PORT");
  }

  const toml::table& table_;
  const std::string path_;
};

void ReadPeers(const Section& root, Settings& settings) {
  root.EachTable("seeds", [&](const Section& peer) {
    settings.peers.push_back({peer.Text("label"), peer.Text("domain"), peer.Address("address")});
  });
  // A controller that is listed among its own peers would wait for its own answers. So every peer
  // must have another name and another address than this controller.
  std::set<std::string> names{settings.name};
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    const std::string path = "seeds[" + std::to_string(i) + "].";
    const Peer& peer = settings.peers[i];
    if (!names.insert(peer.name).second) Fail(path + "label", "names a controller twice");
    if (peer.address == settings.peer_address) {
      Fail(path + "address", "is this controller's own");
    }
  }
}

void ReadAddresses(const Section& root, Settings& settings) {
  settings.name = root.Text("label");
  settings.zone = root.Text("domain");
  settings.public_address = root.Address("public_addr");
  settings.peer_address = root.Address("back");
  ReadPeers(root, settings);
  if (settings.public_address == settings.peer_address) {
    root.Fail("back", "is the same as public_addr");
  }
  const Section outside = root.Table("outside");
  settings.cloud_address = outside.Address("cloud");
  settings.store_address = outside.Address("state");
}

void ReadZones(const Section& facts, Settings& settings) {
  for (const toml::node& zone : facts.List("zones")) {
    const auto name = zone.value_exact<std::string>();
    if (!name || name->empty()) {
      facts.Fail("zones", "has an element that is not a zone's name");
    }
    settings.zones.push_back(*name);
  }
  if (settings.zones.empty()) facts.Fail("zones", "is empty");
}

void ReadTeams(const Section& facts, Settings& settings) {
  facts.EachTable("teams", [&](const Section& section) {
    Team team;
    team.name = section.Text("name");
    team.cpus = section.Number("cpus", 0);
    team.cpus_max = section.Number("cpus_max", 0);
    team.gpus = section.Number("gpus", 0);
    team.gpus_max = section.Number("gpus_max", 0);
    settings.teams.push_back(std::move(team));
  });
  if (settings.teams.empty()) facts.Fail("teams", "is missing or empty");
}

void ReadObjectives(const Section& facts, Settings& settings) {
  facts.EachTable("objectives", [&](const Section& section) {
    Objective objective;
    objective.kind = section.Text("kind");
    if (section.Has("class")) objective.job_class = section.Text("class");
    if (section.Has("within_s")) objective.within_s = section.Number("within_s", 0);
    if (section.Has("share")) objective.share = section.Number("share", 0, 1);
    if (section.Has("times")) objective.times = section.Number("times", 0);
    const std::string& kind = objective.kind;
    if (kind != "wait" && kind != "finished" && kind != "deadline") {
      spdlog::info("config: objective_ignored key={}kind value={}", section.path(), kind);
    }
    settings.objectives.push_back(std::move(objective));
  });
}

void ReadAgents(const Section& facts, Settings& settings) {
  constexpr double kMinHeartbeatS = 0.01;
  constexpr double kMaxHeartbeatS = 3600;
  constexpr double kMinLeaseS = 0.1;
  constexpr double kMaxLeaseS = 86400;
  const Section agents = facts.Table("workers");
  settings.heartbeat_s = agents.Number("report_s", kMinHeartbeatS, kMaxHeartbeatS);
  settings.agent_lease_s = agents.Number("lease_s", kMinLeaseS, kMaxLeaseS);
  settings.cancel_within_s = agents.Number("cancel_s", kMinLeaseS, kMaxLeaseS);
  if (settings.agent_lease_s <= settings.heartbeat_s) {
    agents.Fail("lease_s", "is not above report_s");
  }
}

void ReadLimits(const Section& facts, Settings& settings) {
  const Section store = facts.Table("state");
  settings.store_requests_per_s = store.Number("rps", 1);
  settings.store_writes_per_s = store.Number("write_rps", 1);
  settings.store_value_kb = store.Number("value_kb", 1);
  settings.store_transaction_changes = store.Whole("txn_ops", 2);
  const Section cloud = facts.Table("cloud");
  settings.cloud_requests_per_s = cloud.Number("rps", 0.01);
  settings.machine_list_lag_s = cloud.Number("list_lag_s", 0);
  const Section limits = facts.Table("limits");
  settings.cpu_share = limits.Number("cores", 0.001);
  settings.memory_mb = limits.Number("memory_mb", 16);
  settings.max_connections = limits.Whole("sockets", 32);
}

Settings FromTable(const toml::table& table) {
  Settings settings;
  const Section root(table, "");
  ReadAddresses(root, settings);
  const Section facts = root.Table("facts");
  settings.controller_count = facts.Whole("initial_size", 1);
  ReadZones(facts, settings);
  settings.clock_error_ms = facts.Number("clock_error_ms", 0);
  ReadTeams(facts, settings);
  ReadObjectives(facts, settings);
  ReadAgents(facts, settings);
  ReadLimits(facts, settings);
  return settings;
}

}  // namespace

Settings Parse(const std::string& toml_text) {
  try {
    return FromTable(toml::parse(toml_text));
  } catch (const toml::parse_error& error) {
    std::ostringstream where;
    where << "settings: line " << error.source().begin.line << ": " << error.description();
    throw SettingsError(where.str());
  }
}

Settings Load(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw SettingsError("settings: can't read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return Parse(text.str());
}

}  // namespace mosspath::config
