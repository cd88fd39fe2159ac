#include "simulation/simulated_network.h"

#include <algorithm>

namespace mosspath::simulation {
namespace {

constexpr double kMinDelayS = 0.001;
constexpr double kMaxDelayS = 0.02;
// On average, one in kRetransmittedOneIn messages is lost and retransmitted. The retransmission
// adds a delay within these bounds.
constexpr uint64_t kRetransmittedOneIn = 200;
constexpr double kMinRetransmissionS = 0.2;
constexpr double kMaxRetransmissionS = 3;
constexpr double kMaxSlowDelayS = 30;  // maximum delay of a message to or from a slow host

}  // namespace

void SimulatedNetwork::Send(const std::string& from, const std::string& to,
                            std::function<void()> deliver) {
  const double delay = DrawDelay(from, to);
  if (on_sent) on_sent(from);
  const CutState* cut = FindActive(cuts_, Undirected(from, to));
  if (cut == nullptr) cut = FindActive(one_way_cuts_, {from, to});
  if (cut == nullptr) return clock_.After(delay, std::move(deliver));
  if (cut->hold) clock_.At(cut->until + delay, std::move(deliver));
}

double SimulatedNetwork::DrawDelay(const std::string& from, const std::string& to) {
  double delay = random_.Uniform(kMinDelayS, kMaxDelayS);
  if (random_.Below(kRetransmittedOneIn) == 0) {
    delay += random_.Uniform(kMinRetransmissionS, kMaxRetransmissionS);
  }
  for (const auto& host : {from, to}) {
    const auto slow = slowdowns_.find(host);
    if (slow == slowdowns_.end() || slow->second.until <= clock_.now()) continue;
    delay = std::min(delay * slow->second.factor, kMaxSlowDelayS);
  }
  return delay;
}

void SimulatedNetwork::Cut(const std::string& host, const std::string& other, double duration_s,
                           bool hold) {
  cuts_[Undirected(host, other)] = {clock_.now() + duration_s, hold};
}

void SimulatedNetwork::CutOneWay(const std::string& from, const std::string& to, double duration_s,
                                 bool hold) {
  one_way_cuts_[{from, to}] = {clock_.now() + duration_s, hold};
}

bool SimulatedNetwork::PassesBothWays(const std::string& host, const std::string& other) const {
  return FindActive(cuts_, Undirected(host, other)) == nullptr &&
         FindActive(one_way_cuts_, {host, other}) == nullptr &&
         FindActive(one_way_cuts_, {other, host}) == nullptr;
}

void SimulatedNetwork::Slow(const std::string& host, double factor, double duration_s) {
  slowdowns_[host] = {factor, clock_.now() + duration_s};
}

SimulatedNetwork::Link SimulatedNetwork::Undirected(const std::string& host,
                                                    const std::string& other) {
  return host < other ? Link{host, other} : Link{other, host};
}

const SimulatedNetwork::CutState* SimulatedNetwork::FindActive(const Cuts& cuts,
                                                               const Link& link) const {
  const auto cut = cuts.find(link);
  return cut != cuts.end() && cut->second.until > clock_.now() ? &cut->second : nullptr;
}

}  // namespace mosspath::simulation
