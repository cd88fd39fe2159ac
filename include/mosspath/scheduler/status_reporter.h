// Describes the scheduler's state for people: the status snapshot, why tasks wait, and the periodic
// log line with the load. Nothing is decided on it. Pure.
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

  // Returns jobs, queues, machines, progress and incidents as of `now`.
  wire::StatusSnapshot MakeSnapshot(double now) const;
  // Writes one log line from which the load can be followed, if one is due.
  void LogLoadIfDue(double now);

 private:
  // Why the waiting tasks of a job wait. The first that applies is shown.
  enum class WaitingReason {
    kRecovery,
    kCrashLoop,
    kUnknownToAgents,
    kQuota,
    kNoMachineTypes,
    kMachinesBusy,
    kNoUsableMachine,
  };
  // A queue of the snapshot while it is being summed up, with the number of its waiting tasks by
  // the reason that they wait for.
  struct QueueSummary {
    wire::StatusSnapshot::Queue queue;
    std::map<WaitingReason, size_t> waiting_by_reason;
  };
  using QueueSummaries = std::map<std::string, QueueSummary>;  // by class or team

  // Returns nothing if no task of the job waits.
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
  // Machines that take new tasks, whichever controller commands them.
  std::vector<const cluster::Machine*> SchedulableMachines(double now) const;
  std::string WaitingByClass() const;

  SchedulerState& state_;
};

}  // namespace mosspath::scheduler
