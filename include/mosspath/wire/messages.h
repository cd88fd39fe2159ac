// Messages exchanged with users, agents and the cloud, independent of their encoding. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mosspath::wire {

// The tasks of a gang run only if all of them run at the same time.
enum class JobKind { kArray, kGang, kService };
enum class Priority { kLow = 0, kNormal = 1, kHigh = 2, kCritical = 3 };

// A job as submitted by its user.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 0;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool single_zone = false;
  bool spread_over_zones = false;
  bool spot_allowed = false;
  double estimated_run_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
};

enum class JobState { kQueued, kRunning, kDone, kCancelled };

// kWaitingForGang: the task belongs to a gang, and other tasks of that gang have not started yet.
enum class TaskState { kFetching, kWaitingForGang, kRunning, kCheckpointing, kExited };
// kGangMemberEnded: another task of the gang has ended. kGangIncomplete: some tasks of the gang did
// not start.
enum class ExitReason {
  kNone,
  kSucceeded,
  kStopped,
  kFailed,
  kInsufficientResources,
  kOtherAttemptPresent,
  kUnknownJob,
  kGangMemberEnded,
  kGangIncomplete
};

struct TaskId {
  std::string job;
  uint32_t index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

struct TaskStatus {
  TaskId task;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason exit_reason = ExitReason::kNone;
  bool checkpointed = false;
};

struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  std::optional<double> reclaim_notice_s;
  std::vector<TaskStatus> tasks;
};

enum class CommandType { kStart, kStop, kForget };

struct Command {
  CommandType type = CommandType::kStart;
  TaskId task;
  uint64_t attempt = 0;
  double grace_s = 0;
};

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};

enum class MachineState { kBooting, kRunning, kFailed };

struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineState state = MachineState::kBooting;
  double age_s = 0;
};

}  // namespace mosspath::wire
