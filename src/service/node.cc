#include "mosspath/service/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace mosspath::service {
namespace {

using net::HttpAnswer;
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

Node::Node(asio::io_context& io, const config::Settings& settings)
    : io_(io),
      settings_(settings),
      derived_(settings),
      sockets_(std::make_shared<net::SocketBudget>(static_cast<size_t>(settings_.max_connections))),
      state_(io, settings_, derived_, sockets_),
      cloud_(io, settings_, derived_, sockets_),
      mirror_(io, state_, derived_, keys::kLive, keys::kAll,
              {.reset =
                   [this] {
                     jobs_.Reset();
                     packs_.clear();
                     speakers_.Clear();
                     mirror_empty_ = true;
                     elector_.KeyReset();
                     routes_.Clear();
                     offers_.clear();
                     own_block_grant_ = 0;
                   },
               .changed = [this](const kvstore::Event& e) { OnKey(e); },
               .loaded = [this] { OnMirrorLoaded(); },
               .advanced =
                   [this] {
                     if (leader_) leader_->Kick();
                   },
               .current = [this](double as_of) { elector_.Seen(as_of, mirror_.revision()); }}),
      admission_(settings_),
      jobs_(io, state_, mirror_, admission_, settings_, derived_),
      elector_(
          io, state_, settings_, derived_, keys::kLeader,
          {.elected = [this](uint64_t token) { OnElected(token); }, .lost = [this] { OnLost(); }}),
      stalls_(io, settings_.report_s / 8,
              [this](double from, double now) {
                spdlog::info("service: stood still for {:.1f} s", now - from);
                metrics_.StoodStill(now - from);
                peers_.StoodStill(from, now);
                if (leader_) leader_->dispatcher().StoodStill(from, now);
                if (leader_ && leader_->desk() != nullptr) leader_->desk()->StoodStill(now);
                if (holding_) holding_->holder().dispatcher().StoodStill(from, now);
              }),
      types_(io, state_, cloud_, elector_, derived_,
             [this](const std::vector<wire::MachineType>& types) {
               if (leader_) leader_->dispatcher().SetTypes(types);
               if (holding_) holding_->holder().dispatcher().SetTypes(types);
             }),
      desk_(state_, mirror_, derived_,
            [this] {
              if (leader_) leader_->dispatcher().Apply(desk_.settings());
              if (leader_ && leader_->desk() != nullptr) {
                leader_->desk()->Allow(desk_.settings().lease_blocks);
              }
              if (holding_) holding_->holder().dispatcher().Apply(desk_.settings());
              admission_.gate().Weigh(desk_.settings().weights);
              ShareAcceptances();
            }),
      speakers_(settings_),
      users_(settings_, jobs_, admission_, mirror_, types_,
             [this](const std::string& id) { return CountsOf(id); }),
      on_malformed_([this](const char* from, const char* what) { metrics_.Malformed(from, what); }),
      peers_(io, settings_, derived_, elector_, jobs_, admission_,
             {.digest = [this] { return OwnDigest(); },
              .presence = [this] { return OwnPresence(); },
              .entitled = [this] { return leader_ && elector_.Entitled(net::Now()); }},
             sockets_, on_malformed_),
      frames_(io, settings_, sockets_, on_malformed_),
      offer_timer_(io) {
  state_.on_malformed = cloud_.on_malformed = on_malformed_;
  jobs_.on_ahead = [this](const std::string& id) {
    if (leader_) leader_->dispatcher().RemoveJob(id, net::Now());
    if (holding_) holding_->holder().JobOver(id, net::Now());
  };
}

Node::~Node() {
  OnLost();
  StopHolding();
}

void Node::Start() {
  public_ = std::make_unique<net::HttpServer>(
      io_, settings_.public_address,
      net::HttpServer::Options{.sockets = sockets_, .party = net::Party::kNew},
      [this](net::HttpRequest r, Responder respond) {
        OnPublic(std::move(r), std::move(respond));
      });
  peer_ = std::make_unique<net::HttpServer>(
      io_, settings_.peer_address,
      net::HttpServer::Options{.sockets = sockets_, .party = net::Party::kPeer},
      [this](net::HttpRequest r, Responder respond) { OnPeer(std::move(r), std::move(respond)); });
  stalls_.Start();
  elector_.Start();
  mirror_.Start();
  types_.Fetch();
  peers_.Start();
  if (settings_.lease_blocks) Offer();
  spdlog::info("service: node {} in {} serves {}", settings_.node, settings_.zone,
               settings_.public_address);
}

// ---------------------------------------------------------------------------- mirrored keys

void Node::OnKey(const kvstore::Event& e) {
  if (e.key.starts_with(keys::kFinal)) return jobs_.FinalChanged(e);
  mirror_empty_ = false;
  if (e.key == keys::kLeader) {
    elector_.KeyChanged(e);
    if (holding_) holding_->LeaderIs(elector_.leader(), elector_.leader_token());
    return;
  }
  if (OnBlockKey(e)) return;
  if (e.key == keys::kTypes) return types_.OnKey(e);
  if (e.key == keys::kSettings) return desk_.OnKey(e);
  if (e.key.starts_with(keys::kSpeaks)) {
    speakers_.Told(e.key.substr(keys::kSpeaks.size()), e.value ? e.version : 0);
    return ShareAcceptances();
  }
  if (jobs_.ledger().Holds(e.key)) {
    const double now = net::Now();
    const auto change = jobs_.Changed(e);
    if (holding_) {
      for (const auto& id : change.ended) holding_->holder().JobOver(id, now);
    }
    if (!leader_) return;
    for (const auto& id : change.came) {
      const jobs::Accepted& job = *jobs_.ledger().Find(id);
      spdlog::debug("jobs: {} accepted, {} tasks", id, job.spec.tasks);
      leader_->dispatcher().AddJob(job.spec, job.version,
                                   now - std::max(0.0, WallSeconds() - job.submitted_wall_s));
    }
    for (const auto& id : change.ended) leader_->dispatcher().RemoveJob(id, now);
    return;
  }
  if (e.key.starts_with(keys::kProgress) || e.key.starts_with(keys::kMachines)) {
    // Only a new leader needs them; the present one wrote them itself, but may not know it.
    const bool progress = e.key.starts_with(keys::kProgress);
    if (leader_ && progress) {
      leader_->dispatcher().SeenProgress(PackNumber(e.key, keys::kProgress), e.version);
    } else if (leader_) {
      leader_->dispatcher().SeenMachines(PackNumber(e.key, keys::kMachines), e.version);
    }
    if (!progress) {
      const int pack = PackNumber(e.key, keys::kMachines);
      routes_.PackTold(pack, e.value ? &*e.value : nullptr, e.version);
      if (holding_) holding_->Assigned(routes_, pack);
    }
    if (e.value) {
      packs_[e.key] = {*e.value, e.version};
    } else {
      packs_.erase(e.key);
    }
  }
}

// ---------------------------------------------------------------------------- blocks

bool Node::OnBlockKey(const kvstore::Event& e) {
  const bool offer = e.key.starts_with(keys::kHolders);
  if (!offer && !e.key.starts_with(keys::kBlocks)) return false;
  const std::string node = e.key.substr((offer ? keys::kHolders : keys::kBlocks).size());
  const uint64_t grant = e.value ? e.value->value("grant", uint64_t{0}) : 0;
  shard::Desk* desk = leader_ ? leader_->desk() : nullptr;
  if (offer) {
    offers_[node] = {e.value ? e.version : 0, grant};
    if (desk != nullptr) desk->Offered(node, offers_[node].version, grant, net::Now());
    return true;
  }
  routes_.LeaseTold(node, e.value ? e.version : 0);
  if (node == settings_.node) {
    own_block_grant_ = grant;
    if (mirror_.loaded()) SeeOwnBlock();
  } else if (desk != nullptr) {
    desk->Leased(node, e.value ? e.version : 0, net::Now());
  }
  return true;
}

// Whether this node holds its block, as the state service shows it.
void Node::SeeOwnBlock() {
  const uint64_t lease = routes_.LeaseOf(settings_.node);
  const bool ours = lease != 0 && !leader_ && own_block_grant_ == elector_.grant();
  if (holding_ && (!ours || holding_->lease() != lease)) StopHolding();
  if (!ours || holding_) return;
  holding_ = std::make_shared<Holding>(io_, settings_, derived_, elector_, mirror_, jobs_, stalls_,
                                       frames_, sockets_, lease);
  holding_->on_malformed = on_malformed_;
  holding_->on_blind = [this] { GiveUpBlock(); };
  scheduler::Dispatcher& d = holding_->holder().dispatcher();
  d.Apply(desk_.settings());
  if (!types_.empty()) d.SetTypes(types_.types());
  holding_->AllAssigned(routes_);
  holding_->LeaderIs(elector_.leader(), elector_.leader_token());
  spdlog::info("blocks: holding the block of {} under lease {}", settings_.node, lease);
  asio::post(io_, [holding = holding_] { holding->Start(); });
}

void Node::StopHolding() {
  if (!holding_) return;
  spdlog::info("blocks: lease {} is over", holding_->lease());
  holding_->Stop();
  holding_.reset();
}

// Its machines can't be heard from here, though they may be from elsewhere.
void Node::GiveUpBlock() {
  if (!holding_) return;
  spdlog::info("blocks: giving up the block, most of its machines can't be heard");
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kBlocks + settings_.node, holding_->lease()});
  txn.changes.push_back({keys::kBlocks + settings_.node, std::nullopt});
  StopHolding();
  state_.Commit(std::move(txn), derived_.call_timeout_s, [](const kvstore::TxnResult&) {});
}

