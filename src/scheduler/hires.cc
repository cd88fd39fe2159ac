#include "mosspath/scheduler/hires.h"

#include <algorithm>
#include <set>

namespace mosspath::scheduler {
namespace {

constexpr size_t kMaxDead = 4096;
constexpr double kBootPatience = 2.5;  // boot times after which a machine is given up
constexpr double kLatelyBoots = 2;     // boot times, or
constexpr double kLatelyReports = 10;  // reports, over which the largest urgent job counts
constexpr double kUpPatience = 4;      // leases, for a machine that is up to find us

cluster::Machine* Find(const Hires::Fleet& fleet, const std::string& id) {
  for (cluster::Machines* machines : fleet) {
    if (const auto it = machines->find(id); it != machines->end()) return &it->second;
  }
  return nullptr;
}

}  // namespace

Hires::Hires(const config::Settings& settings, const config::Derived& derived)
    : report_s_(settings.report_s),
      lease_s_(settings.lease_s),
      list_lag_s_(settings.list_lag_s),
      silent_s_(derived.silent_s) {}

void Hires::Rented(const std::vector<std::string>& ids, const autoscaler::Wish& offer,
                   const Fleet& fleet, double now) {
  for (const auto& id : ids) {
    if (dead_.contains(id)) continue;
    const cluster::Machine* m = Find(fleet, id);
    if (m != nullptr && !m->address.empty()) continue;
    booting_[id] = {{offer.type, offer.zone, offer.spot, 1}, now, false};
  }
}

void Hires::Refused(const autoscaler::Wish& offer, double until) {
  closed_until_[{offer.type, offer.zone, offer.spot}] = until;
}

void Hires::Deleted(const std::string& id, double now) {
  booting_.erase(id);
  dead_[id] = now;
  while (dead_.size() > kMaxDead) {
    dead_.erase(std::min_element(dead_.begin(), dead_.end(),
                                 [](auto& a, auto& b) { return a.second < b.second; }));
  }
}

void Hires::Listed(const std::vector<wire::ListedMachine>& listed, const Fleet& fleet, double asked,
                   double now) {
  std::set<std::string> names;
  for (const auto& l : listed) {
    names.insert(l.id);
    if (dead_.contains(l.id)) continue;
    const bool failed = l.state == wire::MachineState::kFailed;
    if (cluster::Machine* m = Find(fleet, l.id)) {
      m->failed = failed;
      m->unlisted = false;
      if (!m->address.empty() || m->inherited || m->lease != 0) continue;
    }
    // Not heard of yet: booting, rented by an earlier leader, or never coming up.
    auto [it, added] = booting_.try_emplace(l.id);
    Booting& b = it->second;
    if (added) {
      b.offer = {l.type, l.zone, l.spot, 1};
      b.since = now - l.age_s;
    }
    // Its age says nothing about a machine that is up: its worker may just not have found us yet.
    if (l.state == wire::MachineState::kRunning && !b.up) {
      b.up = true;
      b.since = now;
    }
    if (failed) b.since = -1e18;
  }
  // The list lags, but keeps what it has shown until it is gone: a silent machine that it no
  // longer shows has been taken.
  const double settled_by = asked - 2 * list_lag_s_ - report_s_;
  for (cluster::Machines* machines : fleet) {
    for (auto& [id, m] : *machines) {
      const double known = m.address.empty() ? m.last_answered : m.first_heard;
      const double heard = std::max(m.last_heard, known);
      if (!names.contains(id) && known < settled_by && heard < asked - 2 * report_s_) {
        m.unlisted = true;
      }
    }
  }
}

double Hires::Burst(double now, const cluster::Types& types) {
  double boot_s = 0;
  for (const auto& [name, t] : types.all()) boot_s = std::max(boot_s, t.boot_s);
  const double lately = std::max(kLatelyBoots * boot_s, kLatelyReports * report_s_);
  std::erase_if(arrivals_, [&](const Arrival& a) { return now - a.at > lately; });
  double most = 0;
  for (const Arrival& a : arrivals_) most = std::max(most, a.cpus);
  return most;
}

void Hires::Plan(double now, const cluster::Types& types, std::vector<autoscaler::Unit>& units,
                 std::vector<std::string>& hopeless) const {
  for (const auto& [id, b] : booting_) {
    const auto* t = types.Find(b.offer.type);
    const double patience =
        b.up ? kUpPatience * lease_s_
             : (t != nullptr ? t->boot_s : lease_s_) * kBootPatience + 2 * list_lag_s_ + silent_s_;
    if (now - b.since > patience) {
      hopeless.push_back(id);
      continue;
    }
    autoscaler::Unit u;
    u.id = id;
    u.type = b.offer.type;
    u.zone = b.offer.zone;
    u.spot = b.offer.spot;
    u.usable = true;
    units.push_back(std::move(u));
  }
}

}  // namespace mosspath::scheduler
