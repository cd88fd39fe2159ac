// A model walked in every order: one machine that may hear nothing, one that is well, two leaders
// one after the other, one task. Reports are delivered again, answers and orders are lost or held
// back. The leaders are the real decisions. The task must never be on both machines.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/plain_agent.h"
#include "mosspath/scheduler/scheduler.h"
#include "simulation/cluster.h"

namespace mosspath::scheduler {
namespace {

const wire::TaskId kTask{"req-1", 0};

using fakes::PlainAgent;

enum class Event {
  kAnswered,     // the machine reports, and is answered
  kDeafReport,   // it reports; the answer is lost
  kOrder,        // what is meant for it goes straight there, and is answered
  kOrderUnsure,  // the same, the answer is lost
  kOrderHeld,    // it is held back
  kHeldArrives,  // and arrives, whoever leads by then
  kCopyFirst,    // its first report arrives again
  kCopyLast,     // its last one does
  kOther,        // the other machine reports, and is answered; what is meant for it goes there
  kTime,         // a third of a lease goes by
  kElect,        // another leads from here on
  kEvents
};

class Model {
 public:
  Model() : settings_(simulation::SmallSettings()), derived_(settings_) {
    Lead(10);
    Step(Event::kAnswered);
    Step(Event::kOther);
    for (int i = 0; i < 2; ++i) Durable();
    wire::JobSpec s;
    s.id = kTask.job;
    s.team = "free";
    s.tasks = 1;
    s.cpus = 1;
    s.image = "img";
    s.priority = wire::Priority::kHigh;
    s.estimated_run_s = 100;
    job_ = s;
    leader_->AddJob(job_, 5, now_);
    leader_->Place(now_);
  }

  // False: nothing like that can happen now.
  bool Step(Event e) {
    now_ += 0.6;
    for (PlainAgent* w : {&a_, &b_}) w->LeaseAt(now_, settings_.agent_lease_s);
    const bool happens = Happens(e);
    for (PlainAgent* w : {&a_, &b_}) w->LeaseAt(now_, settings_.agent_lease_s);
    leader_->Tick(now_);
    Durable();
    return happens;
  }
  bool Twice() const { return a_.Has(kTask) && b_.Has(kTask); }
  bool Began() const { return a_.Has(kTask) || b_.Has(kTask); }

  // All that may decide what comes next; times only as far as they matter.
  std::string State() const {
    std::string out =
        fmt::format("{} {} {}", elections_, held_.size(), first_ ? first_->sequence : 0);
    for (const PlainAgent* w : {&a_, &b_}) {
      out += fmt::format("|{} {} {} {:.0f}", w->session, w->seq, w->token, now_ - w->lease_from);
      for (const auto& [key, a] : w->attempts) {
        out += fmt::format(" {}:{}", key.second, static_cast<int>(a.state));
      }
    }
    for (const auto& [id, m] : leader_->machines()) {
      out += fmt::format("|{} {} {} {} {}{}{}{} {:.0f} {:.0f}", id, m.agent_epoch,
                         m.heartbeat_sequence, m.fencing_token, m.token_confirmed, m.lost,
                         m.awaits_recovery, m.ignored_answers, now_ - m.lease_renewed_at,
                         m.TokenUnconfirmedFor(now_));
      for (const auto& [key, slot] : m.allocations) {
        out += fmt::format(" {}:{}{}{}", key.second, static_cast<int>(slot.state),
                           slot.start_unconfirmed, slot.stop_requested);
      }
    }
    return out;
  }

