#include "mosspath/wire/json.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "wire/names.h"

namespace mosspath::wire {
namespace {

constexpr uint32_t kMaxTasks = 100'000;
constexpr size_t kMaxTypes = 32;  // a job's record must fit into a value
constexpr double kMaxAmount = 1e9;

[[noreturn]] void Bad(const std::string& what) { throw BadMessage(what); }

const Json& Need(const Json& j, const char* key) {
  auto it = j.find(key);
  if (it == j.end() || it->is_null()) Bad(std::string(key) + " is missing");
  return *it;
}

std::string Text(const Json& j, const char* key) {
  const Json& v = Need(j, key);
  if (!v.is_string()) Bad(std::string(key) + " is not a string");
  auto s = v.get<std::string>();
  if (s.empty() || s.size() > kMaxName) Bad(std::string(key) + " is empty or too long");
  return s;
}

double AmountOf(const Json& v, const char* key) {
  if (!v.is_number()) Bad(std::string(key) + " is not a number");
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < 0 || d > kMaxAmount) Bad(std::string(key) + " is out of range");
  return d;
}

double Amount(const Json& j, const char* key) { return AmountOf(Need(j, key), key); }

bool Flag(const Json& j, const char* key) {
  const Json& v = Need(j, key);
  if (!v.is_boolean()) Bad(std::string(key) + " is not a boolean");
  return v.get<bool>();
}

uint64_t Count(const Json& j, const char* key) {
  const Json& v = Need(j, key);
  if (v.is_number_unsigned()) return v.get<uint64_t>();
  Bad(std::string(key) + " is not a count");
}

template <typename E, size_t N>
E Choice(const Json& j, const char* key, const std::array<std::pair<const char*, E>, N>& names) {
  const std::string s = Text(j, key);
  for (const auto& [name, value] : names) {
    if (s == name) return value;
  }
  Bad(std::string(key) + " has an unknown value");
}

template <typename E, size_t N>
const char* NameOf(E value, const std::array<std::pair<const char*, E>, N>& names) {
  for (const auto& [name, v] : names) {
    if (v == value) return name;
  }
  return "";
}

constexpr std::array<std::pair<const char*, JobKind>, 3> kKinds{
    {{"array", JobKind::kArray}, {"group", JobKind::kGang}, {"daemon", JobKind::kService}}};
constexpr std::array<std::pair<const char*, Priority>, 4> kRanks{{{"critical", Priority::kCritical},
                                                                  {"high", Priority::kHigh},
                                                                  {"standard", Priority::kNormal},
                                                                  {"low", Priority::kLow}}};
constexpr std::array<std::pair<const char*, CommandType>, 3> kOps{
    {{"run", CommandType::kStart}, {"halt", CommandType::kStop}, {"reap", CommandType::kForget}}};
constexpr std::array<std::pair<const char*, MachineState>, 3> kMachineStates{
    {{"starting", MachineState::kBooting},
     {"running", MachineState::kRunning},
     {"failed", MachineState::kFailed}}};
constexpr std::array<std::pair<const char*, JobState>, 4> kStages{
    {{"queued", JobState::kQueued},
     {"running", JobState::kRunning},
     {"done", JobState::kDone},
     {"aborted", JobState::kCancelled}}};

const Json& List(const Json& j, const char* key) {
  const Json& v = Need(j, key);
  if (!v.is_array()) Bad(std::string(key) + " is not a list");
  return v;
}

}  // namespace

Json ParseObject(std::string_view text) {
  Json j = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (j.is_discarded()) Bad("not JSON");
  if (!j.is_object()) Bad("not an object");
  return j;
}

