#include "simulation/controller.h"

#include <algorithm>
#include <utility>

#include "mosspath/admission/runnable.h"

namespace mosspath::simulation {
namespace {

const std::string kState = "state";
const std::string kLeader = "leader";
const std::string kJob = "job/";
const std::string kFinal = "final/";
constexpr jobs::JobIndex::Limits kRemembered{.finals = 100'000, .cancellations = 600};

int PackOf(const std::string& key) { return std::stoi(key.substr(key.find('/') + 1)); }

}  // namespace

SimulatedController::SimulatedController(SimulatedEnvironment& world, std::string name,
                                         double drift)
    : world_(world),
      name_(std::move(name)),
      drift_(drift),
      derived_(world.settings),
      turns_(world.settings.heartbeat_s / 8, 0),
      accept_rate_(world.settings.store_writes_per_s /
                   (2.0 * static_cast<double>(world.nodes.size()))) {
  settings_ = world_.settings;
  settings_.name = name_;
  settings_.zone = world_.ZoneOf(name_);
  for (const auto& node : world_.nodes) {
    if (node != name_) settings_.peers.push_back({node, world_.ZoneOf(node), node});
  }
  world_.on_peer_heartbeat[name_] = [this](const std::string& text) { return TakePresence(text); };
  if (settings_.lease_shards) {
    world_.on_shard_frame[name_] =
        [this](const std::string& frame) -> std::optional<wire::ShardFrame> {
      if (!alive_ || StandsStill()) return std::nullopt;
      return TakeFrame(frame);
    };
  }
  world_.on_promise_request[name_] =
      [this](const std::string& question) -> std::optional<std::string> {
    if (!alive_) return std::nullopt;
    if (StandsStill()) {  // it answers when nobody waits any more
      Running([this, question] { Vouch(question); });
      return std::nullopt;
    }
    return Vouch(question);
  };
  Boot();
}

std::optional<std::string> SimulatedController::Vouch(const std::string& text) {
  const wire::PromiseRequest question = wire::DecodePromiseRequest(text);
  const auto promise = lead_->OnPromiseRequest(question, last_contact_, Now());
  Told(promise.loss);
  if (!promise.well_formed) return std::nullopt;
  return wire::Encode(wire::PromiseResponse{
      promise.promised, directory_->cancellations().Since(question.read_revision)});
}

void SimulatedController::Told(const election::Leadership::MaybeLoss& lost) {
  if (!lost) return;
  desk_.reset();
  dispatcher_.reset();
  admission_->OnDeposed();
}

void SimulatedController::LearnCancelled(const std::string& id, uint64_t revision) {
  directory_->OnCancellationLearned(id, revision, seen_jobs_);
  EndTasks(id);
}

void SimulatedController::Freeze(double for_s) {
  frozen_until_ = std::max(frozen_until_, world_.clock.now() + for_s);
}

void SimulatedController::Running(std::function<void()> f) {
  if (StandsStill()) {
    // Whatever came or fell due meanwhile comes at once when it wakes, in any order.
    world_.clock.At(frozen_until_ + world_.random.Uniform(0, 0.02),
                    [this, life = life_, f = std::move(f)] {
                      if (alive_ && life == life_) Running(f);
                    });
    return;
  }
  const auto from = turns_.OnTurn(Now());
  if (from && dispatcher_) dispatcher_->OnProcessStall(*from, Now());
  if (from && desk_) desk_->OnProcessStall(Now());
  if (from && holder_) holder_->dispatcher().OnProcessStall(*from, Now());
  if (from) liveness_->OnProcessStall(*from, Now());
  f();
}

template <typename R>
void SimulatedController::Ask(std::function<R()> at_service, std::function<void(R)> back) {
  const uint64_t life = life_;
  world_.network.Send(name_, kState, [this, life, at_service, back] {
    if (!world_.store.up()) return;
    R result = at_service();
    world_.network.Send(kState, name_, [this, life, back, result] {
      if (alive_ && life == life_) Running([back, result] { back(result); });
    });
  });
}

template <typename R>
void SimulatedController::AskChange(std::function<R()> at_service, std::function<void(R)> back) {
  const bool late = world_.clock.now() < world_.late_writes_until &&
                    world_.random.Uniform(0, 1) < world_.late_writes_share;
  if (!late) return Ask(std::move(at_service), std::move(back));
  world_.clock.After(world_.random.Uniform(2, 12), [this, at_service = std::move(at_service)] {
    if (!world_.store.up()) return;
    at_service();
    ++world_.observed.late_writes;
  });
}

void SimulatedController::Boot() {
  alive_ = true;
  ++life_;
  lead_.emplace(settings_, derived_, Now());
  liveness_.emplace(settings_);
  directory_.emplace(kJob, "batch/", kRemembered);
  last_contact_ = -1e18;
  offering_ = false;
  desk_.reset();
  dispatcher_.reset();
  holder_.reset();
  routes_.Clear();
  seen_packs_.clear();
  framing_.clear();
  admission_ = std::make_unique<service::AdmissionService>(settings_);
  accepting_ = {};
  shown_.clear();
  shown_finals_.clear();
  seen_jobs_ = 0;
  // Nothing that it had read or been told outlives the process.
  polls_ = seen_poll_ = 0;
  revision_ = 0;
  SendPresence();
  PumpAccepts();
  Renew();
  Poll();
  Tick();
  ListMachines();
  AskToVouch();
}

void SimulatedController::Crash(double back_after_s) {
  alive_ = false;
  ++life_;
  frozen_until_ = 0;
  desk_.reset();
  dispatcher_.reset();
  holder_.reset();
  world_.clock.After(back_after_s, [this] {
    if (!alive_) Boot();
  });
}

void SimulatedController::AskToVouch() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(derived_.promise_s / 4, [this, life] {
    if (life == life_) Running([this] { AskToVouch(); });
  });
  const auto round = lead_->BeginPromiseRound(last_contact_, Now());
  if (!round) return;
  const std::string question = wire::Encode(lead_->MakePromiseRequest());
  for (const auto& peer : world_.nodes) {
    if (peer == name_) continue;
    world_.network.Send(name_, peer, [this, life, round = *round, peer, question] {
      const auto answer = world_.on_promise_request[peer](question);
      if (!answer) return;
      world_.network.Send(peer, name_, [this, life, round, peer, text = *answer] {
        if (life != life_) return;
        Running([this, round, peer, text] {
          std::vector<wire::CancellationLogSlice::Entry> learned;
          lead_->OnPromiseResponse(round, peer, wire::DecodePromiseResponse(text), Now(), learned);
          for (const auto& e : learned) {
            learned_ += directory_->FindEnded(e.id) ? 0 : 1;
            LearnCancelled(e.id, e.revision);
          }
        });
      });
    });
  }
}

void SimulatedController::Renew() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(derived_.store_lease_renew_s, [this, life] {
    if (life == life_) Running([this] { Renew(); });
  });
  const double sent = Now();
  if (lead_->store_lease() == 0) {
    Ask<uint64_t>([this] { return world_.store.GrantLease(derived_.store_lease_s); },
                  [this, sent](uint64_t grant) {
                    if (lead_->store_lease() == 0) lead_->OnStoreLeaseGranted(grant, sent);
                  });
    return;
  }
  Ask<bool>([this, grant = lead_->store_lease()] { return world_.store.RenewLease(grant); },
            [this, sent, grant = lead_->store_lease()](bool ok) {
              last_contact_ = std::max(last_contact_, sent);
              if (grant != lead_->store_lease()) return;
              if (ok) return lead_->OnStoreLeaseRenewed(sent);
              Told(lead_->OnStoreLeaseEnded());
            });
}

