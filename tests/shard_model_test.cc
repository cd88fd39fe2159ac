// Every order of events of a small model of leasing shards and moving machines.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/shard/routing_table.h"
#include "mosspath/shard/shard_holder.h"
#include "mosspath/shard/shard_lease_manager.h"
#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

// A leader, two holders, two machines, two tasks. The leader and the holders are the real decision
// classes; the record, the frames and the workers are as small as can be. A walk is a list of
// choices; every list up to a length is walked, each from the beginning.
class Model {
 public:
  static constexpr int kChoices = 11;

  Model()
      : derived_(Settings("hut-0")),
        leader_(Settings("hut-0"), derived_, kToken, 0),
        desk_(Settings("hut-0"), derived_, leader_, kToken) {
    wire::MachineType box;
    box.name = "box";
    box.cpus = 1;
    box.memory_gb = 4;
    box.cache_gb = 10;
    box.fetch_gb_per_s = 1;
    types_ = {box};
    leader_.SetMachineTypes(types_);
    leader_.Apply({});
    spec_.id = "req-1";
    spec_.team = "tight";
    spec_.tasks = 2;
    spec_.cpus = 1;
    spec_.image = "i";
    spec_.estimated_run_s = 1000;
    leader_.AddJob(spec_, kToken + 1, 0);
    for (const char* id : {"vm-1", "vm-2"}) workers_[id].id = id;
    for (int i = 0; i < 2; ++i) Report("vm-1", true), Report("vm-2", true);
    Lease(1);
    Lease(2);
    // From here on holders are ready; nothing is recorded, handed over or placed yet.
    Exchange(1, false);
    Exchange(2, false);
  }

  // False: the choice changes nothing here.
  bool Step(int choice) {
    now_ += 0.3;
    if (choice < kChoices) done_[choice] = std::min(done_[choice] + 1, 2);
    switch (choice) {
      case 0:  // the leader decides
        leader_.Tick(now_);
        desk_.PendingChanges(now_);
        return true;
      case 1:  // its records are written, and it hears of it
        return Write(true);
      case 2:  // they are written, and it has not heard yet
        return Write(false);
      case 3:
        return HearOfWrite();
      case 4:
      case 5:  // a holder sees the record and speaks with the leader
        return Exchange(choice - 3, false);
      case 6:  // its frame is taken and the answer is lost
        return Exchange(1, true);
      case 7:
        return Report("vm-1", false);
      case 8:
        return Report("vm-2", false);
      case 9:  // a holder's lease ends; it has not noticed
        if (leases_[1] == 0) return false;
        gone_.push_back(std::move(holders_[1]));
        desk_.OnLease("hut-1", leases_[1] = 0, now_);
        return true;
      case 10:  // and what it does yet
        if (gone_.empty()) return false;
        for (auto& h : gone_) {
          h->Tick(now_);
          Orders(h->dispatcher(),
                 [&](auto& o, auto outcome, auto* r) { h->OnCommandOutcome(o, outcome, r, now_); });
        }
        return true;
    }
    return false;
  }

  // What must hold at every moment.
  void Check(const std::vector<int>& walk) {
    std::map<wire::TaskId, int> on;
    for (auto& [id, w] : workers_) {
      for (const auto& [key, attempt] : w.tasks) ++on[key];
    }
    const auto told = [&] {
      std::string out;
      for (int c : walk) out += std::to_string(c) + " ";
      return out;
    };
    for (const auto& [task, n] : on) ASSERT_LE(n, 1) << "a task runs twice: " << told();
    ASSERT_LE(on.size(), 2u) << told();
    // A machine has one commander at most whose orders it would take.
    for (const auto& [id, w] : workers_) {
      int valid = 0;
      const auto count = [&](const scheduler::Scheduler& d) {
        const auto m = d.machines().find(id);
        if (m == d.machines().end() || m->second.needs_new_token) return;
        valid += m->second.token_confirmed && m->second.fencing_token == w.token ? 1 : 0;
      };
      count(leader_);
      for (int i : {1, 2}) {
        if (holders_[i]) count(holders_[i]->dispatcher());
      }
      ASSERT_LE(valid, 1) << id << ": " << told();
    }
  }

