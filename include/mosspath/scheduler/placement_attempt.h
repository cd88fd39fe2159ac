// One attempt to place tasks of one job in a placement pass: the stages that arrays, services and
// gangs share. Pure.
//
// Each job has a home shard; its tasks go there first, and what finds no room there overflows to
// the machines of other shards. Urgent work may use cordoned machines as the last resort.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/capacity_reservation.h"
#include "mosspath/scheduler/locality.h"
#include "mosspath/scheduler/machine_filter.h"
#include "mosspath/scheduler/machine_pool.h"
#include "mosspath/scheduler/shard_map.h"
#include "mosspath/scheduler/start_gate.h"
#include "mosspath/scheduler/task_binder.h"

namespace mosspath::scheduler {

// What an attempt works with. All of it outlives the attempt.
struct PlacementStages {
  const cluster::ClusterState& cluster;
  const ShardMap& shard_map;
  const CapacityReservation& reservation;
  const MachineFilter& filter;
  StartGate& start_gate;
  TaskBinder& binder;
  LocalityPolicy policy;  // of the score stage
};

// The machines that are tried together.
struct PlacementScope {
  bool in_home_shard = true;
  MachineTier tier = MachineTier::kInService;
};

// The machines of a scope that passed the filters, and the layers that all of the scope hold.
struct CandidateSet {
  std::vector<Candidate> candidates;  // `machine` is an index into the pool
  double scope_gb = 0;                // layer bytes on all machines of the scope
  size_t scope_size = 0;              // machines in the scope
};

enum class PlacementOutcome {
  kSettled,  // nothing more to try in this pass: all placed, or the wait is not for room
  kNoRoom,   // tasks are left that found no room
};

class PlacementAttempt {
 public:
  // At most `max_tasks` of the job, on machines of the pool. All arguments outlive the attempt.
  PlacementAttempt(const PlacementStages& stages, jobs::Job& job, const MachinePool& pool,
                   size_t max_tasks, double now);

  // Tries all scopes in their order.
  PlacementOutcome Run();
  // Machines that the filters have looked at so far.
  uint64_t candidates_scored() const { return candidates_scored_; }

  // --- For the ways of placing below ---
  const jobs::Job& job() const { return job_; }
  const PlacementStages& stages() const { return stages_; }
  // Tasks that may still be placed.
  size_t remaining() const { return remaining_; }
  cluster::Machine& MachineAt(size_t index) const { return *pool_[index]; }
  bool FitsInTier(const cluster::Machine& machine, MachineTier tier) const;
  // Half of the tasks of a job that is spread over zones are in the machine's zone already.
  bool IsZoneFull(const cluster::Machine& machine) const;
  bool HasDurableStartMarker() { return stages_.start_gate.HasDurableStartMarker(job_); }
  // Binds the next task to the machine. False: the job starts nothing more.
  bool Bind(cluster::Machine& machine);
  // One task after another goes to the machine that is best by layer locality.
  PlacementOutcome PlaceOneByOne(const CandidateSet& set, MachineTier tier);

 private:
  bool IsUrgent() const;
  // The zone for a job whose tasks must share one, if any machine has room for it.
  bool ChooseSingleZone();
  std::string ZoneOfPlacedTasks() const;
  std::string WidestZone() const;
  // The shard with the most room for the job.
  size_t ChooseHomeShard() const;
  CandidateSet CollectCandidates(const PlacementScope& scope);
  bool IsInScope(const cluster::Machine& machine, const PlacementScope& scope) const;
  PlacementOutcome PlaceInScope(const PlacementScope& scope);

  const PlacementStages& stages_;
  jobs::Job& job_;
  const MachinePool& pool_;
  const double now_;
  const bool delegable_;
  size_t remaining_;
  std::string single_zone_;  // empty: any
  uint64_t candidates_scored_ = 0;
};

}  // namespace mosspath::scheduler