void SimulatedController::Poll() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(0.1, [this, life] {
    if (life == life_) Running([this] { Poll(); });
  });
  Look([](bool) {});
}

void SimulatedController::Look(std::function<void(bool)> seen) {
  if (world_.clock.now() < unread_until_) return seen(false);
  Ask<std::shared_ptr<const SimulatedKeyValueStore::View>>(
      [this] { return world_.store.Snapshot(); },
      [this, poll = ++polls_, sent = Now(),
       seen = std::move(seen)](const std::shared_ptr<const SimulatedKeyValueStore::View>& view) {
        last_contact_ = std::max(last_contact_, sent);
        // One that was asked for later has come already, and shows as much.
        if (poll > seen_poll_) {
          seen_poll_ = poll;
          See(*view, sent);
        }
        seen(true);
      });
}

void SimulatedController::See(const SimulatedKeyValueStore::View& view, double sent) {
  const Pairs& pairs = view.entries;
  if (revision_ == 0) directory_->AssumeReportedUpTo(view.revision);  // the life before this one
  revision_ = std::max(revision_, view.revision);
  election::Leadership::LeaderKey leads;
  if (const auto leader = pairs.find(kLeader); leader != pairs.end()) {
    leads = {leader->second.value.value("node", ""), leader->second.lease, leader->second.version};
  }
  Told(lead_->OnLeaderKey(leads));
  Told(lead_->OnLoaded(pairs.empty()));
  SeeJobs(pairs);
  if (settings_.lease_shards) SeeBlocks(pairs);
  using Kind = election::Leadership::Step::Kind;
  const auto step = lead_->NextStep(Now());
  lead_->OnReadUpTo(sent, revision_);
  if (step.kind == Kind::kElected) return Elected(token(), pairs);
  if (token() == 0) {
    if (settings_.lease_shards) SeeOwnBlock(pairs);
    if (step.kind == Kind::kCampaign) Campaign(step.version);
    return;
  }
  for (const auto& [key, pair] : pairs) {
    if (key.starts_with("progress/")) dispatcher_->OnProgressVersion(PackOf(key), pair.version);
    if (key.starts_with("machines/")) dispatcher_->OnMachinesVersion(PackOf(key), pair.version);
  }
  directory_->ForEachLive([this](const std::string& id, const jobs::AcceptedJob& job) {
    if (dispatcher_->FindJob(id) == nullptr) dispatcher_->AddJob(job.spec, job.version, Now());
  });
  std::vector<std::string> over;
  for (const auto& [id, job] : dispatcher_->jobs()) {
    if (directory_->FindLive(id) == nullptr) over.push_back(id);
  }
  for (const auto& id : over) dispatcher_->RemoveJob(id, Now());
  if (!desk_) return;
  for (const auto& node : world_.nodes) {
    const auto offer = pairs.find("holder/" + node);
    const bool offered = offer != pairs.end();
    desk_->OnOffer(node, offered ? offer->second.version : 0,
                   offered ? offer->second.value.at("grant").get<uint64_t>() : 0, Now());
    desk_->OnLease(node, routes_.LeaseOf(node), Now());
  }
}

