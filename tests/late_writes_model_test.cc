// A model walked in every order: a job of two tasks on two machines, leaders one after the other,
// and a state service that carries out changes when it likes, with an answer or without, after
// newer ones and for leaders of the past. The leaders are the real decisions.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/plain_agent.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/scheduler.h"
#include "simulation/cluster.h"

namespace mosspath::scheduler {
namespace {

using fakes::PlainAgent;

enum class Event {
  kWrite,      // the leader sends what it has to write
  kDone,       // the last change is carried out, and answered
  kGiveUp,     // the leader gives up on its answer
  kOldest,     // the oldest change under way is carried out, nobody hears
  kNewest,     // the newest is
  kRead,       // the leader reads which versions its packs have
  kFirst,      // the first machine reports, and is answered
  kOther,      // the other does
  kFirstEnds,  // the first task is done where it runs
  kOtherEnds,  // the second is
  kOver,       // the leader writes that the job is done, which is answered
  kCancel,     // the job is cancelled through another controller, and the leader reads it
  kElect,      // another leads, having read everything
  kDie,        // the first machine ends, and is known to be deleted
  kEvents
};

class Model {
 public:
  // `conditions` false: changes are carried out whatever there is.
  explicit Model(bool conditions) : conditions_(conditions) {
    job_.id = "req-1";
    job_.team = "free";
    job_.tasks = 2;
    job_.cpus = 5;  // one on each machine
    job_.image = "img";
    job_.priority = wire::Priority::kHigh;
    job_.estimated_run_s = 100;
    live_ = ++revision_;
    Lead();
    // A list of one machine is under way, unanswered, when the other comes.
    for (const Event e : {Event::kFirst, Event::kFirst, Event::kWrite, Event::kGiveUp,
                          Event::kOther, Event::kOther, Event::kWrite, Event::kDone, Event::kFirst,
                          Event::kOther, Event::kFirst, Event::kOther}) {
      Step(e);
    }
  }

  bool Step(Event e) {
    now_ += 0.6;
    for (PlainAgent* w : {&a_, &b_}) w->LeaseAt(now_, settings_.agent_lease_s);
    const bool happens = Happens(e);
    leader_->Tick(now_);
    return happens;
  }
  // What is wrong, if anything is.
  std::string Breach() const {
    for (uint32_t i = 0; i < 2; ++i) {
      if (alive_ && a_.Has({"req-1", i}) && b_.Has({"req-1", i})) return "ran twice";
    }
    if (over_ && ended_tasks_.size() < 2) return "done too early";
    if (over_ && cancelled_) return "done and cancelled";
    return lost_;
  }
  size_t late() const { return late_; }

  std::string State() const {
    std::string out = fmt::format("{} {} {} {} {} {} {}|", live_ != 0, over_, cancelled_, alive_,
                                  waiting_, under_way_.size(), revision_ - token_);
    for (const auto& [key, pair] : pairs_) out += fmt::format(" {}={}", key, pair.first.dump());
    for (const auto& t : under_way_) {
      out += "|";
      for (const auto& [key, value] : t.puts) {
        out += fmt::format(" {}{}{}", key, value.dump(),
                           pairs_.contains(key) && t.versions.at(key) == pairs_.at(key).second);
      }
    }
    for (const PlainAgent* w : {&a_, &b_}) {
      out += fmt::format("|{} {:.0f}", w->session, now_ - w->lease_from);
      for (const auto& [key, a] : w->attempts) {
        out += fmt::format(" {}:{}{}", key.first.index, static_cast<int>(a.state),
                           static_cast<int>(a.why));
      }
    }
    for (const auto& [id, m] : leader_->machines()) {
      out += fmt::format("|{} {}{}{}", id, m.token_confirmed, m.record_durable, m.awaits_recovery);
      for (const auto& [key, slot] : m.allocations) {
        out += fmt::format(" {}{}{}", key.first.index, static_cast<int>(slot.state),
                           slot.stop_requested);
      }
    }
    if (const auto* job = leader_->FindJob("req-1")) {
      for (const auto& t : job->tasks)
        out += fmt::format(" {}{}", static_cast<int>(t.phase), t.durable);
    }
    return out;
  }

 private:
  struct Change {
    uint64_t leader = 0;
    std::map<std::string, uint64_t> versions;
    std::map<std::string, wire::Json> puts;
  };

