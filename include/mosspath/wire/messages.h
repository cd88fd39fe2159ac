// Messages of the platform's interfaces in the field's standard terms. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mosspath::wire {

// A gang's tasks run only all together.
enum class Kind { kArray, kGang, kService };
enum class Rank { kLow = 0, kNormal = 1, kHigh = 2, kCritical = 3 };

// A job as its user submitted it.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  Kind kind = Kind::kArray;
  Rank rank = Rank::kNormal;
  uint32_t tasks = 0;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
};

enum class Stage { kQueued, kRunning, kDone, kCancelled };

// Waiting: a gang's task whose peers have not all started.
enum class TaskState { kFetching, kWaiting, kRunning, kSaving, kExited };
// Peers: another task of the gang ended. Alone: the gang did not come together.
enum class Why { kNone, kDone, kStopped, kError, kNoRoom, kBusy, kUnknown, kPeers, kAlone };

struct TaskId {
  std::string job;
  uint32_t index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

struct TaskReport {
  TaskId task;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  Why why = Why::kNone;
  bool saved = false;
};

struct Report {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t session = 0;
  uint64_t seq = 0;
  uint64_t token = 0;
  std::optional<double> notice_s;
  std::vector<TaskReport> tasks;
};

enum class Op { kStart, kStop, kForget };

struct Command {
  Op op = Op::kStart;
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
