#include "mosspath/service/leader_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::service {
namespace {

constexpr double kTypesEveryLeases = 3;
constexpr double kPauseRatio = 3;  // between passes or plans, in the time that the last one took
constexpr double kBehind = 0.1;    // report intervals that a tick may be late
constexpr size_t kFewOrders = 8;
constexpr double kFlushSoon = 0.4;              // of the interval of flushes
constexpr size_t kMostRecordBytes = 48u << 10;  // a request may hold 64 KiB
constexpr int kMostPerRent = 50;
constexpr size_t kMostPerDelete = 100;

}  // namespace

LeaderService::LeaderService(asio::io_context& io, const config::Settings& settings,
                             const config::DerivedSettings& derived, kvstore::Client& state,
                             CloudClient& cloud, election::Elector& elector,
                             net::StallDetector& stalls, const JobService& jobs,
                             PeerFrameSender& frames, std::shared_ptr<net::SocketBudget> sockets,
                             uint64_t token)
    : io_(io),
      settings_(settings),
      derived_(derived),
      state_(state),
      cloud_(cloud),
      elector_(elector),
      stalls_(stalls),
      jobs_(jobs),
      token_(token),
      scheduler_(settings, derived, token, net::Now()),
      frames_(frames),
      tick_timer_(io),
      kick_timer_(io),
      scale_out_timer_(io),
      flush_timer_(io),
      fleet_timer_(io),
      list_timer_(io),
      types_timer_(io),
      commands_(io, std::move(sockets)) {
  if (settings_.lease_shards) {
    shard_leases_ =
        std::make_unique<shard::ShardLeaseManager>(settings_, derived_, scheduler_, token_);
  }
}

bool LeaderService::MayAct() const {
  return !stopped_ && elector_.token() == token_ && elector_.MayAct(net::Now());
}

// What was decided before this process stood still must not be done by a leader of the past.
net::HttpClient::StillWanted LeaderService::StillMayAct() {
  return [self = shared_from_this()] { return self->MayAct(); };
}

void LeaderService::Start() {
  Tick();
  Flush();
  PlanScaling();
  RefreshMachineTypes();
  ListMachines();
}

void LeaderService::Stop() {
  stopped_ = true;
  tick_timer_.Cancel();
  kick_timer_.Cancel();
  scale_out_timer_.Cancel();
  flush_timer_.Cancel();
  fleet_timer_.Cancel();
  list_timer_.Cancel();
  types_timer_.Cancel();
  commands_.Clear();
}

void LeaderService::Tick() {
  const double tick_s = settings_.heartbeat_s / 6;
  late_ = tick_due_ > 0 ? net::Now() - tick_due_ : 0;
  tick_due_ = net::Now() + tick_s;
  tick_timer_.After(tick_s, [self = shared_from_this()] { self->Tick(); });
  stalls_.Check();
  if (elector_.IsStale(net::Now()) && elector_.MayResign(net::Now())) {
    asio::post(io_, [self = shared_from_this()] {
      if (self->stopped_) return;
      spdlog::info("lease: the view of the jobs is {:.1f} s old",
                   self->elector_.view_age_s(net::Now()));
      self->elector_.Resign("changes can't be read");
    });
    return;
  }
  if (!MayAct()) return;
  if (scheduler_.IsPartitionedFromAgents(net::Now()) && elector_.MayResign(net::Now())) {
    // Workers would lose their leases and tasks while another controller may well reach them.
    asio::post(io_, [self = shared_from_this()] {
      if (self->MayAct()) self->elector_.Resign("most workers can't be heard");
    });
    return;
  }
  scheduler_.Tick(net::Now());
  WriteCompletions();
  SendCommands();
  CloseUnusedConnections();
  if (shard_leases_) {
    ChangeLeases();
    SendFrames();
  }
  if (net::Now() >= next_tidy_) {
    next_tidy_ = net::Now() + settings_.heartbeat_s;
    CleanUpRecords();
  }
}

