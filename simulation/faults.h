// Fault injection for a simulated cluster. All faults of a schedule are drawn from a seed before
// the day begins, so that the day can be repeated with some of the faults left out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"

namespace mosspath::simulation {

class SimulatedCluster;

// One fault of a schedule. The comment of each kind says what the fault affects and which fields it
// uses.
struct Fault {
  // The order matters: a seed draws kinds by their numeric values.
  enum class Kind {
    kCrash,                 // the leader's process is down for at most 8 s
    kCrashAll,              // all controller processes are down for 3 s
    kFreeze,                // the leader's process is suspended
    kFreezeAny,             // any one controller's process is suspended
    kCutStore,              // the leader is partitioned from the key-value store
    kCutAgents,             // the leader is partitioned from all machines
    kCutPeers,              // any one controller is partitioned from its peers
    kCutZoneAgents,         // a zone's machines are partitioned from all controllers
    kStoreOutage,           // the key-value store is down
    kSlowStore,             // the key-value store answers slowly
    kLeaderReadsFail,       // the leader renews its lease but can't read the store
    kTerminateMachines,     // some machines terminate, with all tasks on them
    kHangMachines,          // some machines hang, then resume
    kCutAgentsInbound,      // one-way: some machines can send heartbeats but receive no messages
    kDuplicateHeartbeats,   // heartbeats are delivered twice, up to three leases late
    kOnlyAgentsReachable,   // a controller reaches machines and users, but not the store or its
                            // peers
    kRestartLeader,         // the leader restarts within 500 ms
    kRestartAll,            // all controllers restart within 500 ms
    kRestartAfterMessages,  // the sender of the n-th next message of leaders or candidates restarts
    kRestartMachines,       // some machines restart with the same names, without their tasks
    kReplaceMachines,       // some machines terminate, and new ones take over their addresses
    kReclaimSpot,           // half of a zone's spot machines terminate without notice
    kHalveCapacity,         // the cloud provider can provide only half as many machines as before
    // The kinds below occur only in compound faults; DrawFaults() never draws them.
    kLateWrites,                 // store writes get no answer and are applied later
    kLeaderOnlyAgentsReachable,  // like kOnlyAgentsReachable, but always affects the leader
    kRestartConfirmer,           // the controller that last confirmed a cancellation restarts
    kCutAgentsOutbound,          // one-way: heartbeats are lost, while direct commands arrive
    kPartitionZone,              // a zone's machines and controllers are cut off from other zones
    kSlowLinks,                  // messages to and from machines take seconds
    kDelayHeartbeats,            // heartbeats are delayed, so that a later leader receives them
    kDelayAnswers,               // answers to direct commands are delayed by seconds
    kStopAll,                    // all controllers are down for the whole duration
    // Users cancel many jobs at once. With `hold`, some of the machines that run these jobs hang.
    kCancelNow,
    kCancelAtEnd,      // users cancel jobs just as the jobs complete
    kUnusualRequests,  // users resubmit jobs, cancel completed jobs and submit invalid jobs
    // One-way: some machines receive no messages, then the answer to one heartbeat, and then again
    // no messages for the same time.
    kBriefContact,
    kRepeatRequests,  // requests that were carried out arrive once more, up to three leases later
    kKinds
  };

  Kind kind = Kind::kCrash;
  double at = 0;  // seconds since the start of the day
  double duration_s = 0;
  bool hold = false;      // a partition holds messages until its end instead of dropping them
  uint64_t selector = 0;  // pseudorandom value that selects the affected hosts
};

// Returns a one-line description for output: time, kind, duration and selector.
std::string ToText(const Fault& fault);

// Draws `count` faults of the first `kDrawnKinds` kinds that start between `from` and `to`, sorted
// by time.
std::vector<Fault> DrawFaults(uint64_t seed, size_t count, double from, double to);

// The number of kinds from which DrawFaults() draws: the kinds before kLateWrites.
inline constexpr uint64_t kDrawnKinds = static_cast<uint64_t>(Fault::Kind::kLateWrites);

void SortByTime(std::vector<Fault>& faults);

// Returns the time at which the last effect of the fault ends, in seconds since the start of the
// day.
double EndOfFault(const Fault& fault, const config::Settings& settings);

// Injects the fault at the current simulated time.
void ApplyFault(SimulatedCluster& cluster, const Fault& fault);

}  // namespace mosspath::simulation
