// The store lease, promises of peers, campaigns, and the effects of gaining and losing the lead.
#include "simulation/controller.h"
#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr double kCampaignTimeoutS = 0.5;

}  // namespace

// ---------------------------------------------------------------------------- promises

void SimulatedController::PromiseLoop() {
  if (!alive_) return;
  After(derived_.promise_s / 4, [this] { PromiseLoop(); });
  const auto round = leadership_->BeginPromiseRound(last_store_contact_, Now());
  if (!round) return;
  const std::string request = wire::Encode(leadership_->MakePromiseRequest());
  for (const auto& peer : environment_.nodes) {
    if (peer != name_) RequestPromise(peer, *round, request);
  }
}

void SimulatedController::RequestPromise(const std::string& peer, uint64_t round,
                                         const std::string& request) {
  environment_.network.Send(name_, peer, [this, process = process_, round, peer, request] {
    const auto response = environment_.on_promise_request[peer](request);
    environment_.RepeatLater(
        [this, peer, request] { environment_.on_promise_request[peer](request); });
    if (!response) return;
    environment_.network.Send(peer, name_, [this, process, round, peer, text = *response] {
      if (process != process_) return;
      RunUnlessFrozen([this, round, peer, text] { OnPromiseResponse(peer, round, text); });
    });
  });
}

void SimulatedController::OnPromiseResponse(const std::string& peer, uint64_t round,
                                            const std::string& response) {
  std::vector<wire::CancellationLogSlice::Entry> learned;
  leadership_->OnPromiseResponse(round, peer, wire::DecodePromiseResponse(response), Now(),
                                 learned);
  for (const auto& cancellation : learned) {
    cancellations_learned_ += job_index_->FindEnded(cancellation.id) ? 0 : 1;
    LearnCancelled(cancellation.id, cancellation.revision);
  }
}

std::optional<std::string> SimulatedController::OnPromiseRequest(const std::string& text) {
  if (!alive_) return std::nullopt;
  if (!frozen()) return AnswerPromiseRequest(text);
  // This process is frozen, so it handles the request when it resumes. Its promise takes effect
  // then, but its answer would arrive too late and is not sent.
  RunUnlessFrozen([this, text] { AnswerPromiseRequest(text); });
  return std::nullopt;
}

std::optional<std::string> SimulatedController::AnswerPromiseRequest(const std::string& text) {
  const wire::PromiseRequest request = wire::DecodePromiseRequest(text);
  const auto promise = leadership_->OnPromiseRequest(request, last_store_contact_, Now());
  OnLeadershipChange(promise.loss);
  if (promise.malformed()) return std::nullopt;
  return wire::Encode(wire::PromiseResponse{
      promise.promised(), job_index_->cancellations().Since(request.read_revision)});
}

// ---------------------------------------------------------------------------- store lease

void SimulatedController::RenewLoop() {
  if (!alive_) return;
  After(derived_.store_lease_renew_s, [this] { RenewLoop(); });
  const double sent_at = Now();
  const uint64_t lease = leadership_->store_lease();
  if (lease == 0) return GrantStoreLease(sent_at);
  CallStore<bool>([this, lease] { return environment_.store.RenewLease(lease); },
                  [this, sent_at, lease](bool renewed) {
                    last_store_contact_ = std::max(last_store_contact_, sent_at);
                    if (lease != leadership_->store_lease()) return;
                    if (renewed) return leadership_->OnStoreLeaseRenewed(sent_at);
                    OnLeadershipChange(leadership_->OnStoreLeaseEnded());
                  });
}

void SimulatedController::GrantStoreLease(double sent_at) {
  CallStore<uint64_t>([this] { return environment_.store.GrantLease(derived_.store_lease_s); },
                      [this, sent_at](uint64_t lease) {
                        if (leadership_->store_lease() == 0)
                          leadership_->OnStoreLeaseGranted(lease, sent_at);
                      });
}

// ---------------------------------------------------------------------------- the lead

void SimulatedController::Campaign(uint64_t version) {
  leadership_->SetCampaigning(true);
  environment_.clock.After(kCampaignTimeoutS, [this, process = process_] {
    if (process == process_) leadership_->SetCampaigning(false);
  });
  // The result is ignored: the controller sees whether it was elected when it reads the leader key.
  CallStoreForChange<uint64_t>(
      [this, version, lease = leadership_->store_lease()] {
        return environment_.store.Commit({{kLeaderKey, version}},
                                         {{kLeaderKey, wire::Json{{"node", name_}}}}, lease);
      },
      [](uint64_t) {});
}

void SimulatedController::OnElected(const Entries& entries) {
  environment_.observed.elections.push_back(environment_.clock.now());
  admission_->OnElected(token(), Now());
  // A leader holds no shard. As the new leader, this controller queries the machines of its former
  // shard for their tasks, like all other inherited machines.
  holder_.reset();
  shard_leases_.reset();
  scheduler_ = std::make_unique<scheduler::Scheduler>(settings_, derived_, token(), Now());
  scheduler_->SetMachineTypes(environment_.types);
  scheduler_->SetMarkersSince(0);
  scheduler_->Apply({});
  if (settings_.lease_shards) InheritShardLeases();
  for (const auto& [key, entry] : entries) {
    if (key.starts_with(kProgressPrefix)) {
      scheduler_->LoadProgressPack(PackOf(key), entry.value, entry.version);
    } else if (key.starts_with(kMachinesPrefix)) {
      scheduler_->LoadMachinesPack(PackOf(key), entry.value, entry.version);
    }
  }
  job_index_->ForEachLive([this](const std::string&, const jobs::AcceptedJob& job) {
    scheduler_->AddJob(job.spec, job.version, Now());
  });
}

void SimulatedController::OnLeadershipChange(const election::Leadership::MaybeLoss& loss) {
  if (!loss) return;
  shard_leases_.reset();
  scheduler_.reset();
  admission_->OnDeposed();
}

void SimulatedController::Resign() {
  const uint64_t lease = leadership_->store_lease();
  OnLeadershipChange(leadership_->Resign(election::LeadershipLossReason::kViewIsStale, Now()));
  ++resignations_;
  CallStore<bool>(
      [this, lease] {
        environment_.store.RevokeLease(lease);
        return true;
      },
      [](bool) {});
}

}  // namespace mosspath::simulation