  void Lead() {
    token_ = ++revision_;
    waiting_ = false;
    leader_ = std::make_unique<Scheduler>(settings_, derived_, token_, now_);
    leader_->SetMachineTypes({simulation::SmallType()});
    for (const auto& [key, pair] : pairs_) {
      const int pack = std::stoi(key.substr(1));
      if (key[0] == 'm') {
        leader_->LoadMachinesPack(pack, pair.first, pair.second);
      } else {
        leader_->LoadProgressPack(pack, pair.first, pair.second);
      }
    }
    if (live_ != 0) leader_->AddJob(job_, live_, now_);
  }
  bool CarryOut(const Change& c) {
    if (conditions_) {
      if (c.leader != token_) return false;
      for (const auto& [key, version] : c.versions) {
        const auto it = pairs_.find(key);
        if ((it == pairs_.end() ? 0 : it->second.second) != version) return false;
      }
    }
    ++revision_;
    for (const auto& [key, value] : c.puts) pairs_[key] = {value, revision_};
    return true;
  }
  // Whether the state service has it that the task is done.
  bool Durable(uint32_t index) const {
    jobs::Job job(job_, 1, 0);
    for (const auto& [key, pair] : pairs_) {
      if (key[0] != 'p') continue;
      for (const auto& [name, bits] : pair.first.items()) {
        if (name == jobs::SegmentRecordName("req-1", 0)) jobs::ApplyDoneBitmap(bits, 0, &job);
      }
    }
    return job.tasks[index].phase == jobs::TaskPhase::kDone;
  }
  void Answer(PlainAgent& w) {
    const HeartbeatAnswer answer = leader_->OnHeartbeat(w.Report(), now_);
    if (!answer.accepted || answer.token < w.token) return;
    w.lease_from = now_;
    w.token = answer.token;
    w.Execute(answer.commands);
    for (const auto& c : answer.commands) {
      // Forgotten only where it is durable, or its job is over.
      const bool done =
          c.type == wire::CommandType::kForget && ended_.contains({c.task.index, c.attempt});
      if (done && live_ != 0 && !Durable(c.task.index)) lost_ = "a result is forgotten too early";
    }
    for (CommandBatch& o : leader_->TakeCommands(now_)) {
      PlainAgent& at = o.machine == a_.id ? a_ : b_;
      if (!alive_ && &at == &a_) {
        leader_->OnCommandOutcome(o, CommandOutcome::kRefused, nullptr, now_);
        continue;
      }
      const bool taken = o.fencing_token >= at.token && o.agent_epoch == at.session;
      if (taken) {
        at.token = o.fencing_token;
        at.Execute(o.commands);
      }
      const wire::Heartbeat r = at.Report();
      leader_->OnCommandOutcome(o, taken ? CommandOutcome::kExecuted : CommandOutcome::kRefused, &r,
                                now_);
    }
  }
  bool Ends(uint32_t index) {
    bool any = false;
    for (PlainAgent* w : {&a_, &b_}) {
      if (w == &a_ && !alive_) continue;
      for (const auto& [key, a] : w->attempts) {
        if (key.first.index == index && a.state != wire::TaskState::kExited) {
          ended_.insert({index, key.second});
          ended_tasks_.insert(index);
        }
      }
      any = w->Finish({"req-1", index}) || any;
    }
    return any;
  }

  bool Happens(Event e) {
    switch (e) {
      case Event::kWrite: {
        if (waiting_ || under_way_.size() >= 3) return false;
        const auto batch = leader_->TakeRecords(100, 48u << 10);
        if (batch.empty()) return false;
        Change c{token_, {}, {}};
        for (const auto& w : batch.machines) {
          c.versions["m" + std::to_string(w.pack)] = w.version;
          c.puts["m" + std::to_string(w.pack)] = w.value;
        }
        for (const auto& w : batch.progress) {
          c.versions["p" + std::to_string(w.pack)] = w.version;
          c.puts["p" + std::to_string(w.pack)] = w.value;
        }
        under_way_.push_back(std::move(c));
        waiting_ = true;
        return true;
      }
      case Event::kDone: {
        if (!waiting_) return false;
        waiting_ = false;
        const Change c = under_way_.back();
        under_way_.pop_back();
        if (CarryOut(c)) {
          leader_->OnRecordsWritten(revision_, now_);
        } else {
          leader_->OnRecordsFailed();
        }
        return true;
      }
      case Event::kGiveUp:
        if (!waiting_) return false;
        waiting_ = false;
        leader_->OnRecordsFailed();
        return true;
      case Event::kOldest:
      case Event::kNewest: {
        // What is waited for is carried out by kDone, or late once it was given up.
        const size_t n = under_way_.size() - (waiting_ ? 1 : 0);
        if (n == 0 || (e == Event::kNewest && n == 1)) return false;
        const auto it = e == Event::kOldest
                            ? under_way_.begin()
                            : under_way_.begin() + static_cast<std::ptrdiff_t>(n) - 1;
        late_ += CarryOut(*it) ? 1 : 0;
        under_way_.erase(it);
        return true;
      }
      case Event::kRead:
        for (const auto& [key, pair] : pairs_) {
          const int pack = std::stoi(key.substr(1));
          if (key[0] == 'm') {
            leader_->OnMachinesVersion(pack, pair.second);
          } else {
            leader_->OnProgressVersion(pack, pair.second);
          }
        }
        return true;
      case Event::kFirst:
        if (!alive_) return false;
        Answer(a_);
        return true;
      case Event::kOther:
        Answer(b_);
        return true;
      case Event::kFirstEnds:
        return Ends(0);
      case Event::kOtherEnds:
        return Ends(1);
      case Event::kOver: {
        const auto ids = leader_->TakeCompletedJobs();
        if (ids.empty()) return false;
        if (live_ == 0) {
          leader_->OnCompletionFailed(ids[0]);
          return true;
        }
        over_ = true;
        live_ = 0;
        ++revision_;
        leader_->RemoveJob(ids[0], now_);
        return true;
      }
      case Event::kCancel:
        if (live_ == 0) return false;
        live_ = 0;
        cancelled_ = true;
        ++revision_;
        leader_->RemoveJob("req-1", now_);
        return true;
      case Event::kElect:
        if (++elections_ > 2) return false;
        Lead();
        return true;
      case Event::kDie:
        if (!alive_) return false;
        alive_ = false;
        a_.attempts.clear();
        leader_->OnMachineDeleted(a_.id, now_);
        return true;
      case Event::kEvents:
        return false;
    }
    return false;
  }

