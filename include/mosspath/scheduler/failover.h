// What a new leader has to find out before it may start tasks of earlier jobs, and whether it can
// find out anything at all. Pure.
//
// Workers find a new leader only after their reports to the old one have timed out, so it asks
// them: an order without commands makes a worker take our token, and its answer says what it has.
// From then on it takes nothing from earlier leaders, so the answer tells as much as a report
// (rule 5 of docs/design.md).
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/command_batch.h"
#include "mosspath/scheduler/task_reconciliation.h"

namespace mosspath::scheduler {

// Times that a machine is asked in vain before it counts as a straggler.
inline constexpr int kMaxFailedProbes = 2;

class Failover {
 public:
  // `now` is after the last moment at which an earlier leader could have answered a worker.
  Failover(const config::Settings& settings, const config::DerivedSettings& derived, double now);

  double began_at() const { return began_at_; }
  // Since it began, or last stood still.
  double listening_since() const { return listening_since_; }
  // Every place that tasks of earlier leaders could be at is known.
  bool recovery_complete() const { return machines_left_ == 0 && awaited_leases_.empty(); }

  // A machine of the predecessor's list, or one that another controller commanded until now, which
  // only that controller's tasks wait for (`counted` false).
  void AddMachine(cluster::Machine& m, bool counted = true);
  // The holder of this lease has not told yet what it has.
  void AwaitHolder(uint64_t lease) { awaited_leases_.insert(lease); }
  bool IsAwaiting(uint64_t lease) const { return awaited_leases_.contains(lease); }
  // It has, or its machines are asked instead. True: nothing else is waited for.
  bool OnHolderSynced(uint64_t lease) {
    return awaited_leases_.erase(lease) > 0 && recovery_complete();
  }
  // The machine is known, or certainly has nothing of earlier leaders; true if it was the last.
  bool OnMachineKnown(cluster::Machine& m);

  // Questions that are due, up to `most` orders in all.
  void TakeProbes(cluster::Machines& machines, double now, size_t most,
                  std::vector<CommandBatch>& out);
  // A question has ended, however.
  void OnProbeEnded() { probes_in_flight_ -= probes_in_flight_ > 0 ? 1 : 0; }
  // What the worker answered, if anything. False: nothing can be concluded from it.
  bool OnProbeAnswer(cluster::Machine& m, const CommandBatch& order, CommandOutcome outcome,
                     const wire::Heartbeat* report, double now) const;
  // Workers may not have found us yet: asked again until they have.
  bool agents_may_be_searching(double now) const { return now - began_at_ < search_s_; }
  // Machines that are given up so that the others needn't wait.
  std::vector<std::string> Stragglers(const cluster::Machines& machines,
                                      const TaskReconciliation& search, double now) const;

  // Most workers that were heard are silent now, all at once.
  bool IsPartitionedFromAgents(const cluster::Machines& machines, double now);
  void OnProcessStall(double now);

 private:
  const double began_at_;
  const double report_s_;
  const double search_s_;
  const double ask_s_;
  const double find_s_;
  const double silent_s_;
  const double gone_s_;
  double listening_since_;
  double partitioned_since_ = -1;
  size_t machines_left_ = 0;           // machines that are not ruled out yet
  size_t machines_total_ = 0;          // machines taken over in all
  std::set<uint64_t> awaited_leases_;  // leases
  size_t probes_in_flight_ = 0;        // of them, how many are being asked
};

}  // namespace mosspath::scheduler
