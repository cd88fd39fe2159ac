// A network with delay, retransmission, partitions and slow hosts, in simulated time.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "simulation/random.h"
#include "simulation/simulated_clock.h"

namespace mosspath::simulation {

// Delivers messages between hosts, which are known by their names. A cut either drops the messages
// that are sent while it lasts, or holds them back and delivers them when it ends.
class SimulatedNetwork {
 public:
  // Both arguments must outlive the network.
  SimulatedNetwork(SimulatedClock& clock, Random& random) : clock_(clock), random_(random) {}

  // Calls `deliver` when the message arrives; never, if a cut drops it.
  void Send(const std::string& from, const std::string& to, std::function<void()> deliver);

  // Cuts two hosts from each other, in both directions; replaces an earlier cut of the two.
  void Cut(const std::string& host, const std::string& other, double duration_s, bool hold);

  // Cuts only the messages of this direction; the other direction stays as it is.
  void CutOneWay(const std::string& from, const std::string& to, double duration_s, bool hold);

  // Whether messages pass between the two hosts in both directions.
  bool PassesBothWays(const std::string& host, const std::string& other) const;

  // Messages to and from the host take `factor` times as long.
  void Slow(const std::string& host, double factor, double duration_s);

  // Called with the sender's name once a message has been sent.
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
  // The cut of the link that lasts now; null if there is none.
  const CutState* FindActive(const Cuts& cuts, const Link& link) const;
  double DrawDelay(const std::string& from, const std::string& to);

  SimulatedClock& clock_;
  Random& random_;
  Cuts cuts_;
  Cuts one_way_cuts_;
  std::map<std::string, Slowdown> slowdowns_;
};

}  // namespace mosspath::simulation
