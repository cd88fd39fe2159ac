// Frames between the leader and the holder of a shard (docs/sharding.md). A frame carries, in
// order, the messages that the receiver has not acknowledged yet. It also acknowledges the messages
// that its sender has received. Amounts are encoded in thousandths.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::wire {

struct ShardMessage {
  enum class Kind : uint8_t {
    // From the leader.
    kDelegateTasks = 1,  // the holder places these tasks of the job `name` on the shard's machines
    // The machine `name` is handed over to the shard. These tasks of `job` may be running on that
    // machine.
    kHandOverTasks = 2,
    kCompletionsDurable = 3,  // the completions of these tasks of the job `name` are durable
    // The holder stops these tasks of the job `name`. These tasks are done or run outside the
    // shard.
    kStopTasks = 4,
    kRecallMachine = 5,  // the holder returns the machine `name` once no task runs there
    // Sets the draining state of the machine `name`, by `count`. 0: the machine accepts tasks.
    // 1: the machine drains and accepts no tasks. 2: the machine is cordoned and accepts only
    // urgent tasks.
    kSetDraining = 6,
    kMachineDeleted = 7,  // the machine `name` no longer exists
    // From the holder.
    kClaimTasks = 20,  // the holder has these tasks of the job `name`
    // The holder has sent all its claims. It has also recovered the state of every machine that the
    // store records up to revision `count` assign to the shard.
    kSyncComplete = 21,
    // These tasks of the job `name` have completed. The holder measured the run times of `count` of
    // these tasks; the sum of these run times is `seconds`.
    kTasksDone = 22,
    // The holder no longer has these tasks of the job `name`, and none of its machines can still be
    // running these tasks.
    kReturnTasks = 23,
    kMachineStatus = 24,  // the state of the machine `name`
    // The machine `name` is empty or lost, and the holder sends no more commands to this machine.
    // `count`: twice the revision at which the machine was handed over, plus 1 if the machine was
    // lost.
    kMachineReturned = 25,
    // The load of the shard. `seconds` holds the CPUs that the shard's pending tasks request.
    // `count` is the number of the last batch of delegated tasks that this load includes.
    kLoad = 26,
    kCrashLoop = 27,  // the job `name` fails on every machine; `count`: its retries
  };
  struct MachineStatus {
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    bool schedulable = false;
    bool idle = false;
    bool has_on_demand_work = false;  // the machine runs work that may not use spot machines
    bool unresponsive = false;
    double idle_s = 0;
    double remaining_cpu_s = 0;
    double used_cpus = 0;
    double used_gpus = 0;
    double used_memory_gb = 0;
    friend bool operator==(const MachineStatus&, const MachineStatus&) = default;
  };

  Kind kind = Kind::kDelegateTasks;
  std::string name = {};
  std::string job = {};
  std::vector<uint32_t> tasks = {};  // ascending
  double seconds = 0;
  uint64_t count = 0;
  std::optional<MachineStatus> machine = {};

  friend bool operator==(const ShardMessage&, const ShardMessage&) = default;
};

struct ShardFrame {
  std::string node;           // the sender
  uint64_t leader_token = 0;  // the leader's fencing token
  uint64_t lease = 0;         // the shard's lease
  bool from_leader = false;
  uint64_t acknowledged = 0;          // the sender has processed all messages up to this number
  uint64_t receive_window_bytes = 0;  // message bytes that the sender accepts per frame
  // The sender's view is what the sender has read of the key-value store. The view contains all
  // cancellations that any controller had confirmed to a user up to `view_age_s` before this frame
  // was sent. `newest_cancellation` is the revision of the newest cancellation in the view. If
  // `view_age_s` is kNeverS, the frame does not describe a view.
  double view_age_s = 1e9;
  uint64_t newest_cancellation = 0;
  uint64_t first_sequence = 0;        // sequence number of the first element of `messages`
  std::vector<std::string> messages;  // each encoded by Encode
};

inline constexpr size_t kMaxShardFrameBytes = 56 << 10;

std::string Encode(const ShardMessage& item);
// DecodeShardMessage and DecodeShardFrame throw BadMessage on input that the encoder can't have
// written.
ShardMessage DecodeShardMessage(std::string_view text);
std::string Encode(const ShardFrame& frame);
ShardFrame DecodeShardFrame(std::string_view text);

}  // namespace mosspath::wire
