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
constexpr jobs::Directory::Bounds kRemembered{.finals = 100'000, .cancellations = 600};

int PackOf(const std::string& key) { return std::stoi(key.substr(key.find('/') + 1)); }

}  // namespace

Controller::Controller(World& world, std::string name, double drift)
    : world_(world),
      name_(std::move(name)),
      drift_(drift),
      derived_(world.settings),
      turns_(world.settings.report_s / 8, 0),
      accept_rate_(world.settings.state_write_rps /
                   (2.0 * static_cast<double>(world.nodes.size()))) {
  settings_ = world_.settings;
  settings_.node = name_;
  settings_.zone = world_.ZoneOf(name_);
  for (const auto& node : world_.nodes) {
    if (node != name_) settings_.peers.push_back({node, world_.ZoneOf(node), node});
  }
  world_.on_presence[name_] = [this](const std::string& text) { return TakePresence(text); };
  if (settings_.lease_blocks) {
    world_.on_frame[name_] = [this](const std::string& frame) -> std::optional<wire::BlockFrame> {
      if (!alive_ || StandsStill()) return std::nullopt;
      return TakeFrame(frame);
    };
  }
  world_.on_vouch[name_] = [this](const std::string& question) -> std::optional<std::string> {
    if (!alive_) return std::nullopt;
    if (StandsStill()) {  // it answers when nobody waits any more
      Running([this, question] { Vouch(question); });
      return std::nullopt;
    }
    return Vouch(question);
  };
  Boot();
}

std::optional<std::string> Controller::Vouch(const std::string& text) {
  const wire::VouchQuestion question = wire::DecodeVouchQuestion(text);
  const auto promise = lead_->Asked(question, last_contact_, Now());
  Told(promise.lost);
  if (!promise.understood) return std::nullopt;
  return wire::Encode(
      wire::VouchAnswer{promise.promised, directory_->cancelled().Since(question.seen)});
}

void Controller::Told(const election::Leadership::Lost& lost) {
  if (!lost) return;
  desk_.reset();
  dispatcher_.reset();
  admission_->Follows();
}

void Controller::LearnCancelled(const std::string& id, uint64_t revision) {
  directory_->LearnCancelled(id, revision, seen_jobs_);
  EndTasks(id);
}

void Controller::Freeze(double for_s) {
  frozen_until_ = std::max(frozen_until_, world_.clock.now() + for_s);
}

void Controller::Running(std::function<void()> f) {
  if (StandsStill()) {
    // Whatever came or fell due meanwhile comes at once when it wakes, in any order.
    world_.clock.At(frozen_until_ + world_.random.Uniform(0, 0.02),
                    [this, life = life_, f = std::move(f)] {
                      if (alive_ && life == life_) Running(f);
                    });
    return;
  }
  const auto from = turns_.Turn(Now());
  if (from && dispatcher_) dispatcher_->StoodStill(*from, Now());
  if (from && desk_) desk_->StoodStill(Now());
  if (from && holder_) holder_->dispatcher().StoodStill(*from, Now());
  if (from) liveness_->StoodStill(*from, Now());
  f();
}

template <typename R>
void Controller::Ask(std::function<R()> at_service, std::function<void(R)> back) {
  const uint64_t life = life_;
  world_.network.Send(name_, kState, [this, life, at_service, back] {
    if (!world_.state.up()) return;
    R result = at_service();
    world_.network.Send(kState, name_, [this, life, back, result] {
      if (alive_ && life == life_) Running([back, result] { back(result); });
    });
  });
}

template <typename R>
void Controller::AskChange(std::function<R()> at_service, std::function<void(R)> back) {
  const bool late = world_.clock.now() < world_.late_writes_until &&
                    world_.random.Uniform(0, 1) < world_.late_writes_share;
  if (!late) return Ask(std::move(at_service), std::move(back));
  world_.clock.After(world_.random.Uniform(2, 12), [this, at_service = std::move(at_service)] {
    if (!world_.state.up()) return;
    at_service();
    ++world_.late_writes;
  });
}

