// Checks a simulated day against what the users require of a deployment.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"

namespace mosspath::simulation {

// Sees what happens on the machines and what users are answered, and records every breach of a rule
// as a sentence that begins with the rule's name. It knows nothing of what the controllers believe.
// All times are simulated seconds, in the order of the calls.
class RuleChecker {
 public:
  RuleChecker(const config::Settings& settings, const std::vector<wire::MachineType>& types)
      : settings_(settings), types_(types) {}

  // --- What users do and are answered ---

  // A valid job is submitted, for the first time or again.
  void OnSubmitted(const wire::JobSpec& spec, double now);
  // A job that can never run is submitted; accepting it is a breach.
  void OnInvalidSubmitted(const wire::JobSpec& spec) { jobs_[spec.id].spec = spec; }
  // The user has the answer that the job is accepted; from now on it must never be forgotten.
  void OnAccepted(const std::string& id, double now);
  // A submission of the job was refused for good.
  void OnRefused(const std::string& id);
  // A status question that was asked at `asked_at` is answered now.
  void OnStatusAnswered(const std::string& id, int http_status, wire::JobState state,
                        double asked_at, double now);
  void OnCancellationRequested(const std::string& id) { jobs_[id].cancellation_requested = true; }
  // The cancellation or the completion of the job is durable and confirmed.
  void OnCancellationConfirmed(const std::string& id, double now);
  void OnCompletionConfirmed(const std::string& id);

  // --- What happens on machines ---

  void OnTaskStarted(const wire::TaskId& task, const std::string& machine, const std::string& type,
                     const std::string& zone, bool spot, double now);
  // The task no longer runs on that machine, whatever the reason.
  void OnTaskLeft(const wire::TaskId& task, const std::string& machine);
  // Returns whether it was the last task of its job that had not completed.
  bool OnTaskCompleted(const wire::TaskId& task);

  // --- Waiting beside room ---

  // A job with tasks to start.
  struct WaitingJob {
    const wire::JobSpec* spec = nullptr;  // valid until the next call of a non-const member
    std::map<std::string, size_t> running_by_zone;  // its other tasks
    bool team_has_room = true;                      // one more task stays within the team's quota
  };
  // Accepted jobs with tasks that have neither completed nor run now.
  std::vector<WaitingJob> WaitingJobs() const;
  // These machines could run one more task of the job now; called for a waiting job at short
  // intervals once all faults are over.
  void OnMachinesWithRoom(const std::string& id, const std::vector<std::string>& machines,
                          double now);

  // --- Time ---

  // Some fault lasts until that time; the rules on liveness apply after the last of them.
  void OnFaultUntil(double until) { faults_until_ = std::max(faults_until_, until); }
  double faults_until() const { return faults_until_; }
  // Checks what only the passing of time can break; called at short intervals.
  void CheckNow(double now);
  // Checks who was served by less than half or began too late, at the end of the day.
  // `capacity_cpus`: of all machines together.
  void CheckEndOfDay(double capacity_cpus);

  // --- Results ---

  void AddBreach(const std::string& sentence) { breaches_.push_back(sentence); }
  const std::vector<std::string>& breaches() const { return breaches_; }
  size_t starts() const { return starts_; }
  size_t done_jobs() const;
  bool IsDone(const std::string& id) const;
  // When each cancellation was confirmed.
  const std::vector<double>& cancellations() const { return cancellations_; }
  // The longest time from a confirmed cancellation to a start that was under way meanwhile.
  double latest_cancelled_start_s() const { return latest_cancelled_start_s_; }
  // The longest time from a first attempt to submit to the first start, of the largest of each
  // class.
  double latest_begin_s() const { return latest_begin_s_; }
  // The longest time between two answers about a job once all faults are over.
  double longest_unanswered_s() const { return longest_unanswered_s_; }

 private:
  struct Placement {
    std::string machine;
    std::string zone;
  };
  struct ResourceUse {
    double cpus = 0;
    double gpus = 0;
  };
  struct Job {
    wire::JobSpec spec;
    std::set<uint32_t> completed;
    std::map<uint32_t, Placement> running;  // by task index
    bool done = false;
    std::optional<double> cancelled_at;
    std::optional<double> submitted_at;  // the first attempt
    std::optional<double> accepted_at;   // when its user was answered so
    std::optional<double> begun_at;      // when a task of it first started
    double last_answered_at = 0;
    bool cancellation_requested = false;
    bool reported_forgotten = false;
    bool reported_down = false;
    bool reported_waiting = false;
    std::optional<wire::JobState> final_state;  // as its user was first answered
    double final_state_at = 0;
    std::map<std::string, double> room_since;  // machines that have had room ever since
    double last_start_at = 0;
  };
  // How many of a group of jobs were served.
  struct Share {
    size_t submitted = 0;
    size_t served = 0;
  };
  using Shares = std::map<std::string, Share>;

  bool CanEverRun(const wire::JobSpec& spec) const;
  bool FitsIntoZone(const wire::JobSpec& spec, const std::string& zone) const;
  bool TeamHasRoom(const wire::JobSpec& spec) const;
  bool CancellationOverdue(const Job& job, double now) const;
  void CheckPlacement(const Job& job, const wire::TaskId& task, const std::string& machine,
                      const std::string& type, const std::string& zone, bool spot);
  void CheckQuota(const wire::JobSpec& spec, const std::string& task_name);
  void CheckReplicas(Job& job, double now);
  void CheckForgotten(Job& job, double now);
  // Looks at the tenth of a class with the most tasks.
  void CheckLargest(const std::string& job_class, std::vector<const Job*> jobs,
                    double capacity_cpus, Share& share);

  const config::Settings settings_;
  const std::vector<wire::MachineType> types_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, ResourceUse> use_by_team_;
  std::vector<std::string> breaches_;
  std::vector<double> cancellations_;
  size_t starts_ = 0;
  double latest_cancelled_start_s_ = 0;
  double faults_until_ = 0;
  double latest_begin_s_ = 0;
  double longest_unanswered_s_ = 0;
};

}  // namespace mosspath::simulation
