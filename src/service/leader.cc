#include "mosspath/service/leader.h"

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

Leader::Leader(asio::io_context& io, const config::Settings& settings,
               const config::Derived& derived, kvstore::Client& state, CloudClient& cloud,
               election::Elector& elector, net::StallWatch& stalls, const JobTable& jobs,
               FrameLinks& frames, std::shared_ptr<net::SocketBudget> sockets, uint64_t token)
    : io_(io),
      settings_(settings),
      derived_(derived),
      state_(state),
      cloud_(cloud),
      elector_(elector),
      stalls_(stalls),
      jobs_(jobs),
      token_(token),
      dispatcher_(settings, derived, token, net::Now()),
      frames_(frames),
      tick_timer_(io),
      kick_timer_(io),
      rent_timer_(io),
      flush_timer_(io),
      fleet_timer_(io),
      list_timer_(io),
      types_timer_(io),
      links_(io, std::move(sockets)) {
  if (settings_.lease_blocks) {
    desk_ = std::make_unique<shard::Desk>(settings_, derived_, dispatcher_, token_);
  }
}

bool Leader::Entitled() const {
  return !stopped_ && elector_.token() == token_ && elector_.Entitled(net::Now());
}

// What was decided before this process stood still must not be done by a leader of the past.
net::HttpClient::StillWanted Leader::StillEntitled() {
  return [self = shared_from_this()] { return self->Entitled(); };
}

void Leader::Start() {
  Tick();
  Flush();
  PlanFleet();
  RefreshTypes();
  ListMachines();
}

void Leader::Stop() {
  stopped_ = true;
  tick_timer_.Cancel();
  kick_timer_.Cancel();
  rent_timer_.Cancel();
  flush_timer_.Cancel();
  fleet_timer_.Cancel();
  list_timer_.Cancel();
  types_timer_.Cancel();
  links_.Clear();
}

void Leader::Tick() {
  const double tick_s = settings_.report_s / 6;
  late_ = tick_due_ > 0 ? net::Now() - tick_due_ : 0;
  tick_due_ = net::Now() + tick_s;
  tick_timer_.After(tick_s, [self = shared_from_this()] { self->Tick(); });
  stalls_.Look();
  if (elector_.OutOfDate(net::Now()) && elector_.MayResign(net::Now())) {
    asio::post(io_, [self = shared_from_this()] {
      if (self->stopped_) return;
      spdlog::info("lease: the view of the jobs is {:.1f} s old",
                   self->elector_.view_age_s(net::Now()));
      self->elector_.Resign("changes can't be read");
    });
    return;
  }
  if (!Entitled()) return;
  if (dispatcher_.Blind(net::Now()) && elector_.MayResign(net::Now())) {
    // Workers would lose their leases and tasks while another controller may well reach them.
    asio::post(io_, [self = shared_from_this()] {
      if (self->Entitled()) self->elector_.Resign("most workers can't be heard");
    });
    return;
  }
  dispatcher_.Tick(net::Now());
  WriteCompletions();
  SendDirect();
  Prune();
  if (desk_) {
    ChangeLeases();
    SendFrames();
  }
  if (net::Now() >= next_tidy_) {
    next_tidy_ = net::Now() + settings_.report_s;
    TidyRecords();
  }
}

void Leader::Kick() {
  if (kicked_) return;
  kicked_ = true;
  // Reports, renewals and users come first: a pass over the waiting jobs is made now and then, and
  // takes a limited part of the time however long it is.
  kick_timer_.After(next_place_ - net::Now(), [self = shared_from_this()] {
    self->kicked_ = false;
    self->stalls_.Look();
    if (!self->Entitled()) return;
    const double begun = net::Now();
    self->dispatcher_.Place(begun);
    self->WriteCompletions();
    self->SendDirect();
    if (self->desk_) self->SendFrames();
    if (self->dispatcher_.wants_plan()) self->PlanSoon();
    if (self->dispatcher_.machines_unrecorded()) self->FlushSoon();
    const double now = net::Now();
    self->next_place_ = now + std::max(self->derived_.place_gap_s, kPauseRatio * (now - begun));
  });
}

// Orders and questions cost as much as reports. A process that is behind has reports waiting, which
// renew leases and bring the same: a successor that asked all its machines first was too late for
// those that had found it meanwhile, and their tasks were lost.
size_t Leader::OrderRoom() const {
  const size_t room = links_.Room();
  return late_ > kBehind * settings_.report_s ? std::min(room, kFewOrders) : room;
}

