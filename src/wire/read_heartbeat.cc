// Fast parsing of agent heartbeats. A controller receives hundreds of heartbeats per second, with
// dozens of tasks each, so this parser builds no Json document. The parser makes the same checks as
// ParseHeartbeat.
#include <simdjson.h>

#include "mosspath/wire/json.h"
#include "wire/field_names.h"

namespace mosspath::wire {
namespace {

using simdjson::dom::element;

element RequiredField(const element& object, const char* key) {
  element value;
  if (object[key].get(value) != simdjson::SUCCESS || value.is_null()) {
    throw BadMessage(std::string(key) + " is missing");
  }
  return value;
}

std::string_view TextField(const element& object, const char* key) {
  std::string_view text;
  if (RequiredField(object, key).get(text) != simdjson::SUCCESS) {
    throw BadMessage(std::string(key) + " is not a string");
  }
  if (text.empty() || text.size() > kMaxName) {
    throw BadMessage(std::string(key) + " is empty or too long");
  }
  return text;
}

uint64_t CountField(const element& object, const char* key) {
  uint64_t count = 0;
  if (RequiredField(object, key).get(count) != simdjson::SUCCESS) {
    throw BadMessage(std::string(key) + " is not a count");
  }
  return count;
}

bool FlagField(const element& object, const char* key) {
  bool flag = false;
  if (RequiredField(object, key).get(flag) != simdjson::SUCCESS) {
    throw BadMessage(std::string(key) + " is not a boolean");
  }
  return flag;
}

template <typename Enum, size_t kSize>
Enum EnumField(const element& object, const char* key, const EnumNames<Enum, kSize>& names) {
  const EnumName<Enum>* entry = FindName(TextField(object, key), names);
  if (entry == nullptr) throw BadMessage(std::string(key) + " has an unknown value");
  return entry->value;
}

std::optional<double> ReadReclaimNotice(const element& object) {
  element notice;
  if (object[field::kReclaimNoticeS].get(notice) != simdjson::SUCCESS || notice.is_null()) {
    return std::nullopt;
  }
  double notice_s = 0;
  if (notice.get(notice_s) != simdjson::SUCCESS) {
    throw BadMessage(std::string(field::kReclaimNoticeS) + " is not a number");
  }
  return notice_s;
}

TaskStatus ReadTaskStatus(const element& object) {
  if (!object.is_object()) throw BadMessage("a task is not an object");
  TaskStatus status;
  status.task = ParseTaskName(std::string(TextField(object, field::kTask)));
  status.attempt = CountField(object, field::kAttempt);
  status.state = EnumField(object, field::kState, kTaskStates);
  if (status.state == TaskState::kExited) {
    status.exit_reason = EnumField(object, field::kExitReason, kExitReasons);
  }
  bool checkpointed = false;
  if (object[field::kCheckpointed].get(checkpointed) == simdjson::SUCCESS) {
    status.checkpointed = checkpointed;
  }
  return status;
}

}  // namespace

Heartbeat ReadHeartbeat(std::string_view text) {
  static thread_local simdjson::dom::parser parser;
  element object;
  if (parser.parse(text.data(), text.size()).get(object) != simdjson::SUCCESS) {
    throw BadMessage("not JSON");
  }
  if (!object.is_object()) throw BadMessage("not an object");
  Heartbeat heartbeat;
  heartbeat.machine = TextField(object, field::kMachine);
  heartbeat.address = TextField(object, field::kAddress);
  heartbeat.type = TextField(object, field::kMachineType);
  heartbeat.zone = TextField(object, field::kZone);
  heartbeat.spot = FlagField(object, field::kSpot);
  heartbeat.agent_epoch = CountField(object, field::kAgentEpoch);
  heartbeat.sequence = CountField(object, field::kSequence);
  heartbeat.fencing_token = CountField(object, field::kFencingToken);
  heartbeat.reclaim_notice_s = ReadReclaimNotice(object);
  simdjson::dom::array tasks;
  if (RequiredField(object, field::kTasks).get(tasks) != simdjson::SUCCESS) {
    throw BadMessage(std::string(field::kTasks) + " is not a list");
  }
  heartbeat.tasks.reserve(tasks.size());
  for (const element task : tasks) heartbeat.tasks.push_back(ReadTaskStatus(task));
  return heartbeat;
}

}  // namespace mosspath::wire
