#include "mosspath/wire/peer_heartbeat.h"

#include <algorithm>

#include "mosspath/wire/varint.h"
#include "wire/frame_header.h"

namespace mosspath::wire {
namespace {

constexpr uint64_t kVersion = 1;
constexpr uint64_t kVersionWithDemand = 2;
constexpr uint64_t kPlanVersion = 1;
constexpr double kShareUnits = 1e9;  // shares are encoded in billionths
constexpr uint64_t kMaxPeers = 64;
constexpr size_t kMaxNodeName = 100;

std::string_view ClipName(std::string_view name) { return name.substr(0, kMaxNodeName); }

}  // namespace

std::string Encode(const PeerHeartbeat& heartbeat) {
  VarintWriter writer;
  PutHeader(writer, FrameKind::kPeerHeartbeat, heartbeat.demand ? kVersionWithDemand : kVersion);
  writer.Put(ClipName(heartbeat.node));
  writer.Put(static_cast<uint64_t>(heartbeat.is_leader));
  for (const double ago_s :
       {heartbeat.state_ago_s, heartbeat.cloud_ago_s, heartbeat.workers_ago_s}) {
    writer.PutAmount(std::min(ago_s, kNeverS));
  }
  const size_t peer_count = std::min<size_t>(heartbeat.peers.size(), kMaxPeers);
  writer.Put(static_cast<uint64_t>(peer_count));
  for (size_t i = 0; i < peer_count; ++i) {
    writer.Put(ClipName(heartbeat.peers[i].node));
    writer.PutAmount(std::min(heartbeat.peers[i].ago_s, kNeverS));
  }
  if (heartbeat.demand) writer.PutAmount(std::min(*heartbeat.demand, kNeverS));
  return writer.Take();
}

PeerHeartbeat DecodePeerHeartbeat(std::string_view frame) {
  if (frame.size() > kMaxPeerHeartbeatBytes) throw BadMessage("frame: too large");
  VarintReader reader(frame);
  const uint64_t version =
      GetHeader(reader, FrameKind::kPeerHeartbeat, kVersion, kVersionWithDemand);
  PeerHeartbeat heartbeat;
  heartbeat.node = reader.GetString(kMaxNodeName);
  heartbeat.is_leader = reader.Get() != 0;
  heartbeat.state_ago_s = reader.GetAmount();
  heartbeat.cloud_ago_s = reader.GetAmount();
  heartbeat.workers_ago_s = reader.GetAmount();
  heartbeat.peers.resize(reader.GetCount(kMaxPeers));
  for (auto& contact : heartbeat.peers) {
    contact.node = reader.GetString(kMaxNodeName);
    contact.ago_s = reader.GetAmount();
  }
  if (version == kVersionWithDemand) heartbeat.demand = reader.GetAmount();
  reader.End();
  return heartbeat;
}

std::string Encode(const admission::AdmissionPlan& plan) {
  VarintWriter writer;
  PutHeader(writer, FrameKind::kAdmissionPlan, kPlanVersion);
  writer.Put(plan.token);
  writer.Put(plan.version);
  writer.PutAmount(plan.life_s);
  // The share is rounded down, so that the rounded shares of all controllers do not add up to more
  // than 1.
  writer.Put(static_cast<uint64_t>(std::clamp(plan.share, 0.0, 1.0) * kShareUnits));
  return writer.Take();
}

admission::AdmissionPlan DecodeAdmissionPlan(std::string_view frame) {
  VarintReader reader(frame);
  GetHeader(reader, FrameKind::kAdmissionPlan, kPlanVersion, kPlanVersion);
  admission::AdmissionPlan plan;
  plan.token = reader.Get();
  plan.version = reader.Get();
  plan.life_s = reader.GetAmount();
  plan.share = static_cast<double>(reader.Get()) / kShareUnits;
  if (plan.share > 1) throw BadMessage("frame: a share of more than the whole");
  reader.End();
  return plan;
}

}  // namespace mosspath::wire