void SimulatedController::SeeBlocks(const Pairs& pairs) {
  for (const auto& node : world_.nodes) {
    const auto block = pairs.find("block/" + node);
    routes_.OnLease(node, block == pairs.end() ? 0 : block->second.version);
  }
  for (const auto& [key, pair] : pairs) {
    if (!key.starts_with("machines/")) continue;
    uint64_t& seen = seen_packs_[key];
    if (seen == pair.version) continue;
    seen = pair.version;
    routes_.OnPack(PackOf(key), &pair.value, pair.version);
  }
  Offer(pairs);
}

void SimulatedController::SeeOwnBlock(const Pairs& pairs) {
  const auto block = pairs.find("block/" + name_);
  const bool ours = lead_->store_lease() != 0 && block != pairs.end() &&
                    block->second.lease == lead_->store_lease();
  if (!ours) return holder_.reset();
  const uint64_t lease = block->second.version;
  if (!holder_ || holder_->lease() != lease) {
    size_t own = 0;
    const scheduler::ShardMap blocks(settings_);
    while (blocks.OwnerOf(own) != name_) ++own;
    holder_ = std::make_unique<shard::ShardHolder>(
        settings_, derived_, own, lease, Now(),
        [this](const std::string& id) -> std::optional<shard::ShardHolder::LiveJob> {
          const jobs::AcceptedJob* job = directory_->FindLive(id);
          if (job == nullptr) return std::nullopt;
          return shard::ShardHolder::LiveJob{job->spec, job->version, Now()};
        });
    holder_->dispatcher().SetMachineTypes(world_.types);
  }
  for (const auto& [id, e] : routes_.MachinesUnder(lease)) {
    holder_->OnMachineAssigned(id, e.address, e.version, e.handover_revision, Now());
  }
  std::vector<std::string> over;
  for (const auto& [id, lost] : holder_->returned()) {
    if (!routes_.IsUnder(lease, id)) over.push_back(id);
  }
  for (const auto& id : over) holder_->OnMachineUnassigned(id);
  over.clear();
  for (const auto& [id, job] : holder_->dispatcher().jobs()) {
    if (directory_->FindLive(id) == nullptr) over.push_back(id);
  }
  for (const auto& id : over) holder_->OnJobEnded(id, Now());
  holder_->OnLeader(lead_->leader_token());
}

// The record that offers to hold a block hangs on the grant, so it tells that the node is there.
void SimulatedController::Offer(const Pairs& pairs) {
  const auto offer = pairs.find("holder/" + name_);
  const uint64_t grant = lead_->store_lease();
  if (grant == 0 || offering_) return;
  if (offer != pairs.end() && offer->second.lease == grant) return;
  offering_ = true;
  const uint64_t life = life_;
  world_.clock.After(0.5, [this, life] {
    if (life == life_) offering_ = false;
  });
  const uint64_t seen = offer == pairs.end() ? 0 : offer->second.version;
  AskChange<uint64_t>(
      [this, seen, grant] {
        return world_.store.Commit({{"holder/" + name_, seen}},
                                   {{"holder/" + name_, wire::Json{{"grant", grant}}}}, grant);
      },
      [](uint64_t) {});
}

void SimulatedController::ChangeLeases() {
  for (const auto& c : desk_->PendingChanges(Now())) {
    const uint64_t life = life_;
    const auto done = [this, life, node = c.node, token = token()](uint64_t revision) {
      if (life == life_ && token == lead_->token() && desk_)
        desk_->OnChangeWritten(node, revision != 0, Now());
    };
    world_.clock.After(1.0, [this, done] { Running([done] { done(0); }); });
    AskChange<uint64_t>(
        [this, c, token = token()]() -> uint64_t {
          const std::string block = "block/" + c.node;
          if (c.lease != 0) {
            return world_.store.Commit({{kLeader, token}, {block, c.lease}},
                                       {{block, std::nullopt}});
          }
          return world_.store.Commit({{kLeader, token}, {block, 0}, {"holder/" + c.node, c.offer}},
                                     {{block, wire::Json{{"grant", c.store_lease}}}},
                                     c.store_lease);
        },
        done);
  }
}

