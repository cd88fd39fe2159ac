// The leader's side of the blocks: to whom they are leased, whose lease is taken back, what goes to
// and comes from their holders. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/shard/reliable_channel.h"

namespace mosspath::shard {

class ShardLeaseManager {
 public:
  // All that it refers to outlives it.
  ShardLeaseManager(const config::Settings& settings, const config::DerivedSettings& derived,
                    scheduler::Scheduler& dispatcher, uint64_t token);

  // Leases are given out, or taken back.
  void AllowLeases(bool lease_blocks) { allowed_ = lease_blocks; }

  // --- What the state service shows ---
  // The controller offers to hold its block, by a record of this version that hangs on its grant;
  // version 0: no longer.
  void OnOffer(const std::string& node, uint64_t version, uint64_t grant, double now);
  // It holds its block under this lease; 0: no longer.
  void OnLease(const std::string& node, uint64_t lease, double now);
  // The same, before the leadership begins: an earlier leader's lease. One to the leader itself is
  // none, since it is no holder any more.
  void OnInheritedLease(const std::string& node, uint64_t lease);

  // --- Leases to write, each a transaction under the leader key ---
  struct LeaseChange {
    std::string node;
    uint64_t offer = 0;        // version that the offer must still have; 0: the lease is taken back
    uint64_t store_lease = 0;  // that the lease hangs on
    uint64_t lease = 0;        // to be taken back
  };
  std::vector<LeaseChange> PendingChanges(double now);
  // It was written, or not: the mirror tells.
  void OnChangeWritten(const std::string& node, bool done, double now);

  // --- Frames ---
  // False: of another leadership or lease; nothing is done then.
  bool OnFrame(const wire::ShardFrame& frame, double now);
  // For each holder to whom something is to be said now.
  std::vector<std::pair<std::string, wire::ShardFrame>> NextFrames(double now);
  std::optional<wire::ShardFrame> MakeAnswer(const std::string& node);
  void OnFrameLost(const std::string& node);

  // The controller that commands the machine; empty: the leader.
  std::string HolderOf(const std::string& machine) const;
  void OnProcessStall(double now);

 private:
  struct Shard {
    size_t index = 0;
    uint64_t offer = 0;
    uint64_t store_lease = 0;
    uint64_t lease = 0;
    ReliableChannel channel;
    bool synced = false;
    double heard_at = -1e18;   // a frame of its holder; or since when one is waited for
    double opened_at = -1e18;  // since when its holder should tell all that it has
    double not_before = -1e18;
    bool write_in_flight = false;
    bool frame_lost = false;
  };
  Shard* Find(const std::string& node);
  // Whoever held this lease has offered to hold again since, which it does only once it has
  // stopped.
  bool HasCeased(uint64_t lease) const;

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  scheduler::Scheduler& dispatcher_;
  const uint64_t token_;
  bool allowed_ = true;
  std::map<std::string, Shard> shards_;  // by their controllers
  std::map<uint64_t, std::string>
      ended_leases_;  // leases of this leadership that are over: by whom
};

}  // namespace mosspath::shard
