// The blocks that other controllers hold, as the leader accounts for them: which leases there are,
// what is being given and told to each, how much work waits with it. On a holder the same class
// keeps what the leader is to be told. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/cluster/machine.h"
#include "mosspath/jobs/job.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::scheduler {

class ShardLeases {
 public:
  enum class Role { kAlone, kLeader, kHolder };
  using TasksByJob = std::map<std::string, std::vector<uint32_t>>;  // job -> tasks

  struct Lease {
    size_t shard = 0;
    bool ready = false;         // its holder has told all that it has, and talks with us
    uint64_t batches_sent = 0;  // batches of tasks taken to be sent
    double cpus = 0;            // of its usable machines, as last told
    double waiting_cpus = 0;    // CPUs that wait for room there, as last told
    uint64_t applied_batch =
        0;  // gives up to this one are counted in that, and in its machines' use
    std::map<uint64_t, double> ahead_cpus_by_batch;              // CPUs given beyond room, by give
    TasksByJob unsent_tasks;                                     // not sent yet
    std::map<std::string, std::set<uint32_t>> done_not_durable;  // done there, not durable yet
    std::vector<wire::ShardMessage> outbox;
  };

  Role role() const { return role_; }
  void BecomeLeader(size_t own) { SetRole(Role::kLeader, own); }
  void BecomeHolder(size_t own) { SetRole(Role::kHolder, own); }
  bool is_leader() const { return role_ == Role::kLeader; }
  bool is_holder() const { return role_ == Role::kHolder; }
  size_t own_shard() const { return own_shard_; }

  // --- As the leader ---
  Lease& Open(uint64_t lease, size_t block);
  void Close(uint64_t lease) { leases_.erase(lease); }
  Lease* Find(uint64_t lease);
  const Lease* Find(uint64_t lease) const;
  std::map<uint64_t, Lease>& leases() { return leases_; }
  // The lease of a block whose holder is ready; 0: none.
  uint64_t ReadyLeaseOf(size_t block) const;
  // A task goes to the holder of this machine, which probably puts it there.
  void Delegate(cluster::Machine& m, const jobs::Job& job, uint32_t index);
  // More than there is room for, so that the holder has work when room comes free.
  void DelegateAhead(uint64_t lease, const jobs::Job& job, uint32_t index);
  // CPUs of work that the holder may still be given ahead.
  double RoomAheadCpus(const Lease& l, double share) const;
  // What its holder tells of a machine, with all gives up to `applied` counted in.
  void OnMachineStatus(cluster::Machine& m, const cluster::MachineStatusUpdate& news,
                       uint64_t applied, double now);
  void SendToHolder(uint64_t lease, wire::ShardMessage item);

  // --- As a holder ---
  // A name for a search among machines that were handed over; never a lease's number.
  uint64_t NextReconciliationId() { return ++reconciliations_; }
  void SendToLeader(wire::ShardMessage item) { to_leader_.push_back(std::move(item)); }

  // What is to be told; as a holder, `lease` is ignored.
  std::vector<wire::ShardMessage> TakeMessages(uint64_t lease);

 private:
  struct UnconfirmedUse {
    uint64_t batch = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
  };
  void SetRole(Role role, size_t own) {
    role_ = role;
    own_shard_ = own;
  }

  Role role_ = Role::kAlone;
  size_t own_shard_ = 0;
  std::map<uint64_t, Lease> leases_;
  std::map<std::string, std::vector<UnconfirmedUse>> unconfirmed_use_;
  std::vector<wire::ShardMessage> to_leader_;
  uint64_t reconciliations_ = 0;
};

// Tasks as a list of items of this kind, each small enough for a frame.
std::vector<wire::ShardMessage> TaskMessages(wire::ShardMessage::Kind kind, const std::string& job,
                                             const std::vector<uint32_t>& tasks);

}  // namespace mosspath::scheduler
