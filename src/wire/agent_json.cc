// JSON encoding of agent heartbeats and of the commands to agents.
#include <charconv>
#include <utility>

#include "mosspath/wire/json.h"
#include "wire/json_fields.h"

namespace mosspath::wire {
namespace {

TaskStatus ParseTaskStatus(const Json& object) {
  if (!object.is_object()) ThrowBadMessage("a task is not an object");
  TaskStatus status;
  status.task = ParseTaskName(TextField(object, field::kTask));
  status.attempt = CountField(object, field::kAttempt);
  status.state = EnumField(object, field::kState, kTaskStates);
  if (status.state == TaskState::kExited) {
    status.exit_reason = EnumField(object, field::kExitReason, kExitReasons);
  }
  const Json* checkpointed = OptionalField(object, field::kCheckpointed);
  if (checkpointed != nullptr && checkpointed->is_boolean()) {
    status.checkpointed = checkpointed->get<bool>();
  }
  return status;
}

Json TaskStatusToJson(const TaskStatus& status) {
  Json object{{field::kTask, TaskName(status.task)},
              {field::kAttempt, status.attempt},
              {field::kState, NameOf(status.state, kTaskStates)}};
  if (status.state == TaskState::kExited) {
    object[field::kExitReason] = NameOf(status.exit_reason, kExitReasons);
  }
  if (status.checkpointed) object[field::kCheckpointed] = true;
  return object;
}

Json CommandToJson(const Command& command) {
  Json object{{field::kCommandType, NameOf(command.type, kCommandTypes)},
              {field::kTask, TaskName(command.task)},
              {field::kAttempt, command.attempt}};
  if (command.type == CommandType::kStop) object[field::kGraceS] = command.grace_s;
  return object;
}

}  // namespace

std::string TaskName(const TaskId& task) { return task.job + "/" + std::to_string(task.index); }

TaskId ParseTaskName(const std::string& name) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos) ThrowBadMessage("a task's name has no number");
  TaskId task;
  task.job = name.substr(0, slash);
  if (!IsJobId(task.job)) ThrowBadMessage("a task's job id has an invalid form");
  const char* first = name.data() + slash + 1;
  const char* last = name.data() + name.size();
  const auto [end, error] = std::from_chars(first, last, task.index);
  if (error != std::errc{} || end != last || task.index >= kMaxTasks) {
    ThrowBadMessage("a task's number is invalid");
  }
  return task;
}

Heartbeat ParseHeartbeat(const Json& object) {
  Heartbeat heartbeat;
  heartbeat.machine = TextField(object, field::kMachine);
  heartbeat.address = TextField(object, field::kAddress);
  heartbeat.type = TextField(object, field::kMachineType);
  heartbeat.zone = TextField(object, field::kZone);
  heartbeat.spot = FlagField(object, field::kSpot);
  heartbeat.agent_epoch = CountField(object, field::kAgentEpoch);
  heartbeat.sequence = CountField(object, field::kSequence);
  heartbeat.fencing_token = CountField(object, field::kFencingToken);
  if (const Json* notice = OptionalField(object, field::kReclaimNoticeS)) {
    if (!notice->is_number()) {
      ThrowBadMessage(std::string(field::kReclaimNoticeS) + " is not a number");
    }
    heartbeat.reclaim_notice_s = notice->get<double>();
  }
  for (const Json& task : ListField(object, field::kTasks)) {
    heartbeat.tasks.push_back(ParseTaskStatus(task));
  }
  return heartbeat;
}

Json ToJson(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& status : heartbeat.tasks) tasks.push_back(TaskStatusToJson(status));
  Json object{
      {field::kMachine, heartbeat.machine},   {field::kAddress, heartbeat.address},
      {field::kMachineType, heartbeat.type},  {field::kZone, heartbeat.zone},
      {field::kSpot, heartbeat.spot},         {field::kAgentEpoch, heartbeat.agent_epoch},
      {field::kSequence, heartbeat.sequence}, {field::kFencingToken, heartbeat.fencing_token},
      {field::kReclaimNoticeS, nullptr},      {field::kTasks, std::move(tasks)}};
  if (heartbeat.reclaim_notice_s) object[field::kReclaimNoticeS] = *heartbeat.reclaim_notice_s;
  return object;
}

Json HeartbeatAnswer(uint64_t token, const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) list.push_back(CommandToJson(command));
  return Json{{field::kFencingToken, token}, {field::kCommands, std::move(list)}};
}

Json DirectCommands(uint64_t token, uint64_t agent_epoch, const std::vector<Command>& commands) {
  Json object = HeartbeatAnswer(token, commands);
  object[field::kAgentEpoch] = agent_epoch;
  return object;
}

std::vector<Command> ParseCommands(const Json& answer) {
  std::vector<Command> commands;
  for (const Json& object : ListField(answer, field::kCommands)) {
    Command command;
    command.type = EnumField(object, field::kCommandType, kCommandTypes);
    command.task = ParseTaskName(TextField(object, field::kTask));
    command.attempt = CountField(object, field::kAttempt);
    if (command.type == CommandType::kStop) command.grace_s = AmountField(object, field::kGraceS);
    commands.push_back(std::move(command));
  }
  return commands;
}

Json MisdirectedAnswer(const std::string& leader) {
  return leader.empty() ? Json::object() : Json{{field::kLeader, leader}};
}

}  // namespace mosspath::wire
