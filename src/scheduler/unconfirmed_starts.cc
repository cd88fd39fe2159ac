#include "mosspath/scheduler/unconfirmed_starts.h"

namespace mosspath::scheduler {
namespace {

constexpr double kMostLag = 2;  // times the list's usual lag

}  // namespace

UnconfirmedStarts::UnconfirmedStarts(const config::Settings& settings)
    : list_lag_s_(settings.machine_list_lag_s) {}

void UnconfirmedStarts::OnMachineList(const std::vector<wire::ListedMachine>& listed,
                                      double asked) {
  if (asked < list_requested_at_) return;
  list_requested_at_ = asked;
  listed_machines_.clear();
  for (const auto& l : listed) {
    if (l.state != wire::MachineState::kFailed) listed_machines_.emplace_back(l.address, l.id);
  }
}

bool UnconfirmedStarts::MayHaveRunElsewhere(const UnconfirmedStart& start,
                                            const cluster::ClusterState& picture,
                                            std::set<std::string>& doubted) const {
  // What was up when the order left is listed by then, unless it is gone.
  if (list_requested_at_ <
      start.sent_at + kMostLag * list_lag_s_ * (1 + 2 * config::kMaxClockDrift))
    return true;
  bool possible = false;
  for (const auto& [address, machine] : listed_machines_) {
    if (address != start.address && !address.empty()) continue;
    // One that another controller commands by now was handed over under a later token.
    if (machine == start.machine || picture.delegated_machines.contains(machine)) continue;
    const auto m = picture.machines.find(machine);
    if (m != picture.machines.end() && !m->second.address.empty() &&
        m->second.address != start.address) {
      continue;  // it says where it is
    }
    if (m == picture.machines.end() || m->second.fencing_token <= start.token) {
      if (m != picture.machines.end()) doubted.insert(machine);
      possible = true;
    } else if (!m->second.token_confirmed) {
      possible = true;
    }
  }
  return possible;
}

std::vector<wire::TaskId> UnconfirmedStarts::TakeRuledOut(const cluster::ClusterState& picture,
                                                          std::set<std::string>& doubted) {
  std::vector<wire::TaskId> out;
  for (auto it = starts_.begin(); it != starts_.end();) {
    if (MayHaveRunElsewhere(it->second, picture, doubted)) {
      ++it;
      continue;
    }
    out.push_back(it->first);
    it = starts_.erase(it);
  }
  return out;
}

}  // namespace mosspath::scheduler
