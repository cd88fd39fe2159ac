#include "mosspath/service/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace mosspath::service {
namespace {

using net::HttpResponse;
using wire::Json;

constexpr double kIdleWorker = 1.5;  // times what makes a machine suspect

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int PackNumber(const std::string& key, const std::string& prefix) {
  int n = -1;
  std::from_chars(key.data() + prefix.size(), key.data() + key.size(), n);
  return n;
}

}  // namespace

Controller::Controller(asio::io_context& io, const config::Settings& settings)
    : io_(io),
      settings_(settings),
      derived_(settings),
      sockets_(std::make_shared<net::SocketBudget>(static_cast<size_t>(settings_.max_connections))),
      state_(io, settings_, derived_, sockets_),
      cloud_(io, settings_, derived_, sockets_),
      mirror_(
          io, state_, derived_, keys::kLive, keys::kAll,
          {.reset =
               [this] {
                 jobs_.OnReset();
                 packs_.clear();
                 record_formats_.Clear();
                 mirror_empty_ = true;
                 elector_.OnReset();
                 routes_.Clear();
                 shard_offers_.clear();
                 own_shard_store_lease_ = 0;
               },
           .changed = [this](const kvstore::Event& e) { OnKey(e); },
           .loaded = [this] { OnMirrorLoaded(); },
           .advanced =
               [this] {
                 if (leader_) leader_->ScheduleTick();
               },
           .current = [this](double as_of) { elector_.OnReadUpTo(as_of, mirror_.revision()); }}),
      admission_(settings_),
      jobs_(io, state_, mirror_, admission_, settings_, derived_),
      elector_(
          io, state_, settings_, derived_, keys::kLeader,
          {.elected = [this](uint64_t token) { OnElected(token); }, .lost = [this] { OnLost(); }}),
      stalls_(io, settings_.heartbeat_s / 8,
              [this](double from, double now) {
                spdlog::info("service: stood still for {:.1f} s", now - from);
                metrics_.OnProcessStall(now - from);
                peers_.OnProcessStall(from, now);
                if (leader_) leader_->scheduler().OnProcessStall(from, now);
                if (leader_ && leader_->shard_leases() != nullptr)
                  leader_->shard_leases()->OnProcessStall(now);
                if (shard_holder_) shard_holder_->holder().dispatcher().OnProcessStall(from, now);
              }),
      machine_types_(io, state_, cloud_, elector_, derived_,
                     [this](const std::vector<wire::MachineType>& types) {
                       if (leader_) leader_->scheduler().SetMachineTypes(types);
                       if (shard_holder_)
                         shard_holder_->holder().dispatcher().SetMachineTypes(types);
                     }),
      operator_settings_(
          state_, mirror_, derived_,
          [this] {
            if (leader_) leader_->scheduler().Apply(operator_settings_.settings());
            if (leader_ && leader_->shard_leases() != nullptr) {
              leader_->shard_leases()->AllowLeases(operator_settings_.settings().lease_blocks);
            }
            if (shard_holder_)
              shard_holder_->holder().dispatcher().Apply(operator_settings_.settings());
            admission_.controller().SetWeights(operator_settings_.settings().weights);
            UpdateBatching();
          }),
      record_formats_(settings_),
      users_(settings_, jobs_, admission_, mirror_, machine_types_,
             [this](const std::string& id) { return CountsOf(id); }),
      on_malformed_(
          [this](const char* from, const char* what) { metrics_.OnMalformed(from, what); }),
      peers_(io, settings_, derived_, elector_, jobs_, admission_,
             {.snapshot = [this] { return OwnSnapshot(); },
              .heartbeat = [this] { return OwnHeartbeat(); },
              .may_act = [this] { return leader_ && elector_.MayAct(net::Now()); }},
             sockets_, on_malformed_),
      frames_(io, settings_, sockets_, on_malformed_),
      offer_timer_(io) {
  state_.on_malformed = cloud_.on_malformed = on_malformed_;
  jobs_.on_cancelled_ahead = [this](const std::string& id) {
    if (leader_) leader_->scheduler().RemoveJob(id, net::Now());
    if (shard_holder_) shard_holder_->holder().OnJobEnded(id, net::Now());
  };
}

