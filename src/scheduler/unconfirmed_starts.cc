#include "mosspath/scheduler/unconfirmed_starts.h"

namespace mosspath::scheduler {
namespace {

// The cloud's list of machines may lag by up to this many times its usual lag.
constexpr double kMaxListLagFactor = 2;

}  // namespace

UnconfirmedStarts::UnconfirmedStarts(const config::Settings& settings)
    : list_lag_s_(settings.machine_list_lag_s) {}

void UnconfirmedStarts::OnMachineList(const std::vector<wire::ListedMachine>& listed,
                                      double requested_at) {
  if (requested_at < list_requested_at_) return;
  list_requested_at_ = requested_at;
  listed_machines_.clear();
  for (const auto& machine : listed) {
    if (machine.state == wire::MachineState::kFailed) continue;
    listed_machines_.push_back({machine.address, machine.id});
  }
}

bool UnconfirmedStarts::MayHaveRunElsewhere(const UnconfirmedStart& start,
                                            const cluster::ClusterState& cluster,
                                            std::set<std::string>& suspects) const {
  // A list that is requested after the maximum lag includes all machines that were up when the
  // batch was sent, except machines that no longer exist.
  const double max_lag_s = kMaxListLagFactor * list_lag_s_ * (1 + 2 * config::kMaxClockDrift);
  if (list_requested_at_ < start.sent_at + max_lag_s) return true;
  bool possible = false;
  for (const ListedAddress& listed : listed_machines_) {
    possible = MayHaveExecuted(start, listed, cluster, suspects) || possible;
  }
  return possible;
}

// Returns whether the listed machine may have executed the start instead of the intended machine.
bool UnconfirmedStarts::MayHaveExecuted(const UnconfirmedStart& start, const ListedAddress& listed,
                                        const cluster::ClusterState& cluster,
                                        std::set<std::string>& suspects) {
  if (listed.address != start.address && !listed.address.empty()) return false;
  if (listed.machine == start.machine) return false;
  // A machine that is now delegated to another controller was handed over under a later token than
  // that of the batch.
  if (cluster.delegated_machines.contains(listed.machine)) return false;
  const auto it = cluster.machines.find(listed.machine);
  if (it == cluster.machines.end()) return true;
  const cluster::Machine& machine = it->second;
  const bool reports_other_address = !machine.address.empty() && machine.address != start.address;
  if (reports_other_address) return false;
  if (machine.min_heartbeat_token <= start.token) {
    suspects.insert(listed.machine);
    return true;
  }
  return !machine.token_confirmed;
}

std::vector<wire::TaskId> UnconfirmedStarts::TakeRuledOut(const cluster::ClusterState& cluster,
                                                          std::set<std::string>& suspects) {
  std::vector<wire::TaskId> ruled_out;
  for (auto it = starts_.begin(); it != starts_.end();) {
    if (MayHaveRunElsewhere(it->second, cluster, suspects)) {
      ++it;
      continue;
    }
    ruled_out.push_back(it->first);
    it = starts_.erase(it);
  }
  return ruled_out;
}

}  // namespace mosspath::scheduler