void Controller::Boot() {
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
  admission_ = std::make_unique<service::Admission>(settings_);
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

void Controller::Crash(double back_after_s) {
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

void Controller::AskToVouch() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(derived_.promise_s / 4, [this, life] {
    if (life == life_) Running([this] { AskToVouch(); });
  });
  const auto round = lead_->Ask(last_contact_, Now());
  if (!round) return;
  const std::string question = wire::Encode(lead_->Question());
  for (const auto& peer : world_.nodes) {
    if (peer == name_) continue;
    world_.network.Send(name_, peer, [this, life, round = *round, peer, question] {
      const auto answer = world_.on_vouch[peer](question);
      if (!answer) return;
      world_.network.Send(peer, name_, [this, life, round, peer, text = *answer] {
        if (life != life_) return;
        Running([this, round, peer, text] {
          std::vector<wire::CancelledPart::Entry> learned;
          lead_->Answered(round, peer, wire::DecodeVouchAnswer(text), Now(), learned);
          for (const auto& e : learned) {
            learned_ += directory_->Remembered(e.id) ? 0 : 1;
            LearnCancelled(e.id, e.revision);
          }
        });
      });
    });
  }
}

void Controller::Renew() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(derived_.renew_s, [this, life] {
    if (life == life_) Running([this] { Renew(); });
  });
  const double sent = Now();
  if (lead_->grant() == 0) {
    Ask<uint64_t>([this] { return world_.state.Grant(derived_.grant_s); },
                  [this, sent](uint64_t grant) {
                    if (lead_->grant() == 0) lead_->Granted(grant, sent);
                  });
    return;
  }
  Ask<bool>([this, grant = lead_->grant()] { return world_.state.Renew(grant); },
            [this, sent, grant = lead_->grant()](bool ok) {
              last_contact_ = std::max(last_contact_, sent);
              if (grant != lead_->grant()) return;
              if (ok) return lead_->Renewed(sent);
              Told(lead_->GrantEnded());
            });
}

void Controller::Poll() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(0.1, [this, life] {
    if (life == life_) Running([this] { Poll(); });
  });
  Look([](bool) {});
}

void Controller::Look(std::function<void(bool)> seen) {
  if (world_.clock.now() < unread_until_) return seen(false);
  Ask<std::shared_ptr<const StateService::View>>(
      [this] { return world_.state.Snapshot(); },
      [this, poll = ++polls_, sent = Now(),
       seen = std::move(seen)](const std::shared_ptr<const StateService::View>& view) {
        last_contact_ = std::max(last_contact_, sent);
        // One that was asked for later has come already, and shows as much.
        if (poll > seen_poll_) {
          seen_poll_ = poll;
          See(*view, sent);
        }
        seen(true);
      });
}