bool IsJobId(std::string_view id) {
  constexpr std::string_view kPrefix = "req-";
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  if (id.empty() || id.size() > 20) return false;
  return id.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string PeekJobId(const Json& j) {
  auto it = j.find("id");
  if (it == j.end() || !it->is_string()) return {};
  auto id = it->get<std::string>();
  return IsJobId(id) ? id : std::string{};
}

JobSpec ParseJob(const Json& j) {
  JobSpec s;
  s.id = Text(j, "id");
  if (!IsJobId(s.id)) Bad("id has an invalid form");
  s.job_class = Text(j, "lot");
  s.team = Text(j, "house");
  s.kind = Choice(j, "catch", kKinds);
  s.priority = Choice(j, "rank", kRanks);
  const uint64_t tasks = Count(j, "crates");
  if (tasks < 1 || tasks > kMaxTasks) Bad("crates is out of range");
  s.tasks = static_cast<uint32_t>(tasks);
  s.cpus = Amount(j, "vcpus");
  s.gpus = Amount(j, "cards");
  s.memory_gb = Amount(j, "mem_gb");
  s.image = Text(j, "kit");
  s.image_gb = Amount(j, "size_gb");
  if (auto it = j.find("builds"); it != j.end() && !it->is_null()) {
    if (!it->is_array()) Bad("builds is not a list");
    std::vector<std::string> types;
    if (it->size() > kMaxTypes) Bad("builds has too many elements");
    for (const Json& t : *it) {
      if (t.is_string() && t.get_ref<const std::string&>().size() > kMaxName) {
        Bad("builds has an element that is too long");
      }
      if (!t.is_string()) Bad("builds has an element that is not a string");
      types.push_back(t.get<std::string>());
    }
    s.types = std::move(types);
  }
  if (auto it = j.find("shore"); it != j.end() && !it->is_null()) s.zone = Text(j, "shore");
  s.single_zone = Flag(j, "together");
  s.spread_over_zones = Flag(j, "apart");
  s.spot_allowed = Flag(j, "loaners");
  s.estimated_run_s = Amount(j, "guess_s");
  s.checkpoint_interval_s = Amount(j, "tally_s");
  s.checkpoint_duration_s = Amount(j, "stow_s");
  if (auto it = j.find("dawn_s"); it != j.end() && !it->is_null()) {
    s.deadline_s = AmountOf(*it, "dawn_s");
  }
  return s;
}

Json ToJson(const JobSpec& s) {
  Json j{{"id", s.id},
         {"lot", s.job_class},
         {"house", s.team},
         {"catch", NameOf(s.kind, kKinds)},
         {"rank", NameOf(s.priority, kRanks)},
         {"crates", s.tasks},
         {"vcpus", s.cpus},
         {"cards", s.gpus},
         {"mem_gb", s.memory_gb},
         {"kit", s.image},
         {"size_gb", s.image_gb},
         {"together", s.single_zone},
         {"apart", s.spread_over_zones},
         {"loaners", s.spot_allowed},
         {"guess_s", s.estimated_run_s},
         {"tally_s", s.checkpoint_interval_s},
         {"stow_s", s.checkpoint_duration_s}};
  if (s.types) j["builds"] = *s.types;
  if (s.zone) j["shore"] = *s.zone;
  if (s.deadline_s) j["dawn_s"] = *s.deadline_s;
  return j;
}

std::string TaskName(const TaskId& t) { return t.job + "/" + std::to_string(t.index); }

TaskId ParseTaskName(const std::string& name) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos) Bad("a task's name has no number");
  TaskId t;
  t.job = name.substr(0, slash);
  if (!IsJobId(t.job)) Bad("a task's job id has an invalid form");
  const char* first = name.data() + slash + 1;
  const char* last = name.data() + name.size();
  auto [end, error] = std::from_chars(first, last, t.index);
  if (error != std::errc{} || end != last || t.index >= kMaxTasks)
    Bad("a task's number is invalid");
  return t;
}

Heartbeat ParseHeartbeat(const Json& j) {
  Heartbeat r;
  r.machine = Text(j, "rig");
  r.address = Text(j, "endpoint");
  r.type = Text(j, "build");
  r.zone = Text(j, "shore");
  r.spot = Flag(j, "loaners");
  r.agent_epoch = Count(j, "shift");
  r.sequence = Count(j, "tick");
  r.fencing_token = Count(j, "baton");
  if (auto it = j.find("warning_s"); it != j.end() && !it->is_null()) {
    if (!it->is_number()) Bad("warning_s is not a number");
    r.reclaim_notice_s = it->get<double>();
  }
  for (const Json& t : List(j, "crates")) {
    if (!t.is_object()) Bad("a task is not an object");
    TaskStatus task;
    task.task = ParseTaskName(Text(t, "crate"));
    task.attempt = Count(t, "try");
    task.state = Choice(t, "stage", kTaskStates);
    if (task.state == TaskState::kExited) task.exit_reason = Choice(t, "cause", kExitReasons);
    if (auto it = t.find("saved"); it != t.end() && it->is_boolean())
      task.checkpointed = it->get<bool>();
    r.tasks.push_back(std::move(task));
  }
  return r;
}

Json ToJson(const Heartbeat& r) {
  Json tasks = Json::array();
  for (const TaskStatus& t : r.tasks) {
    Json task{
        {"crate", TaskName(t.task)}, {"try", t.attempt}, {"stage", NameOf(t.state, kTaskStates)}};
    if (t.state == TaskState::kExited) task["cause"] = NameOf(t.exit_reason, kExitReasons);
    if (t.checkpointed) task["saved"] = true;
    tasks.push_back(std::move(task));
  }
  Json j{{"rig", r.machine},          {"endpoint", r.address},    {"build", r.type},
         {"shore", r.zone},           {"loaners", r.spot},        {"shift", r.agent_epoch},
         {"tick", r.sequence},        {"baton", r.fencing_token}, {"warning_s", nullptr},
         {"crates", std::move(tasks)}};
  if (r.reclaim_notice_s) j["warning_s"] = *r.reclaim_notice_s;
  return j;
}

