// Selects the machine states that a holder sends to the leader: those that differ enough from the
// state that was sent last. Pure.
#pragma once

#include <map>
#include <string>

#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {

class MachineStatusFilter {
 public:
  // Returns whether to send this kMachineStatus message of the machine `message.name`. If true, the
  // message counts as sent.
  [[nodiscard]] bool ShouldSend(const wire::ShardMessage& message);
  // Called when the machine is no longer in the shard.
  void Forget(const std::string& machine) { sent_.erase(machine); }
  // Forgets all machines for which `is_held(name)` is false.
  template <typename Predicate>
  void KeepOnly(Predicate is_held) {
    std::erase_if(sent_, [&](const auto& entry) { return !is_held(entry.first); });
  }
  // Called when there is another leader, to which nothing has been sent yet.
  void Clear() { sent_.clear(); }

 private:
  std::map<std::string, wire::ShardMessage::MachineStatus> sent_;
};

}  // namespace mosspath::shard
