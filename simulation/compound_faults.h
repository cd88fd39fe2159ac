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
  // The store refuses the leader, other controllers confirm cancellations, and then the store is
  // down.
  kRefusedThenOutage,
  // The leader restarts repeatedly, then all controllers crash, and then one more restart follows.
  kRepeatedFailover,
  kUnreachableMachines,  // a leader fails while its successor can't reach some machines
  kSlowStore,            // during cancellations, the store is slow, then refuses the leader
  kOutdatedDuplicates,   // duplicates of heartbeats of earlier epochs and tokens
  kLateWrites,           // store writes without an answer are applied after newer writes
  kDelayedCommands,      // commands are delayed while the machine keeps running
  kTasksEndApart,        // tasks of a job complete far apart in time, with failovers in between
  // A leader reaches only machines and users, while other controllers cancel jobs.
  kOnlyAgentsReachable,
  kZonePartition,       // a zone with machines and controllers is cut off for over an agent lease
  kSlowLinks,           // commands arrive late over slow links; a leader or machines may fail
  kDelayedHeartbeats,   // heartbeats are delayed until a new leader has acted
  kRequestsAtJobEnd,    // users cancel, query and resubmit jobs just as the jobs complete
  kOutboundPartition,   // heartbeats of machines are lost, while direct commands arrive
  kTeamAtQuota,         // the leader changes while a team is at its quota and machines are cut off
  kTenFailovers,        // ten leader restarts in two minutes, in some rounds with a store outage
  kAllControllersDown,  // all controllers are down for longer than an agent lease
  kDelayedAnswers,      // answers to commands are delayed, and some machines hang meanwhile
  // Users cancel jobs just as the store refuses the leader, and then the store is down.
  kCancellationsBeforeOutage,
  kCancellationsWithHang,  // jobs are cancelled while some of their machines hang
  kPlacementConstraints,   // jobs with zone, single-zone or spread constraints lose machines
  // Machines receive one answer between two partitions, around cancellations. No seed has this
  // kind: all days of the brief contact scenario have it.
  kBriefContact,
  kKinds
};

// The number of kinds that follow from a seed.
inline constexpr uint64_t kSeededCompoundFaults =
    static_cast<uint64_t>(CompoundFault::kBriefContact);
inline constexpr uint64_t kCompoundFaultKinds = static_cast<uint64_t>(CompoundFault::kKinds);

// Time of the first fault in most schedules, in seconds since the start of the day. Tasks are
// running by then.
inline constexpr double kFirstFaultAt = 45;

CompoundFault CompoundFaultOf(uint64_t seed);

// Returns the name as the results print it. Results are compared between versions, so a name must
// not change.
const char* CompoundFaultName(CompoundFault kind);

// Returns the faults of the kind, sorted by time, for a deployment with these settings.
std::vector<Fault> CompoundFaultSchedule(CompoundFault kind, uint64_t seed,
                                         const config::Settings& settings);

// Returns how often the condition that the kind tests occurred during the scenario's day.
size_t CountOccurrences(CompoundFault kind, const CompoundFaultScenario& scenario);

}  // namespace mosspath::simulation