void LeaderService::ScheduleTick() {
  if (kicked_) return;
  kicked_ = true;
  // Reports, renewals and users come first: a pass over the waiting jobs is made now and then, and
  // takes a limited part of the time however long it is.
  kick_timer_.After(next_place_ - net::Now(), [self = shared_from_this()] {
    self->kicked_ = false;
    self->stalls_.Check();
    if (!self->MayAct()) return;
    const double begun = net::Now();
    self->scheduler_.Place(begun);
    self->WriteCompletions();
    self->SendCommands();
    if (self->shard_leases_) self->SendFrames();
    if (self->scheduler_.wants_scaling_plan()) self->PlanScalingSoon();
    if (self->scheduler_.has_unrecorded_machines()) self->FlushSoon();
    const double now = net::Now();
    self->next_place_ =
        now + std::max(self->derived_.placement_interval_s, kPauseRatio * (now - begun));
  });
}

// Orders and questions cost as much as reports. A process that is behind has reports waiting, which
// renew leases and bring the same: a successor that asked all its machines first was too late for
// those that had found it meanwhile, and their tasks were lost.
size_t LeaderService::CommandCapacity() const {
  const size_t room = commands_.Capacity();
  return late_ > kBehind * settings_.heartbeat_s ? std::min(room, kFewOrders) : room;
}

void LeaderService::SendCommands() {
  for (scheduler::CommandBatch& order : scheduler_.TakeCommands(net::Now(), CommandCapacity())) {
    const double timeout = order.commands.empty() ? derived_.probe_answer_s : settings_.heartbeat_s;
    commands_.Send(
        std::move(order), timeout, on_malformed,
        [self = shared_from_this()](const scheduler::CommandBatch& o,
                                    scheduler::CommandOutcome outcome,
                                    const wire::Heartbeat* report) {
          if (self->stopped_) return;
          self->scheduler_.OnCommandOutcome(o, outcome, report, net::Now());
          if (report != nullptr) self->ScheduleTick();
        },
        StillMayAct());
  }
}

// Each a transaction under the leader key, so that no leader of the past leases anything.
void LeaderService::ChangeLeases() {
  for (const auto& c : shard_leases_->PendingChanges(net::Now())) {
    kvstore::Transaction txn;
    txn.conditions.push_back({keys::kLeader, token_});
    const std::string block = keys::kShardLeases + c.node;
    txn.conditions.push_back({block, c.lease});
    if (c.lease != 0) {
      txn.changes.push_back({block, std::nullopt});
    } else {
      txn.conditions.push_back({keys::kShardOffers + c.node, c.offer});
      txn.changes.push_back({block, wire::Json{{"grant", c.store_lease}}, c.store_lease});
    }
    state_.Commit(std::move(txn), derived_.call_timeout_s,
                  [self = shared_from_this(), node = c.node](const kvstore::TransactionResult& r) {
                    if (self->stopped_) return;
                    self->shard_leases_->OnChangeWritten(node, r.outcome == kvstore::Outcome::kDone,
                                                         net::Now());
                  });
  }
}

std::optional<wire::ShardFrame> LeaderService::OnFrame(const wire::ShardFrame& frame) {
  if (!shard_leases_ || !MayAct() || !shard_leases_->OnFrame(frame, net::Now()))
    return std::nullopt;
  ScheduleTick();
  auto answer = shard_leases_->MakeAnswer(frame.node);
  if (answer) {
    answer->view_age_s = std::max(0.0, elector_.view_age_s(net::Now()));
    answer->newest_cancellation = jobs_.cancellations().newest();
  }
  return answer;
}

void LeaderService::SendFrames() {
  for (auto& [node, frame] : shard_leases_->NextFrames(net::Now())) {
    if (frames_.IsBusy(node)) {
      shard_leases_->OnFrameLost(node);
      continue;
    }
    frames_.Send(node, std::move(frame), settings_.heartbeat_s / 2,
                 [self = shared_from_this(), node = node](std::optional<wire::ShardFrame> answer) {
                   if (self->stopped_) return;
                   if (!answer || !self->MayAct()) return self->shard_leases_->OnFrameLost(node);
                   net::TryRead("peer", "block", self->on_malformed,
                                [&] { self->shard_leases_->OnFrame(*answer, net::Now()); });
                   self->ScheduleTick();
                 });
  }
}