// The offer hangs on the grant, so it tells the leader that this node is there and can renew.
void Node::Offer() {
  offer_timer_.After(derived_.grant_s / 2, [this] { Offer(); });
  const uint64_t grant = elector_.grant();
  if (grant == 0 || !mirror_.loaded() || offers_[settings_.node].grant == grant) return;
  // An offer on a new grant tells that nothing is done under an older lease any more: machines that
  // can't be reached are counted from there.
  if (own_block_grant_ != grant) StopHolding();
  kvstore::Transaction txn;
  // A late repetition must not look like a newer offer.
  txn.conditions.push_back({keys::kHolders + settings_.node, offers_[settings_.node].version});
  txn.changes.push_back({keys::kHolders + settings_.node, Json{{"grant", grant}}, grant});
  state_.Commit(std::move(txn), derived_.call_timeout_s, [](const kvstore::TxnResult&) {});
}

void Node::OnFrame(const net::HttpRequest& r, const Responder& respond) {
  std::optional<wire::BlockFrame> answer;
  const bool understood = net::Understood("peer", "block", on_malformed_, [&] {
    const wire::BlockFrame frame = wire::DecodeBlockFrame(r.body);
    if (frame.from_leader) {
      if (holding_) answer = holding_->OnFrame(frame);
    } else if (leader_) {
      answer = leader_->OnFrame(frame);
    }
  });
  if (!understood) return respond(Plain(400, "malformed frame"));
  if (!answer) return respond(Plain(409, "of another leadership or lease"));
  answer->node = settings_.node;
  respond({200, wire::Encode(*answer), 0, "application/octet-stream"});
}

