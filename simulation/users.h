// Users as the protocol describes them: they submit through a load balancer until they are answered
// or have tried for a minute, ask about accepted jobs, and cancel.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath::simulation {

// One user with one job. Times are seconds since the start of the day.
struct SimulatedUser {
  wire::JobSpec spec;
  double submits_at = 0;                  // the first attempt
  std::optional<double> cancels_after_s;  // after the acceptance; none: never
  bool polls = false;                     // asks about the job every few seconds, all day
  std::optional<double> accepted_at;      // when it was answered so
  bool gave_up = false;
  bool cancelled = false;        // it has begun to ask for that
  size_t balancer_position = 0;  // the controller that its last connection went to
};

// All users of a day, known by their indices in all().
class SimulatedUsers {
 public:
  // The cluster must outlive the users.
  explicit SimulatedUsers(SimulatedCluster& cluster) : cluster_(cluster), world_(cluster.world) {}

  // --- Before the day begins ---

  SimulatedUser& Add(SimulatedUser user);
  // Schedules all first attempts to submit.
  void Begin();
  // Users whose connections all go to the first controller.
  std::function<bool(const SimulatedUser&)> pinned = [](const SimulatedUser&) { return false; };

  // --- During the day ---

  // The user cancels the job if it was accepted and not cancelled before, until it is answered.
  void Cancel(size_t user);
  // Lets up to `most` of the users that are accepted by the filter cancel within that time. Returns
  // how many do.
  size_t CancelSome(size_t most, double within_s,
                    const std::function<bool(const SimulatedUser&)>& filter);
  // Submits an accepted job again; it must not be refused.
  void SubmitAgain(size_t user);
  // Asks once for the job's state.
  void QueryStatus(size_t user);
  // Cancels a job that is done, which must stay done.
  void CancelDone(size_t user) { SendCancellation(user); }
  // Submits a job that can never run and must be refused.
  void SubmitInvalid(const wire::JobSpec& spec);

  size_t invalid_refused() const { return invalid_refused_; }
  const std::vector<SimulatedUser>& all() const { return users_; }
  std::vector<SimulatedUser>& all() { return users_; }

 private:
  // The next controller that takes connections; null if none of a few does.
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
