#include "mosspath/wire/peer_heartbeat.h"

#include <algorithm>

#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

constexpr uint64_t kFramePresence = 0x6d70'02;
constexpr uint64_t kVersion = 1;
constexpr uint64_t kWithDemand = 2;
constexpr uint64_t kFramePlan = 0x6d70'04;
constexpr double kParts = 1e9;  // a part travels in so many parts of the whole
constexpr uint64_t kMaxPeers = 64;
constexpr size_t kMaxName = 100;

}  // namespace

std::string Encode(const PeerHeartbeat& p) {
  VarintWriter w;
  w.Put(kFramePresence);
  w.Put(p.demand ? kWithDemand : kVersion);
  w.Put(std::string_view(p.node).substr(0, kMaxName));
  w.Put(static_cast<uint64_t>(p.is_leader));
  for (const double ago : {p.state_ago_s, p.cloud_ago_s, p.workers_ago_s}) {
    w.PutAmount(std::min(ago, kNeverS));
  }
  const size_t n = std::min<size_t>(p.peers.size(), kMaxPeers);
  w.Put(static_cast<uint64_t>(n));
  for (size_t i = 0; i < n; ++i) {
    w.Put(std::string_view(p.peers[i].node).substr(0, kMaxName));
    w.PutAmount(std::min(p.peers[i].ago_s, kNeverS));
  }
  if (p.demand) w.PutAmount(std::min(*p.demand, kNeverS));
  return w.Take();
}

PeerHeartbeat DecodePeerHeartbeat(std::string_view frame) {
  if (frame.size() > kMaxPeerHeartbeatBytes) throw BadMessage("frame: too large");
  VarintReader r(frame);
  if (r.Get() != kFramePresence) throw BadMessage("frame: not a presence");
  const uint64_t version = r.Get();
  if (version != kVersion && version != kWithDemand) {
    throw BadMessage("frame: a version that is not spoken here");
  }
  PeerHeartbeat p;
  p.node = r.GetString(kMaxName);
  p.is_leader = r.Get() != 0;
  p.state_ago_s = r.GetAmount();
  p.cloud_ago_s = r.GetAmount();
  p.workers_ago_s = r.GetAmount();
  p.peers.resize(r.GetCount(kMaxPeers));
  for (auto& heard : p.peers) {
    heard.node = r.GetString(kMaxName);
    heard.ago_s = r.GetAmount();
  }
  if (version == kWithDemand) p.demand = r.GetAmount();
  r.End();
  return p;
}

std::string Encode(const admission::AdmissionPlan& p) {
  VarintWriter w;
  w.Put(kFramePlan);
  w.Put(kVersion);
  w.Put(p.token);
  w.Put(p.version);
  w.PutAmount(p.life_s);
  // Rounded down: the parts of all must not exceed the whole.
  w.Put(static_cast<uint64_t>(std::clamp(p.share, 0.0, 1.0) * kParts));
  return w.Take();
}

admission::AdmissionPlan DecodeAdmissionPlan(std::string_view frame) {
  VarintReader r(frame);
  if (r.Get() != kFramePlan) throw BadMessage("frame: not a plan");
  if (r.Get() != kVersion) throw BadMessage("frame: a version that is not spoken here");
  admission::AdmissionPlan p;
  p.token = r.Get();
  p.version = r.Get();
  p.life_s = r.GetAmount();
  p.share = static_cast<double>(r.Get()) / kParts;
  if (p.share > 1) throw BadMessage("frame: a part of more than the whole");
  r.End();
  return p;
}

}  // namespace mosspath::wire
