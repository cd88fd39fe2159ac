// What the leader and the holder of a block tell each other (docs/blocks.md). A frame carries the
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

struct BlockItem {
  enum class Kind : uint8_t {
    // From the leader.
    kGive = 1,      // tasks of the job `name`, to be placed in the block
    kHanded = 2,    // tasks of `job` that may be on the machine `name`, which the block gets
    kKept = 3,      // the completions of these tasks are durable
    kDrop = 4,      // these tasks are elsewhere or done: to be stopped
    kAskBack = 5,   // the machine `name` is to be given back as soon as it is empty
    kDraining = 6,  // the machine takes no new tasks: count is 0 no, 1 yes, 2 only urgent ones
    kDeleted = 7,   // the machine is gone
    // From the holder.
    kClaim = 20,      // has these tasks
    kSynced = 21,     // has told all that it has; all its machines up to revision `count` are known
    kDone = 22,       // completed: `count` of them were timed and ran `seconds` in all
    kBack = 23,       // does not have these tasks any more, nor can they be on its machines
    kMachine = 24,    // how the machine `name` is
    kGivenBack = 25,  // the machine is empty and not commanded any more; count: twice which time it
                      // was handed over, and 1 if it was lost
    kLoad = 26,       // `seconds` of CPUs wait for room; gives up to `count` are counted in that
    kDoubt = 27,      // the job fails everywhere, after `count` tries
  };
  struct Machine {
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    bool usable = false;
    bool idle = false;
    bool needed = false;
    bool silent = false;
    double idle_s = 0;
    double work_s = 0;
    double cpus = 0;  // used
    double gpus = 0;
    double memory_gb = 0;
    friend bool operator==(const Machine&, const Machine&) = default;
  };

  Kind kind = Kind::kGive;
  std::string name = {};
  std::string job = {};
  std::vector<uint32_t> tasks = {};  // ascending
  double seconds = 0;
  uint64_t count = 0;
  std::optional<Machine> machine = {};

  friend bool operator==(const BlockItem&, const BlockItem&) = default;
};

struct BlockFrame {
  std::string node;     // who sends it
  uint64_t leader = 0;  // the leader's token
  uint64_t lease = 0;   // the block's lease
  bool from_leader = false;
  uint64_t heard = 0;  // the other's items up to this one have been taken in
  uint64_t room = 0;   // bytes of items that the sender takes with the next frame
  // As of so long before this was sent the sender knew all cancellations that anybody was told,
  // the last of them at this revision; kNever: doesn't tell.
  double view_age_s = 1e9;
  uint64_t cancelled = 0;
  uint64_t first = 0;              // number of the first item
  std::vector<std::string> items;  // encoded
};

inline constexpr size_t kMaxBlockFrame = 56 << 10;

std::string Encode(const BlockItem& item);
// Throw BadMessage on anything that the encoder can't have written.
BlockItem DecodeBlockItem(std::string_view text);
std::string Encode(const BlockFrame& frame);
BlockFrame DecodeBlockFrame(std::string_view text);

}  // namespace mosspath::wire