std::optional<wire::ShardFrame> SimulatedController::TakeFrame(const std::string& text) {
  const wire::ShardFrame frame = wire::DecodeShardFrame(text);
  if (frame.from_leader) {
    if (!holder_ || !MayHold() || !holder_->OnFrame(frame, Now())) return std::nullopt;
    wire::ShardFrame answer = holder_->MakeAnswer();
    answer.node = name_;
    return answer;
  }
  if (!leading() || !desk_ || !desk_->OnFrame(frame, Now())) return std::nullopt;
  auto answer = desk_->MakeAnswer(frame.node);
  if (answer) {
    answer->view_age_s = lead_->view_age_s(Now());
    answer->newest_cancellation = directory_->cancellations().newest();
  }
  return answer;
}

void SimulatedController::SendFrame(const std::string& to, wire::ShardFrame frame, bool as_leader) {
  if (!framing_.insert(to).second) return;
  frame.node = name_;
  const uint64_t life = life_;
  const double sent = Now();
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, life, to, as_leader, answered,
                       sent](std::optional<wire::ShardFrame> answer) {
    if (*answered || life != life_) return;
    *answered = true;
    framing_.erase(to);
    if (!answer) {
      if (as_leader && desk_) desk_->OnFrameLost(to);
      if (!as_leader && holder_) holder_->OnFrameLost();
      return;
    }
    if (as_leader) {
      if (desk_ && leading()) desk_->OnFrame(*answer, Now());
    } else if (holder_ && MayHold() && holder_->OnFrame(*answer, Now()) &&
               answer->view_age_s < wire::kNeverS && revision_ >= answer->newest_cancellation) {
      // Whatever anybody had told when this was asked, less the leader's own lag, is known here.
      lead_->OnLeaderView(sent - answer->view_age_s * (1 + 2 * config::kMaxClockDrift));
    }
  };
  world_.clock.After(1.0, [this, life, finish] {
    if (life == life_) Running([finish] { finish(std::nullopt); });
  });
  world_.network.Send(name_, to, [this, to, text = wire::Encode(frame), finish] {
    const auto answer = world_.on_shard_frame[to](text);
    world_.network.Send(to, name_,
                        [this, answer, finish] { Running([answer, finish] { finish(answer); }); });
  });
}

void SimulatedController::SendFrames() {
  if (desk_ && leading()) {
    for (auto& [node, frame] : desk_->NextFrames(Now())) {
      frame.view_age_s = wire::kNeverS;
      SendFrame(node, std::move(frame), true);
    }
  }
  if (holder_ && MayHold() && !lead_->leader().empty() && !framing_.contains(lead_->leader())) {
    if (auto frame = holder_->NextFrame(revision_, Now())) {
      SendFrame(lead_->leader(), std::move(*frame), false);
    }
  }
}

void SimulatedController::Campaign(uint64_t version) {
  lead_->SetCampaigning(true);
  const uint64_t life = life_;
  world_.clock.After(0.5, [this, life] {
    if (life == life_) lead_->SetCampaigning(false);
  });
  AskChange<uint64_t>(
      [this, version, grant = lead_->store_lease()] {
        return world_.store.Commit({{kLeader, version}}, {{kLeader, wire::Json{{"node", name_}}}},
                                   grant);
      },
      [](uint64_t) {});
}

void SimulatedController::Elected(uint64_t token, const Pairs& pairs) {
  world_.observed.elections.push_back(world_.clock.now());
  admission_->OnElected(token, Now());
  // One that leads holds no block: what it held is asked what it has, like all that is inherited.
  holder_.reset();
  desk_.reset();
  dispatcher_ = std::make_unique<scheduler::Scheduler>(settings_, derived_, token, Now());
  dispatcher_->SetMachineTypes(world_.types);
  dispatcher_->SetMarkersSince(0);
  dispatcher_->Apply({});
  if (settings_.lease_shards) {
    desk_ = std::make_unique<shard::ShardLeaseManager>(settings_, derived_, *dispatcher_, token);
    for (const auto& [lease, node] : routes_.leases()) desk_->OnInheritedLease(node, lease);
    Ask<uint64_t>(
        [this, token] {
          return world_.store.Commit({{kLeader, token}}, {{"block/" + name_, std::nullopt}});
        },
        [](uint64_t) {});
  }
  for (const auto& [key, pair] : pairs) {
    if (key.starts_with("progress/")) {
      dispatcher_->LoadProgressPack(PackOf(key), pair.value, pair.version);
    } else if (key.starts_with("machines/")) {
      dispatcher_->LoadMachinesPack(PackOf(key), pair.value, pair.version);
    }
  }
  directory_->ForEachLive([this](const std::string&, const jobs::AcceptedJob& job) {
    dispatcher_->AddJob(job.spec, job.version, Now());
  });
}