// Forgets the connections of machines that are gone.
void LeaderService::CloseUnusedConnections() {
  commands_.Forget([&](const std::string& id) { return !scheduler_.machines().contains(id); });
}

bool LeaderService::IsEnding(const jobs::RecordChange& record) const {
  const auto it = ending_.find(record.key);
  return it != ending_.end() && it->second == record.version;
}

// Several ends share a transaction, since jobs may be many and tiny, and jobs that were accepted
// together share a record. One change for each end and one for each record.
void LeaderService::WriteCompletions() {
  std::vector<std::string> ids = scheduler_.TakeCompletedJobs();
  const auto most = static_cast<size_t>(std::max(2, settings_.store_transaction_changes));
  std::vector<std::string> group;
  std::vector<jobs::RecordChange> records;
  const auto send = [&] {
    if (!group.empty()) WriteEnds(group, records);
    group.clear();
    records.clear();
  };
  for (const std::string& id : ids) {
    const auto own = jobs_.records().PlanEnd({id}, jobs_.revision());
    if (own.empty() ||
        std::any_of(own.begin(), own.end(), [&](const auto& r) { return IsEnding(r); })) {
      scheduler_.OnCompletionFailed(id);  // tried again with the next pass
      continue;
    }
    std::vector<std::string> wider = group;
    wider.push_back(id);
    auto all = jobs_.records().PlanEnd(wider, jobs_.revision());
    size_t bytes = 0;
    for (const auto& r : all) bytes += r.value ? r.value->dump().size() : 0;
    if (!group.empty() && (wider.size() + all.size() > most || bytes > kMostRecordBytes)) {
      send();
      wider = {id};
      all = own;
    }
    group = std::move(wider);
    records = std::move(all);
  }
  send();
}

void LeaderService::WriteEnds(const std::vector<std::string>& ids,
                              const std::vector<jobs::RecordChange>& records) {
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, token_});
  AddRecordChanges(txn, records);
  std::vector<std::string> touched;
  for (const auto& r : records) {
    ending_[r.key] = r.version;
    touched.push_back(r.key);
  }
  for (const std::string& id : ids) {
    txn.conditions.push_back({keys::Final(id), 0});
    txn.changes.push_back({keys::Final(id), jobs::EncodeFinalRecord(jobs::JobStatus::kDone)});
  }
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [self = shared_from_this(), ids, touched](kvstore::TransactionResult r) {
                  if (self->stopped_) return;
                  if (r.outcome != kvstore::Outcome::kDone) {
                    for (const auto& key : touched) self->ending_.erase(key);
                  }
                  for (const std::string& id : ids) {
                    if (r.outcome == kvstore::Outcome::kDone) {
                      spdlog::info("jobs: {} is done", id);
                      self->scheduler_.OnJobFinished(id, net::Now());
                      self->on_completed(id);
                      self->scheduler_.RemoveJob(id, net::Now());
                    } else {
                      // Tried again with a later pass. On a conflict the mirror tells before that:
                      // cancelled, a change of the record for another job, or another leader.
                      self->scheduler_.OnCompletionFailed(id);
                    }
                  }
                });
}

// Forgets records in which nothing is live any more. Nobody waits for it.
void LeaderService::CleanUpRecords() {
  std::erase_if(ending_,
                [&](const auto& e) { return jobs_.records().VersionOf(e.first) != e.second; });
  if (state_.WriteDelay(settings_.store_transaction_changes) > 0) return;
  auto records = jobs_.records().PlanCleanup(
      jobs_.revision(), static_cast<size_t>(settings_.store_transaction_changes));
  std::erase_if(records, [&](const auto& r) { return IsEnding(r); });
  if (records.empty()) return;
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, token_});
  AddRecordChanges(txn, records);
  std::vector<std::string> touched;
  for (const auto& r : records) {
    ending_[r.key] = r.version;
    touched.push_back(r.key);
  }
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [self = shared_from_this(), touched](kvstore::TransactionResult r) {
                  if (self->stopped_ || r.outcome == kvstore::Outcome::kDone) return;
                  for (const auto& key : touched) self->ending_.erase(key);
                });
}

