#include "simulation/users.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace mosspath::simulation {
namespace {

constexpr double kGiveUpS = 60;       // after the first attempt to submit
constexpr double kSubmitWaitS = 5;    // for an answer
constexpr double kAskWaitS = 2;       // for an answer about a job
constexpr double kPollS = 5;          // between two questions
constexpr size_t kBalancerTries = 3;  // nodes, one after the other

}  // namespace

SimulatedUser& SimulatedUsers::Add(SimulatedUser user) {
  user.node = world_.random.Below(cluster_.controllers.size());
  return users_.emplace_back(std::move(user));
}

void SimulatedUsers::Begin() {
  for (size_t i = 0; i < users_.size(); ++i) {
    world_.clock.At(users_[i].asked, [this, i] { Submit(i); });
  }
}

SimulatedController* SimulatedUsers::Balance(SimulatedUser& user) {
  if (pinned(user)) {
    SimulatedController& first = *cluster_.controllers.front();
    return first.up() ? &first : nullptr;
  }
  for (size_t tries = 0; tries < kBalancerTries; ++tries) {
    SimulatedController& c = *cluster_.controllers[++user.node % cluster_.controllers.size()];
    if (c.up()) return &c;
  }
  return nullptr;
}

void SimulatedUsers::Again(size_t i, double after) {
  SimulatedUser& u = users_[i];
  if (world_.clock.now() + after - u.asked > kGiveUpS) {
    u.gave_up = true;
    return;
  }
  world_.clock.After(after, [this, i] { Submit(i); });
}

void SimulatedUsers::Submit(size_t i) {
  SimulatedUser& u = users_[i];
  SimulatedController* c = Balance(u);
  world_.Submit(u.spec);
  if (c == nullptr) return Again(i, 1);
  const auto answered = std::make_shared<bool>(false);
  world_.clock.After(kSubmitWaitS, [this, i, answered] {
    if (!std::exchange(*answered, true)) Again(i, 1);
  });
  world_.network.Send("users", c->name(), [this, i, c, answered] {
    c->OnSubmit(users_[i].spec, [this, i, answered](int status, double retry_after_s) {
      if (std::exchange(*answered, true)) return;
      SimulatedUser& user = users_[i];
      if (status != 200 && status != 201) return Again(i, std::max(1.0, retry_after_s));
      user.accepted = world_.clock.now();
      if (user.polls) {
        world_.rule_checker.OnAccepted(user.spec.id, user.accepted);
        Poll(i);
      }
      if (user.cancels_after > 0) {
        world_.clock.After(user.cancels_after, [this, i] { CallOff(i); });
      }
    });
  });
}

void SimulatedUsers::CallOff(size_t i) {
  if (users_[i].accepted <= 0 || std::exchange(users_[i].called_off, true)) return;
  world_.rule_checker.OnCancellationRequested(users_[i].spec.id);
  Cancel(i);
}

size_t SimulatedUsers::CallOffSome(size_t most, double within_s,
                                   const std::function<bool(const SimulatedUser&)>& which) {
  size_t n = 0;
  for (size_t i = 0; i < users_.size() && n < most; ++i) {
    if (users_[i].accepted <= 0 || users_[i].called_off || !which(users_[i])) continue;
    ++n;
    world_.clock.After(world_.random.Uniform(0, within_s), [this, i] { CallOff(i); });
  }
  return n;
}

void SimulatedUsers::Repeat(size_t i) {
  SimulatedController* c = Balance(users_[i]);
  if (c == nullptr) return;
  world_.network.Send("users", c->name(), [this, i, c] {
    c->OnSubmit(users_[i].spec, [this, i](int status, double) {
      if (status == 400 || status == 422) world_.rule_checker.OnRefused(users_[i].spec.id);
    });
  });
}

void SimulatedUsers::SubmitOdd(const wire::JobSpec& spec) {
  SimulatedUser nobody;
  nobody.node = world_.random.Below(cluster_.controllers.size());
  SimulatedController* c = Balance(nobody);
  world_.specs[spec.id] = spec;
  world_.rule_checker.OnInvalidSubmitted(spec);
  if (c == nullptr) return;
  world_.network.Send("users", c->name(), [this, c, spec] {
    c->OnSubmit(spec, [this, id = spec.id](int status, double) {
      refused_ += status == 400 || status == 422 ? 1 : 0;
      if (status == 200 || status == 201) world_.rule_checker.OnAccepted(id, world_.clock.now());
    });
  });
}

void SimulatedUsers::Poll(size_t i) {
  world_.clock.After(kPollS * world_.random.Uniform(0.9, 1.1), [this, i] { Poll(i); });
  AskNow(i);
}

void SimulatedUsers::AskNow(size_t i) {
  SimulatedController* c = Balance(users_[i]);
  if (c == nullptr) return;
  world_.network.Send("users", c->name(), [this, i, c, asked = world_.clock.now()] {
    c->OnAsked(users_[i].spec.id, [this, i, asked](int status, wire::JobState stage) {
      if (world_.clock.now() - asked > kAskWaitS) return;
      world_.rule_checker.OnStatusAnswered(users_[i].spec.id, status, stage, asked,
                                           world_.clock.now());
    });
  });
}

void SimulatedUsers::Cancel(size_t i) {
  const auto answered = std::make_shared<bool>(false);
  world_.clock.After(kSubmitWaitS, [this, i, answered] {
    if (!std::exchange(*answered, true)) Cancel(i);
  });
  SimulatedController* c = Balance(users_[i]);
  if (c == nullptr) return;
  world_.network.Send("users", c->name(), [this, i, c, answered, asked = world_.clock.now()] {
    c->OnCancel(users_[i].spec.id, [this, i, answered, asked](int status, wire::JobState stage) {
      if (std::exchange(*answered, true)) return;
      world_.rule_checker.OnStatusAnswered(users_[i].spec.id, status, stage, asked,
                                           world_.clock.now());
      if (status != 200) world_.clock.After(1, [this, i] { Cancel(i); });
    });
  });
}

}  // namespace mosspath::simulation
