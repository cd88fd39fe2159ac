// Several controllers and their machines in simulated time, and what goes wrong with them. A
// schedule of faults is drawn once from a seed, so that it can be played again with some left out.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "simulation/controller.h"

namespace mosspath::simulation {

// Three controllers, teams without and with limits, quick reports: what days are made of.
config::Settings SmallSettings();
wire::MachineType SmallType();

struct Fault {
  enum class Kind {
    kCrash,                 // the leader
    kCrashAll,              // all controllers at once
    kFreeze,                // the leader stands still
    kFreezeAny,             // any one
    kCutState,              // the leader from the state service
    kCutAgents,             // the leader from all workers
    kCutPeers,              // any one from the others
    kCutZone,               // half of the machines from all controllers
    kOutage,                // of the state service
    kSlowState,             // it answers slowly
    kLeaderReadsFail,       // the leader renews but can't read
    kKillMachines,          // machines end, with all that is on them
    kHang,                  // machines stand still and go on
    kCutAgentsInbound,      // machines' reports arrive, but nothing reaches them
    kDuplicateHeartbeats,   // reports are delivered again, up to three leases late
    kOnlyAgentsReachable,   // one has its workers and users, but no state service and no peers
    kRestartLeader,         // the leader is back at once
    kRestartAll,            // all are
    kRestartAfterMessages,  // whoever is about to lead, or leads, after its n-th message
    kRestartMachines,       // machines come back at once under their names, with nothing on them
    kReplaced,              // a machine ends, and another is up at its address
    kSpotTaken,             // half of a zone's cheap machines, without notice
    kCapacity,              // the cloud has half as many machines to give
    kDrawn,                 // all before it are drawn; the others come in meetings only
    kLateWrites = kDrawn,   // changes get no answer and are carried out later
    kLeaderOnlyAgentsReachable,  // as kOnlyWorkers, the leader
    kRestartConfirmer,           // who last confirmed a cancellation is back at once
    kCutAgentsOutbound,          // machines reach no controller, while direct orders reach them
    kCutZoneWhole,     // a zone's machines and controllers from the others and the outside
    kSlowLinks,        // messages to and from machines take seconds
    kDelayHeartbeats,  // what machines send is held back, and arrives at whoever leads then
    kDelayAnswers,     // answers to orders are held up for seconds
    kStopAll,          // all controllers, for longer than the others are
    kCancelNow,        // users call off many jobs at once; `hold`: some of their machines hang
    kCancelAtEnd,      // users call off jobs as they end
    kOddRequests,      // repeated submissions, cancellations of what is done, what can't run
    kKinds
  };
  Kind kind = Kind::kCrash;
  double at = 0;
  double for_s = 0;
  bool hold = false;  // what is cut is delivered late
  uint64_t pick = 0;  // which one
};
std::string ToText(const Fault& f);
// `n` faults of any kind between the two times.
std::vector<Fault> Draw(uint64_t seed, size_t n, double from, double to);

class SimulatedCluster {
 public:
  // Named hut-0, hut-1, ...; their clocks drift apart as far as the protocol allows.
  SimulatedCluster(const config::Settings& settings, const std::vector<wire::MachineType>& types,
                   size_t controllers, uint64_t seed);
  virtual ~SimulatedCluster() = default;
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  void Plan(const std::vector<Fault>& faults);
  // When the last of what it does is over.
  double Over(const Fault& f) const;
  void Play(const Fault& f);
  // What users do at such a time is theirs.
  std::function<void(const Fault&)> on_users;
  SimulatedController& Leader(uint64_t otherwise = 0);

  SimulatedEnvironment world;
  std::vector<std::unique_ptr<SimulatedController>> controllers;

 protected:
  // Checked every half second.
  virtual void Check();

 private:
  void CheckLoop();
  // The users' rule on what waits beside room, by the state of the machines themselves.
  void CheckRoom();
  void Sent(const std::string& from);

  // What each is finding out as a new leader: under which token, and since when without a pause.
  struct Unsettled {
    uint64_t token = 0;
    double since = 0;
  };
  std::map<std::string, Unsettled> unsettled_;
  uint64_t checks_ = 0;
  uint64_t steps_left_ = 0;  // messages until whoever campaigns or leads is back at once; 0: none
  double back_after_s_ = 0;
};

}  // namespace mosspath::simulation
