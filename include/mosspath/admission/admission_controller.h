// Whether a job may be accepted now: one budget of tasks for the whole service, held by every
// controller against the same view of what is accepted, so that all of them draw the same line
// without asking. Pure: what the view shows, requests and the time in; verdicts out.
//
// Each team is assured a part of the budget, by weight: kAssured of it together. The rest is lent
// by a dynamic threshold (Choudhury and Hahne, 1998): a team may have accepted as much as its
// weight times what is free beyond what the others are assured and have not taken; a class as much
// as its rank's weight times what its team has left. So one that floods stops itself while there is
// room left for everybody else, and the more who flood the smaller each one's part.
//
// Invariants:
//   - what is accepted here and not in the view yet is at most this controller's part of what the
//     view shows free, or one job; the parts of all controllers are at most kPlanned (plan.h);
//   - a team within what it is assured is refused for no other team's work in the view;
//   - a team or a class that has nothing accepted may have a job, if there is room for it at all.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::admission {

// How much of what its team has left a class may have, and how often it is next among its team's:
// work that others wait for has room longest.
double PriorityWeight(wire::Priority rank);

struct AdmissionVerdict {
  bool admit = false;
  double retry_after_s = 0;  // when room is expected; spread, so that retries don't come at once
  std::string reason;        // which budget, of whom; for people
};

class AdmissionController {
 public:
  // `budget`: tasks of live jobs. Refused users are to come back within `least_s` to `most_s`.
  AdmissionController(double budget, std::vector<std::string> teams, double least_s, double most_s);

  // Weights of teams ("name") and classes ("team/class"), 1 if not named; 0: one job at a time.
  void SetWeights(std::map<std::string, double> weights);
  // Tasks that the team may have whatever others have.
  double Assured(const std::string& team) const;

  // --- The view ---
  void Clear();
  void OnAccepted(const wire::JobSpec& spec);
  void OnEnded(const std::string& id, double now);
  // The view has been loaded anew: it shows all that was durable until then.
  void OnLoaded(uint64_t revision);

  // --- Requests ---
  // If admitted it counts as under way, until the view shows it or one of the next two is called.
  AdmissionVerdict Request(const wire::JobSpec& spec, double part, double now);
  // It is durable since that revision.
  void OnDurable(const std::string& id, uint64_t revision);
  // It was not accepted, as far as is known here.
  void OnDropped(const std::string& id);

  double live() const { return live_; }
  double in_flight() const { return in_flight_; }
  double budget() const { return budget_; }
  // Tasks of a team in the view or under way.
  double TasksOf(const std::string& team) const;

  struct Count {
    uint64_t requested = 0;  // jobs
    uint64_t refused = 0;    // of them
  };
  // Since this process began, by team and class; beyond a thousand, of all others of a team.
  const std::map<std::pair<std::string, std::string>, Count>& counts() const { return counts_; }

 private:
  using ClassKey = std::pair<std::string, std::string>;
  struct Entry {
    ClassKey group;
    double tasks = 0;
    uint64_t revision = 0;  // under way: since when it is durable; 0: not known to be
  };

  // What the team is assured and has not taken.
  double UnusedAssured(const std::string& team) const;
  void Take(const ClassKey& of, double tasks);
  void Forget(const std::string& id);  // not under way any more
  double Weight(const std::string& name) const;
  AdmissionVerdict Refuse(const wire::JobSpec& spec, std::string why, double over,
                          double now) const;

  const double budget_;
  const std::vector<std::string> names_;
  const double min_retry_s_;
  const double max_retry_s_;
  std::map<std::string, double> weights_;
  std::map<std::string, double> assured_;
  double unused_assured_ = 0;  // by all teams
  std::unordered_map<std::string, Entry> live_jobs_;
  std::unordered_map<std::string, Entry> in_flight_jobs_;
  double live_ = 0;
  double in_flight_ = 0;
  std::map<std::string, double> teams_;  // in the view or under way
  std::map<ClassKey, double> classes_;
  // Tasks of jobs that ended lately, by second: how fast room comes free.
  double drained_ = 0;
  double drained_at_ = 0;
  std::map<ClassKey, Count> counts_;
};

}  // namespace mosspath::admission
