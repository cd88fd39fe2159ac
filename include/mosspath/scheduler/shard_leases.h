// The shards that other controllers hold, as the leader accounts for them: which leases are open,
// what is being delegated and sent to each holder, and how much work waits with it. On a holder the
// same class keeps the messages for the leader. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/cluster/machine.h"
#include "mosspath/jobs/job.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::scheduler {

// Stands for "under no lease" wherever a lease's number is kept or sent; no lease has it.
inline constexpr uint64_t kNoLease = 0;

class ShardLeases {
 public:
  // kAlone: a leader that has not begun to delegate to holders.
  enum class Role { kAlone, kLeader, kHolder };
  using TasksByJob = std::map<std::string, std::vector<uint32_t>>;

  struct Lease {
    size_t shard = 0;
    // Its holder has claimed all that it has, and exchanges messages with us.
    bool ready = false;
    // Batches of delegated tasks that were taken to be sent; each has the count as its number.
    uint64_t batches_sent = 0;
    // CPUs of the shard's machines that take new tasks, and CPUs of work that waits for room there,
    // as its holder last reported.
    double cpus = 0;
    double waiting_cpus = 0;
    // Batches up to this one are counted in what the holder reported.
    uint64_t applied_batch = 0;
    // CPUs that were delegated beyond the room that there was, by batch.
    std::map<uint64_t, double> ahead_cpus_by_batch;
    // Delegated, to be sent with the next batch.
    TasksByJob unsent_tasks;
    // Tasks by job that are done there, and whose completion is not durable yet.
    std::map<std::string, std::set<uint32_t>> done_not_durable;
    std::vector<wire::ShardMessage> outbox;
  };

  Role role() const { return role_; }
  void BecomeLeader(size_t own_shard) { SetRole(Role::kLeader, own_shard); }
  void BecomeHolder(size_t own_shard) { SetRole(Role::kHolder, own_shard); }
  bool is_leader() const { return role_ == Role::kLeader; }
  bool is_holder() const { return role_ == Role::kHolder; }
  size_t own_shard() const { return own_shard_; }

  // --- As the leader ---

  Lease& Open(uint64_t lease, size_t shard);
  void Close(uint64_t lease) { leases_.erase(lease); }
  // Returns null if the lease is not open.
  Lease* Find(uint64_t lease);
  const Lease* Find(uint64_t lease) const;
  std::map<uint64_t, Lease>& leases() { return leases_; }
  // Returns the lease of a shard whose holder is ready, or kNoLease.
  uint64_t ReadyLeaseOf(size_t shard) const;
  // Delegates a task to the holder of this machine, which probably places it there.
  void Delegate(cluster::Machine& machine, const jobs::Job& job, uint32_t index);
  // Delegates a task beyond the room that there is, so that the holder has work when room comes
  // free.
  void DelegateAhead(uint64_t lease, const jobs::Job& job, uint32_t index);
  // Returns the CPUs of work that may still be delegated ahead, which may be negative. `share` is
  // that of the shard's CPUs which may wait in all.
  double RoomAheadCpus(const Lease& lease, double share) const;
  // Takes in what the holder reports of a machine, in which all batches up to `applied_batch` are
  // counted, and adds the use of those that are not.
  void OnMachineStatus(cluster::Machine& machine, const cluster::MachineStatusUpdate& update,
                       uint64_t applied_batch, double now);
  // Ignored if the lease is not open.
  void SendToHolder(uint64_t lease, wire::ShardMessage message);

  // --- As a holder ---

  // Returns an id for a reconciliation of tasks that were handed over with their machine; it is no
  // lease's number, as a holder knows of no other leases.
  uint64_t NextReconciliationId() { return ++reconciliations_; }
  void SendToLeader(wire::ShardMessage message) { to_leader_.push_back(std::move(message)); }

  // Returns the messages that are to be sent, in order; a holder's are for the leader, and `lease`
  // is ignored.
  std::vector<wire::ShardMessage> TakeMessages(uint64_t lease);

 private:
  // What a delegated task takes of a machine, until its holder's reports include it.
  struct UnconfirmedUse {
    uint64_t batch = 0;
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;
  };
  void SetRole(Role role, size_t own_shard) {
    role_ = role;
    own_shard_ = own_shard;
  }

  Role role_ = Role::kAlone;
  size_t own_shard_ = 0;
  std::map<uint64_t, Lease> leases_;
  std::map<std::string, std::vector<UnconfirmedUse>> unconfirmed_use_;  // by machine
  std::vector<wire::ShardMessage> to_leader_;
  uint64_t reconciliations_ = 0;
};

// Returns the tasks, which are ascending, as messages of this kind, each small enough for a frame.
std::vector<wire::ShardMessage> TaskMessages(wire::ShardMessage::Kind kind, const std::string& job,
                                             const std::vector<uint32_t>& tasks);

}  // namespace mosspath::scheduler