// A new machine takes nothing before its entry is durable, so that isn't left to the next flush.
void LeaderService::FlushSoon() {
  if (net::Now() < flush_not_before_) return;
  const double wait = last_flush_ + kFlushSoon * derived_.record_flush_s - net::Now();
  flush_timer_.After(wait, [self = shared_from_this()] { self->Flush(); });
}

void LeaderService::Flush() {
  flush_timer_.After(derived_.record_flush_s, [self = shared_from_this()] { self->Flush(); });
  if (!MayAct() || net::Now() < flush_not_before_) return;
  last_flush_ = net::Now();
  const auto records = scheduler_.TakeRecords(
      static_cast<size_t>(settings_.store_transaction_changes), kMostRecordBytes);
  if (records.empty()) return;
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, token_});
  const auto put = [&](const std::string& key, const kvstore::PackedMap::PackWrite& w) {
    txn.conditions.push_back({key, w.version});
    txn.changes.push_back({key, w.value});
  };
  for (const auto& w : records.machines) put(keys::Machines(w.pack), w);
  for (const auto& w : records.progress) put(keys::Progress(w.pack), w);
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [self = shared_from_this()](kvstore::TransactionResult r) {
                  if (self->stopped_) return;
                  if (r.outcome == kvstore::Outcome::kDone) {
                    self->scheduler_.OnRecordsWritten(r.revision, net::Now());
                    return self->ScheduleTick();
                  }
                  // On a conflict an earlier write of ours was done without our knowing: the mirror
                  // tells the versions.
                  self->scheduler_.OnRecordsFailed();
                  self->flush_not_before_ = net::Now() + self->derived_.record_flush_s;
                });
}

// Work that finds no room asks for machines at once, not at the next regular plan.
void LeaderService::PlanScalingSoon() {
  if (!scale_out_requests_.empty()) return;
  fleet_timer_.After(next_plan_ - net::Now(), [self = shared_from_this()] { self->PlanScaling(); });
}

void LeaderService::PlanScaling() {
  fleet_timer_.After(std::max(1.0, settings_.heartbeat_s / 2),
                     [self = shared_from_this()] { self->PlanScaling(); });
  stalls_.Check();
  if (!MayAct()) return;
  const double now = net::Now();
  autoscaler::ScalingPlan plan = scheduler_.PlanScaling(now);
  const double planned = net::Now();
  next_plan_ = planned + std::max(derived_.scaling_interval_s, kPauseRatio * (planned - now));
  if (scale_out_requests_.empty() && scheduler_.recovery_complete()) {
    for (const autoscaler::ScaleOutRequest& w : plan.scale_out) {
      for (int left = w.count; left > 0; left -= kMostPerRent) {
        PendingScaleOut p;
        p.request = {settings_.name + "-" + std::to_string(token_) + "-" +
                         std::to_string(++scale_out_count_),
                     w.type, w.zone, w.spot, std::min(left, kMostPerRent)};
        scale_out_requests_.push_back(std::move(p));
      }
    }
  }
  SendScaleOutRequests();
  for (size_t i = 0; i < plan.scale_in.size() && cloud_.MayRequest(); i += kMostPerDelete) {
    const size_t end = std::min(plan.scale_in.size(), i + kMostPerDelete);
    std::vector<std::string> batch(plan.scale_in.begin() + static_cast<std::ptrdiff_t>(i),
                                   plan.scale_in.begin() + static_cast<std::ptrdiff_t>(end));
    for (const auto& id : batch) {
      spdlog::info("fleet: returning {}", id);
      scheduler_.OnMachineDeleting(id);
    }
    cloud_.Delete(
        batch,
        [self = shared_from_this(), batch](CloudClient::Outcome outcome) {
          if (self->stopped_) return;
          for (const auto& id : batch) {
            if (outcome == CloudClient::Outcome::kDone) {
              self->scheduler_.OnMachineDeleted(id, net::Now());
            } else {
              self->scheduler_.OnDeletionFailed(id);
            }
          }
        },
        StillMayAct());
  }
}

