// Describes the scheduler's state for operators and users: the status snapshot, the reasons why
// tasks wait, and the periodic log line with the load. No scheduling decision depends on it. No I/O
// except logging.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::scheduler {

class StatusReporter {
 public:
  // `state` outlives this object.
  explicit StatusReporter(SchedulerState& state) : state_(state) {}

  // Returns the jobs, queues, machines, progress and incidents as of `now`.
  wire::StatusSnapshot MakeSnapshot(double now) const;
  // Logs one line with the current load, if it is due.
  void LogLoadIfDue(double now);

 private:
  // The reasons why tasks of a job wait. If several reasons apply, the status contains the first in
  // this order.
  enum class WaitingReason {
    kRecovery,
    kCrashLoop,
    kUnknownToAgents,
    kQuota,
    kNoMachineTypes,
    kMachinesBusy,
    kNoUsableMachine,
  };
  // A queue of the snapshot whose sums are still being computed, and the number of its waiting
  // tasks by reason.
  struct QueueSummary {
    wire::StatusSnapshot::Queue queue;
    std::map<WaitingReason, size_t> waiting_by_reason;
  };
  using QueueSummaries = std::map<std::string, QueueSummary>;  // by class or team

  // Returns std::nullopt if no task of the job waits.
  std::optional<WaitingReason> WaitingReasonOf(const jobs::Job& job, double now) const;
  static const char* Describe(WaitingReason reason);
  bool HasUsableMachine(const jobs::Job& job, double now) const;
  void SummarizeJobs(double now, wire::StatusSnapshot& snapshot) const;
  static void AddToQueue(const jobs::Job& job, std::optional<WaitingReason> reason, double now,
                         QueueSummary& summary);
  static void AppendQueues(QueueSummaries summaries,
                           const std::map<std::string, ActivityTracker::LastActivity>& activity,
                           double now, std::vector<wire::StatusSnapshot::Queue>& queues);
  void SummarizeMachines(double now, wire::StatusSnapshot& snapshot) const;
  // Returns the machines that accept new tasks, whichever controller commands them.
  std::vector<const cluster::Machine*> SchedulableMachines(double now) const;
  std::string WaitingByClass() const;
  void LogCommandCounts() const;

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
