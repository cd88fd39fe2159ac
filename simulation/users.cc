#include "simulation/users.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace mosspath::simulation {
namespace {

constexpr double kGiveUpAfterS = 60;   // time since the first submission attempt
constexpr double kAnswerTimeoutS = 5;  // for submissions and cancellations
constexpr double kStatusTimeoutS = 2;
constexpr double kRetryAfterS = 1;  // minimum retry delay; an answer may request a longer delay
constexpr double kPollIntervalS = 5;
constexpr double kPollSpread = 0.1;  // maximum relative deviation from the interval
constexpr size_t kConnectAttempts = 3;

bool IsAccepted(int http_status) { return http_status == 200 || http_status == 201; }

bool IsRefusedForGood(int http_status) { return http_status == 400 || http_status == 422; }

}  // namespace

SimulatedUser& SimulatedUsers::Add(SimulatedUser user) {
  user.balancer_position = world_.random.Below(cluster_.controllers.size());
  return users_.emplace_back(std::move(user));
}

void SimulatedUsers::Begin() {
  for (size_t i = 0; i < users_.size(); ++i) {
    world_.clock.At(users_[i].submits_at, [this, i] { Submit(i); });
  }
}

SimulatedController* SimulatedUsers::Connect(SimulatedUser& user) {
  const auto& controllers = cluster_.controllers;
  if (pinned(user)) return controllers.front()->up() ? controllers.front().get() : nullptr;
  for (size_t attempts = 0; attempts < kConnectAttempts; ++attempts) {
    SimulatedController& next = *controllers[++user.balancer_position % controllers.size()];
    if (next.up()) return &next;
  }
  return nullptr;
}

// ---------------------------------------------------------------------------- submissions

void SimulatedUsers::RetrySubmit(size_t user, double after_s) {
  if (world_.clock.now() + after_s - users_[user].submits_at > kGiveUpAfterS) {
    users_[user].gave_up = true;
    return;
  }
  world_.clock.After(after_s, [this, user] { Submit(user); });
}

void SimulatedUsers::Submit(size_t user) {
  SimulatedController* controller = Connect(users_[user]);
  world_.Submit(users_[user].spec);
  if (controller == nullptr) return RetrySubmit(user, kRetryAfterS);
  const auto answered = std::make_shared<bool>(false);
  world_.clock.After(kAnswerTimeoutS, [this, user, answered] {
    if (!std::exchange(*answered, true)) RetrySubmit(user, kRetryAfterS);
  });
  const auto on_answer = [this, user, answered](int http_status, double retry_after_s) {
    if (!std::exchange(*answered, true)) OnSubmitAnswered(user, http_status, retry_after_s);
  };
  world_.network.Send(kUsersHost, controller->name(), [this, user, controller, on_answer] {
    controller->OnSubmit(users_[user].spec, on_answer);
    world_.RepeatLater(
        [this, user, controller] { controller->OnSubmit(users_[user].spec, [](int, double) {}); });
  });
}

void SimulatedUsers::OnSubmitAnswered(size_t index, int http_status, double retry_after_s) {
  if (!IsAccepted(http_status)) {
    return RetrySubmit(index, std::max(kRetryAfterS, retry_after_s));
  }
  SimulatedUser& user = users_[index];
  user.accepted_at = world_.clock.now();
  if (user.polls) {
    world_.rule_checker.OnAccepted(user.spec.id, *user.accepted_at);
    Poll(index);
  }
  if (user.cancels_after_s) {
    world_.clock.After(*user.cancels_after_s, [this, index] { Cancel(index); });
  }
}

void SimulatedUsers::SubmitAgain(size_t user) {
  SimulatedController* controller = Connect(users_[user]);
  if (controller == nullptr) return;
  const auto on_answer = [this, user](int http_status, double) {
    if (IsRefusedForGood(http_status)) world_.rule_checker.OnRefused(users_[user].spec.id);
  };
  world_.network.Send(kUsersHost, controller->name(), [this, user, controller, on_answer] {
    controller->OnSubmit(users_[user].spec, on_answer);
  });
}