Controller::~Controller() {
  OnLost();
  StopHolding();
}

void Controller::Start() {
  public_ = std::make_unique<net::HttpServer>(
      io_, settings_.public_address,
      net::HttpServer::Options{.sockets = sockets_,
                               .connection_class = net::ConnectionClass::kUnidentified},
      [this](net::HttpRequest r, Responder respond) {
        OnPublicRequest(std::move(r), std::move(respond));
      });
  peer_ = std::make_unique<net::HttpServer>(
      io_, settings_.peer_address,
      net::HttpServer::Options{.sockets = sockets_,
                               .connection_class = net::ConnectionClass::kPeer},
      [this](net::HttpRequest r, Responder respond) {
        OnPeerRequest(std::move(r), std::move(respond));
      });
  stalls_.Start();
  elector_.Start();
  mirror_.Start();
  machine_types_.Fetch();
  peers_.Start();
  if (settings_.lease_shards) OfferToHold();
  spdlog::info("service: node {} in {} serves {}", settings_.name, settings_.zone,
               settings_.public_address);
}

// ---------------------------------------------------------------------------- mirrored keys

void Controller::OnKey(const kvstore::Event& e) {
  if (e.key.starts_with(keys::kFinal)) return jobs_.OnFinalRecord(e);
  mirror_empty_ = false;
  if (e.key == keys::kLeader) {
    elector_.OnLeaderKey(e);
    if (shard_holder_) shard_holder_->OnLeader(elector_.leader(), elector_.leader_token());
    return;
  }
  if (OnShardKey(e)) return;
  if (e.key == keys::kTypes) return machine_types_.OnKey(e);
  if (e.key == keys::kSettings) return operator_settings_.OnKey(e);
  if (e.key.starts_with(keys::kRecordFormats)) {
    record_formats_.OnDeclared(e.key.substr(keys::kRecordFormats.size()), e.value ? e.version : 0);
    return UpdateBatching();
  }
  if (jobs_.records().OwnsKey(e.key)) {
    const double now = net::Now();
    const auto change = jobs_.OnRecord(e);
    if (shard_holder_) {
      for (const auto& id : change.ended) shard_holder_->holder().OnJobEnded(id, now);
    }
    if (!leader_) return;
    for (const auto& id : change.accepted) {
      const jobs::AcceptedJob& job = *jobs_.records().Find(id);
      spdlog::debug("jobs: {} accepted, {} tasks", id, job.spec.tasks);
      leader_->scheduler().AddJob(job.spec, job.version,
                                  now - std::max(0.0, WallSeconds() - job.submitted_wall_s));
    }
    for (const auto& id : change.ended) leader_->scheduler().RemoveJob(id, now);
    return;
  }
  if (e.key.starts_with(keys::kProgress) || e.key.starts_with(keys::kMachines)) {
    // Only a new leader needs them; the present one wrote them itself, but may not know it.
    const bool progress = e.key.starts_with(keys::kProgress);
    if (leader_ && progress) {
      leader_->scheduler().OnProgressVersion(PackNumber(e.key, keys::kProgress), e.version);
    } else if (leader_) {
      leader_->scheduler().OnMachinesVersion(PackNumber(e.key, keys::kMachines), e.version);
    }
    if (!progress) {
      const int pack = PackNumber(e.key, keys::kMachines);
      routes_.OnPack(pack, e.value ? &*e.value : nullptr, e.version);
      if (shard_holder_) shard_holder_->OnMachinesAssigned(routes_, pack);
    }
    if (e.value) {
      packs_[e.key] = {*e.value, e.version};
    } else {
      packs_.erase(e.key);
    }
  }
}

// ---------------------------------------------------------------------------- blocks