void Controller::See(const StateService::View& view, double sent) {
  const Pairs& pairs = view.pairs;
  if (revision_ == 0) directory_->MayHaveTold(view.revision);  // the life before this one
  revision_ = std::max(revision_, view.revision);
  election::Leadership::Key leads;
  if (const auto leader = pairs.find(kLeader); leader != pairs.end()) {
    leads = {leader->second.value.value("node", ""), leader->second.grant, leader->second.version};
  }
  Told(lead_->Read(leads));
  Told(lead_->Loaded(pairs.empty()));
  SeeJobs(pairs);
  if (settings_.lease_blocks) SeeBlocks(pairs);
  using Kind = election::Leadership::Step::Kind;
  const auto step = lead_->Next(Now());
  lead_->Seen(sent, revision_);
  if (step.kind == Kind::kElected) return Elected(token(), pairs);
  if (token() == 0) {
    if (settings_.lease_blocks) SeeOwnBlock(pairs);
    if (step.kind == Kind::kCampaign) Campaign(step.version);
    return;
  }
  for (const auto& [key, pair] : pairs) {
    if (key.starts_with("progress/")) dispatcher_->SeenProgress(PackOf(key), pair.version);
    if (key.starts_with("machines/")) dispatcher_->SeenMachines(PackOf(key), pair.version);
  }
  directory_->EachLive([this](const std::string& id, const jobs::Accepted& job) {
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
    desk_->Offered(node, offered ? offer->second.version : 0,
                   offered ? offer->second.value.at("grant").get<uint64_t>() : 0, Now());
    desk_->Leased(node, routes_.LeaseOf(node), Now());
  }
}

void Controller::SeeBlocks(const Pairs& pairs) {
  for (const auto& node : world_.nodes) {
    const auto block = pairs.find("block/" + node);
    routes_.LeaseTold(node, block == pairs.end() ? 0 : block->second.version);
  }
  for (const auto& [key, pair] : pairs) {
    if (!key.starts_with("machines/")) continue;
    uint64_t& seen = seen_packs_[key];
    if (seen == pair.version) continue;
    seen = pair.version;
    routes_.PackTold(PackOf(key), &pair.value, pair.version);
  }
  Offer(pairs);
}

void Controller::SeeOwnBlock(const Pairs& pairs) {
  const auto block = pairs.find("block/" + name_);
  const bool ours =
      lead_->grant() != 0 && block != pairs.end() && block->second.grant == lead_->grant();
  if (!ours) return holder_.reset();
  const uint64_t lease = block->second.version;
  if (!holder_ || holder_->lease() != lease) {
    size_t own = 0;
    const scheduler::Blocks blocks(settings_);
    while (blocks.controller(own) != name_) ++own;
    holder_ = std::make_unique<shard::Holder>(
        settings_, derived_, own, lease, Now(),
        [this](const std::string& id) -> std::optional<shard::Holder::Known> {
          const jobs::Accepted* job = directory_->FindLive(id);
          if (job == nullptr) return std::nullopt;
          return shard::Holder::Known{job->spec, job->version, Now()};
        });
    holder_->dispatcher().SetTypes(world_.types);
  }
  for (const auto& [id, e] : routes_.Under(lease)) {
    holder_->Assigned(id, e.address, e.version, e.handed, Now());
  }
  std::vector<std::string> over;
  for (const auto& [id, lost] : holder_->given_back()) {
    if (!routes_.IsUnder(lease, id)) over.push_back(id);
  }
  for (const auto& id : over) holder_->NotAssigned(id);
  over.clear();
  for (const auto& [id, job] : holder_->dispatcher().jobs()) {
    if (directory_->FindLive(id) == nullptr) over.push_back(id);
  }
  for (const auto& id : over) holder_->JobOver(id, Now());
  holder_->LeaderIs(lead_->leader_token());
}

// The record that offers to hold a block hangs on the grant, so it tells that the node is there.
void Controller::Offer(const Pairs& pairs) {
  const auto offer = pairs.find("holder/" + name_);
  const uint64_t grant = lead_->grant();
  if (grant == 0 || offering_) return;
  if (offer != pairs.end() && offer->second.grant == grant) return;
  offering_ = true;
  const uint64_t life = life_;
  world_.clock.After(0.5, [this, life] {
    if (life == life_) offering_ = false;
  });
  const uint64_t seen = offer == pairs.end() ? 0 : offer->second.version;
  AskChange<uint64_t>(
      [this, seen, grant] {
        return world_.state.Commit({{"holder/" + name_, seen}},
                                   {{"holder/" + name_, wire::Json{{"grant", grant}}}}, grant);
      },
      [](uint64_t) {});
}

void Controller::ChangeLeases() {
  for (const auto& c : desk_->Changes(Now())) {
    const uint64_t life = life_;
    const auto done = [this, life, node = c.node, token = token()](uint64_t revision) {
      if (life == life_ && token == lead_->token() && desk_)
        desk_->Written(node, revision != 0, Now());
    };
    world_.clock.After(1.0, [this, done] { Running([done] { done(0); }); });
    AskChange<uint64_t>(
        [this, c, token = token()]() -> uint64_t {
          const std::string block = "block/" + c.node;
          if (c.lease != 0) {
            return world_.state.Commit({{kLeader, token}, {block, c.lease}},
                                       {{block, std::nullopt}});
          }
          return world_.state.Commit({{kLeader, token}, {block, 0}, {"holder/" + c.node, c.offer}},
                                     {{block, wire::Json{{"grant", c.grant}}}}, c.grant);
        },
        done);
  }
}

std::optional<wire::BlockFrame> Controller::TakeFrame(const std::string& text) {
  const wire::BlockFrame frame = wire::DecodeBlockFrame(text);
  if (frame.from_leader) {
    if (!holder_ || !MayHold() || !holder_->OnFrame(frame, Now())) return std::nullopt;
    wire::BlockFrame answer = holder_->Answer();
    answer.node = name_;
    return answer;
  }
  if (!leading() || !desk_ || !desk_->OnFrame(frame, Now())) return std::nullopt;
  auto answer = desk_->Answer(frame.node);
  if (answer) {
    answer->view_age_s = lead_->view_age_s(Now());
    answer->cancelled = directory_->cancelled().newest();
  }
  return answer;
}

void Controller::SendFrame(const std::string& to, wire::BlockFrame frame, bool as_leader) {
  if (!framing_.insert(to).second) return;
  frame.node = name_;
  const uint64_t life = life_;
  const double sent = Now();
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, life, to, as_leader, answered,
                       sent](std::optional<wire::BlockFrame> answer) {
    if (*answered || life != life_) return;
    *answered = true;
    framing_.erase(to);
    if (!answer) {
      if (as_leader && desk_) desk_->FrameLost(to);
      if (!as_leader && holder_) holder_->FrameLost();
      return;
    }
    if (as_leader) {
      if (desk_ && leading()) desk_->OnFrame(*answer, Now());
    } else if (holder_ && MayHold() && holder_->OnFrame(*answer, Now()) &&
               answer->view_age_s < wire::kNever && revision_ >= answer->cancelled) {
      // Whatever anybody had told when this was asked, less the leader's own lag, is known here.
      lead_->Heard(sent - answer->view_age_s * (1 + 2 * config::kDrift));
    }
  };
  world_.clock.After(1.0, [this, life, finish] {
    if (life == life_) Running([finish] { finish(std::nullopt); });
  });
  world_.network.Send(name_, to, [this, to, text = wire::Encode(frame), finish] {
    const auto answer = world_.on_frame[to](text);
    world_.network.Send(to, name_,
                        [this, answer, finish] { Running([answer, finish] { finish(answer); }); });
  });
}

