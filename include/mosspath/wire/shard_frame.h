// What the leader and the holder of a block tell each other (docs/sharding.md). A frame carries the
// items that the receiver has not acknowledged yet, in order, and acknowledges what came the other
// way. Amounts travel in thousandths.
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
    kDelegateTasks = 1,  // tasks of the job `name`, to be placed in the block
    kHandOverTasks = 2,  // tasks of `job` that may be on the machine `name`, which the block gets
    kCompletionsDurable = 3,  // the completions of these tasks are durable
    kStopTasks = 4,           // these tasks are elsewhere or done: to be stopped
    kRecallMachine = 5,       // the machine `name` is to be given back as soon as it is empty
    kSetDraining = 6,  // the machine takes no new tasks: count is 0 no, 1 yes, 2 only urgent ones
    kMachineDeleted = 7,  // the machine is gone
    // From the holder.
    kClaimTasks = 20,  // has these tasks
    kSyncComplete =
        21,           // has told all that it has; all its machines up to revision `count` are known
    kTasksDone = 22,  // completed: `count` of them were timed and ran `seconds` in all
    kReturnTasks = 23,    // does not have these tasks any more, nor can they be on its machines
    kMachineStatus = 24,  // how the machine `name` is
    kMachineReturned =
        25,           // the machine is empty and not commanded any more; count: twice which time it
                      // was handed over, and 1 if it was lost
    kLoad = 26,       // `seconds` of CPUs wait for room; gives up to `count` are counted in that
    kCrashLoop = 27,  // the job fails everywhere, after `count` tries
  };
  struct MachineStatus {
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    bool schedulable = false;
    bool idle = false;
    bool has_on_demand_work = false;
    bool unresponsive = false;
    double idle_s = 0;
    double remaining_cpu_s = 0;
    double used_cpus = 0;  // used
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
  std::string node;           // who sends it
  uint64_t leader_token = 0;  // the leader's token
  uint64_t lease = 0;         // the block's lease
  bool from_leader = false;
  uint64_t acknowledged = 0;          // the other's items up to this one have been taken in
  uint64_t receive_window_bytes = 0;  // bytes of items that the sender takes with the next frame
  // As of so long before this was sent the sender knew all cancellations that anybody was told,
  // the last of them at this revision; kNever: doesn't tell.
  double view_age_s = 1e9;
  uint64_t newest_cancellation = 0;
  uint64_t first_sequence = 0;        // number of the first item
  std::vector<std::string> messages;  // encoded
};

inline constexpr size_t kMaxShardFrameBytes = 56 << 10;

std::string Encode(const ShardMessage& item);
// Throw BadMessage on anything that the encoder can't have written.
ShardMessage DecodeShardMessage(std::string_view text);
std::string Encode(const ShardFrame& frame);
ShardFrame DecodeShardFrame(std::string_view text);

}  // namespace mosspath::wire