Json HeartbeatAnswer(uint64_t token, const std::vector<Command>& commands) {
  Json calls = Json::array();
  for (const Command& c : commands) {
    Json call{{"call", NameOf(c.type, kOps)}, {"crate", TaskName(c.task)}, {"try", c.attempt}};
    if (c.type == CommandType::kStop) call["leeway_s"] = c.grace_s;
    calls.push_back(std::move(call));
  }
  return Json{{"baton", token}, {"calls", std::move(calls)}};
}

Json DirectCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands) {
  Json j = HeartbeatAnswer(token, commands);
  j["shift"] = session;
  return j;
}

std::vector<Command> ParseCommands(const Json& answer) {
  std::vector<Command> commands;
  for (const Json& c : List(answer, "calls")) {
    Command command;
    command.type = Choice(c, "call", kOps);
    command.task = ParseTaskName(Text(c, "crate"));
    command.attempt = Count(c, "try");
    if (command.type == CommandType::kStop) command.grace_s = Amount(c, "leeway_s");
    commands.push_back(std::move(command));
  }
  return commands;
}

Json MisdirectedAnswer(const std::string& report_to) {
  return report_to.empty() ? Json::object() : Json{{"steward", report_to}};
}

std::vector<MachineType> ParseMachineTypes(const Json& j) {
  std::vector<MachineType> types;
  for (const Json& t : List(j, "builds")) {
    if (!t.is_object()) Bad("a machine type is not an object");
    MachineType type;
    type.name = Text(t, "name");
    type.cpus = Amount(t, "vcpus");
    type.gpus = Amount(t, "cards");
    type.memory_gb = Amount(t, "mem_gb");
    type.cache_gb = Amount(t, "local_gb");
    type.fetch_gb_per_s = Amount(t, "pull_gb_per_s");
    type.price = Amount(t, "hourly");
    type.spot_price = Amount(t, "low_price");
    type.boot_s = Amount(t, "startup_s");
    for (const Json& z : List(t, "shores")) {
      if (!z.is_string()) Bad("a zone is not a string");
      type.zones.push_back(z.get<std::string>());
    }
    types.push_back(std::move(type));
  }
  if (types.empty()) Bad("no machine types");
  return types;
}

Json ToJson(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const MachineType& t : types) {
    list.push_back({{"name", t.name},
                    {"vcpus", t.cpus},
                    {"cards", t.gpus},
                    {"mem_gb", t.memory_gb},
                    {"local_gb", t.cache_gb},
                    {"pull_gb_per_s", t.fetch_gb_per_s},
                    {"hourly", t.price},
                    {"low_price", t.spot_price},
                    {"startup_s", t.boot_s},
                    {"shores", t.zones}});
  }
  return Json{{"builds", std::move(list)}};
}

Json ToJson(const RentRequest& r) {
  return Json{{"hire", r.request},
              {"build", r.type},
              {"shore", r.zone},
              {"loaners", r.spot},
              {"count", r.count}};
}

std::vector<std::string> ParseRented(const Json& j) {
  std::vector<std::string> machines;
  for (const Json& m : List(j, "rigs")) {
    if (!m.is_string()) Bad("a machine's name is not a string");
    machines.push_back(m.get<std::string>());
  }
  return machines;
}

Json DeleteRequest(const std::vector<std::string>& machines) { return Json{{"rigs", machines}}; }

MachinePage ParseMachinePage(const Json& j) {
  MachinePage page;
  for (const Json& m : List(j, "rigs")) {
    if (!m.is_object()) Bad("a machine is not an object");
    ListedMachine machine;
    machine.id = Text(m, "id");
    // None: it may have any.
    if (auto it = m.find("endpoint"); it != m.end() && it->is_string()) {
      machine.address = it->get<std::string>();
    }
    machine.type = Text(m, "build");
    machine.zone = Text(m, "shore");
    machine.spot = Flag(m, "loaners");
    machine.state = Choice(m, "stage", kMachineStates);
    machine.age_s = Amount(m, "age_s");
    page.machines.push_back(std::move(machine));
  }
  if (auto it = j.find("truncated"); it != j.end() && it->is_boolean()) page.more = it->get<bool>();
  return page;
}

std::string MachineListTarget(const std::string& after, int limit) {
  return "/hosts?since=" + after + "&most=" + std::to_string(limit);
}

const char* JobStateName(JobState s) { return NameOf(s, kStages); }

Json JobAnswer(const std::string& id, JobState stage) {
  return Json{{"id", id}, {"stage", JobStateName(stage)}};
}

Json JobAnswer(const std::string& id, JobState stage, uint32_t done, uint32_t running) {
  return Json{{"id", id}, {"stage", JobStateName(stage)}, {"done", done}, {"running", running}};
}

Json ErrorAnswer(const std::string& what) { return Json{{"error", what}}; }

}  // namespace mosspath::wire
