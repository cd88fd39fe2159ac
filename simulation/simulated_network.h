// A network with delay, retransmission, partitions and slow hosts, in simulated time.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "simulation/random.h"
#include "simulation/simulated_clock.h"

namespace mosspath::simulation {

// Delivers messages between hosts, which are identified by name. While a cut lasts, messages are
// either dropped, or held and delivered shortly after the end of the cut.
class SimulatedNetwork {
 public:
  // Both arguments must outlive the network.
  SimulatedNetwork(SimulatedClock& clock, Random& random) : clock_(clock), random_(random) {}

  // Calls `deliver` when the message arrives. A dropped message never arrives.
  void Send(const std::string& from, const std::string& to, std::function<void()> deliver);

  // Partitions two hosts in both directions. `hold`: messages are held instead of dropped. Replaces
  // an earlier cut between the same hosts.
  void Cut(const std::string& host, const std::string& other, double duration_s, bool hold);

  // Cuts only messages from `from` to `to`; the opposite direction is unaffected.
  void CutOneWay(const std::string& from, const std::string& to, double duration_s, bool hold);

  // Returns whether no cut affects the two hosts in either direction now.
  bool PassesBothWays(const std::string& host, const std::string& other) const;

  // Multiplies the delay of messages to and from the host by `factor`, up to a maximum delay.
  void Slow(const std::string& host, double factor, double duration_s);

  // Called with the sender's name for each message, also for a message that a cut drops.
  std::function<void(const std::string& from)> on_sent;

 private:
  // The two ends of a link: sorted by name for a cut of both directions, sender first for a cut of
  // one direction.
  struct Link {
    std::string from;
    std::string to;
    auto operator<=>(const Link&) const = default;
  };
  struct CutState {
    double until = 0;
    bool hold = false;
  };
  struct Slowdown {
    double factor = 1;
    double until = 0;
  };
  using Cuts = std::map<Link, CutState>;

  static Link Undirected(const std::string& host, const std::string& other);
  // Returns the active cut of the link; null if there is none.
  const CutState* FindActive(const Cuts& cuts, const Link& link) const;
  double DrawDelay(const std::string& from, const std::string& to);

  SimulatedClock& clock_;
  Random& random_;
  Cuts cuts_;
  Cuts one_way_cuts_;
  std::map<std::string, Slowdown> slowdowns_;
};

}  // namespace mosspath::simulation
