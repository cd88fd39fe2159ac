// The faults that befall a simulated cluster. A schedule of faults is drawn once from a seed, so
// that it can be played again with some of them left out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"

namespace mosspath::simulation {

class SimulatedCluster;

// One fault of a schedule. What a kind does with the members is said at its enumerator.
struct Fault {
  // The order counts: kinds are drawn by their numbers.
  enum class Kind {
    kCrash,                 // the leader, for at most 8 s
    kCrashAll,              // all controllers at once, for 3 s
    kFreeze,                // the leader's process is stopped
    kFreezeAny,             // any controller's process is stopped
    kCutStore,              // the leader from the key-value store
    kCutAgents,             // the leader from all machines
    kCutPeers,              // any controller from the others
    kCutZoneAgents,         // a zone's machines from all controllers
    kStoreOutage,           // the key-value store is down
    kSlowStore,             // the key-value store answers slowly
    kLeaderReadsFail,       // the leader renews its lease but can't read
    kTerminateMachines,     // some machines end, with all that is on them
    kHangMachines,          // some machines hang and go on
    kCutAgentsInbound,      // one-way: heartbeats arrive, but nothing reaches some machines
    kDuplicateHeartbeats,   // heartbeats are delivered again, up to three leases late
    kOnlyAgentsReachable,   // a controller has machines and users, but neither store nor peers
    kRestartLeader,         // the leader is back at once
    kRestartAll,            // all controllers are back at once
    kRestartAfterMessages,  // whoever campaigns or leads restarts after its n-th message
    kRestartMachines,  // some machines are back at once under their names, with nothing on them
    kReplaceMachines,  // some machines end, and others are up at their addresses
    kReclaimSpot,      // half of a zone's spot machines end without notice
    kHalveCapacity,    // the cloud has half as many machines to give
    // Those that follow are part of compound faults only, and are never drawn alone.
    kLateWrites,                 // changes get no answer and are carried out later
    kLeaderOnlyAgentsReachable,  // as kOnlyAgentsReachable, the leader
    kRestartConfirmer,           // who last confirmed a cancellation is back at once
    kCutAgentsOutbound,          // one-way: heartbeats are lost, while direct commands arrive
    kPartitionZone,              // a zone's machines and controllers from the others
    kSlowLinks,                  // messages to and from machines take seconds
    kDelayHeartbeats,            // heartbeats are held back, and arrive at whoever leads then
    kDelayAnswers,               // answers to direct commands are held up for seconds
    kStopAll,                    // all controllers, for the whole duration
    kCancelNow,        // users cancel many jobs at once; with `hold`, some of their machines hang
    kCancelAtEnd,      // users cancel jobs as they end
    kUnusualRequests,  // repeated submissions, cancellations of done jobs, invalid jobs
    kKinds
  };

  Kind kind = Kind::kCrash;
  double at = 0;  // seconds since the start of the day
  double duration_s = 0;
  bool hold = false;      // messages that are cut off are delivered late rather than dropped
  uint64_t selector = 0;  // chooses among the hosts that the fault can befall
};

// A line for people: when, what and for how long.
std::string ToText(const Fault& fault);

// Draws `count` faults of the kinds that are drawn alone, between the two times, sorted by time.
std::vector<Fault> DrawFaults(uint64_t seed, size_t count, double from, double to);

// How many kinds are drawn alone: the first ones.
inline constexpr uint64_t kDrawnKinds = static_cast<uint64_t>(Fault::Kind::kLateWrites);

void SortByTime(std::vector<Fault>& faults);

// When the last effect of the fault is over.
double EndOfFault(const Fault& fault, const config::Settings& settings);

// Makes the fault happen now.
void ApplyFault(SimulatedCluster& cluster, const Fault& fault);

}  // namespace mosspath::simulation
