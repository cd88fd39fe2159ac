// One attempt to place tasks of one job in a placement pass: the stages that arrays, services and
// gangs share. No I/O; the time is an argument.
//
// Each job has a home shard, and its tasks are first tried on the machines of that shard. Tasks
// that find no free capacity there are tried on the machines of other shards. Jobs of high priority
// and above may use cordoned machines as the last resort.
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

// The dependencies of an attempt. All of them outlive the attempt.
struct PlacementStages {
  const cluster::ClusterState& cluster;
  const ShardMap& shard_map;
  const CapacityReservation& reservation;
  const MachineFilter& filter;
  StartGate& start_gate;
  TaskBinder& binder;
  LocalityPolicy policy;  // for the score stage
};

enum class ShardScope { kHomeShard, kOtherShards, kAllShards };

// Selects the machines that are tried together: those of one tier, in some of the shards.
struct PlacementScope {
  ShardScope shards = ShardScope::kHomeShard;
  MachineTier tier = MachineTier::kInService;
};

// The machines of a scope that passed the filters, and the size of the whole scope.
struct CandidateSet {
  std::vector<Candidate> candidates;  // `machine` is an index into the pool
  double scope_gb = 0;                // image layers on all machines of the scope
  size_t scope_size = 0;              // machines in the scope
};

enum class PlacementOutcome {
  kSettled,     // no task waits for capacity: all are placed, or may not start now
  kNoCapacity,  // some tasks found no machine with enough free capacity
};

// Places tasks of one job within one pass; constructed for one call of Run.
class PlacementAttempt {
 public:
  // Places at most `max_tasks` tasks, on machines of the pool. All arguments outlive the attempt.
  PlacementAttempt(const PlacementStages& stages, jobs::Job& job, const MachinePool& pool,
                   size_t max_tasks, double now);

  // Tries the scopes in order until no task remains to be placed.
  PlacementOutcome Run();
  // Returns how many machines have been filtered so far.
  uint64_t machines_filtered() const { return machines_filtered_; }

  // --- For PlaceArray, PlaceGang and PlaceService ---
  const jobs::Job& job() const { return job_; }
  const PlacementStages& stages() const { return stages_; }
  // Returns how many tasks may still be placed.
  size_t remaining() const { return remaining_; }
  cluster::Machine& MachineAt(size_t index) const { return *pool_[index]; }
  bool FitsInTier(const cluster::Machine& machine, MachineTier tier) const;
  // Returns whether the job spreads over zones and the machine's zone already has the maximum of
  // the job's tasks: half of the job's tasks, rounded up.
  bool IsZoneFull(const cluster::Machine& machine) const;
  bool HasDurableStartMarker() { return stages_.start_gate.HasDurableStartMarker(job_); }
  // Binds the next pending task to the machine. Returns false if the job may start no more tasks.
  bool Bind(cluster::Machine& machine);
  // Places the remaining tasks one at a time, each on the best machine by layer locality.
  PlacementOutcome PlaceOneByOne(const CandidateSet& set, MachineTier tier);

 private:
  bool IsUrgent() const;
  // Chooses the zone for a job whose tasks must share one. Returns false if no zone has a machine
  // for the job.
  bool ChooseSingleZone();
  std::string ZoneOfPlacedTasks() const;
  // Returns the zone with room for the most pending tasks; of several, the one with the most free
  // CPUs. Empty if no zone has room for a task.
  std::string ZoneWithMostRoom() const;
  // Returns the shard with the most free CPUs on machines that the job may use.
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
  std::string single_zone_;  // empty: any zone
  uint64_t machines_filtered_ = 0;
};

}  // namespace mosspath::scheduler