void Leader::SendDirect() {
  for (scheduler::DirectOrder& order : dispatcher_.TakeDirect(net::Now(), OrderRoom())) {
    const double timeout = order.commands.empty() ? derived_.ask_s : settings_.report_s;
    links_.Send(
        std::move(order), timeout, on_malformed,
        [self = shared_from_this()](const scheduler::DirectOrder& o, scheduler::DirectOutcome outcome,
                                    const wire::Report* report) {
          if (self->stopped_) return;
          self->dispatcher_.OnDirect(o, outcome, report, net::Now());
          if (report != nullptr) self->Kick();
        },
        StillEntitled());
  }
}

// Each a transaction under the leader key, so that no leader of the past leases anything.
void Leader::ChangeLeases() {
  for (const auto& c : desk_->Changes(net::Now())) {
    kvstore::Transaction txn;
    txn.conditions.push_back({keys::kLeader, token_});
    const std::string block = keys::kBlocks + c.node;
    txn.conditions.push_back({block, c.lease});
    if (c.lease != 0) {
      txn.changes.push_back({block, std::nullopt});
    } else {
      txn.conditions.push_back({keys::kHolders + c.node, c.offer});
      txn.changes.push_back({block, wire::Json{{"grant", c.grant}}, c.grant});
    }
    state_.Commit(std::move(txn), derived_.call_timeout_s,
                  [self = shared_from_this(), node = c.node](const kvstore::TxnResult& r) {
                    if (self->stopped_) return;
                    self->desk_->Written(node, r.outcome == kvstore::Outcome::kDone, net::Now());
                  });
  }
}

std::optional<wire::BlockFrame> Leader::OnFrame(const wire::BlockFrame& frame) {
  if (!desk_ || !Entitled() || !desk_->OnFrame(frame, net::Now())) return std::nullopt;
  Kick();
  auto answer = desk_->Answer(frame.node);
  if (answer) {
    answer->view_age_s = std::max(0.0, elector_.view_age_s(net::Now()));
    answer->cancelled = jobs_.cancelled().newest();
  }
  return answer;
}

void Leader::SendFrames() {
  for (auto& [node, frame] : desk_->NextFrames(net::Now())) {
    if (frames_.Busy(node)) {
      desk_->FrameLost(node);
      continue;
    }
    frames_.Send(node, std::move(frame), settings_.report_s / 2,
                 [self = shared_from_this(), node = node](std::optional<wire::BlockFrame> answer) {
                   if (self->stopped_) return;
                   if (!answer || !self->Entitled()) return self->desk_->FrameLost(node);
                   net::Understood("peer", "block", self->on_malformed,
                                   [&] { self->desk_->OnFrame(*answer, net::Now()); });
                   self->Kick();
                 });
  }
}

// Forgets the connections of machines that are gone.
void Leader::Prune() {
  links_.Forget([&](const std::string& id) { return !dispatcher_.machines().contains(id); });
}

bool Leader::Ending(const jobs::RecordChange& record) const {
  const auto it = ending_.find(record.key);
  return it != ending_.end() && it->second == record.version;
}

// Several ends share a transaction, since jobs may be many and tiny, and jobs that were accepted
// together share a record. One change for each end and one for each record.
void Leader::WriteCompletions() {
  std::vector<std::string> ids = dispatcher_.TakeCompleted();
  const auto most = static_cast<size_t>(std::max(2, settings_.txn_ops));
  std::vector<std::string> group;
  std::vector<jobs::RecordChange> records;
  const auto send = [&] {
    if (!group.empty()) WriteEnds(group, records);
    group.clear();
    records.clear();
  };
  for (const std::string& id : ids) {
    const auto own = jobs_.ledger().End({id}, jobs_.revision());
    if (own.empty() ||
        std::any_of(own.begin(), own.end(), [&](const auto& r) { return Ending(r); })) {
      dispatcher_.CompletionFailed(id);  // tried again with the next pass
      continue;
    }
    std::vector<std::string> wider = group;
    wider.push_back(id);
    auto all = jobs_.ledger().End(wider, jobs_.revision());
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

void Leader::WriteEnds(const std::vector<std::string>& ids,
                       const std::vector<jobs::RecordChange>& records) {
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, token_});
  AddTo(txn, records);
  std::vector<std::string> touched;
  for (const auto& r : records) {
    ending_[r.key] = r.version;
    touched.push_back(r.key);
  }
  for (const std::string& id : ids) {
    txn.conditions.push_back({keys::Final(id), 0});
    txn.changes.push_back({keys::Final(id), jobs::FinalRecord(jobs::Known::kDone)});
  }
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [self = shared_from_this(), ids, touched](kvstore::TxnResult r) {
                  if (self->stopped_) return;
                  if (r.outcome != kvstore::Outcome::kDone) {
                    for (const auto& key : touched) self->ending_.erase(key);
                  }
                  for (const std::string& id : ids) {
                    if (r.outcome == kvstore::Outcome::kDone) {
                      spdlog::info("jobs: {} is done", id);
                      self->dispatcher_.Finished(id, net::Now());
                      self->on_completed(id);
                      self->dispatcher_.RemoveJob(id, net::Now());
                    } else {
                      // Tried again with a later pass. On a conflict the mirror tells before that:
                      // cancelled, a change of the record for another job, or another leader.
                      self->dispatcher_.CompletionFailed(id);
                    }
                  }
                });
}

