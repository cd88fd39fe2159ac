// The leader's accounting of the shards that other controllers hold: the open leases, and for each
// lease the tasks and messages to send to the holder and the work that waits on the holder. On a
// holder, the same class queues the messages to the leader. Pure.
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

// Means "under no lease" wherever a lease id is stored or sent. No lease has this id.
inline constexpr uint64_t kNoLease = 0;

class ShardLeases {
 public:
  // kAlone: a leader that does not delegate to holders yet.
  enum class Role { kAlone, kLeader, kHolder };
  using TasksByJob = std::map<std::string, std::vector<uint32_t>>;

  struct Lease {
    size_t shard = 0;
    // Whether the holder has claimed all its tasks and exchanges messages with this leader.
    bool ready = false;
    // How many batches of delegated tasks TakeMessages has returned. The batches are numbered from
    // 1 in this order.
    uint64_t batches_sent = 0;
    // As of the holder's last load report: CPUs of the shard's machines that take new tasks, and
    // CPUs of the delegated tasks that wait for free capacity on the holder.
    double cpus = 0;
    double waiting_cpus = 0;
    // The last batch whose tasks the holder's reports include.
    uint64_t applied_batch = 0;
    // CPUs of the tasks that were delegated beyond the free capacity of the shard, by batch.
    std::map<uint64_t, double> ahead_cpus_by_batch;
    // Delegated tasks that the next batch sends.
    TasksByJob unsent_tasks;
    // Tasks that the holder has reported as done but whose completion is not durable yet, by job.
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
  // Delegates a task to the machine's holder, and adds the task's resources to those in use on the
  // machine, because the holder is expected to place the task there.
  void Delegate(cluster::Machine& machine, const jobs::Job& job, uint32_t index);
  // Delegates a task beyond the free capacity of the shard, so that the holder has work as soon as
  // capacity comes free.
  void DelegateAhead(uint64_t lease, const jobs::Job& job, uint32_t index);
  // Returns the CPUs of work that may still be delegated ahead; negative if too much work waits
  // already. `share`: the limit on the waiting work, as a share of the CPUs in `lease.cpus`.
  double RoomAheadCpus(const Lease& lease, double share) const;
  // Applies the holder's report on a machine. The report includes all batches up to
  // `applied_batch`; the resources of tasks in later batches are added to those in the report.
  void OnMachineStatus(cluster::Machine& machine, const cluster::MachineStatusUpdate& update,
                       uint64_t applied_batch, double now);
  // Queues a message to the holder. No effect if the lease is not open.
  void SendToHolder(uint64_t lease, wire::ShardMessage message);

  // --- As a holder ---

  // Returns an id for the reconciliation of tasks that were handed over with their machine. A
  // holder has no open leases in this object, so the id can't collide with a lease id.
  uint64_t NextReconciliationId() { return ++reconciliations_; }
  void SendToLeader(wire::ShardMessage message) { to_leader_.push_back(std::move(message)); }

  // Returns the queued messages, in order, and removes them from the queue. On a holder, these are
  // the messages to the leader, and `lease` is ignored.
  std::vector<wire::ShardMessage> TakeMessages(uint64_t lease);

 private:
  // Resources of a delegated task that its holder's reports do not include yet.
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

// Splits the tasks, which must be in ascending order, into messages of this kind that each fit into
// a frame.
std::vector<wire::ShardMessage> TaskMessages(wire::ShardMessage::Kind kind, const std::string& job,
                                             const std::vector<uint32_t>& tasks);

}  // namespace mosspath::scheduler
