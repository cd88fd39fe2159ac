// The leader's side of the blocks: to whom they are leased, whose lease is taken back, what goes to
// and comes from their holders. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/shard/channel.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/dispatcher.h"

namespace mosspath::shard {

class Desk {
 public:
  // All that it refers to outlives it.
  Desk(const config::Settings& settings, const config::Derived& derived,
       scheduler::Dispatcher& dispatcher, uint64_t token);

  // Leases are given out, or taken back.
  void Allow(bool lease_blocks) { allowed_ = lease_blocks; }

  // --- What the state service shows ---
  // The controller offers to hold its block, by a record of this version that hangs on its grant;
  // version 0: no longer.
  void Offered(const std::string& node, uint64_t version, uint64_t grant, double now);
  // It holds its block under this lease; 0: no longer.
  void Leased(const std::string& node, uint64_t lease, double now);
  // The same, before the leadership begins: an earlier leader's lease. One to the leader itself is
  // none, since it is no holder any more.
  void Inherited(const std::string& node, uint64_t lease);

  // --- Leases to write, each a transaction under the leader key ---
  struct Change {
    std::string node;
    uint64_t offer = 0;  // version that the offer must still have; 0: the lease is taken back
    uint64_t grant = 0;  // that the lease hangs on
    uint64_t lease = 0;  // to be taken back
  };
  std::vector<Change> Changes(double now);
  // It was written, or not: the mirror tells.
  void Written(const std::string& node, bool done, double now);

  // --- Frames ---
  // False: of another leadership or lease; nothing is done then.
  bool OnFrame(const wire::BlockFrame& frame, double now);
  // For each holder to whom something is to be said now.
  std::vector<std::pair<std::string, wire::BlockFrame>> NextFrames(double now);
  std::optional<wire::BlockFrame> Answer(const std::string& node);
  void FrameLost(const std::string& node);

  // The controller that commands the machine; empty: the leader.
  std::string HolderOf(const std::string& machine) const;
  void StoodStill(double now);

 private:
  struct Block {
    size_t index = 0;
    uint64_t offer = 0;
    uint64_t grant = 0;
    uint64_t lease = 0;
    Channel channel;
    bool synced = false;
    double heard = -1e18;   // a frame of its holder; or since when one is waited for
    double opened = -1e18;  // since when its holder should tell all that it has
    double not_before = -1e18;
    bool writing = false;
    bool lost_frame = false;
  };
  Block* Find(const std::string& node);
  // Whoever held this lease has offered to hold again since, which it does only once it has
  // stopped.
  bool Ceased(uint64_t lease) const;

  const config::Settings settings_;
  const config::Derived derived_;
  scheduler::Dispatcher& dispatcher_;
  const uint64_t token_;
  bool allowed_ = true;
  std::map<std::string, Block> blocks_;   // by their controllers
  std::map<uint64_t, std::string> held_;  // leases of this leadership that are over: by whom
};

}  // namespace mosspath::shard
