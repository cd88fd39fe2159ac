// Turns: what each team and class with unfinished work may have of the pool ahead of everybody
// else, however much urgent work waits. Pure.
//
// A turn is a share of the CPUs in use at a moment, not a debt that is kept: a group is owed what
// its floor exceeds its use by, and what it is owed goes first. Use times time is what a share of
// service is, so holding the floor at every moment is what start-time fair queueing gives over
// time, and there is nothing to remember: a successor knows it from the picture
// (docs/admission.md).
//
// Invariants:
//   - the floors of all teams are at most their guarantees and kTeams of the pool together, those
//   of a
//     team's classes at most kClasses of what the team has or is owed;
//   - a group takes ahead at most what it is owed and one task (or one gang);
//   - what isn't asked for is nobody's: the rest of the pool goes in the common order.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"

namespace mosspath::scheduler {

class FairShare {
 public:
  explicit FairShare(const std::vector<config::Team>& teams) : teams_(teams) {}

  // `share`: of the pool, for the turns of all teams, and again of what a team has for those of its
  // classes; 0: no turns. `weights`: of a team ("name") or of a class ("name/class"), 1 if not
  // named; 0: no turns.
  void Configure(double share, std::map<std::string, double> weights) {
    share_ = share;
    weights_ = std::move(weights);
  }

  // Anew from what is there. `startable`: jobs with tasks that may start now.
  void BeginPass(double pool_cpus);
  void AddJob(const jobs::Job& job, bool startable);
  void ComputeFloors();

  // CPUs that the job's team or class may have ahead of others.
  double DeficitCpus(const jobs::Job& job) const;
  bool has_deficit() const { return has_deficit_; }
  // A task of the job was placed.
  void OnAllocated(const jobs::Job& job, double cpus);
  // One of its tasks is to be stopped for another's; false: its team or class would then be below
  // what it is to have.
  bool MayPreempt(const jobs::Job& job, double cpus) const;
  void OnPreempted(const jobs::Job& job, double cpus) { OnAllocated(job, -cpus); }

 private:
  struct Group {
    double floor_cpus = 0;
    double used_cpus = 0;
    double unfinished_cpus = 0;  // that its unfinished tasks would take
    double waiting_cpus = 0;
    double DeficitCpus() const {
      return waiting_cpus > 0 && used_cpus < floor_cpus ? floor_cpus - used_cpus : 0;
    }
  };
  using ClassKey = std::pair<std::string, std::string>;  // team, class

  double Weight(const std::string& name) const;

  const std::vector<config::Team> teams_;
  std::map<std::string, double> weights_;
  double share_ = 0;
  double pool_cpus_ = 0;
  std::map<std::string, Group> team_groups_;
  std::map<ClassKey, Group> class_groups_;
  bool has_deficit_ = false;
};

}  // namespace mosspath::scheduler