bool Controller::OnShardKey(const kvstore::Event& e) {
  const bool offer = e.key.starts_with(keys::kShardOffers);
  if (!offer && !e.key.starts_with(keys::kShardLeases)) return false;
  const std::string node = e.key.substr((offer ? keys::kShardOffers : keys::kShardLeases).size());
  const uint64_t grant = e.value ? e.value->value("grant", uint64_t{0}) : 0;
  shard::ShardLeaseManager* desk = leader_ ? leader_->shard_leases() : nullptr;
  if (offer) {
    shard_offers_[node] = {e.value ? e.version : 0, grant};
    if (desk != nullptr) desk->OnOffer(node, shard_offers_[node].version, grant, net::Now());
    return true;
  }
  routes_.OnLease(node, e.value ? e.version : 0);
  if (node == settings_.name) {
    own_shard_store_lease_ = grant;
    if (mirror_.loaded()) UpdateOwnShard();
  } else if (desk != nullptr) {
    desk->OnLease(node, e.value ? e.version : 0, net::Now());
  }
  return true;
}

// Whether this node holds its block, as the state service shows it.
void Controller::UpdateOwnShard() {
  const uint64_t lease = routes_.LeaseOf(settings_.name);
  const bool ours = lease != 0 && !leader_ && own_shard_store_lease_ == elector_.store_lease();
  if (shard_holder_ && (!ours || shard_holder_->lease() != lease)) StopHolding();
  if (!ours || shard_holder_) return;
  shard_holder_ = std::make_shared<ShardHolderService>(io_, settings_, derived_, elector_, mirror_,
                                                       jobs_, stalls_, frames_, sockets_, lease);
  shard_holder_->on_malformed = on_malformed_;
  shard_holder_->on_partitioned = [this] { ReleaseShard(); };
  scheduler::Scheduler& d = shard_holder_->holder().dispatcher();
  d.Apply(operator_settings_.settings());
  if (!machine_types_.empty()) d.SetMachineTypes(machine_types_.types());
  shard_holder_->OnAllMachinesAssigned(routes_);
  shard_holder_->OnLeader(elector_.leader(), elector_.leader_token());
  spdlog::info("blocks: holding the block of {} under lease {}", settings_.name, lease);
  asio::post(io_, [holding = shard_holder_] { holding->Start(); });
}

void Controller::StopHolding() {
  if (!shard_holder_) return;
  spdlog::info("blocks: lease {} is over", shard_holder_->lease());
  shard_holder_->Stop();
  shard_holder_.reset();
}

// Its machines can't be heard from here, though they may be from elsewhere.
void Controller::ReleaseShard() {
  if (!shard_holder_) return;
  spdlog::info("blocks: giving up the block, most of its machines can't be heard");
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kShardLeases + settings_.name, shard_holder_->lease()});
  txn.changes.push_back({keys::kShardLeases + settings_.name, std::nullopt});
  StopHolding();
  state_.Commit(std::move(txn), derived_.call_timeout_s, [](const kvstore::TransactionResult&) {});
}

// The offer hangs on the grant, so it tells the leader that this node is there and can renew.
void Controller::OfferToHold() {
  offer_timer_.After(derived_.store_lease_s / 2, [this] { OfferToHold(); });
  const uint64_t grant = elector_.store_lease();
  if (grant == 0 || !mirror_.loaded() || shard_offers_[settings_.name].store_lease == grant) return;
  // An offer on a new grant tells that nothing is done under an older lease any more: machines that
  // can't be reached are counted from there.
  if (own_shard_store_lease_ != grant) StopHolding();
  kvstore::Transaction txn;
  // A late repetition must not look like a newer offer.
  txn.conditions.push_back(
      {keys::kShardOffers + settings_.name, shard_offers_[settings_.name].version});
  txn.changes.push_back({keys::kShardOffers + settings_.name, Json{{"grant", grant}}, grant});
  state_.Commit(std::move(txn), derived_.call_timeout_s, [](const kvstore::TransactionResult&) {});
}

