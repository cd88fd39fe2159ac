#include "mosspath/service/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

namespace mosspath::service {
namespace {

using wire::Json;

constexpr int kNoPack = -1;  // the key contains no pack number
constexpr double kStallChecksPerHeartbeat = 8;
constexpr int kRecordFormatVersion = 1;

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int PackNumber(std::string_view key, std::string_view prefix) {
  int number = kNoPack;
  std::from_chars(key.data() + prefix.size(), key.data() + key.size(), number);
  return number;
}

}  // namespace

Controller::Controller(asio::io_context& io, const config::Settings& settings)
    : io_(io),
      settings_(settings),
      derived_(settings),
      sockets_(std::make_shared<net::SocketBudget>(static_cast<size_t>(settings_.max_connections))),
      on_malformed_(
          [this](const char* from, const char* what) { metrics_.OnMalformed(from, what); }),
      store_(io, settings_, derived_, sockets_),
      cloud_(io, settings_, derived_, sockets_),
      cache_(io, store_, derived_, keys::kLive, keys::kAll, CacheHandlers()),
      admission_(settings_),
      jobs_(io, store_, cache_, admission_, settings_, derived_),
      elector_(
          io, store_, settings_, derived_, keys::kLeader,
          {.elected = [this](uint64_t token) { OnElected(token); }, .lost = [this] { OnLost(); }}),
      stalls_(io, settings_.heartbeat_s / kStallChecksPerHeartbeat,
              [this](double from, double now) { OnProcessStall(from, now); }),
      machine_types_(io, store_, cloud_, elector_, derived_,
                     [this](const Types& types) { OnMachineTypes(types); }),
      operator_settings_(store_, cache_, derived_, [this] { OnOperatorSettings(); }),
      record_formats_(settings_),
      users_(settings_, jobs_, cache_, machine_types_,
             [this](const std::string& job) { return CountsOf(job); }),
      frames_(io, settings_, sockets_, on_malformed_),
      shards_({.io = io,
               .settings = settings_,
               .derived = derived_,
               .store = store_,
               .cache = cache_,
               .elector = elector_,
               .jobs = jobs_,
               .stalls = stalls_,
               .frames = frames_,
               .machine_types = machine_types_,
               .operator_settings = operator_settings_,
               .sockets = sockets_},
              on_malformed_, [this] { return leader_.get(); }),
      peers_(io, settings_, derived_, elector_, jobs_, admission_,
             {.snapshot = [this] { return OwnSnapshot(); },
              .heartbeat = [this] { return OwnHeartbeat(); },
              .may_act = [this] { return IsEntitledLeader(); }},
             sockets_, on_malformed_),
      heartbeats_(
          settings_.name, elector_, peers_, shards_, [this] { return leader_.get(); },
          on_malformed_),
      public_routes_(derived_, metrics_, peers_, users_, heartbeats_,
                     [this] { return IsHealthy(); }),
      peer_routes_(
          settings_.name, peers_, metrics_, operator_settings_, on_malformed_,
          [this](const wire::ShardFrame& frame) { return OnShardFrame(frame); },
          [this] { return CommandFiguresNow(); }) {
  store_.on_malformed = on_malformed_;
  cloud_.on_malformed = on_malformed_;
  jobs_.on_job_cancelled = [this](const std::string& job) { OnJobCancelled(job); };
}

Controller::~Controller() {
  OnLost();
  shards_.StopHolding();
}

kvstore::WatchCache::Handlers Controller::CacheHandlers() {
  return {.reset = [this] { OnCacheReset(); },
          .changed = [this](const kvstore::Event& event) { OnKey(event); },
          .loaded = [this] { OnCacheLoaded(); },
          .advanced =
              [this] {
                if (leader_) leader_->ScheduleTick();
              },
          .current = [this](double as_of) { elector_.OnReadUpTo(as_of, cache_.revision()); }};
}

void Controller::Start() {
  StartServers();
  stalls_.Start();
  elector_.Start();
  cache_.Start();
  machine_types_.Fetch();
  peers_.Start();
  shards_.Start();
  spdlog::info("service: started node={} zone={} address={}", settings_.name, settings_.zone,
               settings_.public_address);
}

void Controller::StartServers() {
  using Responder = net::HttpServer::Responder;
  public_server_ = std::make_unique<net::HttpServer>(
      io_, settings_.public_address,
      net::HttpServer::Options{.sockets = sockets_,
                               .connection_class = net::ConnectionClass::kUnidentified},
      [this](const net::HttpRequest& request, Responder respond) {
        public_routes_.Answer(request, std::move(respond));
      });
  peer_server_ = std::make_unique<net::HttpServer>(
      io_, settings_.peer_address,
      net::HttpServer::Options{.sockets = sockets_,
                               .connection_class = net::ConnectionClass::kPeer},
      [this](const net::HttpRequest& request, Responder respond) {
        peer_routes_.Answer(request, std::move(respond));
      });
}

CommandFigures Controller::CommandFiguresNow() {
  const auto figures_of = [](const scheduler::Scheduler& scheduler) -> CommandFigures {
    return {scheduler.SummarizeStops(net::Now()), scheduler.command_counts()};
  };
  if (leader_) return figures_of(leader_->scheduler());
  if (ShardHolderService* holder = shards_.holder()) {
    return figures_of(holder->holder().dispatcher());
  }
  return {};
}

// ------------------------------------------------------------------ events of
// the watch cache

void Controller::OnCacheReset() {
  jobs_.OnReset();
  packs_.clear();
  record_formats_.Clear();
  cache_empty_ = true;
  elector_.OnReset();
  shards_.OnReset();
}

void Controller::OnKey(const kvstore::Event& event) {
  if (event.key.starts_with(keys::kFinal)) return jobs_.OnFinalRecord(event);
  cache_empty_ = false;
  if (event.key == keys::kLeader) return OnLeaderKey(event);
  if (shards_.OnKey(event)) return;
  if (event.key == keys::kTypes) return machine_types_.OnKey(event);
  if (event.key == keys::kSettings) return operator_settings_.OnKey(event);
  if (event.key.starts_with(keys::kRecordFormats)) return OnRecordFormatsKey(event);
  if (jobs_.records().OwnsKey(event.key)) return OnJobRecordKey(event);
  if (event.key.starts_with(keys::kProgress)) return OnProgressKey(event);
  if (event.key.starts_with(keys::kMachines)) return OnMachinesKey(event);
}

void Controller::OnLeaderKey(const kvstore::Event& event) {
  elector_.OnLeaderKey(event);
  shards_.OnLeaderKey();
}

void Controller::OnRecordFormatsKey(const kvstore::Event& event) {
  const std::string node = event.key.substr(keys::kRecordFormats.size());
  record_formats_.OnDeclared(node, event.value ? event.version : 0);
  UpdateBatching();
}

void Controller::OnJobRecordKey(const kvstore::Event& event) {
  const double now = net::Now();
  const auto change = jobs_.OnRecord(event);
  if (ShardHolderService* holder = shards_.holder()) {
    for (const auto& job : change.ended) holder->holder().OnJobEnded(job, now);
  }
  if (!leader_) return;
  for (const auto& id : change.accepted) {
    const jobs::AcceptedJob& job = *jobs_.records().Find(id);
    spdlog::debug("service: job_accepted job={} tasks={}", id, job.spec.tasks);
    const double age_s = std::max(0.0, WallSeconds() - job.submitted_wall_s);
    leader_->scheduler().AddJob(job.spec, job.version, now - age_s);
  }
  for (const auto& id : change.ended) {
    const jobs::Job* job = leader_->scheduler().FindJob(id);
    if (job != nullptr && !job->complete()) {
      spdlog::info("service: cancellation_learned job={} way=store revision={} placed={}", id,
                   cache_.revision(), job->placed());
    }
    leader_->scheduler().RemoveJob(id, now);
  }
}

// Keeps the pack for the case that this controller is elected. If this
// controller leads, it wrote the pack itself. But it lacks the pack's new
// version if the result of the write was lost, so the scheduler gets the version
// from the event.
void Controller::OnProgressKey(const kvstore::Event& event) {
  const int pack = PackNumber(event.key, keys::kProgress);
  if (leader_) leader_->scheduler().OnProgressVersion(pack, event.version);
  KeepPack(event);
}

void Controller::OnMachinesKey(const kvstore::Event& event) {
  const int pack = PackNumber(event.key, keys::kMachines);
  if (leader_) leader_->scheduler().OnMachinesVersion(pack, event.version);
  shards_.OnMachinesPack(pack, event);
  KeepPack(event);
}

void Controller::KeepPack(const kvstore::Event& event) {
  if (event.value) {
    packs_[event.key] = {*event.value, event.version};
  } else {
    packs_.erase(event.key);
  }
}

void Controller::OnCacheLoaded() {
  RemoveEndedJobs();
  shards_.OnCacheLoaded();
  jobs_.AssumeReportedUpTo(cache_.revision());
  jobs_.OnLoaded(cache_.revision());
  elector_.OnCacheLoaded(cache_empty_);
  if (!record_formats_.own_declared()) DeclareRecordFormats();
}

// The watch cache delivers no event for a job that ended during a reload. A
// leader that goes on leading through the reload must remove such jobs from its
// scheduler.
void Controller::RemoveEndedJobs() {
  if (!leader_) return;
  std::vector<std::string> ended;
  for (const auto& [id, job] : leader_->scheduler().jobs()) {
    if (jobs_.FindLive(id) == nullptr) ended.push_back(id);
  }
  for (const auto& id : ended) leader_->scheduler().RemoveJob(id, net::Now());
}

void Controller::DeclareRecordFormats() {
  const std::string key = keys::kRecordFormats + settings_.name;
  kvstore::Transaction transaction;
  transaction.conditions.push_back({key, 0});
  transaction.changes.push_back(
      {key, Json{{"batches", kRecordFormatVersion}, {"marks", kRecordFormatVersion}}});
  store_.Commit(transaction, derived_.user_deadline_s, [](const kvstore::TransactionResult&) {});
}

// ------------------------------------------------------------------ leadership

void Controller::OnElected(uint64_t token) {
  const double now = net::Now();
  shards_.StopHolding();
  leader_ = MakeLeader(token);
  admission_.OnElected(token, now);
  scheduler::Scheduler& scheduler = leader_->scheduler();
  scheduler.Apply(operator_settings_.settings());
  scheduler.SetMarkersSince(record_formats_.all_since());
  if (!machine_types_.empty()) scheduler.SetMachineTypes(machine_types_.types());
  shards_.HandOverTo(*leader_, token, now);
  LoadRecords(scheduler);
  LoadJobs(scheduler, now);
  spdlog::info("service: takeover token={} jobs={} recovery_complete={}", token,
               scheduler.jobs().size(), scheduler.recovery_complete());
  leader_->Start();
}

std::unique_ptr<LeaderService> Controller::MakeLeader(uint64_t token) {
  LeaderService::Dependencies dependencies{.io = io_,
                                           .settings = settings_,
                                           .derived = derived_,
                                           .store = store_,
                                           .cloud = cloud_,
                                           .elector = elector_,
                                           .stalls = stalls_,
                                           .jobs = jobs_,
                                           .frames = frames_,
                                           .sockets = sockets_};
  LeaderService::Handlers handlers{
      .completed =
          [this](const std::string& job) { jobs_.OnEnded(job, JobService::JobStatus::kDone); },
      .machine_types = [this](const Types& types) { machine_types_.OnCloudTypes(types); },
      .malformed = on_malformed_};
  return std::make_unique<LeaderService>(dependencies, std::move(handlers), token);
}

void Controller::LoadRecords(scheduler::Scheduler& scheduler) const {
  for (const auto& [key, pack] : packs_) {
    if (key.starts_with(keys::kProgress)) {
      scheduler.LoadProgressPack(PackNumber(key, keys::kProgress), pack.value, pack.version);
    } else {
      scheduler.LoadMachinesPack(PackNumber(key, keys::kMachines), pack.value, pack.version);
    }
  }
}

void Controller::LoadJobs(scheduler::Scheduler& scheduler, double now) const {
  const double wall = WallSeconds();
  jobs_.ForEachLive([&](const std::string&, const jobs::AcceptedJob& job) {
    scheduler.AddJob(job.spec, job.version, now - std::max(0.0, wall - job.submitted_wall_s));
  });
}

void Controller::OnLost() {
  if (!leader_) return;
  leader_->Stop();
  // Destroyed in a later turn of the event loop, since OnLost may be called from
  // a callback of the leader service.
  asio::post(io_, [ended = std::move(leader_)] {});
  admission_.OnDeposed();
}

bool Controller::IsEntitledLeader() const { return leader_ && elector_.MayAct(net::Now()); }

// ------------------------------------------------------------------ between
// the services

void Controller::OnProcessStall(double from, double now) {
  spdlog::info("service: process_stall duration_s={:.1f}", now - from);
  metrics_.OnProcessStall(now - from);
  peers_.OnProcessStall(from, now);
  if (leader_) {
    leader_->scheduler().OnProcessStall(from, now);
    if (auto* leases = leader_->shard_leases()) leases->OnProcessStall(now);
  }
  if (auto* holder = shards_.holder()) holder->holder().dispatcher().OnProcessStall(from, now);
}

void Controller::OnMachineTypes(const Types& types) {
  if (leader_) leader_->scheduler().SetMachineTypes(types);
  if (auto* holder = shards_.holder()) holder->holder().dispatcher().SetMachineTypes(types);
}

void Controller::OnOperatorSettings() {
  const config::OperatorSettings& current = operator_settings_.settings();
  if (leader_) {
    leader_->scheduler().Apply(current);
    if (auto* leases = leader_->shard_leases()) leases->AllowLeases(current.lease_blocks);
  }
  if (auto* holder = shards_.holder()) holder->holder().dispatcher().Apply(current);
  admission_.controller().SetWeights(current.weights);
  UpdateBatching();
}

void Controller::OnJobCancelled(const std::string& job) {
  if (leader_) leader_->scheduler().RemoveJob(job, net::Now());
  if (auto* holder = shards_.holder()) holder->holder().OnJobEnded(job, net::Now());
}

// Records of several jobs are written only once every controller has declared
// that it can read such records: a controller of an earlier version would miss
// the jobs in them.
void Controller::UpdateBatching() {
  const uint64_t since = record_formats_.all_since();
  jobs_.SetBatching(since != RecordFormatSupport::kNever &&
                    operator_settings_.settings().share_acceptances);
  if (leader_) leader_->scheduler().SetMarkersSince(since);
}

std::optional<wire::ShardFrame> Controller::OnShardFrame(const wire::ShardFrame& frame) {
  if (frame.from_leader) {
    ShardHolderService* holder = shards_.holder();
    return holder != nullptr ? holder->OnFrame(frame) : std::nullopt;
  }
  return leader_ ? leader_->OnFrame(frame) : std::nullopt;
}

bool Controller::IsHealthy() const {
  if (!cache_.loaded() || machine_types_.empty()) return false;
  const double patience_s = 2 * derived_.store_lease_renew_s + derived_.call_timeout_s;
  return peers_.ShouldServeUsers(store_.last_contact(), patience_s);
}

std::optional<wire::StatusSnapshot> Controller::OwnSnapshot() const {
  if (!IsEntitledLeader()) return std::nullopt;
  wire::StatusSnapshot snapshot = leader_->scheduler().MakeSnapshot(net::Now());
  snapshot.leader = settings_.name;
  return snapshot;
}

wire::PeerHeartbeat Controller::OwnHeartbeat() const {
  const double now = net::Now();
  wire::PeerHeartbeat heartbeat;
  heartbeat.is_leader = IsEntitledLeader();
  heartbeat.state_ago_s = now - store_.last_contact();
  heartbeat.cloud_ago_s = now - cloud_.last_contact();
  heartbeat.workers_ago_s = now - heartbeats_.last_processed_at();
  return heartbeat;
}

scheduler::JobCounts Controller::CountsOf(const std::string& job) const {
  return leader_ ? leader_->scheduler().Counts(job) : peers_.CountsOf(job);
}

}  // namespace mosspath::service
