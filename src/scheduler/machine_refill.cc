#include "mosspath/scheduler/machine_refill.h"

#include "mosspath/scheduler/image_fetch.h"

namespace mosspath::scheduler {

using cluster::Machine;
using jobs::Job;

namespace {

// A job is placed only if its image fetch takes at most this many times the job's age. A job that
// was just submitted therefore waits for a machine that has its image.
constexpr double kMaxFetchPerAge = 2;
// To save an image fetch, a job with an earlier virtual deadline may be passed over if the
// deadlines differ by less than this many times the duration of the fetch.
constexpr double kMaxDelayPerFetch = 3;

// Returns the virtual deadline plus the cost of the image fetch to this machine.
double DeadlineWithFetch(const Job& job, const Machine& machine) {
  return job.virtual_deadline + kMaxDelayPerFetch * ImageFetchS(job, machine);
}

bool HasNoFreeCpus(const Machine& machine) { return machine.used_cpus >= machine.cpus; }

}  // namespace

MachineRefill::MachineRefill(const CapacityReservation& reservation, const MachineFilter& filter,
                             StartGate& start_gate, TaskBinder& binder)
    : reservation_(reservation), filter_(filter), start_gate_(start_gate), binder_(binder) {}

void MachineRefill::Run(Machine& machine, OverdueFirstTasks& overdue, const DeficitQueue& deficits,
                        const std::vector<Job*>& waiting_jobs, double now) {
  PlaceOverdue(machine, overdue, now);
  PlaceDeficits(machine, deficits, now);
  PlaceInOrder(machine, waiting_jobs, now);
}

bool MachineRefill::CanPlace(Job& job, const Machine& machine, double now) {
  const wire::JobSpec& spec = job.spec;
  if (job.pending.empty() || !machine.Fits(spec)) return false;
  if (!reservation_.MayTake(spec, machine)) return false;
  // Gangs, services and jobs whose tasks must share a zone or spread over zones need a pass over
  // all machines.
  if (spec.kind != wire::JobKind::kArray || spec.single_zone || spec.spread_over_zones) {
    return false;
  }
  if (now < job.not_before) return false;
  if (ImageFetchS(job, machine) > kMaxFetchPerAge * (now - job.submitted_at)) return false;
  return filter_.IsAllowedOn(job, machine, now) && start_gate_.PlaceableTasks(job) > 0 &&
         start_gate_.HasDurableStartMarker(job);
}

void MachineRefill::PlaceOverdue(Machine& machine, OverdueFirstTasks& overdue, double now) {
  for (Job* job : overdue.jobs()) {
    if (!overdue.MayPlace(*job) || !CanPlace(*job, machine, now)) continue;
    binder_.Bind(*job, machine, now);
    overdue.OnAttempted(*job, now);
  }
}

void MachineRefill::PlaceDeficits(Machine& machine, const DeficitQueue& deficits, double now) {
  for (Job* job : deficits.jobs()) {
    while (deficits.TasksAhead(*job) > 0 && CanPlace(*job, machine, now)) {
      if (!binder_.Bind(*job, machine, now)) break;
    }
    if (HasNoFreeCpus(machine)) return;
  }
}

void MachineRefill::PlaceInOrder(Machine& machine, const std::vector<Job*>& waiting_jobs,
                                 double now) {
  bool objective_job_waits = false;
  for (size_t i = 0; i < waiting_jobs.size(); ++i) {
    Job* job = waiting_jobs[i];
    if (job->best_effort && objective_job_waits) return;
    objective_job_waits =
        objective_job_waits ||
        (job->can_meet_objective && !job->pending.empty() && start_gate_.PlaceableTasks(*job) > 0);
    while (CanPlace(*job, machine, now)) {
      Job* chosen = ChooseByFetch(waiting_jobs, i, machine, now);
      if (!binder_.Bind(*chosen, machine, now)) break;
    }
    if (HasNoFreeCpus(machine)) return;
  }
}

Job* MachineRefill::ChooseByFetch(const std::vector<Job*>& waiting_jobs, size_t first,
                                  const Machine& machine, double now) {
  Job* job = waiting_jobs[first];
  Job* chosen = job;
  double earliest = DeadlineWithFetch(*job, machine);
  for (size_t i = first + 1; i < waiting_jobs.size(); ++i) {
    if (earliest <= job->virtual_deadline) break;
    Job* other = waiting_jobs[i];
    if (other->priority_band != job->priority_band || other->virtual_deadline >= earliest) break;
    if (!CanPlace(*other, machine, now)) continue;
    const double deadline = DeadlineWithFetch(*other, machine);
    if (deadline >= earliest) continue;
    earliest = deadline;
    chosen = other;
  }
  return chosen;
}

}  // namespace mosspath::scheduler
