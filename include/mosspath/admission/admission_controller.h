// Admission control of jobs: one budget of tasks for the whole service. Each controller keeps
// a view of the accepted jobs: what the controller has read of the key-value store, up to a
// revision. All controllers apply the budget to the same replicated data, so they compute the same
// limits without coordination. No I/O: changes of the view, requests and the time are the inputs,
// and verdicts are the outputs.
//
// Each team is assured a part of the budget, in proportion to its weight; the assured parts sum to
// kAssuredShare of the budget. The rest is allotted by a dynamic threshold (Choudhury and Hahne,
// 1998). A team's limit is the larger of its assured part and its weight times the budget that is
// free beyond the unused assured parts of the other teams. A class's limit is the weight of its
// priority, times its own weight, times what its team's limit leaves. A team that floods therefore
// stops at its limit while budget is left for others, and the more teams flood, the lower the limit
// of each.
//
// Invariants:
//   - the tasks of jobs that this controller has accepted, and that its view does not contain
//     yet, sum to at most this controller's share of the budget that is free in the view, or belong
//     to a single job; the shares of all controllers sum to at most kPlannedFraction
//     (admission_plan.h);
//   - a team within its assured part is not refused because of other teams' jobs in the view;
//   - the limit of a team or class does not refuse the first job of that team or class, whatever
//     the size of the job; the free budget still limits the job.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::admission {

// Returns the weight of a priority. The weight is used in the limit of a class, and in the fair
// queue among the classes of a team. Under load, higher priorities are refused last.
double PriorityWeight(wire::Priority priority);

struct AdmissionVerdict {
  bool admit = false;
  double retry_after_s = 0;  // estimated time until the job fits; spread, so retries don't coincide
  std::string reason;        // human-readable: which limit, and of which team or class
};

// Decides on requests, and counts accepted tasks. Not thread-safe. A job is in flight from its
// admission until the job appears in the view or its submission has failed. A job in the view that
// has not ended is live.
class AdmissionController {
 public:
  // `budget`: maximum number of tasks of accepted jobs that have not ended. `min_retry_s`,
  // `max_retry_s`: range of the retry time of refused requests, before its spread.
  AdmissionController(double budget, std::vector<std::string> teams, double min_retry_s,
                      double max_retry_s);

  // Sets the weights by team ("name") and class ("team/class"). An absent weight is 1. A team or
  // class of weight 0 may have one job at a time.
  void SetWeights(std::map<std::string, double> weights);
  // Returns how many accepted tasks the team may have, however many tasks other teams have.
  double Assured(const std::string& team) const;

  // --- Changes of the view ---
  // Removes all jobs of the view, which is about to be reloaded. Jobs in flight stay.
  void Clear();
  void OnAccepted(const wire::JobSpec& spec);
  void OnEnded(const std::string& id, double now);
  // Called when the view was reloaded after Clear, and is complete up to `revision`.
  void OnLoaded(uint64_t revision);

  // --- Requests ---
  // Decides on a request. `share`: this controller's share of the free budget. An admitted job is
  // in flight from now on.
  AdmissionVerdict Request(const wire::JobSpec& spec, double share, double now);
  // Called when the record of the in-flight job was written at `revision`. The view may have been
  // reloaded up to that revision already.
  void OnDurable(const std::string& id, uint64_t revision);
  // Called when the submission has failed, as far as this controller can tell. Removes the job
  // unless it is durable.
  void OnDropped(const std::string& id);

  double live() const { return live_; }
  double in_flight() const { return in_flight_; }
  double budget() const { return budget_; }
  // Returns the team's tasks in the view and in flight.
  double TasksOf(const std::string& team) const;

  struct Count {
    uint64_t requested = 0;  // jobs
    uint64_t refused = 0;    // jobs, of those requested
  };
  // Counts since construction, by team and class. Beyond 1000 entries, new classes of a team
  // are counted together as "others".
  const std::map<std::pair<std::string, std::string>, Count>& counts() const { return counts_; }

 private:
  using ClassKey = std::pair<std::string, std::string>;
  struct Entry {
    ClassKey group;
    double tasks = 0;
    uint64_t revision = 0;  // in flight: revision of the durable record; 0: not known to be durable
  };

  // Returns the part of the team's assured tasks that the team does not use.
  double UnusedAssured(const std::string& team) const;
  // Adds tasks to the sums of the team and class; negative `tasks` subtracts.
  void AddTasks(const ClassKey& key, double tasks);
  void RemoveInFlight(const std::string& id);
  // Removes an in-flight job whose record was written before the view was last loaded. The job is
  // not in the view, so it has ended. No event reports that end, so the job would otherwise stay in
  // flight forever.
  void RemoveIfEndedUnseen(const std::string& id);
  double Weight(const std::string& name) const;
  // `excess_tasks`: by how many tasks the job exceeds the limit. The retry time is computed from
  // `excess_tasks`.
  AdmissionVerdict Refuse(const wire::JobSpec& spec, std::string reason, double excess_tasks,
                          double now) const;

  const double budget_;
  const std::vector<std::string> team_names_;
  const double min_retry_s_;
  const double max_retry_s_;
  std::map<std::string, double> weights_;
  std::map<std::string, double> assured_;
  double unused_assured_ = 0;  // sum over all teams
  std::unordered_map<std::string, Entry> live_jobs_;
  std::unordered_map<std::string, Entry> in_flight_jobs_;
  double live_ = 0;
  double in_flight_ = 0;
  uint64_t loaded_revision_ = 0;  // of the last OnLoaded
  // Tasks in the view and in flight.
  std::map<std::string, double> tasks_by_team_;
  std::map<ClassKey, double> tasks_by_class_;
  // Tasks of ended jobs, decayed exponentially; determines the rate at which budget is freed.
  double ended_tasks_ = 0;
  double ended_tasks_at_ = 0;
  std::map<ClassKey, Count> counts_;
};

}  // namespace mosspath::admission
