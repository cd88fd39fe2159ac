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

#include "mosspath/jobs/job.h"
#include "mosspath/cluster/machine.h"
#include "mosspath/wire/block_frame.h"

namespace mosspath::scheduler {

class Leased {
 public:
  enum class Role { kAlone, kLeader, kHolder };
  using Tasks = std::map<std::string, std::vector<uint32_t>>;  // job -> tasks

  struct Lease {
    size_t block = 0;
    bool ready = false;    // its holder has told all that it has, and talks with us
    uint64_t gives = 0;    // batches of tasks taken to be sent
    double cpus = 0;       // of its usable machines, as last told
    double waiting = 0;    // CPUs that wait for room there, as last told
    uint64_t applied = 0;  // gives up to this one are counted in that, and in its machines' use
    std::map<uint64_t, double> ahead;                  // CPUs given beyond room, by give
    Tasks giving;                                      // not sent yet
    std::map<std::string, std::set<uint32_t>> unkept;  // done there, not durable yet
    std::vector<wire::BlockItem> out;
  };

  Role role() const { return role_; }
  void Lead(size_t own) { Take(Role::kLeader, own); }
  void Hold(size_t own) { Take(Role::kHolder, own); }
  bool leads() const { return role_ == Role::kLeader; }
  bool holds() const { return role_ == Role::kHolder; }
  size_t own() const { return own_; }

  // --- As the leader ---
  Lease& Open(uint64_t lease, size_t block);
  void Close(uint64_t lease) { leases_.erase(lease); }
  Lease* Find(uint64_t lease);
  const Lease* Find(uint64_t lease) const;
  std::map<uint64_t, Lease>& leases() { return leases_; }
  // The lease of a block whose holder is ready; 0: none.
  uint64_t ReadyFor(size_t block) const;
  // A task goes to the holder of this machine, which probably puts it there.
  void Give(cluster::Machine& m, const jobs::Job& job, uint32_t index);
  // More than there is room for, so that the holder has work when room comes free.
  void GiveAhead(uint64_t lease, const jobs::Job& job, uint32_t index);
  // CPUs of work that the holder may still be given ahead.
  double AheadRoom(const Lease& l, double share) const;
  // What its holder tells of a machine, with all gives up to `applied` counted in.
  void News(cluster::Machine& m, const cluster::MachineNews& news, uint64_t applied, double now);
  void ToHolder(uint64_t lease, wire::BlockItem item);

  // --- As a holder ---
  // A name for a search among machines that were handed over; never a lease's number.
  uint64_t NewSearch() { return ++searches_; }
  void ToLeader(wire::BlockItem item) { to_leader_.push_back(std::move(item)); }

  // What is to be told; as a holder, `lease` is ignored.
  std::vector<wire::BlockItem> TakeItems(uint64_t lease);

 private:
  struct Promise {
    uint64_t give = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
  };
  void Take(Role role, size_t own) {
    role_ = role;
    own_ = own;
  }

  Role role_ = Role::kAlone;
  size_t own_ = 0;
  std::map<uint64_t, Lease> leases_;
  std::map<std::string, std::vector<Promise>> promised_;
  std::vector<wire::BlockItem> to_leader_;
  uint64_t searches_ = 0;
};

// Tasks as a list of items of this kind, each small enough for a frame.
std::vector<wire::BlockItem> TaskItems(wire::BlockItem::Kind kind, const std::string& job,
                                       const std::vector<uint32_t>& tasks);

}  // namespace mosspath::scheduler