void Controller::OnFrame(const net::HttpRequest& r, const Responder& respond) {
  std::optional<wire::ShardFrame> answer;
  const bool understood = net::TryRead("peer", "block", on_malformed_, [&] {
    const wire::ShardFrame frame = wire::DecodeShardFrame(r.body);
    if (frame.from_leader) {
      if (shard_holder_) answer = shard_holder_->OnFrame(frame);
    } else if (leader_) {
      answer = leader_->OnFrame(frame);
    }
  });
  if (!understood) return respond(ErrorResponse(400, "malformed frame"));
  if (!answer) return respond(ErrorResponse(409, "of another leadership or lease"));
  answer->node = settings_.name;
  respond({200, wire::Encode(*answer), 0, "application/octet-stream"});
}

bool Controller::AnswerForShard(const wire::Heartbeat& report, const Responder& respond) {
  if (shard_holder_ && shard_holder_->Owns(report.machine)) {
    if (!shard_holder_->MayAct()) {
      respond(RetryLaterResponse("not entitled now"));
      return true;
    }
    last_heartbeat_at_ = net::Now();
    scheduler::HeartbeatAnswer answer = shard_holder_->OnHeartbeat(report);
    respond(answer.accepted
                ? HttpResponse{200, wire::HeartbeatAnswer(answer.token, answer.commands).dump()}
                : RetryLaterResponse("late report"));
    return true;
  }
  const shard::ShardLeaseManager* desk = leader_ ? leader_->shard_leases() : nullptr;
  const std::string holder =
      desk != nullptr ? desk->HolderOf(report.machine) : routes_.HolderOf(report.machine);
  if (holder.empty() || holder == settings_.name) return false;
  respond({421, wire::MisdirectedAnswer(peers_.IsSuspected(holder) ? "" : holder).dump()});
  return true;
}

void Controller::OnMirrorLoaded() {
  // What ended while the mirror was being loaded again left no event: a leader that goes on must
  // not keep such jobs.
  if (leader_) {
    std::vector<std::string> over;
    for (const auto& [id, job] : leader_->scheduler().jobs()) {
      if (jobs_.FindLive(id) == nullptr) over.push_back(id);
    }
    for (const auto& id : over) leader_->scheduler().RemoveJob(id, net::Now());
  }
  if (leader_ && leader_->shard_leases() != nullptr) {
    for (const auto& peer : settings_.peers) {
      leader_->shard_leases()->OnLease(peer.name, routes_.LeaseOf(peer.name), net::Now());
    }
  }
  UpdateOwnShard();
  if (shard_holder_) {
    shard_holder_->RemoveEndedJobs();
    shard_holder_->OnAllMachinesAssigned(routes_);
    shard_holder_->OnLeader(elector_.leader(), elector_.leader_token());
  }
  jobs_.AssumeReportedUpTo(mirror_.revision());
  jobs_.OnLoaded(mirror_.revision());
  elector_.OnCacheLoaded(mirror_empty_);
  if (!record_formats_.own_declared()) {
    kvstore::Transaction txn;
    txn.conditions.push_back({keys::kRecordFormats + settings_.name, 0});
    txn.changes.push_back(
        {keys::kRecordFormats + settings_.name, Json{{"batches", 1}, {"marks", 1}}});
    state_.Commit(std::move(txn), derived_.user_deadline_s,
                  [](const kvstore::TransactionResult&) {});
  }
}

// Records of several jobs are written only once every controller has told that it can read them:
// one of an earlier version would not know their jobs.
void Controller::UpdateBatching() {
  const uint64_t since = record_formats_.all_since();
  jobs_.SetBatching(since != RecordFormatSupport::kNever &&
                    operator_settings_.settings().share_acceptances);
  if (leader_) leader_->scheduler().SetMarkersSince(since);
}

