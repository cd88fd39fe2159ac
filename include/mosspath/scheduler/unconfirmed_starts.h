// Starts that a machine other than the intended one may have executed. A command batch is sent to
// an address. If its answer is lost and the intended machine is gone, another machine that has
// reused the address may run the task. No report of the intended machine can reveal that the task
// runs on another machine. Pure.
//
// Such a task is withheld until no other machine can run it. This is certain once the cloud's list
// of machines, requested late enough to include all machines that were up when the batch was sent,
// meets one of two conditions: no listed machine has that address, or each listed machine at that
// address has confirmed a fencing token higher than that of the batch, in a heartbeat that was
// reconciled (docs/design.md, 16).
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/time_points.h"

namespace mosspath::scheduler {

// Tracks the withheld tasks. Not thread-safe. Times are in seconds.
class UnconfirmedStarts {
 public:
  struct UnconfirmedStart {
    std::string machine;  // intended machine
    std::string address;  // destination of the batch
    uint64_t token = 0;   // fencing token of the batch
    double sent_at = 0;
  };

  explicit UnconfirmedStarts(const config::Settings& settings);

  void Add(const wire::TaskId& task, UnconfirmedStart start) { starts_[task] = std::move(start); }
  void Forget(const wire::TaskId& task) { starts_.erase(task); }
  bool empty() const { return starts_.empty(); }
  // Stores the cloud's list of all machines, which was requested at `requested_at`. Ignores a list
  // that was requested before the stored list.
  void OnMachineList(const std::vector<wire::ListedMachine>& listed, double requested_at);
  // Removes and returns the tasks that no machine other than the intended one can run. Adds to
  // `suspects` the machines that must confirm a higher token before more tasks can be returned.
  std::vector<wire::TaskId> TakeRuledOut(const cluster::ClusterState& cluster,
                                         std::set<std::string>& suspects);

 private:
  struct ListedAddress {
    std::string address;  // empty if the cloud does not report the address
    std::string machine;
  };
  bool MayHaveRunElsewhere(const UnconfirmedStart& start, const cluster::ClusterState& cluster,
                           std::set<std::string>& suspects) const;
  static bool MayHaveExecuted(const UnconfirmedStart& start, const ListedAddress& listed,
                              const cluster::ClusterState& cluster,
                              std::set<std::string>& suspects);

  const double list_lag_s_;
  std::map<wire::TaskId, UnconfirmedStart> starts_;
  // The last machine list: the time of its request, and the addresses of the listed machines.
  double list_requested_at_ = kLongAgo;
  std::vector<ListedAddress> listed_machines_;
};

}  // namespace mosspath::scheduler
