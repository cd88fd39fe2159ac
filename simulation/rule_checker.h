// Checks a simulated day against the users' requirements of a deployment.
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

// Receives the events on machines and the answers to users, and records every breach of a rule as a
// message that begins with the rule's name. The checker does not read the controllers' state. All
// times are simulated seconds; events must be reported in order of time. Not thread-safe.
class RuleChecker {
 public:
  RuleChecker(const config::Settings& settings, const std::vector<wire::MachineType>& types)
      : settings_(settings), types_(types) {}

  // --- User requests and answers ---

  // A valid job is submitted, for the first time or again.
  void OnSubmitted(const wire::JobSpec& spec, double now);
  // A job that can never run is submitted; accepting it is a breach.
  void OnInvalidSubmitted(const wire::JobSpec& spec) { jobs_[spec.id].spec = spec; }
  // The user receives the acceptance of the job. From now on the controllers must never lose the
  // job.
  void OnAccepted(const std::string& id, double now);
  // A submission of the job is refused permanently. The refusal of an accepted job is a breach.
  void OnRefused(const std::string& id);
  // The user receives the answer to a status query or cancellation that was sent at `sent_at`.
  void OnStatusAnswered(const std::string& id, int http_status, wire::JobState state,
                        double sent_at, double now);
  void OnCancellationRequested(const std::string& id) { jobs_[id].cancellation_requested = true; }
  // The cancellation of the job, or its completion, is durable and confirmed.
  void OnCancellationConfirmed(const std::string& id, double now);
  void OnCompletionConfirmed(const std::string& id);

  // --- Events on machines ---

  void OnTaskStarted(const wire::TaskId& task, const std::string& machine, const std::string& type,
                     const std::string& zone, bool spot, double now);
  // The task no longer runs on that machine, whatever the reason.
  void OnTaskLeft(const wire::TaskId& task, const std::string& machine);
  // Returns whether this completion is the last one of the task's job.
  bool OnTaskCompleted(const wire::TaskId& task);

  // --- Jobs that wait despite free capacity ---

  // An accepted, live job with tasks that are neither completed nor running.
  struct WaitingJob {
    const wire::JobSpec* spec = nullptr;  // valid until the next call of a non-const member
    std::map<std::string, size_t> running_by_zone;  // number of the job's running tasks by zone
    bool team_has_room = true;                      // the team's quota allows one more task
  };
  std::vector<WaitingJob> WaitingJobs() const;
  // Each machine in `machines` has free capacity for one more task of the job. Must be called for
  // each waiting job at short intervals after the end of all faults.
  void OnMachinesWithRoom(const std::string& id, const std::vector<std::string>& machines,
                          double now);

  // --- Time ---

  // A fault lasts until the time `until`. The liveness rules apply after the end of the last fault.
  void OnFaultUntil(double until) { faults_until_ = std::max(faults_until_, until); }
  double faults_until() const { return faults_until_; }
  // Checks the rules that the passing of time can break. Must be called at short intervals.
  void CheckNow(double now);
  // At the end of the day, reports teams and classes with fewer than half of their jobs served, and
  // large jobs that started too late. `capacity_cpus` is the number of CPUs of all machines.
  void CheckEndOfDay(double capacity_cpus);

  // --- Results ---

  void AddBreach(const std::string& message) { breaches_.push_back(message); }
  const std::vector<std::string>& breaches() const { return breaches_; }
  size_t starts() const { return starts_; }
  size_t done_jobs() const;
  bool IsDone(const std::string& id) const;
  // The times at which cancellations were confirmed.
  const std::vector<double>& cancellations() const { return cancellations_; }
  // The longest time from the confirmed cancellation of a job to a later start of one of its tasks.
  double latest_cancelled_start_s() const { return latest_cancelled_start_s_; }
  // The longest time from the first submission attempt to the first task start, among the largest
  // jobs of each class.
  double latest_begin_s() const { return latest_begin_s_; }
  // The longest time without an answer about an accepted job, after the end of all faults.
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
    std::optional<double> submitted_at;  // time of the first submission attempt
    std::optional<double> accepted_at;   // when the user received the acceptance
    std::optional<double> begun_at;      // when one of its tasks first started
    double last_answered_at = 0;
    bool cancellation_requested = false;
    bool reported_forgotten = false;
    bool reported_down = false;
    bool reported_waiting = false;
    std::optional<wire::JobState> final_state;  // the first final state that the user received
    double final_state_at = 0;
    // For each machine that has room for one more task of the job: the time since which it has
    // room.
    std::map<std::string, double> room_since;
    double last_start_at = 0;
  };
  // Counts of a group of jobs.
  struct ServedCount {
    size_t submitted = 0;
    size_t served = 0;
  };
  using ServedCounts = std::map<std::string, ServedCount>;

  bool CanEverRun(const wire::JobSpec& spec) const;
  bool FitsIntoZone(const wire::JobSpec& spec, const std::string& zone) const;
  bool TeamHasRoom(const wire::JobSpec& spec) const;
  bool CancellationOverdue(const Job& job, double now) const;
  void CheckPlacement(const Job& job, const wire::TaskId& task, const std::string& machine,
                      const std::string& type, const std::string& zone, bool spot);
  void CheckQuota(const wire::JobSpec& spec, const std::string& task_name);
  void CheckReplicas(Job& job, double now);
  void CheckForgotten(Job& job, double now);
  // Checks the largest 10% of a class's jobs by task count.
  void CheckLargest(const std::string& job_class, std::vector<const Job*> jobs,
                    double capacity_cpus, ServedCount& count);

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
