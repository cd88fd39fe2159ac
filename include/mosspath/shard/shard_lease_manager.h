// The leader's side of the shards: to which controllers they are leased, whose lease is taken back,
// and the frames to and from their holders (docs/sharding.md). Pure: the caller writes the leases
// and sends the frames.
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

// Lives for one term of the leader. All times are seconds on its steady clock.
class ShardLeaseManager {
 public:
  // `scheduler` is the leader's, and must outlive this object; `token` is that of the term.
  ShardLeaseManager(const config::Settings& settings, const config::DerivedSettings& derived,
                    scheduler::Scheduler& scheduler, uint64_t token);

  // Whether shards are leased; if not, the present leases are taken back.
  void AllowLeases(bool allowed) { allowed_ = allowed; }

  // --- What the state service shows ---
  // The controller offers to hold its shard, by a record of this version that hangs on its store
  // lease; kvstore::kKeyAbsent: no longer.
  void OnOffer(const std::string& node, uint64_t version, uint64_t store_lease, double now);
  // The controller holds its shard under this lease; kvstore::kNoLease: no longer.
  void OnLease(const std::string& node, uint64_t lease, double now);
  // The same before the term begins: a lease that an earlier leader gave. One of the leader itself
  // is ignored, since it is no holder any more.
  void OnInheritedLease(const std::string& node, uint64_t lease);

  // --- Leases to write, each in a transaction under the leader key ---
  struct LeaseChange {
    std::string node;
    // The version that the offer must still have; kvstore::kKeyAbsent: the lease is taken back.
    uint64_t offer = kvstore::kKeyAbsent;
    uint64_t store_lease = kvstore::kNoLease;  // that the new lease hangs on
    uint64_t lease = kvstore::kNoLease;        // to be taken back
  };
  // Each change is returned once, until OnChangeWritten.
  std::vector<LeaseChange> PendingChanges(double now);
  // The write was answered. Its result is taken from the watch cache only.
  void OnChangeWritten(const std::string& node, bool done, double now);

  // --- Frames ---
  // False, and no effect: the frame is of another term or lease. Throws wire::BadMessage on a frame
  // that no holder can have sent.
  bool OnFrame(const wire::ShardFrame& frame, double now);
  struct AddressedFrame {
    std::string node;
    wire::ShardFrame frame;
  };
  // A frame for each holder to which something is to be sent now.
  [[nodiscard]] std::vector<AddressedFrame> NextFrames();
  // The answer to a frame of the controller; none: it holds no lease.
  [[nodiscard]] std::optional<wire::ShardFrame> MakeAnswer(const std::string& node);
  // A frame to the controller was not answered: it is to be sent again.
  void OnFrameLost(const std::string& node);

  // The controller that commands the machine; empty: the leader.
  [[nodiscard]] std::string HolderOf(const std::string& machine) const;
  // This process did not run until `now`: no holder was silent for that time.
  void OnProcessStall(double now);

 private:
  struct Shard {
    size_t index = 0;
    uint64_t offer = kvstore::kKeyAbsent;
    uint64_t store_lease = kvstore::kNoLease;  // of the offer
    uint64_t lease = kvstore::kNoLease;
    ReliableChannel channel;
    bool synced = false;                  // its holder has sent all that it has
    std::optional<double> heard_at;       // a frame of its holder, or since when one is expected
    std::optional<double> opened_at;      // since when its holder should send all that it has
    std::optional<double> next_lease_at;  // before that no lease is given; none: at any time
    bool write_in_flight = false;
    bool frame_lost = false;

    [[nodiscard]] bool IsLeased() const { return lease != kvstore::kNoLease; }
    void DelayLeaseUntil(double at);
  };

  [[nodiscard]] Shard* Find(const std::string& node);
  // Whoever held this lease has offered to hold again since, which it does only once it has stopped
  // acting under the lease.
  [[nodiscard]] bool HasCeased(uint64_t lease) const;
  void CloseLease(const std::string& node, Shard& shard, double now);
  void ForgetEndedLeases(double now);
  // The lease is to be taken back, since its holder is not heard or leases are not allowed.
  [[nodiscard]] bool MustRevoke(Shard& shard, double now);
  [[nodiscard]] bool MayLease(const Shard& shard, double now) const;
  [[nodiscard]] LeaseChange Revoke(const std::string& node, Shard& shard, double now);

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  scheduler::Scheduler& scheduler_;
  const uint64_t token_;
  bool allowed_ = true;
  std::map<std::string, Shard> shards_;           // by their controllers; without the leader's own
  std::map<uint64_t, std::string> ended_leases_;  // the former holders of leases of this term
};

}  // namespace mosspath::shard
