// Starts that another machine may have taken than they were meant for. An order goes to an address;
// when its answer is lost and the machine that was meant is gone, whoever was reached there may run
// the task, and nothing that is known of the machine that is gone tells of it. Pure.
//
// Such a task waits until no other machine can have it: a list of the cloud, asked for late enough
// to show all that were up when the order left, has none at that address, or each that it has there
// has shown a token above the order's, under which its own list has been taken in (docs/design.md,
// 16).
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

class UnconfirmedStarts {
 public:
  struct UnconfirmedStart {
    std::string machine;  // that was meant
    std::string address;  // where the order went
    uint64_t token = 0;   // that it was given under
    double sent_at = 0;
  };

  explicit UnconfirmedStarts(const config::Settings& settings);

  void Add(const wire::TaskId& task, UnconfirmedStart start) { starts_[task] = std::move(start); }
  void Forget(const wire::TaskId& task) { starts_.erase(task); }
  bool empty() const { return starts_.empty(); }
  // A whole list of machines, asked for at `asked`.
  void OnMachineList(const std::vector<wire::ListedMachine>& listed, double asked);
  // Tasks that no other machine can have, which are forgotten here. Machines that must show a
  // higher token for others go to `doubted`.
  std::vector<wire::TaskId> TakeRuledOut(const cluster::ClusterState& picture,
                                         std::set<std::string>& doubted);

 private:
  bool MayHaveRunElsewhere(const UnconfirmedStart& start, const cluster::ClusterState& picture,
                           std::set<std::string>& doubted) const;

  const double list_lag_s_;
  std::map<wire::TaskId, UnconfirmedStart> starts_;
  double list_requested_at_ = -1e18;                                  // for the last list
  std::vector<std::pair<std::string, std::string>> listed_machines_;  // in it: address, machine
};

}  // namespace mosspath::scheduler
