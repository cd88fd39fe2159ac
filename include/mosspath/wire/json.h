// JSON forms of the messages. The protocol's field names live in json.cc and nowhere else.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::wire {

using Json = nlohmann::json;

// Raised by every Parse function: the input is not a message of this kind.
struct BadMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses text as a JSON object, refusing invalid UTF-8, or throws BadMessage.
Json ParseObject(std::string_view text);

JobSpec ParseJob(const Json& j);
Json ToJson(const JobSpec& spec);
// The id of a submission that may be otherwise invalid; empty when it has none.
std::string PeekJobId(const Json& j);
bool IsJobId(std::string_view id);

Heartbeat ParseHeartbeat(const Json& j);
// The same from text, many times faster.
Heartbeat ReadHeartbeat(std::string_view text);
Json ToJson(const Heartbeat& r);
std::string TaskName(const TaskId& t);
TaskId ParseTaskName(const std::string& name);

Json HeartbeatAnswer(uint64_t token, const std::vector<Command>& commands);
Json DirectCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands);
std::vector<Command> ParseCommands(const Json& answer);
Json MisdirectedAnswer(const std::string& report_to);

std::vector<MachineType> ParseMachineTypes(const Json& j);
Json ToJson(const std::vector<MachineType>& types);

struct RentRequest {
  std::string request;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};
Json ToJson(const RentRequest& r);
std::vector<std::string> ParseRented(const Json& j);
Json DeleteRequest(const std::vector<std::string>& machines);
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
MachinePage ParseMachinePage(const Json& j);
std::string MachineListTarget(const std::string& after, int limit);

const char* JobStateName(JobState s);
Json JobAnswer(const std::string& id, JobState stage);
Json JobAnswer(const std::string& id, JobState stage, uint32_t done, uint32_t running);
Json ErrorAnswer(const std::string& what);

}  // namespace mosspath::wire