  // All that decides what comes next, as far as walks can tell it apart.
  std::string Print() {
    std::string out;
    const auto put = [&](uint64_t v) { out += std::to_string(v) + ","; };
    const auto of = [&](const scheduler::Scheduler& d) {
      for (const auto& [id, m] : d.machines()) {
        out += id + ":";
        put(m.shard_lease), put(m.handover_lease), put(m.token_confirmed), put(m.needs_new_token),
            put(m.awaits_recovery);
        put(m.answers_suspended), put(m.record_durable);
        for (const auto& [key, slot] : m.allocations) {
          put(key.first.index), put(static_cast<uint64_t>(slot.state)), put(slot.stop_requested);
        }
      }
      for (const auto& [id, j] : d.jobs()) {
        for (const auto& t : j->tasks) put(static_cast<uint64_t>(t.phase));
      }
      out += "|";
    };
    of(leader_);
    for (int i : {1, 2}) {
      put(leases_[i] != 0);
      if (holders_[i]) of(holders_[i]->dispatcher());
    }
    for (const auto& h : gone_) of(h->dispatcher());
    for (const auto& [id, w] : workers_) {
      for (const auto& [key, attempt] : w.tasks) put(key.index);
      out += ";";
    }
    put(writing_), put(unheard_ != 0);
    // What the channels carry shows in how often each spoke.
    for (const int choice : {0, 4, 5, 6}) put(static_cast<uint64_t>(done_[choice]));
    return out;
  }

 private:
  struct Worker {
    std::string id;
    uint64_t token = 0;
    uint64_t seq = 0;
    std::map<wire::TaskId, uint64_t> tasks;
  };
  static constexpr uint64_t kToken = 10;

  static config::Settings Settings(const std::string& node) {
    config::Settings s;
    s.name = node;
    s.zone = "z" + node.substr(4);
    for (const char* peer : {"hut-0", "hut-1", "hut-2"}) {
      if (node != peer) s.peers.push_back({peer, std::string("z") + (peer + 4), peer});
    }
    s.controller_count = 3;
    s.zones = {"z0", "z1", "z2"};
    s.teams = {{"tight", 0, 2, 0, 0}};
    s.heartbeat_s = 1;
    s.agent_lease_s = 100;  // nothing runs out during a walk
    s.cancel_within_s = 250;
    s.store_requests_per_s = 100;
    s.store_writes_per_s = 25;
    s.store_value_kb = 8;
    s.store_transaction_changes = 8;
    s.cloud_requests_per_s = 5;
    s.machine_list_lag_s = 3;
    return s;
  }

  void Lease(int i) {
    const std::string node = "hut-" + std::to_string(i);
    leases_[i] = ++revision_;
    desk_.OnLease(node, leases_[i], now_);
    holders_[i] = std::make_unique<ShardHolder>(Settings(node), derived_, static_cast<size_t>(i),
                                                leases_[i], now_, [this](const std::string&) {
                                                  return ShardHolder::LiveJob{spec_, kToken + 1, 0};
                                                });
    holders_[i]->dispatcher().SetMachineTypes(types_);
    holders_[i]->OnLeader(kToken);
  }

  wire::Heartbeat ReportOf(Worker& w) {
    wire::Heartbeat r;
    r.machine = w.id;
    r.address = w.id + ":1";
    r.type = "box";
    r.zone = w.id == "vm-1" ? "z1" : "z2";
    r.agent_epoch = 1;
    r.sequence = ++w.seq;
    r.fencing_token = w.token;
    for (const auto& [task, attempt] : w.tasks) {
      r.tasks.push_back({task, attempt, wire::TaskState::kRunning, wire::ExitReason::kNone, false});
    }
    return r;
  }

  static void Execute(Worker& w, uint64_t token, const std::vector<wire::Command>& commands) {
    w.token = token;
    for (const auto& c : commands) {
      if (c.type == wire::CommandType::kStart) w.tasks.emplace(c.task, c.attempt);
      if (c.type == wire::CommandType::kStop) w.tasks.erase(c.task);
    }
  }

  // The worker reports to whoever commands it, as the record says.
  bool Report(const std::string& id, bool quietly) {
    Worker& w = workers_[id];
    scheduler::HeartbeatAnswer a;
    bool held = false;
    for (int i : {1, 2}) {
      if (!holders_[i] || !holders_[i]->dispatcher().Owns(id)) continue;
      a = holders_[i]->OnHeartbeat(ReportOf(w), now_);
      held = true;
    }
    if (!held) a = leader_.OnHeartbeat(ReportOf(w), now_);
    if (a.accepted && a.token >= w.token) Execute(w, a.token, a.commands);
    return quietly || a.accepted;
  }

