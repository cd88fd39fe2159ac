// Compound faults: two or three faults that are tied in time and in whom they befall. The offsets
// between them are swept over the seeds, from none to more than a lease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mosspath/config/settings.h"
#include "simulation/faults.h"

namespace mosspath::simulation {

class CompoundFaultScenario;

// The order counts: a seed plays the kind of its number, modulo the count of kinds.
enum class CompoundFault {
  kRefusedThenOutage,  // the store refuses the leader, others confirm cancellations, then all fail
  kRepeatedFailover,   // the lead goes back and forth, all end, and one is back at once
  kUnreachableMachines,        // a leader ends while machines can't be reached by its successor
  kSlowStore,                  // the store is slow while users cancel, then refuses the leader
  kOutdatedDuplicates,         // duplicates of heartbeats of earlier epochs and tokens
  kLateWrites,                 // changes without an answer are carried out after newer ones
  kDelayedCommands,            // commands are held up, and the machine goes on
  kTasksEndApart,              // jobs of two or three tasks end far apart, across failovers
  kOnlyAgentsReachable,        // a leader has only machines and users; jobs are cancelled elsewhere
  kZonePartition,              // a zone with machines and a controller is cut off beyond a lease
  kSlowLinks,                  // more work than room, urgent and not, over slow links
  kDelayedHeartbeats,          // heartbeats are held back until a new leader has acted
  kRequestsAtJobEnd,           // cancellations, questions, submissions as a job's last task ends
  kOutboundPartition,          // machines reach no controller, while direct commands reach them
  kTeamAtQuota,                // a team at its quota, a new leader, unreachable machines
  kTenFailovers,               // ten changes of leader in two minutes, also inside an outage
  kAllControllersDown,         // all controllers are down for longer than a lease
  kDelayedAnswers,             // answers to commands are held up, and the machine goes on
  kCancellationsBeforeOutage,  // jobs are cancelled as the store refuses the leader, then everybody
  kCancellationsWithHang,      // jobs are cancelled, and some of their machines hang
  kPlacementConstraints,       // jobs bound to a zone, together or apart lose machines
  kKinds
};

inline constexpr uint64_t kCompoundFaultKinds = static_cast<uint64_t>(CompoundFault::kKinds);

// When the first fault of each schedule happens: work is under way by then.
inline constexpr double kFirstFaultAt = 45;

CompoundFault CompoundFaultOf(uint64_t seed);

// As in the printed lines; they are compared over time, so that names stay as they are.
const char* CompoundFaultName(CompoundFault kind);

// The faults of the seed's kind in the order of their times, for a deployment of these settings.
std::vector<Fault> CompoundFaultSchedule(uint64_t seed, const config::Settings& settings);

// How often the condition that the kind is about really came about on the scenario's day.
size_t CountOccurrences(CompoundFault kind, const CompoundFaultScenario& scenario);

}  // namespace mosspath::simulation