void Controller::SendFrames() {
  if (desk_ && leading()) {
    for (auto& [node, frame] : desk_->NextFrames(Now())) {
      frame.view_age_s = wire::kNever;
      SendFrame(node, std::move(frame), true);
    }
  }
  if (holder_ && MayHold() && !lead_->leader().empty() && !framing_.contains(lead_->leader())) {
    if (auto frame = holder_->NextFrame(revision_, Now())) {
      SendFrame(lead_->leader(), std::move(*frame), false);
    }
  }
}

void Controller::Campaign(uint64_t version) {
  lead_->Campaigning(true);
  const uint64_t life = life_;
  world_.clock.After(0.5, [this, life] {
    if (life == life_) lead_->Campaigning(false);
  });
  AskChange<uint64_t>(
      [this, version, grant = lead_->grant()] {
        return world_.state.Commit({{kLeader, version}}, {{kLeader, wire::Json{{"node", name_}}}},
                                   grant);
      },
      [](uint64_t) {});
}

void Controller::Elected(uint64_t token, const Pairs& pairs) {
  world_.elections.push_back(world_.clock.now());
  admission_->Leads(token, Now());
  // One that leads holds no block: what it held is asked what it has, like all that is inherited.
  holder_.reset();
  desk_.reset();
  dispatcher_ = std::make_unique<scheduler::Dispatcher>(settings_, derived_, token, Now());
  dispatcher_->SetTypes(world_.types);
  dispatcher_->MarkedSince(0);
  dispatcher_->Apply({});
  if (settings_.lease_blocks) {
    desk_ = std::make_unique<shard::Desk>(settings_, derived_, *dispatcher_, token);
    for (const auto& [lease, node] : routes_.leases()) desk_->Inherited(node, lease);
    Ask<uint64_t>(
        [this, token] {
          return world_.state.Commit({{kLeader, token}}, {{"block/" + name_, std::nullopt}});
        },
        [](uint64_t) {});
  }
  for (const auto& [key, pair] : pairs) {
    if (key.starts_with("progress/")) {
      dispatcher_->LoadProgress(PackOf(key), pair.value, pair.version);
    } else if (key.starts_with("machines/")) {
      dispatcher_->LoadMachines(PackOf(key), pair.value, pair.version);
    }
  }
  directory_->EachLive([this](const std::string&, const jobs::Accepted& job) {
    dispatcher_->AddJob(job.spec, job.version, Now());
  });
}

void Controller::OnReport(const wire::Report& r, const World::ReportAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, r, answer] { OnReport(r, answer); });
  if (holder_ && holder_->dispatcher().Commands(r.machine)) {
    if (!MayHold()) return answer(503, 0, {}, "");
    scheduler::ReportAnswer a = holder_->OnReport(r, Now());
    if (!a.accepted) return answer(503, 0, {}, "");
    for (const auto& c : a.commands) held_starts_ += c.op == wire::Op::kStart ? 1 : 0;
    answer(200, a.token, a.commands, "");
    return SendDirect();
  }
  if (settings_.lease_blocks) {
    const bool leads = desk_ && leading();
    std::string holder = leads ? desk_->HolderOf(r.machine) : routes_.HolderOf(r.machine);
    if (holder.empty() && !leads && !dispatcher_) holder = lead_->leader();
    if (!holder.empty() && holder != name_) return answer(421, 0, {}, holder);
  }
  if (!leading()) {
    const std::string& leader = lead_->leader();
    if (dispatcher_ || leader == name_) return answer(503, 0, {}, "");
    return answer(421, 0, {}, liveness_->Silent(leader, Now()) ? "" : leader);
  }
  scheduler::ReportAnswer a = dispatcher_->OnReport(r, Now());
  if (!a.accepted) return answer(503, 0, {}, "");
  vouched_ += lead_->GrantHolds(Now()) ? 0 : 1;
  answer(200, a.token, a.commands, "");
  SendDirect();
}