void SimulatedController::OnReport(const wire::Heartbeat& r,
                                   const SimulatedEnvironment::HeartbeatResponder& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, r, answer] { OnReport(r, answer); });
  if (holder_ && holder_->dispatcher().Owns(r.machine)) {
    if (!MayHold()) return answer({.http_status = 503});
    scheduler::HeartbeatAnswer a = holder_->OnHeartbeat(r, Now());
    if (!a.accepted) return answer({.http_status = 503});
    for (const auto& c : a.commands) held_starts_ += c.type == wire::CommandType::kStart ? 1 : 0;
    answer({200, a.token, a.commands, ""});
    return SendDirect();
  }
  if (settings_.lease_shards) {
    const bool leads = desk_ && leading();
    std::string holder = leads ? desk_->HolderOf(r.machine) : routes_.HolderOf(r.machine);
    if (holder.empty() && !leads && !dispatcher_) holder = lead_->leader();
    if (!holder.empty() && holder != name_)
      return answer({.http_status = 421, .redirect_to = holder});
  }
  if (!leading()) {
    const std::string& leader = lead_->leader();
    if (dispatcher_ || leader == name_) return answer({.http_status = 503});
    const bool suspected = liveness_->IsSuspected(leader, Now());
    return answer({.http_status = 421, .redirect_to = suspected ? "" : leader});
  }
  scheduler::HeartbeatAnswer a = dispatcher_->OnHeartbeat(r, Now());
  if (!a.accepted) return answer({.http_status = 503});
  vouched_ += lead_->StoreLeaseHolds(Now()) ? 0 : 1;
  answer({200, a.token, a.commands, ""});
  SendDirect();
}

void SimulatedController::Tick() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(world_.settings.heartbeat_s / 6, [this, life] {
    if (life == life_) Running([this] { Tick(); });
  });
  const bool out_of_date = lead_->IsStale(Now());
  if (out_of_date && !reluctant && lead_->MayResign(Now())) return Resign();
  if (holder_ && MayHold()) {
    holder_->Tick(Now());
    SendDirect();
  }
  SendFrames();
  if (!leading()) return;
  if (desk_) ChangeLeases();
  if (dispatcher_->IsPartitionedFromAgents(Now()) && lead_->MayResign(Now())) return Resign();
  dispatcher_->Tick(Now());
  WriteCompletions();
  Flush();
  SendDirect();
  const autoscaler::ScalingPlan plan = dispatcher_->PlanScaling(Now());
  for (const auto& wish : plan.scale_out) {
    for (int i = 0; i < wish.count; ++i) {
      const std::string id = world_.RentMachine(wish.type, wish.zone, wish.spot);
      if (id.empty()) {
        dispatcher_->OnProvisioningRefused(wish, Now() + world_.settings.heartbeat_s);
      } else {
        dispatcher_->OnProvisioned({id}, wish, Now());
      }
    }
  }
  for (const auto& id : plan.scale_in) {
    dispatcher_->OnMachineDeleting(id);
    world_.network.Send(name_, "cloud", [this, id, life] {
      world_.DeleteMachine(id);
      world_.network.Send("cloud", name_, [this, id, life, token = token()] {
        if (life != life_) return;
        Running([this, id, token] {
          if (token == lead_->token() && dispatcher_) dispatcher_->OnMachineDeleted(id, Now());
        });
      });
    });
  }
}

void SimulatedController::ListMachines() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(derived_.machine_list_interval_s, [this, life] {
    if (life == life_) Running([this] { ListMachines(); });
  });
  if (!leading()) return;
  world_.network.Send(name_, "cloud", [this, life, token = lead_->token(), asked = Now()] {
    world_.network.Send("cloud", name_, [this, life, token, asked, listed = world_.ListMachines()] {
      if (life != life_) return;
      Running([this, token, asked, listed] {
        if (token == lead_->token() && dispatcher_)
          dispatcher_->OnMachineList(listed, asked, Now());
      });
    });
  });
}

void SimulatedController::Resign() {
  const uint64_t grant = lead_->store_lease();
  Told(lead_->Resign("", Now()));
  ++resigned_;
  Ask<bool>(
      [this, grant] {
        world_.store.RevokeLease(grant);
        return true;
      },
      [](bool) {});
}

void SimulatedController::WriteCompletions() {
  for (const auto& id : dispatcher_->TakeCompletedJobs()) {
    const auto records = directory_->records().PlanEnd({id}, seen_jobs_);
    if (records.empty()) {
      dispatcher_->OnCompletionFailed(id);
      continue;
    }
    const uint64_t life = life_;
    auto answered = std::make_shared<bool>(false);
    const auto finish = [this, id, life, token = token(), answered](uint64_t revision) {
      if (*answered || life != life_ || token != lead_->token() || !dispatcher_) return;
      *answered = true;
      if (revision != 0) {
        directory_->OnEnded(id, jobs::JobStatus::kDone);
        dispatcher_->RemoveJob(id, Now());
      } else {
        dispatcher_->OnCompletionFailed(id);
      }
    };
    world_.clock.After(1.0, [this, finish] { Running([finish] { finish(0); }); });  // no answer
    AskChange<uint64_t>(
        [this, id, records, token = token()] {
          const uint64_t revision =
              CommitEnd(id, jobs::JobStatus::kDone, records, {{kLeader, token}});
          if (revision != 0) world_.rule_checker.OnCompletionConfirmed(id);
          return revision;
        },
        finish);
  }
}