  template <typename F>
  void Orders(scheduler::Scheduler& d, F done) {
    for (auto& o : d.TakeCommands(now_)) {
      Worker& w = workers_[o.machine];
      if (o.fencing_token < w.token || o.agent_epoch != 1) {
        const wire::Heartbeat r = ReportOf(w);
        done(o, scheduler::CommandOutcome::kRefused, &r);
        continue;
      }
      Execute(w, o.fencing_token, o.commands);
      const wire::Heartbeat r = ReportOf(w);
      done(o, scheduler::CommandOutcome::kExecuted, &r);
    }
  }

  bool Write(bool heard) {
    if (writing_) return false;
    const auto batch = leader_.TakeRecords(100, 48u << 10);
    if (batch.empty()) {
      Orders(leader_, [&](auto& o, auto outcome, auto* r) {
        leader_.OnCommandOutcome(o, outcome, r, now_);
      });
      return false;
    }
    ++revision_;
    for (const auto& p : batch.machines) routes_.OnPack(p.pack, &p.value, revision_);
    writing_ = true;
    unheard_ = revision_;
    return heard ? HearOfWrite() : true;
  }

  bool HearOfWrite() {
    if (!writing_) return false;
    writing_ = false;
    leader_.OnRecordsWritten(std::exchange(unheard_, 0), now_);
    Orders(leader_,
           [&](auto& o, auto outcome, auto* r) { leader_.OnCommandOutcome(o, outcome, r, now_); });
    return true;
  }

  bool Exchange(int i, bool lose_answer) {
    if (!holders_[i]) return false;
    ShardHolder& h = *holders_[i];
    for (const auto& [id, e] : routes_.MachinesUnder(leases_[i])) {
      h.OnMachineAssigned(id, e.address, e.version, e.handover_revision, now_);
    }
    h.Tick(now_);
    const auto orders = [&] {
      Orders(h.dispatcher(),
             [&](auto& o, auto outcome, auto* r) { h.OnCommandOutcome(o, outcome, r, now_); });
    };
    orders();
    h.OnFrameLost();
    if (auto frame = h.NextFrame(revision_, now_)) {
      frame->node = "hut-" + std::to_string(i);
      if (desk_.OnFrame(*frame, now_) && !lose_answer) {
        if (auto answer = desk_.MakeAnswer(frame->node)) h.OnFrame(*answer, now_);
      }
    }
    h.dispatcher().Place(now_);
    orders();
    return true;
  }

  const config::DerivedSettings derived_;
  double now_ = 1;
  uint64_t revision_ = kToken + 1;
  scheduler::Scheduler leader_;
  ShardLeaseManager desk_;
  RoutingTable routes_;
  std::vector<wire::MachineType> types_;
  wire::JobSpec spec_;
  std::map<std::string, Worker> workers_;
  std::unique_ptr<ShardHolder> holders_[3];
  std::vector<std::unique_ptr<ShardHolder>> gone_;
  uint64_t leases_[3] = {0, 0, 0};
  bool writing_ = false;
  uint64_t unheard_ = 0;
  int done_[kChoices] = {};
};

TEST(BlockModel, EveryOrderOfEvents) {
  constexpr size_t kLongest = 9;
  std::set<std::string> seen;
  std::vector<std::vector<int>> frontier{{}};
  size_t walks = 0;
  for (size_t length = 0; length < kLongest; ++length) {
    std::vector<std::vector<int>> next;
    for (const auto& walk : frontier) {
      for (int choice = 0; choice < Model::kChoices; ++choice) {
        Model model;
        for (int c : walk) model.Step(c);
        const bool changes = model.Step(choice);
        ++walks;
        std::vector<int> longer = walk;
        longer.push_back(choice);
        model.Check(longer);
        if (HasFatalFailure()) return;
        if (changes && seen.insert(model.Print()).second) next.push_back(std::move(longer));
      }
    }
    frontier = std::move(next);
  }
  RecordProperty("states", static_cast<int>(seen.size()));
  RecordProperty("walks", static_cast<int>(walks));
  // Fewer would mean that walks end early and nothing is tested.
  EXPECT_GT(seen.size(), 300u);
}

}  // namespace
}  // namespace mosspath::shard
