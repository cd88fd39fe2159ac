// Several controllers and their machines in simulated time, and what goes wrong with them. A
// schedule of faults is drawn once from a seed, so that it can be played again with some left out.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/controller.h"

namespace mosspath::rehearsal {

// Three controllers, teams without and with limits, quick reports: what days are made of.
config::Settings SmallSettings();
wire::MachineType SmallType();

struct Fault {
  enum class Kind {
    kCrash,       // the leader
    kCrashAll,    // all controllers at once
    kFreeze,      // the leader stands still
    kFreezeAny,   // any one
    kCutState,    // the leader from the state service
    kCutWorkers,  // the leader from all workers
    kCutPeers,    // any one from the others
    kCutZone,     // half of the machines from all controllers
    kOutage,      // of the state service
    kSlowState,   // it answers slowly
    kUnread,      // the leader renews but can't read
    kDie,         // machines end, with all that is on them
    kHang,        // machines stand still and go on
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

class Cluster {
 public:
  // Named hut-0, hut-1, ...; their clocks drift apart as far as the protocol allows.
  Cluster(const config::Settings& settings, const std::vector<wire::MachineType>& types,
          size_t controllers, uint64_t seed);
  virtual ~Cluster() = default;
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void Plan(const std::vector<Fault>& faults);
  void Play(const Fault& f);
  Controller& Leader(uint64_t otherwise = 0);

  World world;
  std::vector<std::unique_ptr<Controller>> controllers;

 protected:
  // Checked every half second.
  virtual void Check() { world.checker.Tick(world.clock.now()); }

 private:
  void CheckLoop();
};

}  // namespace mosspath::rehearsal