uint64_t SimulatedController::CommitEnd(const std::string& id, jobs::JobStatus end,
                                        const std::vector<jobs::RecordChange>& records,
                                        std::vector<SimulatedKeyValueStore::Condition> conditions) {
  std::vector<SimulatedKeyValueStore::Change> changes;
  // One end only, whoever is first.
  conditions.push_back({kFinal + id, 0});
  changes.push_back({kFinal + id, jobs::EncodeFinalRecord(end)});
  for (const auto& r : records) {
    conditions.push_back({r.key, r.version});
    changes.push_back({r.key, r.value});
  }
  return world_.store.Commit(conditions, changes);
}

void SimulatedController::Flush() {
  const auto records = dispatcher_->TakeRecords(100, 48u << 10);
  if (records.empty()) return;
  std::vector<SimulatedKeyValueStore::Condition> conditions{{kLeader, token()}};
  std::vector<SimulatedKeyValueStore::Change> changes;
  const auto put = [&](const std::string& prefix, const kvstore::PackedMap::PackWrite& w) {
    conditions.push_back({prefix + std::to_string(w.pack), w.version});
    changes.push_back({prefix + std::to_string(w.pack), w.value});
  };
  for (const auto& w : records.machines) put("machines/", w);
  for (const auto& w : records.progress) put("progress/", w);
  const uint64_t life = life_;
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, life, token = token(), answered](uint64_t revision) {
    if (*answered || life != life_ || token != lead_->token() || !dispatcher_) return;
    *answered = true;
    if (revision != 0) {
      dispatcher_->OnRecordsWritten(revision, Now());
    } else {
      dispatcher_->OnRecordsFailed();
    }
  };
  world_.clock.After(1.0, [this, finish] { Running([finish] { finish(0); }); });  // no answer
  AskChange<uint64_t>(
      [this, conditions, changes] { return world_.store.Commit(conditions, changes); }, finish);
}

void SimulatedController::SendDirect() {
  if (dispatcher_ && leading()) SendOrders(*dispatcher_, 0);
  if (holder_ && MayHold()) SendOrders(holder_->dispatcher(), holder_->lease());
}

void SimulatedController::SendOrders(scheduler::Scheduler& dispatcher, uint64_t lease) {
  for (auto& order : dispatcher.TakeCommands(Now())) {
    const uint64_t life = life_;
    const uint64_t token = lead_->token();
    for (const auto& c : order.commands) {
      held_starts_ += lease != 0 && c.type == wire::CommandType::kStart ? 1 : 0;
    }
    world_.decisions.Ordered(world_.clock.now(), order.machine, order.address, order.fencing_token,
                             order.agent_epoch, order.commands);
    auto answered = std::make_shared<bool>(false);
    const auto finish = [this, life, token, lease, answered, order](
                            scheduler::CommandOutcome outcome, const wire::Heartbeat* r) {
      if (*answered || life != life_) return;
      *answered = true;
      if (lease != 0) {
        if (holder_ && holder_->lease() == lease)
          holder_->OnCommandOutcome(order, outcome, r, Now());
      } else if (token == lead_->token() && dispatcher_) {
        dispatcher_->OnCommandOutcome(order, outcome, r, Now());
      }
    };
    world_.clock.After(world_.settings.heartbeat_s, [this, finish] {
      Running([finish] { finish(scheduler::CommandOutcome::kUndetermined, nullptr); });
    });
    // A connection is to whoever is there, which need not be the machine that is meant; what is
    // held back on it is never for another one that is up under the address later.
    SimulatedAgent* const w = world_.FindByAddress(order.address);
    if (w == nullptr) continue;
    const std::function<void()> arrive = [this, order, finish, w, life = w->incarnation(),
                                          sent = world_.clock.now()] {
      if (!w->alive() || w->incarnation() != life) return;
      world_.observed.late_commands += world_.clock.now() - sent > 2 ? 1 : 0;
      const int status = w->OnCommands(order.fencing_token, order.agent_epoch, order.commands);
      const wire::Heartbeat r = w->MakeHeartbeat();
      const double held = world_.clock.now() < world_.delayed_answers_until
                              ? world_.random.Uniform(0, 1.2 * world_.settings.heartbeat_s)
                              : 0;
      world_.clock.After(held, [this, w, status, r, finish] {
        world_.network.Send(w->id(), name_, [this, w, status, r, finish] {
          world_.observed.late_answers += w->acknowledged_sequence() > r.sequence ? 1 : 0;
          Running([status, r, finish] {
            finish(status == 200 ? scheduler::CommandOutcome::kExecuted
                                 : scheduler::CommandOutcome::kRefused,
                   &r);
          });
        });
      });
    };
    world_.network.Send(name_, w->id(), [w, arrive] { w->RunUnlessHung(arrive); });
  }
}

// ---------------------------------------------------------------------------- users