void Controller::Tick() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(world_.settings.report_s / 6, [this, life] {
    if (life == life_) Running([this] { Tick(); });
  });
  const bool out_of_date = lead_->OutOfDate(Now());
  if (out_of_date && !reluctant && lead_->MayResign(Now())) return Resign();
  if (holder_ && MayHold()) {
    holder_->Tick(Now());
    SendDirect();
  }
  SendFrames();
  if (!leading()) return;
  if (desk_) ChangeLeases();
  if (dispatcher_->Blind(Now()) && lead_->MayResign(Now())) return Resign();
  dispatcher_->Tick(Now());
  WriteCompletions();
  Flush();
  SendDirect();
  const autoscaler::Plan plan = dispatcher_->PlanFleet(Now());
  for (const auto& wish : plan.rent) {
    for (int i = 0; i < wish.count; ++i) {
      const std::string id = world_.Rent(wish.type, wish.zone, wish.spot);
      if (id.empty()) {
        dispatcher_->RentRefused(wish, Now() + world_.settings.report_s);
      } else {
        dispatcher_->Rented({id}, wish, Now());
      }
    }
  }
  for (const auto& id : plan.give_back) {
    dispatcher_->MachineDeleting(id);
    world_.network.Send(name_, "cloud", [this, id, life] {
      world_.Delete(id);
      world_.network.Send("cloud", name_, [this, id, life, token = token()] {
        if (life != life_) return;
        Running([this, id, token] {
          if (token == lead_->token() && dispatcher_) dispatcher_->MachineDeleted(id, Now());
        });
      });
    });
  }
}

void Controller::ListMachines() {
  if (!alive_) return;
  const uint64_t life = life_;
  world_.clock.After(derived_.list_s, [this, life] {
    if (life == life_) Running([this] { ListMachines(); });
  });
  if (!leading()) return;
  world_.network.Send(name_, "cloud", [this, life, token = lead_->token(), asked = Now()] {
    world_.network.Send("cloud", name_, [this, life, token, asked, listed = world_.List()] {
      if (life != life_) return;
      Running([this, token, asked, listed] {
        if (token == lead_->token() && dispatcher_) dispatcher_->OnListed(listed, asked, Now());
      });
    });
  });
}

void Controller::Resign() {
  const uint64_t grant = lead_->grant();
  Told(lead_->Resign("", Now()));
  ++resigned_;
  Ask<bool>(
      [this, grant] {
        world_.state.End(grant);
        return true;
      },
      [](bool) {});
}

void Controller::WriteCompletions() {
  for (const auto& id : dispatcher_->TakeCompleted()) {
    const auto records = directory_->ledger().End({id}, seen_jobs_);
    if (records.empty()) {
      dispatcher_->CompletionFailed(id);
      continue;
    }
    const uint64_t life = life_;
    auto answered = std::make_shared<bool>(false);
    const auto finish = [this, id, life, token = token(), answered](uint64_t revision) {
      if (*answered || life != life_ || token != lead_->token() || !dispatcher_) return;
      *answered = true;
      if (revision != 0) {
        directory_->Over(id, jobs::Known::kDone);
        dispatcher_->RemoveJob(id, Now());
      } else {
        dispatcher_->CompletionFailed(id);
      }
    };
    world_.clock.After(1.0, [this, finish] { Running([finish] { finish(0); }); });  // no answer
    AskChange<uint64_t>(
        [this, id, records, token = token()] {
          const uint64_t revision = CommitEnd(id, jobs::Known::kDone, records, {{kLeader, token}});
          if (revision != 0) world_.checker.ToldDone(id, world_.clock.now());
          return revision;
        },
        finish);
  }
}

uint64_t Controller::CommitEnd(const std::string& id, jobs::Known end,
                               const std::vector<jobs::RecordChange>& records,
                               std::vector<std::pair<std::string, uint64_t>> conditions) {
  std::vector<std::pair<std::string, std::optional<wire::Json>>> changes;
  // One end only, whoever is first.
  conditions.emplace_back(kFinal + id, 0);
  changes.emplace_back(kFinal + id, jobs::FinalRecord(end));
  for (const auto& r : records) {
    conditions.emplace_back(r.key, r.version);
    changes.emplace_back(r.key, r.value);
  }
  return world_.state.Commit(conditions, changes);
}