void Controller::OnElected(uint64_t token) {
  const double now = net::Now();
  // Who leads holds no block: what it held is asked what it has, like all that is inherited.
  StopHolding();
  leader_ = std::make_unique<LeaderService>(
      LeaderService::Dependencies{.io = io_,
                                  .settings = settings_,
                                  .derived = derived_,
                                  .store = state_,
                                  .cloud = cloud_,
                                  .elector = elector_,
                                  .stalls = stalls_,
                                  .jobs = jobs_,
                                  .frames = frames_,
                                  .sockets = sockets_},
      LeaderService::Handlers{
          .completed =
              [this](const std::string& id) { jobs_.OnEnded(id, JobService::JobStatus::kDone); },
          .machine_types = [this](const auto& types) { machine_types_.OnCloudTypes(types); },
          .malformed = on_malformed_},
      token);
  admission_.OnElected(token, now);
  scheduler::Scheduler& d = leader_->scheduler();
  d.Apply(operator_settings_.settings());
  d.SetMarkersSince(record_formats_.all_since());
  if (!machine_types_.empty()) d.SetMachineTypes(machine_types_.types());
  if (shard::ShardLeaseManager* desk = leader_->shard_leases()) {
    desk->AllowLeases(operator_settings_.settings().lease_blocks);
    for (const auto& [lease, node] : routes_.leases()) desk->OnInheritedLease(node, lease);
    for (const auto& [node, offer] : shard_offers_)
      desk->OnOffer(node, offer.version, offer.store_lease, now);
    if (routes_.LeaseOf(settings_.name) != 0) {
      kvstore::Transaction txn;
      txn.conditions.push_back({keys::kLeader, token});
      txn.changes.push_back({keys::kShardLeases + settings_.name, std::nullopt});
      state_.Commit(std::move(txn), derived_.call_timeout_s,
                    [](const kvstore::TransactionResult&) {});
    }
  }
  for (const auto& [key, pack] : packs_) {
    const auto& [value, version] = pack;
    if (key.starts_with(keys::kProgress)) {
      d.LoadProgressPack(PackNumber(key, keys::kProgress), value, version);
    } else {
      d.LoadMachinesPack(PackNumber(key, keys::kMachines), value, version);
    }
  }
  const double wall = WallSeconds();
  jobs_.ForEachLive([&](const std::string&, const jobs::AcceptedJob& job) {
    d.AddJob(job.spec, job.version, now - std::max(0.0, wall - job.submitted_wall_s));
  });
  spdlog::info("takeover: token={} jobs={} settled={}", token, d.jobs().size(),
               d.recovery_complete());
  leader_->Start();
}

void Controller::OnLost() {
  if (!leader_) return;
  leader_->Stop();
  // Destroyed with a later turn of the loop: this may be reached from one of its callbacks.
  asio::post(io_, [ended = std::move(leader_)] {});
  admission_.OnDeposed();
}

// ---------------------------------------------------------------------------- interfaces

bool Controller::Healthy() const {
  if (!mirror_.loaded() || machine_types_.empty()) return false;
  return peers_.ShouldServeUsers(state_.last_contact(),
                                 2 * derived_.store_lease_renew_s + derived_.call_timeout_s);
}

void Controller::OnPublicRequest(net::HttpRequest r, Responder respond) {
  static const std::string kApi = "/api/jobs";
  static const std::string kCancel = "/cancel";
  auto route = Metrics::Route::kOther;
  if (r.path == "/v1/report") {
    route = Metrics::Route::kReport;
  } else if (r.path == kApi) {
    route = Metrics::Route::kSubmit;
  } else if (r.path.starts_with(kApi)) {
    route = r.path.ends_with(kCancel) ? Metrics::Route::kCancel : Metrics::Route::kGet;
  }
  respond = [this, route, began = net::Now(), respond = std::move(respond)](HttpResponse a) {
    metrics_.OnAnswered(route, a.status, net::Now() - began);
    const bool report = route == Metrics::Route::kReport;
    a.connection_class = report ? net::ConnectionClass::kAgent : net::ConnectionClass::kUser;
    // A worker that is not served goes elsewhere; one that has died never says so.
    a.close = report && a.status != 200;
    if (report) a.idle_s = kIdleWorker * derived_.agent_suspect_s;
    respond(std::move(a));
  };
  const auto only = [&](const char* method) {
    if (r.method == method) return true;
    respond(ErrorResponse(405, "method not allowed"));
    return false;
  };
  if (r.path == "/v1/report") {
    if (only("POST")) OnHeartbeat(r, respond);
    return;
  }
  if (r.path == "/healthz") {
    if (!only("GET")) return;
    return respond(Healthy() ? HttpResponse{200, "{}"} : RetryLaterResponse("not ready"));
  }
  if (r.path == "/status" || r.path == "/status.json") {
    if (!only("GET")) return;
    const wire::Status status = peers_.Status();
    if (r.path == "/status.json") return respond({200, wire::StatusJson(status).dump()});
    HttpResponse page{200, wire::StatusPage(status)};
    page.content_type = "text/plain; charset=utf-8";
    return respond(std::move(page));
  }
  if (r.path == kApi) {
    if (only("POST")) users_.Submit(r, std::move(respond));
    return;
  }
  if (r.path.starts_with(kApi + "/")) {
    std::string id = r.path.substr(kApi.size() + 1);
    if (id.ends_with(kCancel)) {
      id.resize(id.size() - kCancel.size());
      if (!wire::IsJobId(id)) return respond(ErrorResponse(404, "no such job"));
      if (only("POST")) users_.Cancel(id, std::move(respond));
      return;
    }
    if (!wire::IsJobId(id)) return respond(ErrorResponse(404, "no such job"));
    if (only("GET")) users_.Get(id, std::move(respond));
    return;
  }
  respond(ErrorResponse(404, "no such path"));
}

