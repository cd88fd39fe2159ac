// The leader's management of shard leases: decides which controllers are granted a shard lease and
// which leases are revoked, builds the frames to the holders and handles the frames from them
// (docs/sharding.md). Does no I/O: the caller writes the leases and sends the frames.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/kvstore/ids.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/shard/reliable_channel.h"

namespace mosspath::shard {

// Lives for one term of the leader. All times are seconds on the leader's steady clock.
class ShardLeaseManager {
 public:
  // `scheduler` is the leader's scheduler, and must outlive this object. `token` is the fencing
  // token of the term.
  ShardLeaseManager(const config::Settings& settings, const config::DerivedSettings& derived,
                    scheduler::Scheduler& scheduler, uint64_t token);

  // Sets whether shards may be leased. If they may not, PendingChanges revokes the present leases.
  void AllowLeases(bool allowed) { allowed_ = allowed; }

  // --- Records of the key-value store ---
  // The controller `node` offers to hold its shard. The offer is a record with this version that is
  // attached to the controller's store lease. kvstore::kKeyAbsent: the offer has ended.
  void OnOffer(const std::string& node, uint64_t version, uint64_t store_lease, double now);
  // The controller `node` holds its shard under this lease; kvstore::kNoLease: the controller holds
  // its shard no longer.
  void OnLease(const std::string& node, uint64_t lease, double now);
  // Called at the start of the term: the controller `node` holds its shard under a lease that an
  // earlier leader granted. A lease of this controller itself is ignored, since a leader holds no
  // shard.
  void OnInheritedLease(const std::string& node, uint64_t lease);

  // --- Leases to write, each in a transaction under the leader key ---
  struct LeaseChange {
    std::string node;
    // The version that the offer must still have; kvstore::kKeyAbsent: the lease is revoked.
    uint64_t offer = kvstore::kKeyAbsent;
    uint64_t store_lease = kvstore::kNoLease;  // the new lease is attached to this store lease
    uint64_t lease = kvstore::kNoLease;        // the lease to revoke
  };
  // Returns the lease changes to write. A change is not returned again before OnChangeWritten.
  std::vector<LeaseChange> PendingChanges(double now);
  // The key-value store has answered the write, or the write has timed out. The new lease itself is
  // read from the watch cache.
  void OnChangeWritten(const std::string& node, bool done, double now);

  // --- Frames ---
  // Handles a frame. Returns false, without effect, if the frame is of another term or lease.
  // Throws wire::BadMessage on a frame that no holder can have sent.
  bool OnFrame(const wire::ShardFrame& frame, double now);
  struct AddressedFrame {
    std::string node;
    wire::ShardFrame frame;
  };
  // Returns a frame for each holder to which messages are to be sent or sent again.
  [[nodiscard]] std::vector<AddressedFrame> NextFrames();
  // Returns the answer to a frame of the controller; nothing if the controller holds no lease.
  [[nodiscard]] std::optional<wire::ShardFrame> MakeAnswer(const std::string& node);
  // The controller did not answer a frame, so the messages of the frame must be sent again.
  void OnFrameLost(const std::string& node);

  // Returns the controller that holds the machine under a shard lease; empty if the leader commands
  // the machine.
  [[nodiscard]] std::string HolderOf(const std::string& machine) const;
  // Handles a stall: this process did not run until `now`, so it received no frames. The time since
  // each holder's last frame is measured from `now` on.
  void OnProcessStall(double now);

 private:
  struct Shard {
    size_t index = 0;
    uint64_t offer = kvstore::kKeyAbsent;
    uint64_t store_lease = kvstore::kNoLease;  // the offer is attached to this store lease
    uint64_t lease = kvstore::kNoLease;
    ReliableChannel channel;
    bool synced = false;              // the holder has sent all its claims
    std::optional<double> heard_at;   // when the last frame arrived, or since when one is expected
    std::optional<double> opened_at;  // since when the holder's claims are expected
    std::optional<double> next_lease_at;  // no lease is granted before this time; nullopt: no limit
    bool write_in_flight = false;
    bool frame_lost = false;

    [[nodiscard]] bool IsLeased() const { return lease != kvstore::kNoLease; }
    void DelayLeaseUntil(double at);
  };

  [[nodiscard]] Shard* Find(const std::string& node);
  // Returns whether the former holder of this lease has offered to hold its shard again since the
  // lease was granted. A controller makes a new offer only once it has stopped acting under its
  // last lease.
  [[nodiscard]] bool HasCeased(uint64_t lease) const;
  void CloseLease(const std::string& node, Shard& shard, double now);
  void ForgetEndedLeases(double now);
  // Returns whether to revoke the lease: its holder has sent no frames or not all its claims for
  // too long, or leases are not allowed. Also sets in the scheduler whether the lease is ready.
  [[nodiscard]] bool MustRevoke(Shard& shard, double now);
  [[nodiscard]] bool MayLease(const Shard& shard, double now) const;
  [[nodiscard]] LeaseChange Revoke(const std::string& node, Shard& shard, double now);

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  scheduler::Scheduler& scheduler_;
  const uint64_t token_;
  bool allowed_ = true;
  std::map<std::string, Shard> shards_;  // by controller; this leader's own shard is not included
  // The former holder of each lease that ended in this term; the key is the lease.
  std::map<uint64_t, std::string> ended_leases_;
};

}  // namespace mosspath::shard