bool Node::AnswerForBlock(const wire::Report& report, const Responder& respond) {
  if (holding_ && holding_->Commands(report.machine)) {
    if (!holding_->MayAct()) {
      respond(Later("not entitled now"));
      return true;
    }
    last_report_ = net::Now();
    scheduler::ReportAnswer answer = holding_->OnReport(report);
    respond(answer.accepted
                ? HttpAnswer{200, wire::ReportAnswer(answer.token, answer.commands).dump()}
                : Later("late report"));
    return true;
  }
  const shard::Desk* desk = leader_ ? leader_->desk() : nullptr;
  const std::string holder =
      desk != nullptr ? desk->HolderOf(report.machine) : routes_.HolderOf(report.machine);
  if (holder.empty() || holder == settings_.node) return false;
  respond({421, wire::MisdirectedAnswer(peers_.Silent(holder) ? "" : holder).dump()});
  return true;
}

void Node::OnMirrorLoaded() {
  // What ended while the mirror was being loaded again left no event: a leader that goes on must
  // not keep such jobs.
  if (leader_) {
    std::vector<std::string> over;
    for (const auto& [id, job] : leader_->dispatcher().jobs()) {
      if (jobs_.FindLive(id) == nullptr) over.push_back(id);
    }
    for (const auto& id : over) leader_->dispatcher().RemoveJob(id, net::Now());
  }
  if (leader_ && leader_->desk() != nullptr) {
    for (const auto& peer : settings_.peers) {
      leader_->desk()->Leased(peer.node, routes_.LeaseOf(peer.node), net::Now());
    }
  }
  SeeOwnBlock();
  if (holding_) {
    holding_->DropEnded();
    holding_->AllAssigned(routes_);
    holding_->LeaderIs(elector_.leader(), elector_.leader_token());
  }
  jobs_.MayHaveTold(mirror_.revision());
  jobs_.Loaded(mirror_.revision());
  elector_.MirrorLoaded(mirror_empty_);
  if (!speakers_.own()) {
    kvstore::Transaction txn;
    txn.conditions.push_back({keys::kSpeaks + settings_.node, 0});
    txn.changes.push_back({keys::kSpeaks + settings_.node, Json{{"batches", 1}, {"marks", 1}}});
    state_.Commit(std::move(txn), derived_.user_deadline_s, [](const kvstore::TxnResult&) {});
  }
}