void SimulatedController::SeeJobs(const Pairs& pairs) {
  if (seen_jobs_ == revision_) return;
  seen_jobs_ = revision_;
  const auto told = [this](const jobs::JobRecords::Change& change) {
    for (const auto& id : change.accepted) {
      admission_->controller().OnAccepted(directory_->records().Find(id)->spec);
    }
    for (const auto& id : change.ended) admission_->controller().OnEnded(id, Now());
  };
  for (auto it = pairs.lower_bound(kFinal); it != pairs.end() && it->first.starts_with(kFinal);
       ++it) {
    if (!shown_finals_.insert(it->first).second) continue;
    directory_->OnFinalRecord(it->first.substr(kFinal.size()), it->second.value,
                              it->second.version);
  }
  std::erase_if(shown_, [&](const auto& shown) {
    if (pairs.contains(shown.first)) return false;
    told(directory_->OnRecord(shown.first, nullptr, seen_jobs_));
    return true;
  });
  for (auto it = pairs.lower_bound(kJob); it != pairs.end() && it->first.starts_with(kJob); ++it) {
    uint64_t& version = shown_[it->first];
    if (std::exchange(version, it->second.version) == it->second.version) continue;
    told(directory_->OnRecord(it->first, &it->second.value, it->second.version));
  }
  directory_->OnLoaded(seen_jobs_);
  // Jobs may come and go between two looks.
  admission_->controller().OnLoaded(revision_);
}

void SimulatedController::OnSubmit(const wire::JobSpec& spec, const SubmitAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, spec, answer] { OnSubmit(spec, answer); });
  const auto tell = [this, answer](int status, double retry_after_s) {
    world_.network.Send(name_, "users",
                        [answer, status, retry_after_s] { answer(status, retry_after_s); });
  };
  // A known job is answered before anything else is checked.
  if (directory_->Contains(spec.id)) {
    return Lookup(spec.id, [this, id = spec.id, tell](jobs::JobStatus known) {
      const bool told =
          known != jobs::JobStatus::kUndetermined && known != jobs::JobStatus::kMissing;
      if (told) Tells(id, known);
      tell(told ? 200 : 503, 1);
    });
  }
  if (seen_poll_ == 0) return tell(503, 1);
  if (!admission::ReasonNeverRunnable(spec, settings_.teams, world_.types).empty()) {
    return Lookup(spec.id, [tell](jobs::JobStatus known) {
      tell(known == jobs::JobStatus::kMissing        ? 422
           : known == jobs::JobStatus::kUndetermined ? 503
                                                     : 200,
           1);
    });
  }
  const auto verdict = admission_->Request(spec, Now());
  if (!verdict.admit) {
    ++refused_;
    return tell(429, verdict.retry_after_s);
  }
  accepting_.Push(spec.team, spec.job_class, admission::PriorityWeight(spec.priority),
                  {spec, Now() + derived_.user_deadline_s, tell});
}

// As service/job_service.
void SimulatedController::Lookup(const std::string& id, std::function<void(jobs::JobStatus)> done) {
  if (const auto known = directory_->FindEnded(id)) return done(*known);
  Look([this, id, done = std::move(done)](bool seen) {
    if (const auto known = seen ? directory_->StatusAfterRead(id) : directory_->FindEnded(id)) {
      return done(*known);
    }
    if (!seen) return done(jobs::JobStatus::kUndetermined);
    using Final = std::optional<SimulatedKeyValueStore::Entry>;
    Ask<Final>(
        [this, id]() -> Final {
          const auto it = world_.store.entries().find(kFinal + id);
          return it == world_.store.entries().end() ? std::nullopt : Final(it->second);
        },
        [this, id, looked = seen_jobs_, done](const Final& final_record) {
          const auto known = directory_->StatusFromFinalRecord(
              id, final_record ? &final_record->value : nullptr,
              final_record ? final_record->version : 0, looked, seen_jobs_);
          if (known == jobs::JobStatus::kCancelled) EndTasks(id);
          done(known);
        });
  });
}

void SimulatedController::EndTasks(const std::string& id) {
  if (dispatcher_) dispatcher_->RemoveJob(id, Now());
  if (holder_) holder_->OnJobEnded(id, Now());
}

wire::JobState SimulatedController::Tells(const std::string& id, jobs::JobStatus known) {
  if (known == jobs::JobStatus::kCancelled) {
    world_.observed.last_confirmer = name_;
    return wire::JobState::kCancelled;
  }
  if (known == jobs::JobStatus::kDone) return wire::JobState::kDone;
  const bool runs = dispatcher_ && dispatcher_->Counts(id).running > 0;
  return runs ? wire::JobState::kRunning : wire::JobState::kQueued;
}

void SimulatedController::OnAsked(const std::string& id, const JobAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, id, answer] { OnAsked(id, answer); });
  Lookup(id, [this, id, answer](jobs::JobStatus known) { AnswerKnown(id, known, answer); });
}

void SimulatedController::AnswerKnown(const std::string& id, jobs::JobStatus known,
                                      const JobAnswer& answer) {
  const int status = known == jobs::JobStatus::kUndetermined ? 503
                     : known == jobs::JobStatus::kMissing    ? 404
                                                             : 200;
  const auto stage = status == 200 ? Tells(id, known) : wire::JobState::kQueued;
  world_.network.Send(name_, "users", [answer, status, stage] { answer(status, stage); });
}

