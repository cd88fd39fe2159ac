// Users as the protocol describes them: they submit through a balancer until they are answered or
// have tried for a minute, ask about what was accepted, and cancel.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath::simulation {

struct User {
  wire::JobSpec spec;
  double asked = 0;          // first
  double cancels_after = 0;  // its acceptance; 0: never
  bool polls = false;        // asks about its job every few seconds until the day is over
  double accepted = 0;       // 0: not
  bool gave_up = false;
  bool called_off = false;
  size_t node = 0;
};

class Users {
 public:
  explicit Users(Cluster& cluster) : cluster_(cluster), world_(cluster.world) {}

  // Before the day begins.
  User& Add(User user);
  void Begin();
  // A user calls off the job, once, if it was accepted; at most so many of those that `which` says.
  void CallOff(size_t user);
  size_t CallOffSome(size_t most, double within_s, const std::function<bool(const User&)>& which);
  // They submit again what is accepted, and ask about it, or cancel it though it is done.
  void Repeat(size_t user);
  void AskNow(size_t user);
  void CancelDone(size_t user) { Cancel(user); }
  // A submission that can never run: refused, or its rule is broken.
  void SubmitOdd(const wire::JobSpec& spec);
  size_t refused() const { return refused_; }
  const std::vector<User>& all() const { return users_; }
  std::vector<User>& all() { return users_; }
  // Whose connections all come to the first controller.
  std::function<bool(const User&)> pinned = [](const User&) { return false; };

 private:
  // Another one each time, of those that take connections; none is up: null.
  Controller* Balance(User& user);
  void Submit(size_t user);
  void Again(size_t user, double after);
  void Poll(size_t user);
  void Cancel(size_t user);

  Cluster& cluster_;
  World& world_;
  std::vector<User> users_;
  size_t refused_ = 0;
};

}  // namespace mosspath::simulation