// Records of several jobs are written only once every controller has told that it can read them:
// one of an earlier version would not know their jobs.
void Node::ShareAcceptances() {
  const uint64_t since = speakers_.all_since();
  jobs_.Share(since != Speakers::kNever && desk_.settings().share_acceptances);
  if (leader_) leader_->dispatcher().MarkedSince(since);
}

void Node::OnElected(uint64_t token) {
  const double now = net::Now();
  // Who leads holds no block: what it held is asked what it has, like all that is inherited.
  StopHolding();
  leader_ = std::make_shared<Leader>(io_, settings_, derived_, state_, cloud_, elector_, stalls_,
                                     jobs_, frames_, sockets_, token);
  leader_->on_completed = [this](const std::string& id) {
    jobs_.RecordFinal(id, JobTable::Known::kDone);
  };
  leader_->on_malformed = on_malformed_;
  leader_->on_types = [this](const std::vector<wire::MachineType>& types) { types_.Told(types); };
  admission_.Leads(token, now);
  scheduler::Dispatcher& d = leader_->dispatcher();
  d.Apply(desk_.settings());
  d.MarkedSince(speakers_.all_since());
  if (!types_.empty()) d.SetTypes(types_.types());
  if (shard::Desk* desk = leader_->desk()) {
    desk->Allow(desk_.settings().lease_blocks);
    for (const auto& [lease, node] : routes_.leases()) desk->Inherited(node, lease);
    for (const auto& [node, offer] : offers_) desk->Offered(node, offer.version, offer.grant, now);
    if (routes_.LeaseOf(settings_.node) != 0) {
      kvstore::Transaction txn;
      txn.conditions.push_back({keys::kLeader, token});
      txn.changes.push_back({keys::kBlocks + settings_.node, std::nullopt});
      state_.Commit(std::move(txn), derived_.call_timeout_s, [](const kvstore::TxnResult&) {});
    }
  }
  for (const auto& [key, pack] : packs_) {
    const auto& [value, version] = pack;
    if (key.starts_with(keys::kProgress)) {
      d.LoadProgress(PackNumber(key, keys::kProgress), value, version);
    } else {
      d.LoadMachines(PackNumber(key, keys::kMachines), value, version);
    }
  }
  const double wall = WallSeconds();
  jobs_.EachLive([&](const std::string&, const jobs::Accepted& job) {
    d.AddJob(job.spec, job.version, now - std::max(0.0, wall - job.submitted_wall_s));
  });
  spdlog::info("takeover: token={} jobs={} settled={}", token, d.jobs().size(), d.settled());
  // Started from the loop: the mirror may be in the middle of a batch.
  asio::post(io_, [leader = leader_] { leader->Start(); });
}

void Node::OnLost() {
  if (!leader_) return;
  leader_->Stop();
  leader_.reset();
  admission_.Follows();
}

// ---------------------------------------------------------------------------- interfaces

bool Node::Healthy() const {
  if (!mirror_.loaded() || types_.empty()) return false;
  return peers_.FitForUsers(state_.last_contact(), 2 * derived_.renew_s + derived_.call_timeout_s);
}

