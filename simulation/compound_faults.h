// Compound faults: schedules of several faults that are related in time and in the hosts they
// affect. The time offsets between the faults are swept over the seeds, from zero to more than an
// agent lease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mosspath/config/settings.h"
#include "simulation/faults.h"

namespace mosspath::simulation {

class CompoundFaultScenario;

// The order matters: a seed's kind is the seed modulo the number of kinds. "Refuses the leader"
// means that the leader is partitioned from the store.
enum class CompoundFault {
  kRefusedThenOutage,    // the store refuses the leader, others confirm cancellations, then store
                         // outage
  kRepeatedFailover,     // repeated leader restarts, then all controllers crash and another restart
  kUnreachableMachines,  // a leader fails while its successor can't reach some machines
  kSlowStore,            // the store is slow during cancellations, then refuses the leader
  kOutdatedDuplicates,   // duplicates of heartbeats of earlier epochs and tokens
  kLateWrites,           // unanswered store writes are applied after newer ones
  kDelayedCommands,      // commands are delayed while the machine keeps running
  kTasksEndApart,        // tasks of one job complete far apart, across failovers
  kOnlyAgentsReachable,  // a leader reaches only machines and users; other controllers cancel jobs
  kZonePartition,        // a zone with machines and controllers is cut off beyond a lease
  kSlowLinks,            // commands arrive late over slow links; a leader or machines may fail
  kDelayedHeartbeats,    // heartbeats are delayed until a new leader has acted
  kRequestsAtJobEnd,     // cancellations, status queries, resubmissions as a job completes
  kOutboundPartition,    // heartbeats of machines are lost, while direct commands arrive
  kTeamAtQuota,          // a team at its quota, a new leader, unreachable machines
  kTenFailovers,         // ten leader restarts in two minutes, in some rounds with a store outage
  kAllControllersDown,   // all controllers are down for longer than a lease
  kDelayedAnswers,       // answers to commands are delayed, and some machines hang meanwhile
  kCancellationsBeforeOutage,  // cancellations as the store refuses the leader, then store outage
  kCancellationsWithHang,      // jobs are cancelled while some of their machines hang
  kPlacementConstraints,       // jobs with zone, single-zone or spread constraints lose machines
  kKinds
};

inline constexpr uint64_t kCompoundFaultKinds = static_cast<uint64_t>(CompoundFault::kKinds);

// The start of most schedules, in seconds since the start of the day. Tasks are running by then.
inline constexpr double kFirstFaultAt = 45;

CompoundFault CompoundFaultOf(uint64_t seed);

// Returns the name as the results print it. Results are compared between versions, so a name must
// not change.
const char* CompoundFaultName(CompoundFault kind);

// Returns the faults of the seed's kind, sorted by time, for a deployment with these settings.
std::vector<Fault> CompoundFaultSchedule(uint64_t seed, const config::Settings& settings);

// Returns how often the condition that the kind tests occurred during the scenario's day.
size_t CountOccurrences(CompoundFault kind, const CompoundFaultScenario& scenario);

}  // namespace mosspath::simulation
