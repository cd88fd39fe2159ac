// Starts that may have been taken by another machine than they were meant for. A command batch goes
// to an address. When its answer is lost and the machine that was meant is gone, whichever machine
// was reached at that address may run the task, and nothing that is known of the machine that is
// gone tells of it. Pure.
//
// Such a task waits until no other machine can have it: a list of the cloud, requested late enough
// to show all machines that were up when the batch was sent, has none at that address, or each that
// it has there has shown a token above the batch's, under which its own heartbeat has been taken in
// (docs/design.md, 16).
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

class UnconfirmedStarts {
 public:
  struct UnconfirmedStart {
    std::string machine;  // that was meant
    std::string address;  // that the batch was sent to
    uint64_t token = 0;   // that the batch was sent under
    double sent_at = 0;
  };

  explicit UnconfirmedStarts(const config::Settings& settings);

  void Add(const wire::TaskId& task, UnconfirmedStart start) { starts_[task] = std::move(start); }
  void Forget(const wire::TaskId& task) { starts_.erase(task); }
  bool empty() const { return starts_.empty(); }
  // The cloud's list of all machines, requested at `requested_at`. Older lists than the last one
  // are ignored.
  void OnMachineList(const std::vector<wire::ListedMachine>& listed, double requested_at);
  // Removes and returns the tasks that no other machine can have. Adds to `suspects` the machines
  // that must show a higher token before more tasks can be ruled out.
  std::vector<wire::TaskId> TakeRuledOut(const cluster::ClusterState& cluster,
                                         std::set<std::string>& suspects);

 private:
  struct ListedAddress {
    std::string address;  // empty if the cloud doesn't say
    std::string machine;
  };
  bool MayHaveRunElsewhere(const UnconfirmedStart& start, const cluster::ClusterState& cluster,
                           std::set<std::string>& suspects) const;
  static bool MayHaveTaken(const UnconfirmedStart& start, const ListedAddress& listed,
                           const cluster::ClusterState& cluster, std::set<std::string>& suspects);

  const double list_lag_s_;
  std::map<wire::TaskId, UnconfirmedStart> starts_;
  // Of the last list.
  double list_requested_at_ = kLongAgo;
  std::vector<ListedAddress> listed_machines_;
};

}  // namespace mosspath::scheduler
