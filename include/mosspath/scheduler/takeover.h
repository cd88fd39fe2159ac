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

#include "mosspath/config/settings.h"
#include "mosspath/cluster/picture.h"
#include "mosspath/scheduler/orders.h"
#include "mosspath/scheduler/search.h"

namespace mosspath::scheduler {

// Times that a machine is asked in vain before it counts as a straggler.
inline constexpr int kAskedInVain = 2;

class Takeover {
 public:
  // `now` is after the last moment at which an earlier leader could have answered a worker.
  Takeover(const config::Settings& settings, const config::Derived& derived, double now);

  double begun() const { return begun_; }
  // Since it began, or last stood still.
  double listening_since() const { return listening_since_; }
  // Every place that tasks of earlier leaders could be at is known.
  bool settled() const { return inherited_ == 0 && awaited_.empty(); }

  // A machine of the predecessor's list, or one that another controller commanded until now, which
  // only that controller's tasks wait for (`counted` false).
  void Inherit(cluster::Machine& m, bool counted = true);
  // The holder of this lease has not told yet what it has.
  void Await(uint64_t lease) { awaited_.insert(lease); }
  bool Awaits(uint64_t lease) const { return awaited_.contains(lease); }
  // It has, or its machines are asked instead. True: nothing else is waited for.
  bool Heard(uint64_t lease) { return awaited_.erase(lease) > 0 && settled(); }
  // The machine is known, or certainly has nothing of earlier leaders; true if it was the last.
  bool RuleOut(cluster::Machine& m);

  // Questions that are due, up to `most` orders in all.
  void Ask(cluster::Machines& machines, double now, size_t most, std::vector<DirectOrder>& out);
  // A question has ended, however.
  void Asked() { asking_ -= asking_ > 0 ? 1 : 0; }
  // What the worker answered, if anything. False: nothing can be concluded from it.
  bool Learned(cluster::Machine& m, const DirectOrder& order, DirectOutcome outcome,
               const wire::Report* report, double now) const;
  // Workers may not have found us yet: asked again until they have.
  bool searching(double now) const { return now - begun_ < search_s_; }
  // Machines that are given up so that the others needn't wait.
  std::vector<std::string> Stragglers(const cluster::Machines& machines, const Search& search,
                                      double now) const;

  // Most workers that were heard are silent now, all at once.
  bool Blind(const cluster::Machines& machines, double now);
  void StoodStill(double now);

 private:
  const double begun_;
  const double report_s_;
  const double search_s_;
  const double ask_s_;
  const double find_s_;
  const double silent_s_;
  const double gone_s_;
  double listening_since_;
  double blind_since_ = -1;
  size_t inherited_ = 0;        // machines that are not ruled out yet
  size_t total_ = 0;            // machines taken over in all
  std::set<uint64_t> awaited_;  // leases
  size_t asking_ = 0;           // of them, how many are being asked
};

}  // namespace mosspath::scheduler
