// Reports come hundreds of times a second with dozens of tasks each: read without building a
// document of them. The same checks as ParseReport, which a test compares it with.
#include <simdjson.h>

#include "mosspath/wire/json.h"
#include "wire/names.h"

namespace mosspath::wire {
namespace {

using simdjson::dom::element;

element Need(const element& j, const char* key) {
  element v;
  if (j[key].get(v) != simdjson::SUCCESS || v.is_null()) {
    throw BadMessage(std::string(key) + " is missing");
  }
  return v;
}

std::string_view Text(const element& j, const char* key) {
  std::string_view s;
  if (Need(j, key).get(s) != simdjson::SUCCESS) {
    throw BadMessage(std::string(key) + " is not a string");
  }
  if (s.empty() || s.size() > kMaxName) {
    throw BadMessage(std::string(key) + " is empty or too long");
  }
  return s;
}

uint64_t Count(const element& j, const char* key) {
  uint64_t n = 0;
  if (Need(j, key).get(n) != simdjson::SUCCESS) {
    throw BadMessage(std::string(key) + " is not a count");
  }
  return n;
}

bool Flag(const element& j, const char* key) {
  bool b = false;
  if (Need(j, key).get(b) != simdjson::SUCCESS) {
    throw BadMessage(std::string(key) + " is not a boolean");
  }
  return b;
}

template <typename E, size_t N>
E Choice(const element& j, const char* key, const std::array<std::pair<const char*, E>, N>& names) {
  const std::string_view s = Text(j, key);
  for (const auto& [name, value] : names) {
    if (s == name) return value;
  }
  throw BadMessage(std::string(key) + " has an unknown value");
}

}  // namespace

Heartbeat ReadHeartbeat(std::string_view text) {
  static thread_local simdjson::dom::parser parser;
  element j;
  if (parser.parse(text.data(), text.size()).get(j) != simdjson::SUCCESS) {
    throw BadMessage("not JSON");
  }
  if (!j.is_object()) throw BadMessage("not an object");
  Heartbeat r;
  r.machine = Text(j, "rig");
  r.address = Text(j, "endpoint");
  r.type = Text(j, "build");
  r.zone = Text(j, "shore");
  r.spot = Flag(j, "loaners");
  r.agent_epoch = Count(j, "shift");
  r.sequence = Count(j, "tick");
  r.fencing_token = Count(j, "baton");
  element notice;
  if (j["warning_s"].get(notice) == simdjson::SUCCESS && !notice.is_null()) {
    double s = 0;
    if (notice.get(s) != simdjson::SUCCESS) throw BadMessage("warning_s is not a number");
    r.reclaim_notice_s = s;
  }
  simdjson::dom::array tasks;
  if (Need(j, "crates").get(tasks) != simdjson::SUCCESS) {
    throw BadMessage("crates is not a list");
  }
  r.tasks.reserve(tasks.size());
  for (const element t : tasks) {
    if (!t.is_object()) throw BadMessage("a task is not an object");
    TaskStatus task;
    task.task = ParseTaskName(std::string(Text(t, "crate")));
    task.attempt = Count(t, "try");
    task.state = Choice(t, "stage", kTaskStates);
    if (task.state == TaskState::kExited) task.exit_reason = Choice(t, "cause", kExitReasons);
    bool saved = false;
    if (t["saved"].get(saved) == simdjson::SUCCESS) task.checkpointed = saved;
    r.tasks.push_back(std::move(task));
  }
  return r;
}

}  // namespace mosspath::wire