void LeaderService::SendScaleOutRequests() {
  const double now = net::Now();
  if (!scale_out_requests_.empty()) {
    scale_out_timer_.After(1 / settings_.cloud_requests_per_s, [self = shared_from_this()] {
      if (self->MayAct()) self->SendScaleOutRequests();
    });
  }
  for (auto& p : scale_out_requests_) {
    if (p.in_flight || now < p.not_before || !cloud_.MayRequest()) continue;
    p.in_flight = true;
    const wire::RentRequest r = p.request;
    spdlog::info("fleet: renting {} of {} in {} spot={} as {}", r.count, r.type, r.zone, r.spot,
                 r.request);
    cloud_.Rent(
        r,
        [self = shared_from_this(), r](CloudClient::Outcome outcome,
                                       const std::vector<std::string>& ids) {
          if (self->stopped_) return;
          const double at = net::Now();
          auto& rents = self->scale_out_requests_;
          auto it = std::find_if(rents.begin(), rents.end(), [&](const auto& other) {
            return other.request.request == r.request;
          });
          if (it == rents.end()) return;
          const autoscaler::ScaleOutRequest offer{r.type, r.zone, r.spot, r.count};
          const double closed_until = at + self->settings_.agent_lease_s;
          switch (outcome) {
            case CloudClient::Outcome::kDone:
              self->scheduler_.OnProvisioned(ids, offer, at);
              spdlog::info("fleet: got {} for {}", ids.size(), r.request);
              rents.erase(it);
              if (static_cast<int>(ids.size()) < r.count) {
                self->scheduler_.OnProvisioningRefused(offer, closed_until);
                self->DropScaleOutRequests(offer);
              }
              break;
            case CloudClient::Outcome::kNoCapacity:
              spdlog::info("fleet: no capacity for {}", r.request);
              self->scheduler_.OnProvisioningRefused(offer, closed_until);
              rents.erase(it);
              self->DropScaleOutRequests(offer);
              break;
            case CloudClient::Outcome::kRefused:  // not executed: planned anew after a while
              self->scheduler_.OnProvisioningRefused(offer, at + 2.0);
              rents.erase(it);
              break;
            case CloudClient::Outcome::kUndetermined:  // the same name gets the same machines
              it->in_flight = false;
              it->not_before = at + it->backoff.Next();
              break;
          }
        },
        StillMayAct());
  }
}

// A plan asks for fifties. Without this the rest of them kept asking for what is sold out, and took
// the cloud's calls from lists and returns: idle machines were paid for minutes.
void LeaderService::DropScaleOutRequests(const autoscaler::ScaleOutRequest& offer) {
  std::erase_if(scale_out_requests_, [&](const PendingScaleOut& p) {
    return !p.in_flight && p.not_before == 0 && p.request.type == offer.type &&
           p.request.zone == offer.zone && p.request.spot == offer.spot;
  });
}

void LeaderService::RefreshMachineTypes() {
  cloud_.ListMachineTypes(
      [self = shared_from_this()](bool ok, const std::vector<wire::MachineType>& types) {
        if (self->stopped_) return;
        double pause = kTypesEveryLeases * self->settings_.agent_lease_s;
        if (ok) {
          self->scheduler_.SetMachineTypes(types);
          self->on_types(types);
        } else {
          pause = 2.0;
        }
        self->types_timer_.After(pause, [self] { self->RefreshMachineTypes(); });
      });
}

void LeaderService::ListMachines() {
  list_timer_.After(derived_.machine_list_interval_s,
                    [self = shared_from_this()] { self->ListMachines(); });
  if (!MayAct() || !cloud_.MayRequest()) return;
  listed_.clear();
  list_requested_at_ = net::Now();
  ListMachinesPage("");
}

void LeaderService::ListMachinesPage(const std::string& after) {
  cloud_.ListMachines(after, [self = shared_from_this(), asked = list_requested_at_](
                                 bool ok, const wire::MachinePage& page) {
    if (self->stopped_ || !ok || asked != self->list_requested_at_) return;
    self->listed_.insert(self->listed_.end(), page.machines.begin(), page.machines.end());
    if (page.more && !page.machines.empty()) return self->ListMachinesPage(page.machines.back().id);
    self->scheduler_.OnMachineList(self->listed_, asked, net::Now());
  });
}

}  // namespace mosspath::service
