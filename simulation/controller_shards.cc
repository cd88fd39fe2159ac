// Shards of the machines: the leader leases shards, and a holder commands the machines of its shard
// under such a lease.
#include <memory>

#include "simulation/controller.h"
#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr double kOfferTimeoutS = 0.5;
constexpr double kWriteTimeoutS = 1;
constexpr double kFrameTimeoutS = 1;
const std::string kLeaseField = "grant";  // in the records of offers and shard leases

}  // namespace

// ---------------------------------------------------------------------------- store records

void SimulatedController::ApplyShards(const Entries& entries) {
  for (const auto& node : environment_.nodes) {
    const auto shard = entries.find(kShardPrefix + node);
    routing_table_.OnLease(node, shard == entries.end() ? 0 : shard->second.version);
  }
  for (const auto& [key, entry] : entries) {
    if (!key.starts_with(kMachinesPrefix)) continue;
    uint64_t& version = machine_pack_versions_[key];
    if (version == entry.version) continue;
    version = entry.version;
    routing_table_.OnPack(PackOf(key), &entry.value, entry.version);
  }
  OfferToHold(entries);
}

void SimulatedController::ApplyOwnShard(const Entries& entries) {
  const auto shard = entries.find(kShardPrefix + name_);
  const uint64_t store_lease = leadership_->store_lease();
  const bool holds =
      store_lease != 0 && shard != entries.end() && shard->second.lease == store_lease;
  if (!holds) return holder_.reset();
  const uint64_t shard_lease = shard->second.version;
  if (!holder_ || holder_->lease() != shard_lease) StartHolding(shard_lease);
  for (const auto& [id, assigned] : routing_table_.MachinesUnder(shard_lease)) {
    holder_->OnMachineAssigned(id, assigned.address, assigned.version, assigned.handover_revision,
                               Now());
  }
  std::vector<std::string> unassigned;
  for (const auto& [id, lost] : holder_->returned()) {
    if (!routing_table_.IsUnder(shard_lease, id)) unassigned.push_back(id);
  }
  for (const auto& id : unassigned) holder_->OnMachineUnassigned(id);
  std::vector<std::string> ended;
  for (const auto& [id, job] : holder_->dispatcher().jobs()) {
    if (job_index_->FindLive(id) == nullptr) ended.push_back(id);
  }
  for (const auto& id : ended) holder_->OnJobEnded(id, Now());
  holder_->OnLeader(leadership_->leader_token());
  holder_->OnRevisionRead(revision_);
}

void SimulatedController::StartHolding(uint64_t shard_lease) {
  const scheduler::ShardMap shards(settings_);
  size_t own_shard = 0;
  while (shards.OwnerOf(own_shard) != name_) ++own_shard;
  using LiveJob = shard::ShardHolder::LiveJob;
  holder_ = std::make_unique<shard::ShardHolder>(
      settings_, derived_, own_shard, shard_lease, Now(),
      [this](const std::string& id) -> std::optional<LiveJob> {
        const jobs::AcceptedJob* job = job_index_->FindLive(id);
        if (job == nullptr) return std::nullopt;
        return LiveJob{job->spec, job->version, Now()};
      });
  holder_->dispatcher().SetMachineTypes(environment_.types);
}

// Writes the record that offers to hold a shard. The record is attached to this controller's store
// lease, so it exists only while this controller renews that lease.
void SimulatedController::OfferToHold(const Entries& entries) {
  const std::string key = kOfferPrefix + name_;
  const auto offer = entries.find(key);
  const uint64_t store_lease = leadership_->store_lease();
  if (store_lease == 0 || offer_in_flight_) return;
  if (offer != entries.end() && offer->second.lease == store_lease) return;
  offer_in_flight_ = true;
  environment_.clock.After(kOfferTimeoutS, [this, process = process_] {
    if (process == process_) offer_in_flight_ = false;
  });
  const uint64_t version = offer == entries.end() ? 0 : offer->second.version;
  CallStoreForChange<uint64_t>(
      [this, key, version, store_lease] {
        return environment_.store.Commit(
            {{key, version}}, {{key, wire::Json{{kLeaseField, store_lease}}}}, store_lease);
      },
      [](uint64_t) {});
}

// ---------------------------------------------------------------------------- leader: shard leases

void SimulatedController::InheritShardLeases() {
  shard_leases_ =
      std::make_unique<shard::ShardLeaseManager>(settings_, derived_, *scheduler_, token());
  for (const auto& [lease, node] : routing_table_.leases()) {
    shard_leases_->OnInheritedLease(node, lease);
  }
  CallStore<uint64_t>(
      [this, token = token()] {
        return environment_.store.Commit({{kLeaderKey, token}},
                                         {{kShardPrefix + name_, std::nullopt}});
      },
      [](uint64_t) {});
}

void SimulatedController::UpdateShardLeases(const Entries& entries) {
  for (const auto& node : environment_.nodes) {
    const auto offer = entries.find(kOfferPrefix + node);
    if (offer == entries.end()) {
      shard_leases_->OnOffer(node, 0, 0, Now());
    } else {
      const auto store_lease = offer->second.value.at(kLeaseField).get<uint64_t>();
      shard_leases_->OnOffer(node, offer->second.version, store_lease, Now());
    }
    shard_leases_->OnLease(node, routing_table_.LeaseOf(node), Now());
  }
}

