// Selects the machine states that a shard's holder sends to the leader: a machine's state is sent
// if it differs enough from the state of that machine that was sent last. Does no I/O.
#pragma once

#include <map>
#include <string>

#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {

class MachineStatusFilter {
 public:
  // Returns whether to send this kMachineStatus message of the machine `message.name`. If true,
  // records the message as sent, so the caller must send it.
  [[nodiscard]] bool ShouldSend(const wire::ShardMessage& message);
  // Forgets the state that was sent for the machine. Called when the machine leaves the shard.
  void Forget(const std::string& machine) { sent_.erase(machine); }
  // Forgets all machines for which `is_held(name)` is false.
  template <typename Predicate>
  void KeepOnly(Predicate is_held) {
    std::erase_if(sent_, [&](const auto& entry) { return !is_held(entry.first); });
  }
  // Forgets all machines. Called when another controller leads: no state has been sent to the new
  // leader yet.
  void Clear() { sent_.clear(); }

 private:
  std::map<std::string, wire::ShardMessage::MachineStatus> sent_;
};

}  // namespace mosspath::shard