void Controller::Flush() {
  const auto records = dispatcher_->TakeRecords(100, 48u << 10);
  if (records.empty()) return;
  std::vector<std::pair<std::string, uint64_t>> conditions{{kLeader, token()}};
  std::vector<std::pair<std::string, std::optional<wire::Json>>> changes;
  const auto put = [&](const std::string& prefix, const kvstore::PackedMap::Written& w) {
    conditions.emplace_back(prefix + std::to_string(w.pack), w.version);
    changes.emplace_back(prefix + std::to_string(w.pack), w.value);
  };
  for (const auto& w : records.machines) put("machines/", w);
  for (const auto& w : records.progress) put("progress/", w);
  const uint64_t life = life_;
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, life, token = token(), answered](uint64_t revision) {
    if (*answered || life != life_ || token != lead_->token() || !dispatcher_) return;
    *answered = true;
    if (revision != 0) {
      dispatcher_->RecordsWritten(revision, Now());
    } else {
      dispatcher_->RecordsFailed();
    }
  };
  world_.clock.After(1.0, [this, finish] { Running([finish] { finish(0); }); });  // no answer
  AskChange<uint64_t>(
      [this, conditions, changes] { return world_.state.Commit(conditions, changes); }, finish);
}

void Controller::SendDirect() {
  if (dispatcher_ && leading()) SendOrders(*dispatcher_, 0);
  if (holder_ && MayHold()) SendOrders(holder_->dispatcher(), holder_->lease());
}

void Controller::SendOrders(scheduler::Dispatcher& dispatcher, uint64_t lease) {
  for (auto& order : dispatcher.TakeDirect(Now())) {
    const uint64_t life = life_;
    const uint64_t token = lead_->token();
    for (const auto& c : order.commands) {
      held_starts_ += lease != 0 && c.op == wire::Op::kStart ? 1 : 0;
    }
    world_.decisions.Ordered(world_.clock.now(), order.machine, order.address, order.token,
                             order.session, order.commands);
    auto answered = std::make_shared<bool>(false);
    const auto finish = [this, life, token, lease, answered, order](scheduler::DirectOutcome outcome,
                                                                    const wire::Report* r) {
      if (*answered || life != life_) return;
      *answered = true;
      if (lease != 0) {
        if (holder_ && holder_->lease() == lease) holder_->OnDirect(order, outcome, r, Now());
      } else if (token == lead_->token() && dispatcher_) {
        dispatcher_->OnDirect(order, outcome, r, Now());
      }
    };
    world_.clock.After(world_.settings.report_s, [this, finish] {
      Running([finish] { finish(scheduler::DirectOutcome::kUnsure, nullptr); });
    });
    // A connection is to whoever is there, which need not be the machine that is meant; what is
    // held back on it is never for another one that is up under the address later.
    Worker* const w = world_.At(order.address);
    if (w == nullptr) continue;
    const std::function<void()> arrive = [this, order, finish, w, life = w->life(),
                                          sent = world_.clock.now()] {
      if (!w->alive() || w->life() != life) return;
      world_.late_orders += world_.clock.now() - sent > 2 ? 1 : 0;
      const int status = w->Commands(order.token, order.session, order.commands);
      const wire::Report r = w->Answer();
      const double held = world_.clock.now() < world_.held_answers_until
                              ? world_.random.Uniform(0, 1.2 * world_.settings.report_s)
                              : 0;
      world_.clock.After(held, [this, w, status, r, finish] {
        world_.network.Send(w->id(), name_, [this, w, status, r, finish] {
          world_.late_answers += w->heard_seq() > r.seq ? 1 : 0;
          Running([status, r, finish] {
            finish(status == 200 ? scheduler::DirectOutcome::kExecuted : scheduler::DirectOutcome::kRefused,
                   &r);
          });
        });
      });
    };
    world_.network.Send(name_, w->id(), [w, arrive] { w->Running(arrive); });
  }
}

// ---------------------------------------------------------------------------- users

