// Where waiting tasks go: the order of jobs, Layer Locality in blocks with overflow, refilling room
// that comes free, preemption. Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/cluster/picture.h"
#include "mosspath/scheduler/aims.h"
#include "mosspath/scheduler/blocks.h"
#include "mosspath/scheduler/leased.h"
#include "mosspath/scheduler/locality.h"
#include "mosspath/scheduler/records.h"
#include "mosspath/scheduler/reserve.h"
#include "mosspath/scheduler/takeover.h"
#include "mosspath/scheduler/turns.h"

namespace mosspath::scheduler {

class Placer {
 public:
  // All that it refers to outlives it. `token`: what attempts begin with.
  Placer(const config::Settings& settings, cluster::Picture& picture, const Aims& aims,
         const Takeover& takeover, Records& records, Leased& leased, uint64_t token);

  // `ahead`: work that holders are given beyond their room, as a share of their CPUs.
  void Apply(const Policy& policy, double ahead) {
    policy_ = policy;
    ahead_ = ahead;
  }
  // Of the pool, in a lease, for first tasks of jobs that have waited long to begin.
  void BeginShare(double share) { begin_share_ = share; }
  Turns& turns() { return turns_; }
  Reserve& reserve() { return reserve_; }
  const Blocks& blocks() const { return blocks_; }

  // A pass over the waiting jobs, if anything has changed since the last.
  void Place(double now);
  // Room came free on a machine, while work waits for just that.
  void Refill(cluster::Machine& m, double now);
  // Makes room for waiting work of a higher rank by stopping lower work that loses least.
  void Preempt(double now);
  // The job is over.
  void Forget(const jobs::Job& job);

  // Jobs of a later version than this are marked in the record before anything of them is started,
  // by whoever leads.
  // kNever: not by all. A leader that has begun to mark goes on: its view of who marks is empty for
  // a moment while it is loaded anew, and a successor would take what it started then for
  // unstarted.
  static constexpr uint64_t kNever = ~uint64_t{0};
  void MarkedSince(uint64_t version) {
    marked_since_ = version;
    marks_ = marks_ || version != kNever;
  }
  // Nobody else can have started what is waiting of it: all machines are known, it was accepted
  // under our token, or no earlier leader has marked it.
  bool MayStart(const jobs::Job& job) const;
  bool Allowed(const jobs::Job& job, const cluster::Machine& m, double now) const;
  // Whether its tasks may be given to holders of blocks. What needs one view is the leader's:
  // gangs, services, tasks that must be together or apart, jobs that fail everywhere.
  bool Givable(const jobs::Job& job) const;
  // Where the machine is placed: what the leader or a holder commands is one block.
  size_t BlockOf(const cluster::Machine& m) const {
    return leased_.role() == Leased::Role::kAlone ? blocks_.Of(m.id, m.zone) : leased_.own();
  }

  // Jobs tried and machines looked at for them, so far.
  uint64_t placements() const { return placements_; }
  uint64_t looked_at() const { return looked_at_; }

 private:
  using Pool = std::vector<cluster::Machine*>;

  std::vector<jobs::Job*> Order(double now);
  size_t ChooseBlock(const jobs::Job& job, const Pool& pool, double now) const;
  // Jobs of which nothing has run for long: one task each goes ahead of all.
  std::vector<jobs::Job*> BeginOrder(double now);
  // Places the first task of one of them, or its gang, if the bound allows.
  bool MayBegin(const jobs::Job& job) const;
  void Begun(jobs::Job& job, double now);
  // Who is owed a turn goes first, the longest waiting of each.
  std::vector<jobs::Job*> TurnOrder() const;
  // Tasks of the job that go ahead of others now.
  size_t Turn(const jobs::Job& job) const;
  // At most so many tasks. False when it found too little room.
  bool PlaceJob(jobs::Job& job, const Pool& pool, size_t most, double now);
  bool Put(jobs::Job& job, cluster::Machine& m, double now);
  // Gives holders work beyond their room, so that they have some when room comes free.
  void PlaceAhead(double now);
  bool IsMarked(const jobs::Job& job) const;
  // Whether the job may be started as far as its mark goes; asks for the mark if not.
  bool Cleared(jobs::Job& job);
  double MissingGb(const jobs::Job& job, const cluster::Machine& m) const;
  double FetchTime(const jobs::Job& job, const cluster::Machine& m) const;
  // How many of the job's tasks may be placed now, room aside.
  size_t MayPlace(const jobs::Job& job) const;

  const config::Settings& settings_;
  cluster::Picture& picture_;
  const Aims& aims_;
  const Takeover& takeover_;
  Records& records_;
  Leased& leased_;
  const uint64_t token_;
  const Blocks blocks_;
  Policy policy_;
  double ahead_ = 0;
  uint64_t marked_since_ = kNever;
  bool marks_ = false;
  std::vector<jobs::Job*> order_;        // of the jobs that the last pass left waiting, or may have
  std::vector<jobs::Job*> begin_order_;  // of those that should begin
  double begin_share_ = config::OperatorSettings().begin_share;
  double begin_cpus_ = 0;               // that may yet go to their first tasks
  std::vector<jobs::Job*> turn_order_;  // of those whose team or class is owed a turn
  Turns turns_;
  Reserve reserve_;
  uint64_t placements_ = 0;
  uint64_t looked_at_ = 0;
};

}  // namespace mosspath::scheduler
