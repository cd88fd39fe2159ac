// Parsing and encoding of the messages as JSON. Field names and the names of enum values are
// defined only in src/wire/field_names.h.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::wire {

using Json = nlohmann::json;

// Thrown by every Parse and Decode function if the input is not a valid message of the kind
// that the function reads.
struct BadMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses the text as a JSON object. Throws BadMessage on anything else, also on invalid UTF-8.
Json ParseObject(std::string_view text);

JobSpec ParseJob(const Json& j);
Json ToJson(const JobSpec& spec);
// Returns the job id of a submission, or an empty string if the id is not valid. The other fields
// of the submission are not checked.
std::string PeekJobId(const Json& j);
// Returns whether the text has the form of a job id.
bool IsJobId(std::string_view id);

Heartbeat ParseHeartbeat(const Json& j);
// Parses a heartbeat from text, with the same checks and many times faster than ParseHeartbeat.
Heartbeat ReadHeartbeat(std::string_view text);
Json ToJson(const Heartbeat& r);
std::string TaskName(const TaskId& t);
TaskId ParseTaskName(const std::string& name);

// The answer to an agent's heartbeat: the leader's fencing token and the commands.
Json HeartbeatAnswer(uint64_t token, const std::vector<Command>& commands);
// The request that sends commands to an agent outside a heartbeat's answer. `agent_epoch`: the
// epoch of the agent for which the commands are meant.
Json DirectCommands(uint64_t token, uint64_t agent_epoch, const std::vector<Command>& commands);
std::vector<Command> ParseCommands(const Json& answer);
// The answer to an agent that sent its heartbeat to the wrong controller. `report_to`: the
// controller that should receive the agent's heartbeats; empty if the answering controller has
// found no such controller that is up.
Json MisdirectedAnswer(const std::string& report_to);

std::vector<MachineType> ParseMachineTypes(const Json& j);
Json ToJson(const std::vector<MachineType>& types);

struct RentRequest {
  std::string request;  // idempotency key: the cloud repeats its first answer to this key
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};
Json ToJson(const RentRequest& r);
// Returns the ids of the rented machines.
std::vector<std::string> ParseRented(const Json& j);
Json DeleteRequest(const std::vector<std::string>& machines);
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // whether another page follows
};
MachinePage ParseMachinePage(const Json& j);
// Returns the request target of the page of up to `limit` machines that follows the id `after`.
std::string MachineListTarget(const std::string& after, int limit);

const char* JobStateName(JobState s);
Json JobAnswer(const std::string& id, JobState state);
Json JobAnswer(const std::string& id, JobState state, uint32_t done_tasks, uint32_t running_tasks);
Json ErrorAnswer(const std::string& what);

}  // namespace mosspath::wire
