// Which states of a shard's machines the leader has to be sent: those that differ enough from what
// it was sent last. Pure.
#pragma once

#include <map>
#include <string>

#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {

class MachineStatusFilter {
 public:
  // Whether to send this kMachineStatus message of the machine `message.name`. If so, it counts as
  // sent.
  [[nodiscard]] bool ShouldSend(const wire::ShardMessage& message);
  // The machine is no longer in the shard.
  void Forget(const std::string& machine) { sent_.erase(machine); }
  // Forgets all machines for which `is_held(name)` is false.
  template <typename Predicate>
  void KeepOnly(Predicate is_held) {
    std::erase_if(sent_, [&](const auto& entry) { return !is_held(entry.first); });
  }
  // Another leader, which was sent nothing yet.
  void Clear() { sent_.clear(); }

 private:
  std::map<std::string, wire::ShardMessage::MachineStatus> sent_;
};

}  // namespace mosspath::shard
