// Users as the protocol describes them: they submit through a balancer until they are answered or
// have tried for a minute, ask about what was accepted, and cancel.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath::simulation {

struct SimulatedUser {
  wire::JobSpec spec;
  double asked = 0;          // first
  double cancels_after = 0;  // its acceptance; 0: never
  bool polls = false;        // asks about its job every few seconds until the day is over
  double accepted = 0;       // 0: not
  bool gave_up = false;
  bool called_off = false;
  size_t node = 0;
};

class SimulatedUsers {
 public:
  explicit SimulatedUsers(SimulatedCluster& cluster) : cluster_(cluster), world_(cluster.world) {}

  // Before the day begins.
  SimulatedUser& Add(SimulatedUser user);
  void Begin();
  // A user calls off the job, once, if it was accepted; at most so many of those that `which` says.
  void CallOff(size_t user);
  size_t CallOffSome(size_t most, double within_s,
                     const std::function<bool(const SimulatedUser&)>& which);
  // They submit again what is accepted, and ask about it, or cancel it though it is done.
  void Repeat(size_t user);
  void AskNow(size_t user);
  void CancelDone(size_t user) { Cancel(user); }
  // A submission that can never run: refused, or its rule is broken.
  void SubmitOdd(const wire::JobSpec& spec);
  size_t refused() const { return refused_; }
  const std::vector<SimulatedUser>& all() const { return users_; }
  std::vector<SimulatedUser>& all() { return users_; }
  // Whose connections all come to the first controller.
  std::function<bool(const SimulatedUser&)> pinned = [](const SimulatedUser&) { return false; };

 private:
  // Another one each time, of those that take connections; none is up: null.
  SimulatedController* Balance(SimulatedUser& user);
  void Submit(size_t user);
  void Again(size_t user, double after);
  void Poll(size_t user);
  void Cancel(size_t user);

  SimulatedCluster& cluster_;
  SimulatedEnvironment& world_;
  std::vector<SimulatedUser> users_;
  size_t refused_ = 0;
};

}  // namespace mosspath::simulation