void SimulatedUsers::SubmitInvalid(const wire::JobSpec& spec) {
  SimulatedUser one_time_user;
  one_time_user.balancer_position = world_.random.Below(cluster_.controllers.size());
  SimulatedController* controller = Connect(one_time_user);
  world_.specs[spec.id] = spec;
  world_.rule_checker.OnInvalidSubmitted(spec);
  if (controller == nullptr) return;
  const auto on_answer = [this, id = spec.id](int http_status, double) {
    invalid_refused_ += IsRefusedForGood(http_status) ? 1 : 0;
    if (IsAccepted(http_status)) world_.rule_checker.OnAccepted(id, world_.clock.now());
  };
  world_.network.Send(kUsersHost, controller->name(),
                      [controller, spec, on_answer] { controller->OnSubmit(spec, on_answer); });
}

// ---------------------------------------------------------------------------- status

void SimulatedUsers::Poll(size_t user) {
  const double spread = world_.random.Uniform(1 - kPollSpread, 1 + kPollSpread);
  world_.clock.After(kPollIntervalS * spread, [this, user] { Poll(user); });
  QueryStatus(user);
}

void SimulatedUsers::QueryStatus(size_t user) {
  SimulatedController* controller = Connect(users_[user]);
  if (controller == nullptr) return;
  const double sent_at = world_.clock.now();
  const auto on_answer = [this, user, sent_at](int http_status, wire::JobState state) {
    const double now = world_.clock.now();
    if (now - sent_at > kStatusTimeoutS) return;
    world_.rule_checker.OnStatusAnswered(users_[user].spec.id, http_status, state, sent_at, now);
  };
  world_.network.Send(kUsersHost, controller->name(), [this, user, controller, on_answer] {
    controller->OnStatusQuery(users_[user].spec.id, on_answer);
  });
}

// ---------------------------------------------------------------------------- cancellations

void SimulatedUsers::Cancel(size_t user) {
  if (!users_[user].accepted_at || std::exchange(users_[user].cancelled, true)) return;
  world_.rule_checker.OnCancellationRequested(users_[user].spec.id);
  SendCancellation(user);
}

size_t SimulatedUsers::CancelSome(size_t max_count, double within_s,
                                  const std::function<bool(const SimulatedUser&)>& filter) {
  size_t count = 0;
  for (size_t i = 0; i < users_.size() && count < max_count; ++i) {
    const SimulatedUser& user = users_[i];
    if (!user.accepted_at || user.cancelled || !filter(user)) continue;
    ++count;
    world_.clock.After(world_.random.Uniform(0, within_s), [this, i] { Cancel(i); });
  }
  return count;
}

void SimulatedUsers::SendCancellation(size_t user) {
  const auto answered = std::make_shared<bool>(false);
  world_.clock.After(kAnswerTimeoutS, [this, user, answered] {
    if (!std::exchange(*answered, true)) SendCancellation(user);
  });
  SimulatedController* controller = Connect(users_[user]);
  if (controller == nullptr) return;
  const double sent_at = world_.clock.now();
  const auto on_answer = [this, user, answered, sent_at](int http_status, wire::JobState state) {
    if (std::exchange(*answered, true)) return;
    world_.rule_checker.OnStatusAnswered(users_[user].spec.id, http_status, state, sent_at,
                                         world_.clock.now());
    if (http_status == 200) return;
    world_.clock.After(kRetryAfterS, [this, user] { SendCancellation(user); });
  };
  world_.network.Send(kUsersHost, controller->name(), [this, user, controller, on_answer] {
    controller->OnCancel(users_[user].spec.id, on_answer);
    world_.RepeatLater([this, user, controller] {
      controller->OnCancel(users_[user].spec.id, [](int, wire::JobState) {});
    });
  });
}

}  // namespace mosspath::simulation