void SimulatedController::WriteLeaseChanges() {
  for (const auto& change : shard_leases_->PendingChanges(Now())) {
    const uint64_t leader_token = token();
    const auto done = [this, process = process_, node = change.node,
                       leader_token](uint64_t revision) {
      if (process != process_ || leader_token != token() || !shard_leases_) return;
      shard_leases_->OnChangeWritten(node, revision != 0, Now());
    };
    AfterInAnyProcess(kWriteTimeoutS, [done] { done(0); });
    CallStoreForChange<uint64_t>(
        [this, change, leader_token] { return CommitLeaseChange(change, leader_token); }, done);
  }
}

// Runs at the store.
uint64_t SimulatedController::CommitLeaseChange(const shard::ShardLeaseManager::LeaseChange& change,
                                                uint64_t token) {
  const std::string key = kShardPrefix + change.node;
  if (change.lease != 0) {
    return environment_.store.Commit({{kLeaderKey, token}, {key, change.lease}},
                                     {{key, std::nullopt}});
  }
  return environment_.store.Commit(
      {{kLeaderKey, token}, {key, 0}, {kOfferPrefix + change.node, change.offer}},
      {{key, wire::Json{{kLeaseField, change.store_lease}}}}, change.store_lease);
}

// ---------------------------------------------------------------------------- frames

std::optional<wire::ShardFrame> SimulatedController::OnShardFrame(const std::string& text) {
  if (!up()) return std::nullopt;
  const wire::ShardFrame frame = wire::DecodeShardFrame(text);
  return frame.from_leader ? AnswerFrameAsHolder(frame) : AnswerFrameAsLeader(frame);
}

std::optional<wire::ShardFrame> SimulatedController::AnswerFrameAsHolder(
    const wire::ShardFrame& frame) {
  if (!holder_ || !MayHold() || !holder_->OnFrame(frame, Now())) return std::nullopt;
  wire::ShardFrame answer = holder_->MakeAnswer();
  answer.node = name_;
  return answer;
}

std::optional<wire::ShardFrame> SimulatedController::AnswerFrameAsLeader(
    const wire::ShardFrame& frame) {
  if (!leading() || !shard_leases_ || !shard_leases_->OnFrame(frame, Now())) return std::nullopt;
  auto answer = shard_leases_->MakeAnswer(frame.node);
  if (!answer) return std::nullopt;
  answer->view_age_s = leadership_->view_age_s(Now());
  answer->newest_cancellation = job_index_->cancellations().newest();
  return answer;
}

void SimulatedController::SendShardFrames() {
  if (shard_leases_ && leading()) {
    for (auto& [node, frame] : shard_leases_->NextFrames()) {
      frame.view_age_s = wire::kNeverS;
      SendShardFrame(node, std::move(frame), true);
    }
  }
  const std::string& leader = leadership_->leader();
  if (!holder_ || !MayHold() || leader.empty() || frames_in_flight_.contains(leader)) return;
  if (auto frame = holder_->NextFrame(revision_, Now())) {
    SendShardFrame(leader, std::move(*frame), false);
  }
}

void SimulatedController::SendShardFrame(const std::string& peer, wire::ShardFrame frame,
                                         bool as_leader) {
  if (!frames_in_flight_.insert(peer).second) return;
  frame.node = name_;
  const double sent_at = Now();
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [this, process = process_, peer, as_leader, answered,
                       sent_at](const std::optional<wire::ShardFrame>& answer) {
    if (process != process_ || std::exchange(*answered, true)) return;
    OnShardFrameAnswered(peer, as_leader, sent_at, answer);
  };
  After(kFrameTimeoutS, [finish] { finish(std::nullopt); });
  environment_.network.Send(name_, peer, [this, peer, text = wire::Encode(frame), finish] {
    const auto answer = environment_.on_shard_frame[peer](text);
    environment_.RepeatLater([this, peer, text] { environment_.on_shard_frame[peer](text); });
    environment_.network.Send(peer, name_, [this, answer, finish] {
      RunUnlessFrozen([answer, finish] { finish(answer); });
    });
  });
}

void SimulatedController::OnShardFrameAnswered(const std::string& peer, bool as_leader,
                                               double sent_at,
                                               const std::optional<wire::ShardFrame>& answer) {
  frames_in_flight_.erase(peer);
  if (as_leader) {
    if (!answer) {
      if (shard_leases_) shard_leases_->OnFrameLost(peer);
    } else if (shard_leases_ && leading()) {
      shard_leases_->OnFrame(*answer, Now());
    }
    return;
  }
  if (!answer) {
    if (holder_) holder_->OnFrameLost();
    return;
  }
  if (!holder_ || !MayHold() || !holder_->OnFrame(*answer, Now())) return;
  if (answer->view_age_s >= wire::kNeverS || revision_ < answer->newest_cancellation) return;
  // The leader's view is what the leader has read of the store. `sent_at` less the age of that view
  // is a time on this controller's clock. This controller has read all cancellations that were
  // confirmed to users before that time. The factor allows for the drift of both clocks.
  const double age = answer->view_age_s * (1 + 2 * config::kMaxClockDrift);
  leadership_->OnLeaderView(sent_at - age);
}

}  // namespace mosspath::simulation