 private:
  void Lead(uint64_t token) {
    leader_ = std::make_unique<Scheduler>(settings_, derived_, token, now_);
    leader_->SetMachineTypes({simulation::SmallType()});
  }
  void Durable() {
    for (;;) {
      const auto batch = leader_->TakeRecords(100, 48u << 10);
      if (batch.empty()) return;
      for (const auto& w : batch.machines) records_[w.pack] = w.value;
      leader_->OnRecordsWritten(++revision_, now_);
    }
  }
  void Answer(PlainAgent& w, bool arrives) {
    const wire::Heartbeat r = w.Report();
    if (&w == &a_) {
      if (!first_) first_ = r;
      last_ = r;
    }
    const HeartbeatAnswer answer = leader_->OnHeartbeat(r, now_);
    if (!arrives || !answer.accepted || answer.token < w.token) return;
    w.lease_from = now_;
    w.token = answer.token;
    w.Execute(answer.commands);
  }
  // A worker's answer to an order, if it takes it.
  static bool Take(PlainAgent& w, const CommandBatch& o) {
    if (o.fencing_token < w.token || o.agent_epoch != w.session) return false;
    w.token = o.fencing_token;
    w.Execute(o.commands);
    return true;
  }
  bool Orders(Event e) {
    bool any = false;
    for (const CommandBatch& o : leader_->TakeCommands(now_)) {
      PlainAgent& w = o.machine == a_.id ? a_ : b_;
      const bool meant = (&w == &a_) == (e != Event::kOther);
      any = any || meant;
      if (meant && e == Event::kOrderHeld) {
        held_.push_back(o);
        leader_->OnCommandOutcome(o, CommandOutcome::kUndetermined, nullptr, now_);
        continue;
      }
      const bool taken = Take(w, o);
      const wire::Heartbeat r = w.Report();
      const bool lost = meant && e == Event::kOrderUnsure;
      leader_->OnCommandOutcome(o,
                                lost    ? CommandOutcome::kUndetermined
                                : taken ? CommandOutcome::kExecuted
                                        : CommandOutcome::kRefused,
                                lost ? nullptr : &r, now_);
    }
    return any;
  }
  bool Happens(Event e) {
    switch (e) {
      case Event::kAnswered:
      case Event::kDeafReport:
        Answer(a_, e == Event::kAnswered);
        return true;
      case Event::kOrder:
      case Event::kOrderUnsure:
      case Event::kOrderHeld:
        return Orders(e);
      case Event::kHeldArrives:
        if (held_.empty()) return false;
        Take(a_, held_.front());
        held_.erase(held_.begin());
        return true;
      case Event::kCopyFirst:
      case Event::kCopyLast: {
        const auto& copy = e == Event::kCopyFirst ? first_ : last_;
        if (!copy || (e == Event::kCopyFirst && first_->sequence == last_->sequence)) return false;
        leader_->OnHeartbeat(*copy, now_);
        return true;
      }
      case Event::kOther:
        Answer(b_, true);
        Orders(e);
        return true;
      case Event::kTime:
        // The other machine reports all the while.
        for (int i = 0; i < 3; ++i) {
          now_ += settings_.agent_lease_s / 9;
          for (PlainAgent* w : {&a_, &b_}) w->LeaseAt(now_, settings_.agent_lease_s);
          leader_->Tick(now_);
          Durable();
          Answer(b_, true);
        }
        return true;
      case Event::kElect: {
        if (++elections_ > 1) return false;
        Lead(1000);
        revision_ = 1000;
        for (const auto& [pack, value] : records_) leader_->LoadMachinesPack(pack, value, 900);
        leader_->AddJob(job_, 5, now_);
        return true;
      }
      case Event::kEvents:
        return false;
    }
    return false;
  }

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  double now_ = 1;
  uint64_t revision_ = 20;
  int elections_ = 0;
  wire::JobSpec job_;
  PlainAgent a_{.id = "vm-1", .lease_from = 1, .attempts = {}};
  PlainAgent b_{.id = "vm-2", .lease_from = 1, .attempts = {}};
  std::unique_ptr<Scheduler> leader_;
  std::map<int, wire::Json> records_;
  std::vector<CommandBatch> held_;
  std::optional<wire::Heartbeat> first_;
  std::optional<wire::Heartbeat> last_;
};

TEST(ReportModel, TheTaskIsNeverOnBothMachinesWhateverIsLostOrComesAgain) {
  constexpr size_t kSteps = 8;
  constexpr size_t kMostStates = 40'000;
  spdlog::set_level(spdlog::level::off);
  std::set<std::string> seen;
  std::vector<std::vector<Event>> walks{{}};
  size_t began = 0;
  for (size_t at = 0; at < walks.size() && seen.size() < kMostStates; ++at) {
    const std::vector<Event> walk = walks[at];
    for (int e = 0; e < static_cast<int>(Event::kEvents); ++e) {
      Model model;
      for (const Event earlier : walk) model.Step(earlier);
      if (!model.Step(static_cast<Event>(e))) continue;
      if (!seen.insert(model.State()).second) continue;
      std::string how;
      for (const Event earlier : walk) how += fmt::format("{} ", static_cast<int>(earlier));
      ASSERT_FALSE(model.Twice()) << how << e;
      began += model.Began() ? 1 : 0;
      if (walk.size() + 1 >= kSteps) continue;
      walks.push_back(walk);
      walks.back().push_back(static_cast<Event>(e));
    }
  }
  spdlog::set_level(spdlog::level::info);
  RecordProperty("states", static_cast<int>(seen.size()));
  std::cout << "states " << seen.size() << ", walks " << walks.size() << '\n';
  EXPECT_GT(seen.size(), 5'000u);
  EXPECT_GT(began, seen.size() / 4);
}

}  // namespace
}  // namespace mosspath::scheduler
