#include "mosspath/scheduler/strays.h"

namespace mosspath::scheduler {
namespace {

constexpr double kMostLag = 2;  // times the list's usual lag

}  // namespace

Strays::Strays(const config::Settings& settings) : list_lag_s_(settings.list_lag_s) {}

void Strays::Listed(const std::vector<wire::ListedMachine>& listed, double asked) {
  if (asked < asked_) return;
  asked_ = asked;
  where_.clear();
  for (const auto& l : listed) {
    if (l.state != wire::MachineState::kFailed) where_.emplace_back(l.address, l.id);
  }
}

bool Strays::Possible(const Start& start, const cluster::Picture& picture,
                      std::set<std::string>& doubted) const {
  // What was up when the order left is listed by then, unless it is gone.
  if (asked_ < start.sent + kMostLag * list_lag_s_ * (1 + 2 * config::kDrift)) return true;
  bool possible = false;
  for (const auto& [address, machine] : where_) {
    if (address != start.address && !address.empty()) continue;
    // One that another controller commands by now was handed over under a later token.
    if (machine == start.machine || picture.lent.contains(machine)) continue;
    const auto m = picture.machines.find(machine);
    if (m != picture.machines.end() && !m->second.address.empty() &&
        m->second.address != start.address) {
      continue;  // it says where it is
    }
    if (m == picture.machines.end() || m->second.token <= start.token) {
      if (m != picture.machines.end()) doubted.insert(machine);
      possible = true;
    } else if (!m->second.confirmed) {
      possible = true;
    }
  }
  return possible;
}

std::vector<wire::TaskId> Strays::RuledOut(const cluster::Picture& picture,
                                           std::set<std::string>& doubted) {
  std::vector<wire::TaskId> out;
  for (auto it = starts_.begin(); it != starts_.end();) {
    if (Possible(it->second, picture, doubted)) {
      ++it;
      continue;
    }
    out.push_back(it->first);
    it = starts_.erase(it);
  }
  return out;
}

}  // namespace mosspath::scheduler