// Forgets records in which nothing is live any more. Nobody waits for it.
void Leader::TidyRecords() {
  std::erase_if(ending_,
                [&](const auto& e) { return jobs_.ledger().VersionOf(e.first) != e.second; });
  if (state_.WaitToChange(settings_.txn_ops) > 0) return;
  auto records = jobs_.ledger().Tidy(jobs_.revision(), static_cast<size_t>(settings_.txn_ops));
  std::erase_if(records, [&](const auto& r) { return Ending(r); });
  if (records.empty()) return;
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, token_});
  AddTo(txn, records);
  std::vector<std::string> touched;
  for (const auto& r : records) {
    ending_[r.key] = r.version;
    touched.push_back(r.key);
  }
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [self = shared_from_this(), touched](kvstore::TxnResult r) {
                  if (self->stopped_ || r.outcome == kvstore::Outcome::kDone) return;
                  for (const auto& key : touched) self->ending_.erase(key);
                });
}

// A new machine takes nothing before its entry is durable, so that isn't left to the next flush.
void Leader::FlushSoon() {
  if (net::Now() < flush_not_before_) return;
  const double wait = last_flush_ + kFlushSoon * derived_.flush_s - net::Now();
  flush_timer_.After(wait, [self = shared_from_this()] { self->Flush(); });
}

void Leader::Flush() {
  flush_timer_.After(derived_.flush_s, [self = shared_from_this()] { self->Flush(); });
  if (!Entitled() || net::Now() < flush_not_before_) return;
  last_flush_ = net::Now();
  const auto records =
      dispatcher_.TakeRecords(static_cast<size_t>(settings_.txn_ops), kMostRecordBytes);
  if (records.empty()) return;
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, token_});
  const auto put = [&](const std::string& key, const kvstore::PackedMap::Written& w) {
    txn.conditions.push_back({key, w.version});
    txn.changes.push_back({key, w.value});
  };
  for (const auto& w : records.machines) put(keys::Machines(w.pack), w);
  for (const auto& w : records.progress) put(keys::Progress(w.pack), w);
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [self = shared_from_this()](kvstore::TxnResult r) {
                  if (self->stopped_) return;
                  if (r.outcome == kvstore::Outcome::kDone) {
                    self->dispatcher_.RecordsWritten(r.revision, net::Now());
                    return self->Kick();
                  }
                  // On a conflict an earlier write of ours was done without our knowing: the mirror
                  // tells the versions.
                  self->dispatcher_.RecordsFailed();
                  self->flush_not_before_ = net::Now() + self->derived_.flush_s;
                });
}

// Work that finds no room asks for machines at once, not at the next regular plan.
void Leader::PlanSoon() {
  if (!rents_.empty()) return;
  fleet_timer_.After(next_plan_ - net::Now(), [self = shared_from_this()] { self->PlanFleet(); });
}