void Node::OnPublic(net::HttpRequest r, Responder respond) {
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
  respond = [this, route, began = net::Now(), respond = std::move(respond)](HttpAnswer a) {
    metrics_.Answered(route, a.status, net::Now() - began);
    const bool report = route == Metrics::Route::kReport;
    a.party = report ? net::Party::kWorker : net::Party::kUser;
    // A worker that is not served goes elsewhere; one that has died never says so.
    a.close = report && a.status != 200;
    if (report) a.idle_s = kIdleWorker * derived_.silent_s;
    respond(std::move(a));
  };
  const auto only = [&](const char* method) {
    if (r.method == method) return true;
    respond(Plain(405, "method not allowed"));
    return false;
  };
  if (r.path == "/v1/report") {
    if (only("POST")) OnReport(r, respond);
    return;
  }
  if (r.path == "/healthz") {
    if (!only("GET")) return;
    return respond(Healthy() ? HttpAnswer{200, "{}"} : Later("not ready"));
  }
  if (r.path == "/status" || r.path == "/status.json") {
    if (!only("GET")) return;
    const wire::Status status = peers_.Status();
    if (r.path == "/status.json") return respond({200, wire::StatusJson(status).dump()});
    HttpAnswer page{200, wire::StatusPage(status)};
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
      if (!wire::IsJobId(id)) return respond(Plain(404, "no such job"));
      if (only("POST")) users_.Cancel(id, std::move(respond));
      return;
    }
    if (!wire::IsJobId(id)) return respond(Plain(404, "no such job"));
    if (only("GET")) users_.Get(id, std::move(respond));
    return;
  }
  respond(Plain(404, "no such path"));
}

void Node::OnPeer(net::HttpRequest r, Responder respond) {
  if (peers_.Answer(r, respond)) return;
  if (r.path == "/metrics" && r.method == "GET") {
    metrics_.Show(peers_.Status());
    HttpAnswer a{200, metrics_.Text()};
    a.content_type = "text/plain; version=0.0.4";
    return respond(std::move(a));
  }
  if (r.path == kFramePath && r.method == "POST") return OnFrame(r, respond);
  if (r.path == "/admin/v1/settings") return desk_.Answer(r, std::move(respond));
  respond(Plain(404, "no such path"));
}

// ---------------------------------------------------------------------------- users and workers

std::optional<wire::Digest> Node::OwnDigest() const {
  if (!leader_ || !elector_.Entitled(net::Now())) return std::nullopt;
  wire::Digest d = leader_->dispatcher().Summary(net::Now());
  d.leader = settings_.node;
  return d;
}

wire::Presence Node::OwnPresence() const {
  const double now = net::Now();
  wire::Presence p;
  p.leads = leader_ && elector_.Entitled(now);
  p.state_ago_s = now - state_.last_contact();
  p.cloud_ago_s = now - cloud_.last_contact();
  p.workers_ago_s = now - last_report_;
  return p;
}

scheduler::JobCounts Node::CountsOf(const std::string& id) const {
  return leader_ ? leader_->dispatcher().Counts(id) : peers_.CountsOf(id);
}

void Node::OnReport(const net::HttpRequest& r, const Responder& respond) {
  wire::Report report;
  const bool understood = net::Understood("worker", "report", on_malformed_,
                                          [&] { report = wire::ReadReport(r.body); });
  if (!understood) return respond(Plain(400, "malformed report"));
  if (AnswerForBlock(report, respond)) return;
  const double now = net::Now();
  if (leader_ && elector_.Entitled(now)) {
    last_report_ = now;
    scheduler::ReportAnswer answer = leader_->dispatcher().OnReport(report, now);
    if (!answer.accepted) return respond(Later("late report"));
    leader_->Kick();
    return respond({200, wire::ReportAnswer(answer.token, answer.commands).dump()});
  }
  if (leader_ || elector_.leader() == settings_.node) return respond(Later("not entitled now"));
  // A leader that the peers don't hear may be gone: a worker sent there would wait in vain, while
  // the next node it tries may lead by then.
  respond(
      {421,
       wire::MisdirectedAnswer(peers_.Silent(elector_.leader()) ? "" : elector_.leader()).dump()});
}

}  // namespace mosspath::service