  const bool conditions_;
  const config::Settings settings_ = simulation::SmallSettings();
  const config::DerivedSettings derived_{settings_};
  double now_ = 1;
  wire::JobSpec job_;
  // The state service.
  uint64_t revision_ = 0;
  uint64_t token_ = 0;  // the leader key's version
  uint64_t live_ = 0;   // the job's acceptance; 0: over
  bool over_ = false;
  bool cancelled_ = false;
  std::map<std::string, std::pair<wire::Json, uint64_t>> pairs_;  // packs and their versions
  std::vector<Change> under_way_;
  // The leader.
  std::unique_ptr<Scheduler> leader_;
  bool waiting_ = false;  // for the answer to the last change
  int elections_ = 0;
  // The machines.
  bool alive_ = true;  // the first
  PlainAgent a_{.id = "vm-1", .lease_from = 1, .attempts = {}};
  PlainAgent b_{.id = "vm-2", .lease_from = 1, .attempts = {}};
  std::set<std::pair<uint32_t, uint64_t>> ended_;  // task, attempt
  std::set<uint32_t> ended_tasks_;
  std::string lost_;
  size_t late_ = 0;
};

struct Walked {
  size_t states = 0;
  size_t late = 0;  // states after a change was carried out late
  std::string broken;
};

Walked Walk(bool conditions, size_t most_states, size_t steps) {
  Walked out;
  spdlog::set_level(spdlog::level::off);
  std::set<std::string> seen;
  std::vector<std::vector<Event>> walks{{}};
  for (size_t at = 0; at < walks.size() && seen.size() < most_states && out.broken.empty(); ++at) {
    const std::vector<Event> walk = walks[at];
    for (int e = 0; e < static_cast<int>(Event::kEvents); ++e) {
      Model model(conditions);
      for (const Event earlier : walk) model.Step(earlier);
      if (!model.Step(static_cast<Event>(e))) continue;
      if (!seen.insert(model.State()).second) continue;
      out.late += model.late() > 0 ? 1 : 0;
      if (const std::string breach = model.Breach(); !breach.empty()) {
        out.broken = breach + ":";
        for (const Event earlier : walk)
          out.broken += fmt::format(" {}", static_cast<int>(earlier));
        out.broken += fmt::format(" {}", e);
        break;
      }
      if (walk.size() + 1 >= steps) continue;
      walks.push_back(walk);
      walks.back().push_back(static_cast<Event>(e));
    }
  }
  spdlog::set_level(spdlog::level::info);
  out.states = seen.size();
  return out;
}

TEST(LateWritesModel, NothingRunsTwiceIsLostOrDoneTooEarly) {
  const Walked walked = Walk(true, 30'000, 8);
  EXPECT_EQ(walked.broken, "");
  std::cout << "states " << walked.states << ", after a late change " << walked.late << '\n';
  EXPECT_GT(walked.states, 5'000u);
  EXPECT_GT(walked.late, 100u);
}

// The model misses the conditions of changes when there are none.
TEST(LateWritesModel, WithoutConditionsItIsBroken) { EXPECT_NE(Walk(false, 30'000, 9).broken, ""); }

}  // namespace
}  // namespace mosspath::scheduler