void Leader::PlanFleet() {
  fleet_timer_.After(std::max(1.0, settings_.report_s / 2),
                     [self = shared_from_this()] { self->PlanFleet(); });
  stalls_.Look();
  if (!Entitled()) return;
  const double now = net::Now();
  autoscaler::Plan plan = dispatcher_.PlanFleet(now);
  const double planned = net::Now();
  next_plan_ = planned + std::max(derived_.plan_gap_s, kPauseRatio * (planned - now));
  if (rents_.empty() && dispatcher_.settled()) {
    for (const autoscaler::Wish& w : plan.rent) {
      for (int left = w.count; left > 0; left -= kMostPerRent) {
        PendingRent p;
        p.request = {
            settings_.node + "-" + std::to_string(token_) + "-" + std::to_string(++rent_count_),
            w.type, w.zone, w.spot, std::min(left, kMostPerRent)};
        rents_.push_back(std::move(p));
      }
    }
  }
  SendRents();
  for (size_t i = 0; i < plan.give_back.size() && cloud_.MayAsk(); i += kMostPerDelete) {
    const size_t end = std::min(plan.give_back.size(), i + kMostPerDelete);
    std::vector<std::string> batch(plan.give_back.begin() + static_cast<std::ptrdiff_t>(i),
                                   plan.give_back.begin() + static_cast<std::ptrdiff_t>(end));
    for (const auto& id : batch) {
      spdlog::info("fleet: returning {}", id);
      dispatcher_.MachineDeleting(id);
    }
    cloud_.Delete(
        batch,
        [self = shared_from_this(), batch](CloudClient::Outcome outcome) {
          if (self->stopped_) return;
          for (const auto& id : batch) {
            if (outcome == CloudClient::Outcome::kDone) {
              self->dispatcher_.MachineDeleted(id, net::Now());
            } else {
              self->dispatcher_.DeletionFailed(id);
            }
          }
        },
        StillEntitled());
  }
}

void Leader::SendRents() {
  const double now = net::Now();
  if (!rents_.empty()) {
    rent_timer_.After(1 / settings_.cloud_rps, [self = shared_from_this()] {
      if (self->Entitled()) self->SendRents();
    });
  }
  for (auto& p : rents_) {
    if (p.in_flight || now < p.not_before || !cloud_.MayAsk()) continue;
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
          auto& rents = self->rents_;
          auto it = std::find_if(rents.begin(), rents.end(), [&](const auto& other) {
            return other.request.request == r.request;
          });
          if (it == rents.end()) return;
          const autoscaler::Wish offer{r.type, r.zone, r.spot, r.count};
          const double closed_until = at + self->settings_.lease_s;
          switch (outcome) {
            case CloudClient::Outcome::kDone:
              self->dispatcher_.Rented(ids, offer, at);
              spdlog::info("fleet: got {} for {}", ids.size(), r.request);
              rents.erase(it);
              if (static_cast<int>(ids.size()) < r.count) {
                self->dispatcher_.RentRefused(offer, closed_until);
                self->DropRents(offer);
              }
              break;
            case CloudClient::Outcome::kNoCapacity:
              spdlog::info("fleet: no capacity for {}", r.request);
              self->dispatcher_.RentRefused(offer, closed_until);
              rents.erase(it);
              self->DropRents(offer);
              break;
            case CloudClient::Outcome::kRefused:  // not executed: planned anew after a while
              self->dispatcher_.RentRefused(offer, at + 2.0);
              rents.erase(it);
              break;
            case CloudClient::Outcome::kUnsure:  // the same name gets the same machines
              it->in_flight = false;
              it->not_before = at + it->backoff.Next();
              break;
          }
        },
        StillEntitled());
  }
}

// A plan asks for fifties. Without this the rest of them kept asking for what is sold out, and took
// the cloud's calls from lists and returns: idle machines were paid for minutes.
void Leader::DropRents(const autoscaler::Wish& offer) {
  std::erase_if(rents_, [&](const PendingRent& p) {
    return !p.in_flight && p.not_before == 0 && p.request.type == offer.type &&
           p.request.zone == offer.zone && p.request.spot == offer.spot;
  });
}

void Leader::RefreshTypes() {
  cloud_.Types([self = shared_from_this()](bool ok, const std::vector<wire::MachineType>& types) {
    if (self->stopped_) return;
    double pause = kTypesEveryLeases * self->settings_.lease_s;
    if (ok) {
      self->dispatcher_.SetTypes(types);
      self->on_types(types);
    } else {
      pause = 2.0;
    }
    self->types_timer_.After(pause, [self] { self->RefreshTypes(); });
  });
}

void Leader::ListMachines() {
  list_timer_.After(derived_.list_s, [self = shared_from_this()] { self->ListMachines(); });
  if (!Entitled() || !cloud_.MayAsk()) return;
  listed_.clear();
  list_asked_ = net::Now();
  ListPage("");
}

void Leader::ListPage(const std::string& after) {
  cloud_.List(after, [self = shared_from_this(), asked = list_asked_](
                         bool ok, const wire::MachinePage& page) {
    if (self->stopped_ || !ok || asked != self->list_asked_) return;
    self->listed_.insert(self->listed_.end(), page.machines.begin(), page.machines.end());
    if (page.more && !page.machines.empty()) return self->ListPage(page.machines.back().id);
    self->dispatcher_.OnListed(self->listed_, asked, net::Now());
  });
}

}  // namespace mosspath::service