void SimulatedController::OnCancel(const std::string& id, const JobAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, id, answer] { OnCancel(id, answer); });
  TryCancel(id, Now() + derived_.user_deadline_s, [this, id, answer](jobs::JobStatus known) {
    // However it came to know of it.
    if (known == jobs::JobStatus::kCancelled)
      world_.rule_checker.OnCancellationConfirmed(id, world_.clock.now());
    AnswerKnown(id, known, answer);
  });
}

void SimulatedController::TryCancel(const std::string& id, double deadline,
                                    std::function<void(jobs::JobStatus)> done) {
  Lookup(id, [this, id, deadline, done = std::move(done)](jobs::JobStatus known) {
    using Kind = jobs::JobIndex::CancelStep::Kind;
    const auto step = directory_->PlanCancellation(id, known, seen_jobs_);
    if (step.kind == Kind::kAnswer) return done(step.status);
    if (Now() >= deadline) return done(jobs::JobStatus::kUndetermined);
    if (step.kind == Kind::kReadAgain) return TryCancel(id, deadline, done);
    AskChange<uint64_t>(
        [this, id, step] { return CommitEnd(id, jobs::JobStatus::kCancelled, step.records, {}); },
        [this, id, deadline, done](uint64_t revision) {
          if (revision == 0) return TryCancel(id, deadline, done);
          LearnCancelled(id, revision);
          done(jobs::JobStatus::kCancelled);
        });
  });
}

void SimulatedController::PumpAccepts() {
  if (!alive_) return;
  world_.clock.After(1 / accept_rate_, [this, life = life_] {
    if (life == life_) Running([this] { PumpAccepts(); });
  });
  accepting_.RemoveIf([now = Now()](const Waiting& w) { return w.deadline <= now; },
                      [this](Waiting w) {
                        admission_->controller().OnDropped(w.spec.id);
                        w.answer(503, 1);
                      });
  // As many as may share a change.
  const size_t most = static_cast<size_t>((4 * settings_.store_transaction_changes - 1) / 2);
  std::vector<Waiting> batch;
  while (!accepting_.empty() && batch.size() < most) batch.push_back(accepting_.Pop());
  if (!batch.empty()) AcceptNow(std::move(batch));
}

void SimulatedController::AcceptNow(std::vector<Waiting> batch) {
  const auto jobs = std::make_shared<std::vector<Waiting>>(std::move(batch));
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, life = life_, jobs, answered](std::optional<std::vector<uint64_t>> r) {
    if (life != life_ || std::exchange(*answered, true)) return;
    for (size_t i = 0; i < jobs->size(); ++i) {
      const Waiting& w = (*jobs)[i];
      if (r && (*r)[i] != 0) {
        admission_->controller().OnDurable(w.spec.id, (*r)[i]);
        w.answer(201, 0);
      } else {
        admission_->controller().OnDropped(w.spec.id);
        w.answer(r ? 200 : 503, 1);
      }
    }
  };
  world_.clock.After(2, [this, finish] { Running([finish] { finish(std::nullopt); }); });
  AskChange<std::vector<uint64_t>>(
      [this, jobs] {
        std::vector<uint64_t> revisions;
        for (const Waiting& w : *jobs) {
          const std::string& id = w.spec.id;
          revisions.push_back(
              world_.store.Commit({{kJob + id, 0}, {kFinal + id, 0}},
                                  {{kJob + id, jobs::JobRecords::EncodeEntry(w.spec, 0)}}));
        }
        return revisions;
      },
      [finish](std::vector<uint64_t> r) { finish(std::move(r)); });
}

void SimulatedController::SendPresence() {
  if (!alive_) return;
  world_.clock.After(std::max(0.5, settings_.heartbeat_s / 4), [this, life = life_] {
    if (life == life_) Running([this] { SendPresence(); });
  });
  wire::PeerHeartbeat p;
  p.node = name_;
  p.demand = admission_->Demand(Now());
  const std::string text = wire::Encode(p);
  if (leading()) admission_->OnPlan(admission_->PlanFor(name_, *p.demand, Now()), Now());
  for (const auto& peer : world_.nodes) {
    if (peer == name_) continue;
    const double asked = Now();
    world_.network.Send(name_, peer, [this, peer, text, asked, life = life_] {
      if (!world_.on_peer_heartbeat.contains(peer)) return;
      const auto answer = world_.on_peer_heartbeat[peer](text);
      if (!answer) return;
      world_.network.Send(peer, name_, [this, answer, asked, life] {
        // What was given up is never read, however late it comes.
        if (life != life_ || !alive_) return;
        Running([this, answer, asked] {
          admission_->OnPlan(wire::DecodeAdmissionPlan(*answer), asked);
        });
      });
    });
  }
}

std::optional<std::string> SimulatedController::TakePresence(const std::string& text) {
  if (!alive_ || StandsStill()) return std::nullopt;
  const wire::PeerHeartbeat p = wire::DecodePeerHeartbeat(text);
  liveness_->OnHeartbeat(p, Now());
  admission::AdmissionPlan plan;
  if (leading()) plan = admission_->PlanFor(p.node, *p.demand, Now());
  return wire::Encode(plan);
}

}  // namespace mosspath::simulation