void Controller::SeeJobs(const Pairs& pairs) {
  if (seen_jobs_ == revision_) return;
  seen_jobs_ = revision_;
  const auto told = [this](const jobs::Ledger::Change& change) {
    for (const auto& id : change.came) {
      admission_->gate().Came(directory_->ledger().Find(id)->spec);
    }
    for (const auto& id : change.ended) admission_->gate().Ended(id, Now());
  };
  for (auto it = pairs.lower_bound(kFinal); it != pairs.end() && it->first.starts_with(kFinal);
       ++it) {
    if (!shown_finals_.insert(it->first).second) continue;
    directory_->FinalSeen(it->first.substr(kFinal.size()), it->second.value, it->second.version);
  }
  std::erase_if(shown_, [&](const auto& shown) {
    if (pairs.contains(shown.first)) return false;
    told(directory_->Seen(shown.first, nullptr, seen_jobs_));
    return true;
  });
  for (auto it = pairs.lower_bound(kJob); it != pairs.end() && it->first.starts_with(kJob); ++it) {
    uint64_t& version = shown_[it->first];
    if (std::exchange(version, it->second.version) == it->second.version) continue;
    told(directory_->Seen(it->first, &it->second.value, it->second.version));
  }
  directory_->Loaded(seen_jobs_);
  // Jobs may come and go between two looks.
  admission_->gate().Loaded(revision_);
}

void Controller::OnSubmit(const wire::JobSpec& spec, const SubmitAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, spec, answer] { OnSubmit(spec, answer); });
  const auto tell = [this, answer](int status, double retry_after_s) {
    world_.network.Send(name_, "users",
                        [answer, status, retry_after_s] { answer(status, retry_after_s); });
  };
  // A known job is answered before anything else is checked.
  if (directory_->Holds(spec.id)) {
    return Lookup(spec.id, [this, id = spec.id, tell](jobs::Known known) {
      const bool told = known != jobs::Known::kUnsure && known != jobs::Known::kMissing;
      if (told) Tells(id, known);
      tell(told ? 200 : 503, 1);
    });
  }
  if (seen_poll_ == 0) return tell(503, 1);
  if (!admission::WhyNeverRuns(spec, settings_.teams, world_.types).empty()) {
    return Lookup(spec.id, [tell](jobs::Known known) {
      tell(known == jobs::Known::kMissing ? 422 : known == jobs::Known::kUnsure ? 503 : 200, 1);
    });
  }
  const auto verdict = admission_->Ask(spec, Now());
  if (!verdict.admit) {
    ++refused_;
    return tell(429, verdict.retry_after_s);
  }
  accepting_.Push(spec.team, spec.job_class, admission::RankWeight(spec.rank),
                  {spec, Now() + derived_.user_deadline_s, tell});
}

// As service/job_table.
void Controller::Lookup(const std::string& id, std::function<void(jobs::Known)> done) {
  if (const auto known = directory_->Remembered(id)) return done(*known);
  Look([this, id, done = std::move(done)](bool seen) {
    if (const auto known = seen ? directory_->AfterLook(id) : directory_->Remembered(id)) {
      return done(*known);
    }
    if (!seen) return done(jobs::Known::kUnsure);
    using Final = std::optional<StateService::Pair>;
    Ask<Final>(
        [this, id]() -> Final {
          const auto it = world_.state.pairs().find(kFinal + id);
          return it == world_.state.pairs().end() ? std::nullopt : Final(it->second);
        },
        [this, id, looked = seen_jobs_, done](const Final& final_record) {
          const auto known =
              directory_->FinalRead(id, final_record ? &final_record->value : nullptr,
                                    final_record ? final_record->version : 0, looked, seen_jobs_);
          if (known == jobs::Known::kCancelled) EndTasks(id);
          done(known);
        });
  });
}

void Controller::EndTasks(const std::string& id) {
  if (dispatcher_) dispatcher_->RemoveJob(id, Now());
  if (holder_) holder_->JobOver(id, Now());
}

wire::Stage Controller::Tells(const std::string& id, jobs::Known known) {
  if (known == jobs::Known::kCancelled) {
    world_.confirmer = name_;
    return wire::Stage::kCancelled;
  }
  if (known == jobs::Known::kDone) return wire::Stage::kDone;
  const bool runs = dispatcher_ && dispatcher_->Counts(id).running > 0;
  return runs ? wire::Stage::kRunning : wire::Stage::kQueued;
}

void Controller::OnAsked(const std::string& id, const JobAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, id, answer] { OnAsked(id, answer); });
  Lookup(id, [this, id, answer](jobs::Known known) { AnswerKnown(id, known, answer); });
}

void Controller::AnswerKnown(const std::string& id, jobs::Known known, const JobAnswer& answer) {
  const int status = known == jobs::Known::kUnsure    ? 503
                     : known == jobs::Known::kMissing ? 404
                                                      : 200;
  const auto stage = status == 200 ? Tells(id, known) : wire::Stage::kQueued;
  world_.network.Send(name_, "users", [answer, status, stage] { answer(status, stage); });
}

