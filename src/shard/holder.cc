#include "mosspath/shard/holder.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::shard {
namespace {

using Kind = wire::BlockItem::Kind;

constexpr double kNewsPerReport = 8;  // times in a report interval that machines are told of
constexpr double kHeartbeats = 4;     // frames in a report interval, at least
constexpr double kPatience = 2;       // report intervals that tasks wait for room here
constexpr size_t kMostOutstanding = wire::kMaxBlockFrame / 4;  // bytes, before machines wait
constexpr double kIdleStep = 1;    // seconds; smaller changes of times are no news
constexpr double kWorkStep = 0.2;  // of the work that is left; smaller changes are no news

bool Same(const wire::BlockItem& a, const wire::BlockItem& b) {
  const auto& x = *a.machine;
  const auto& y = *b.machine;
  if (x.usable != y.usable || x.idle != y.idle || x.needed != y.needed || x.silent != y.silent ||
      x.cpus != y.cpus || x.gpus != y.gpus || x.memory_gb != y.memory_gb || x.type != y.type ||
      x.address != y.address) {
    return false;
  }
  // An idle machine's time runs on with the clock of whoever was told.
  return x.idle || std::abs(x.work_s - y.work_s) <= kWorkStep * y.work_s + kIdleStep;
}

// As an item tells it: a leader must not take it for a later time that it was handed over.
uint64_t Told(const Holder::GivenBack& back) { return back.handed << 1 | back.lost; }

}  // namespace

Holder::Holder(const config::Settings& settings, const config::Derived& derived, size_t own_block,
               uint64_t lease, double now, FindJob find_job)
    : settings_(settings),
      derived_(derived),
      lease_(lease),
      find_job_(std::move(find_job)),
      dispatcher_(settings, derived, lease, now) {
  dispatcher_.HoldBlock(own_block);
}

void Holder::Assigned(const std::string& machine, const std::string& address, uint64_t version,
                      uint64_t handed, double now) {
  // What was given back is somebody else's as soon as that is known there, whatever the record says
  // until the machine is handed over again.
  if (const auto back = given_back_.find(machine); back != given_back_.end()) {
    if (handed <= back->second.handed) return;
    given_back_.erase(back);
  }
  handed_[machine] = handed;
  dispatcher_.TakeMachine(machine, address, version, now);
}

void Holder::LeaderIs(uint64_t token) {
  if (token == leader_) return;
  leader_ = token;
  channel_ = Channel();
  told_all_ = synced_ = false;
  told_.clear();
  applied_ = 0;
  heard_leader_ = -1e18;
  next_frame_ = next_news_ = -1e18;
}

void Holder::Know(const std::string& job) {
  if (dispatcher_.FindJob(job) != nullptr) return;
  if (auto known = find_job_(job)) {
    dispatcher_.KnowJob(std::move(known->spec), known->version, known->submitted);
  }
}

// What runs here and is not known is taken for a job's that is over.
void Holder::Know(const wire::Report& r) {
  for (const auto& t : r.tasks) Know(t.task.job);
}

scheduler::ReportAnswer Holder::OnReport(const wire::Report& r, double now) {
  if (!dispatcher_.Commands(r.machine)) return {};
  Know(r);
  return dispatcher_.OnReport(r, now);
}

void Holder::OnDirect(const scheduler::DirectOrder& order, scheduler::DirectOutcome outcome,
                      const wire::Report* report, double now) {
  if (report != nullptr) Know(*report);
  dispatcher_.OnDirect(order, outcome, report, now);
}

bool Holder::OnFrame(const wire::BlockFrame& frame, double now) {
  if (!frame.from_leader || frame.lease != lease_ || frame.leader != leader_) return false;
  heard_leader_ = now;
  for (auto& item : channel_.Take(frame)) {
    if (item.kind == Kind::kGive) {
      Know(item.name);
      applied_ = std::max(applied_, item.count);
    } else if (item.kind == Kind::kHanded) {
      Know(item.job);
      // Known and given back before the leader had heard that the record was written: sought for
      // ever, it kept the next leader from settling. But one that was handed over again since has
      // these tasks: taken for the first time's, they ran twice.
      const auto back = given_back_.find(item.name);
      item.count = back != given_back_.end() && item.count <= back->second.handed ? 1 : 0;
    }
    dispatcher_.FromLeader(item, now);
  }
  return true;
}

// What was given back must be known here before the record is looked at again: taken once more
// under the token that it had, a machine was never heard, counted as lost, and its tasks ran twice.
void Holder::Absorb() {
  for (auto& item : dispatcher_.ForLeader()) {
    if (item.kind == Kind::kGivenBack) {
      const GivenBack back{item.count, handed_[item.name]};
      item.count = Told(back);
      given_back_[item.name] = back;
      handed_.erase(item.name);
      told_.erase(item.name);
    }
    // Whatever was to be told to an earlier leader is part of what is held now.
    if (told_all_) channel_.Send(item);
  }
}

void Holder::Collect(uint64_t revision, double now) {
  Absorb();
  if (!told_all_) {
    for (const auto& item : dispatcher_.AllHeld()) channel_.Send(item);
    for (const auto& [id, back] : given_back_) {
      channel_.Send({.kind = Kind::kGivenBack, .name = id, .count = Told(back)});
    }
    told_all_ = true;
  }
  if (!synced_ && dispatcher_.AllKnown()) {
    synced_ = true;
    channel_.Send({.kind = Kind::kSynced, .count = revision});
  }
  if (now < next_news_ || channel_.bytes() > kMostOutstanding) return;
  next_news_ = now + settings_.report_s / kNewsPerReport;
  channel_.Send(dispatcher_.Load(applied_));
  for (const auto& [id, m] : dispatcher_.machines()) {
    if (m.address.empty()) continue;
    wire::BlockItem news = dispatcher_.News(m, now);
    auto it = told_.find(id);
    if (it != told_.end() && Same(it->second, news)) continue;
    channel_.Send(news);
    told_[id] = std::move(news);
  }
  std::erase_if(told_, [&](const auto& t) { return !dispatcher_.machines().contains(t.first); });
}

std::optional<wire::BlockFrame> Holder::NextFrame(uint64_t revision, double now) {
  // A leader that the mirror has not caught up with would be told too little.
  if (leader_ == 0 || revision < leader_) return std::nullopt;
  Collect(revision, now);
  if (!channel_.fresh() && now < next_frame_) return std::nullopt;
  next_frame_ = now + settings_.report_s / kHeartbeats;
  return Answer();
}

wire::BlockFrame Holder::Answer() {
  wire::BlockFrame frame;
  frame.leader = leader_;
  frame.lease = lease_;
  frame.room = wire::kMaxBlockFrame;
  channel_.Fill(frame);
  channel_.Sent(frame);
  return frame;
}

void Holder::Tick(double now) {
  dispatcher_.Tick(now);
  const bool hears = now - heard_leader_ < settings_.report_s / 2 + derived_.place_gap_s;
  dispatcher_.GiveBack(kPatience * settings_.report_s, hears, now);
  Absorb();
}

}  // namespace mosspath::shard
