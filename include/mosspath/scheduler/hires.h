// Machines that are on their way or gone for good, and offers that are sold out: what the fleet's
// planner must know beside the machines that report. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/autoscaler/planner.h"
#include "mosspath/cluster/picture.h"

namespace mosspath::scheduler {

class Hires {
 public:
  Hires(const config::Settings& settings, const config::Derived& derived);

  struct Booting {
    autoscaler::Wish offer;
    double since = 0;  // the rental, or when it was first seen up
    bool up = false;
  };
  const std::map<std::string, Booting>& booting() const { return booting_; }

  using Fleet = std::vector<cluster::Machines*>;  // all that are up

  void Rented(const std::vector<std::string>& ids, const autoscaler::Wish& offer, const Fleet& fleet,
              double now);
  void Refused(const autoscaler::Wish& offer, double until);
  const std::map<autoscaler::Offer, double>& closed_until() const { return closed_until_; }
  // The machine reports.
  void Up(const std::string& id) { booting_.erase(id); }
  // It was deleted: late reports of it are void.
  void Deleted(const std::string& id, double now);
  bool dead(const std::string& id) const { return dead_.contains(id); }
  // A whole list of machines, asked for at `asked`: tells which have failed, come up or vanished.
  void Listed(const std::vector<wire::ListedMachine>& listed, const Fleet& fleet, double asked,
              double now);

  // An urgent job's size: the next should find room at once.
  void Urgent(double submitted, double cpus) { arrivals_.push_back({submitted, cpus}); }
  // The largest lately.
  double Burst(double now, const cluster::Types& types);
  // Machines on their way; those that are given up go to `hopeless`.
  void Plan(double now, const cluster::Types& types, std::vector<autoscaler::Unit>& units,
            std::vector<std::string>& hopeless) const;

 private:
  struct Arrival {
    double at = 0;
    double cpus = 0;
  };

  const double report_s_;
  const double lease_s_;
  const double list_lag_s_;
  const double silent_s_;
  std::map<std::string, Booting> booting_;
  std::map<std::string, double> dead_;  // and when
  std::map<autoscaler::Offer, double> closed_until_;
  std::vector<Arrival> arrivals_;
};

}  // namespace mosspath::scheduler