void Controller::OnCancel(const std::string& id, const JobAnswer& answer) {
  if (!alive_) return;
  if (StandsStill()) return Running([this, id, answer] { OnCancel(id, answer); });
  TryCancel(id, Now() + derived_.user_deadline_s, [this, id, answer](jobs::Known known) {
    // However it came to know of it.
    if (known == jobs::Known::kCancelled) world_.checker.ToldCancelled(id, world_.clock.now());
    AnswerKnown(id, known, answer);
  });
}

void Controller::TryCancel(const std::string& id, double deadline,
                           std::function<void(jobs::Known)> done) {
  Lookup(id, [this, id, deadline, done = std::move(done)](jobs::Known known) {
    using Kind = jobs::Directory::CancelStep::Kind;
    const auto step = directory_->Cancel(id, known, seen_jobs_);
    if (step.kind == Kind::kTell) return done(step.known);
    if (Now() >= deadline) return done(jobs::Known::kUnsure);
    if (step.kind == Kind::kLook) return TryCancel(id, deadline, done);
    AskChange<uint64_t>(
        [this, id, step] { return CommitEnd(id, jobs::Known::kCancelled, step.records, {}); },
        [this, id, deadline, done](uint64_t revision) {
          if (revision == 0) return TryCancel(id, deadline, done);
          LearnCancelled(id, revision);
          done(jobs::Known::kCancelled);
        });
  });
}

void Controller::PumpAccepts() {
  if (!alive_) return;
  world_.clock.After(1 / accept_rate_, [this, life = life_] {
    if (life == life_) Running([this] { PumpAccepts(); });
  });
  accepting_.TakeIf([now = Now()](const Waiting& w) { return w.deadline <= now; },
                    [this](Waiting w) {
                      admission_->gate().Dropped(w.spec.id);
                      w.answer(503, 1);
                    });
  // As many as may share a change.
  const size_t most = static_cast<size_t>((4 * settings_.txn_ops - 1) / 2);
  std::vector<Waiting> batch;
  while (!accepting_.empty() && batch.size() < most) batch.push_back(accepting_.Pop());
  if (!batch.empty()) AcceptNow(std::move(batch));
}

void Controller::AcceptNow(std::vector<Waiting> batch) {
  const auto jobs = std::make_shared<std::vector<Waiting>>(std::move(batch));
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, life = life_, jobs, answered](std::optional<std::vector<uint64_t>> r) {
    if (life != life_ || std::exchange(*answered, true)) return;
    for (size_t i = 0; i < jobs->size(); ++i) {
      const Waiting& w = (*jobs)[i];
      if (r && (*r)[i] != 0) {
        admission_->gate().Accepted(w.spec.id, (*r)[i]);
        w.answer(201, 0);
      } else {
        admission_->gate().Dropped(w.spec.id);
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
          revisions.push_back(world_.state.Commit({{kJob + id, 0}, {kFinal + id, 0}},
                                                  {{kJob + id, jobs::Ledger::Entry(w.spec, 0)}}));
        }
        return revisions;
      },
      [finish](std::vector<uint64_t> r) { finish(std::move(r)); });
}

void Controller::SendPresence() {
  if (!alive_) return;
  world_.clock.After(std::max(0.5, settings_.report_s / 4), [this, life = life_] {
    if (life == life_) Running([this] { SendPresence(); });
  });
  wire::Presence p;
  p.node = name_;
  p.demand = admission_->Demand(Now());
  const std::string text = wire::Encode(p);
  if (leading()) admission_->Told(admission_->PlanFor(name_, *p.demand, Now()), Now());
  for (const auto& peer : world_.nodes) {
    if (peer == name_) continue;
    const double asked = Now();
    world_.network.Send(name_, peer, [this, peer, text, asked, life = life_] {
      if (!world_.on_presence.contains(peer)) return;
      const auto answer = world_.on_presence[peer](text);
      if (!answer) return;
      world_.network.Send(peer, name_, [this, answer, asked, life] {
        // What was given up is never read, however late it comes.
        if (life != life_ || !alive_) return;
        Running([this, answer, asked] { admission_->Told(wire::DecodePlan(*answer), asked); });
      });
    });
  }
}

std::optional<std::string> Controller::TakePresence(const std::string& text) {
  if (!alive_ || StandsStill()) return std::nullopt;
  const wire::Presence p = wire::DecodePresence(text);
  liveness_->Heard(p, Now());
  admission::Plan plan;
  if (leading()) plan = admission_->PlanFor(p.node, *p.demand, Now());
  return wire::Encode(plan);
}

}  // namespace mosspath::simulation
