// Simulated users, who follow the API protocol through a load balancer: each user retries a
// submission until it is accepted or 60 s have passed, polls the status of accepted jobs, and
// cancels jobs.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath::simulation {

// One user with one job. Points in time are in seconds since the start of the day.
struct SimulatedUser {
  wire::JobSpec spec;
  double submits_at = 0;                  // the first submission attempt
  std::optional<double> cancels_after_s;  // from acceptance to cancellation; unset: never
  bool polls = false;  // polls the job's status every 5 s from acceptance to the end of the day
  std::optional<double> accepted_at;  // when the user received the acceptance
  bool gave_up = false;               // the submission was not accepted within 60 s
  bool cancelled = false;             // the user has started to send cancellations
  size_t balancer_position = 0;  // the load balancer's round-robin position at the last connection
};

// All users of a simulated day. Member functions identify a user by its index in all().
class SimulatedUsers {
 public:
  // The cluster must outlive the users.
  explicit SimulatedUsers(SimulatedCluster& cluster) : cluster_(cluster), world_(cluster.world) {}

  // --- Before the day begins ---

  SimulatedUser& Add(SimulatedUser user);
  // Schedules the first submission attempt of every user.
  void Begin();
  // Returns whether all connections of the user go to the first controller.
  std::function<bool(const SimulatedUser&)> pinned = [](const SimulatedUser&) { return false; };

  // --- During the day ---

  // Cancels the user's job if the job is accepted and not cancelled yet. The user retries until the
  // cancellation is confirmed.
  void Cancel(size_t user);
  // Makes up to `max_count` users that match the filter cancel their accepted jobs at random times
  // within `within_s`. Returns the number of these users.
  size_t CancelSome(size_t max_count, double within_s,
                    const std::function<bool(const SimulatedUser&)>& filter);
  // Submits an accepted job again. A refusal breaks a rule.
  void SubmitAgain(size_t user);
  // Sends one status query for the job.
  void QueryStatus(size_t user);
  // Sends a cancellation of a completed job. The job must stay done.
  void CancelDone(size_t user) { SendCancellation(user); }
  // Submits a job that can never run. An acceptance breaks a rule.
  void SubmitInvalid(const wire::JobSpec& spec);

  size_t invalid_refused() const { return invalid_refused_; }
  const std::vector<SimulatedUser>& all() const { return users_; }
  std::vector<SimulatedUser>& all() { return users_; }

 private:
  // Returns the next controller that accepts connections in round-robin order, or null if none of
  // three attempts succeeds. A pinned user tries only the first controller.
  SimulatedController* Connect(SimulatedUser& user);
  void Submit(size_t user);
  void OnSubmitAnswered(size_t user, int http_status, double retry_after_s);
  void RetrySubmit(size_t user, double after_s);
  void Poll(size_t user);
  void SendCancellation(size_t user);

  SimulatedCluster& cluster_;
  SimulatedEnvironment& world_;
  std::vector<SimulatedUser> users_;
  size_t invalid_refused_ = 0;
};

}  // namespace mosspath::simulation