void Controller::OnPeerRequest(net::HttpRequest r, Responder respond) {
  if (peers_.Answer(r, respond)) return;
  if (r.path == "/metrics" && r.method == "GET") {
    metrics_.Update(peers_.Status());
    HttpResponse a{200, metrics_.Text()};
    a.content_type = "text/plain; version=0.0.4";
    return respond(std::move(a));
  }
  if (r.path == kShardFramePath && r.method == "POST") return OnFrame(r, respond);
  if (r.path == "/admin/v1/settings") return operator_settings_.Answer(r, std::move(respond));
  respond(ErrorResponse(404, "no such path"));
}

// ---------------------------------------------------------------------------- users and workers

std::optional<wire::StatusSnapshot> Controller::OwnSnapshot() const {
  if (!leader_ || !elector_.MayAct(net::Now())) return std::nullopt;
  wire::StatusSnapshot d = leader_->scheduler().MakeSnapshot(net::Now());
  d.leader = settings_.name;
  return d;
}

wire::PeerHeartbeat Controller::OwnHeartbeat() const {
  const double now = net::Now();
  wire::PeerHeartbeat p;
  p.is_leader = leader_ && elector_.MayAct(now);
  p.state_ago_s = now - state_.last_contact();
  p.cloud_ago_s = now - cloud_.last_contact();
  p.workers_ago_s = now - last_heartbeat_at_;
  return p;
}

scheduler::JobCounts Controller::CountsOf(const std::string& id) const {
  return leader_ ? leader_->scheduler().Counts(id) : peers_.CountsOf(id);
}

void Controller::OnHeartbeat(const net::HttpRequest& r, const Responder& respond) {
  wire::Heartbeat report;
  const bool understood = net::TryRead("worker", "report", on_malformed_,
                                       [&] { report = wire::ReadHeartbeat(r.body); });
  if (!understood) return respond(ErrorResponse(400, "malformed report"));
  if (AnswerForShard(report, respond)) return;
  const double now = net::Now();
  if (leader_ && elector_.MayAct(now)) {
    last_heartbeat_at_ = now;
    scheduler::HeartbeatAnswer answer = leader_->scheduler().OnHeartbeat(report, now);
    if (!answer.accepted) return respond(RetryLaterResponse("late report"));
    leader_->ScheduleTick();
    return respond({200, wire::HeartbeatAnswer(answer.token, answer.commands).dump()});
  }
  if (leader_ || elector_.leader() == settings_.name)
    return respond(RetryLaterResponse("not entitled now"));
  // A leader that the peers don't hear may be gone: a worker sent there would wait in vain, while
  // the next node it tries may lead by then.
  respond(
      {421, wire::MisdirectedAnswer(peers_.IsSuspected(elector_.leader()) ? "" : elector_.leader())
                .dump()});
}

}  // namespace mosspath::service
