#include "simulation/controller.h"

#include <algorithm>

#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

// Stands for the time of the last contact with the store if the process has had no contact yet.
constexpr double kNeverContacted = -1e18;
// Maximum delay with which held messages and timers are handled after a freeze.
constexpr double kMaxResumeDelayS = 0.02;
constexpr jobs::JobIndex::Limits kJobIndexLimits{.finals = 100'000, .cancellations = 600};

}  // namespace

SimulatedController::SimulatedController(SimulatedEnvironment& environment, std::string name,
                                         double drift)
    : environment_(environment),
      name_(std::move(name)),
      drift_(drift),
      derived_(environment.settings),
      settings_(environment.settings),
      loop_clock_(environment.settings.heartbeat_s / 8, 0),
      last_store_contact_(kNeverContacted),
      acceptance_rate_(environment.settings.store_writes_per_s /
                       (2.0 * static_cast<double>(environment.nodes.size()))) {
  settings_.name = name_;
  settings_.zone = environment_.ZoneOf(name_);
  for (const auto& node : environment_.nodes) {
    if (node != name_) settings_.peers.push_back({node, environment_.ZoneOf(node), node});
  }
  RegisterHandlers();
  Start();
}

void SimulatedController::RegisterHandlers() {
  environment_.on_peer_heartbeat[name_] = [this](const std::string& text) {
    return OnPeerHeartbeat(text);
  };
  environment_.on_promise_request[name_] = [this](const std::string& text) {
    return OnPromiseRequest(text);
  };
  if (!settings_.lease_shards) return;
  environment_.on_shard_frame[name_] = [this](const std::string& text) {
    return OnShardFrame(text);
  };
}

void SimulatedController::Start() {
  alive_ = true;
  ++process_;
  ResetState();
  PeerHeartbeatLoop();
  AcceptanceLoop();
  RenewLoop();
  WatchLoop();
  TickLoop();
  ListMachinesLoop();
  PromiseLoop();
}

// Discards the state in memory: a new process has nothing in memory of the previous process.
void SimulatedController::ResetState() {
  leadership_ = std::make_unique<election::Leadership>(settings_, derived_, Now());
  failure_detector_ = std::make_unique<election::FailureDetector>(settings_);
  last_store_contact_ = kNeverContacted;

  reads_begun_ = 0;
  newest_read_ = 0;
  revision_ = 0;
  jobs_revision_ = 0;
  job_index_ = std::make_unique<jobs::JobIndex>(kJobPrefix, kBatchPrefix, kJobIndexLimits);
  job_record_versions_.clear();
  final_records_.clear();

  shard_leases_.reset();
  scheduler_.reset();

  holder_.reset();
  routing_table_.Clear();
  machine_pack_versions_.clear();
  offer_in_flight_ = false;
  frames_in_flight_.clear();

  admission_ = std::make_unique<service::AdmissionService>(settings_);
  acceptance_queue_ = {};
}

void SimulatedController::Crash(double downtime_s) {
  alive_ = false;
  ++process_;
  frozen_until_ = 0;
  shard_leases_.reset();
  scheduler_.reset();
  holder_.reset();
  environment_.clock.After(downtime_s, [this] {
    if (!alive_) Start();
  });
}

void SimulatedController::Freeze(double duration_s) {
  frozen_until_ = std::max(frozen_until_, environment_.clock.now() + duration_s);
}

void SimulatedController::RunUnlessFrozen(std::function<void()> action) {
  if (frozen()) {
    // Messages that arrive and timers that expire during the freeze are handled right after the
    // process resumes, in random order.
    const double resumes_at = frozen_until_ + environment_.random.Uniform(0, kMaxResumeDelayS);
    environment_.clock.At(resumes_at, [this, process = process_, action = std::move(action)] {
      if (IsProcess(process)) RunUnlessFrozen(action);
    });
    return;
  }
  if (const auto from = loop_clock_.OnTurn(Now())) ReportStall(*from);
  action();
}

void SimulatedController::ReportStall(double from) {
  if (scheduler_) scheduler_->OnProcessStall(from, Now());
  if (shard_leases_) shard_leases_->OnProcessStall(Now());
  if (holder_) holder_->dispatcher().OnProcessStall(from, Now());
  failure_detector_->OnProcessStall(from, Now());
}

void SimulatedController::After(double delay_s, std::function<void()> action) {
  environment_.clock.After(delay_s, [this, process = process_, action = std::move(action)] {
    if (process == process_) RunUnlessFrozen(action);
  });
}

void SimulatedController::AfterInAnyProcess(double delay_s, std::function<void()> action) {
  environment_.clock.After(delay_s,
                           [this, action = std::move(action)] { RunUnlessFrozen(action); });
}

void SimulatedController::TickLoop() {
  if (!alive_) return;
  After(environment_.settings.heartbeat_s / 6, [this] { TickLoop(); });
  const bool outdated = leadership_->IsStale(Now());
  if (outdated && !never_resigns && leadership_->MayResign(Now())) return Resign();
  if (holder_ && MayHold()) {
    holder_->Tick(Now());
    SendCommands();
  }
  SendShardFrames();
  if (leading()) TickLeader();
}

void SimulatedController::TickLeader() {
  if (shard_leases_) WriteLeaseChanges();
  const bool partitioned = scheduler_->IsPartitionedFromAgents(Now());
  if (partitioned && leadership_->MayResign(Now())) return Resign();
  scheduler_->Tick(Now());
  WriteCompletions();
  WriteRecords();
  SendCommands();
  Scale();
}

}  // namespace mosspath::simulation
