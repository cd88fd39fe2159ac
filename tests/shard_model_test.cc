// Exhaustive exploration of the orders of events in a small model of shard leases and machine
// handovers.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "builders.h"
#include "mosspath/shard/routing_table.h"
#include "mosspath/shard/shard_holder.h"
#include "mosspath/shard/shard_lease_manager.h"
#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

// A leader, two shard holders, two machines and two tasks. The leader and the holders are the
// production classes; the records, the frames and the agents are minimal models. A walk is a list
// of choices, which is executed from the initial state. The test extends every walk that reached a
// new state by each choice, up to a maximum length.
class Model {
 public:
  static constexpr int kChoices = 11;

  Model()
      : derived_(Settings("hut-0")),
        leader_(Settings("hut-0"), derived_, kToken, 0),
        lease_manager_(Settings("hut-0"), derived_, leader_, kToken) {
    types_ = {test::BoxType(/*cpus=*/1, /*memory_gb=*/4)};
    leader_.SetMachineTypes(types_);
    leader_.Apply({});
    spec_ = test::MakeJobSpec("req-1", "tight", /*tasks=*/2);
    spec_.image = "i";
    spec_.estimated_run_s = 1000;
    leader_.AddJob(spec_, kToken + 1, 0);
    for (const char* id : {"vm-1", "vm-2"}) agents_[id].id = id;
    for (int i = 0; i < 2; ++i) SendHeartbeat("vm-1", true), SendHeartbeat("vm-2", true);
    Lease(1);
    Lease(2);
    // After these exchanges the holders are ready. No machine is recorded or handed over, and no
    // task is placed.
    Exchange(1, false);
    Exchange(2, false);
  }

  // Executes a choice. Returns false if the choice has no effect in this state.
  bool Step(int choice) {
    now_ += 0.3;
    if (choice < kChoices) choice_counts_[choice] = std::min(choice_counts_[choice] + 1, 2);
    switch (choice) {
      case 0:  // the leader's periodic work
        leader_.Tick(now_);
        lease_manager_.PendingChanges(now_);
        return true;
      case 1:  // the leader's records are written, and the write is acknowledged
        return Write(true);
      case 2:  // the leader's records are written, and the acknowledgement is delayed
        return Write(false);
      case 3:
        return AcknowledgeWrite();
      case 4:
      case 5:  // a holder reads the records and exchanges frames with the leader
        return Exchange(choice - 3, false);
      case 6:  // the leader receives the holder's frame, and the answer is lost
        return Exchange(1, true);
      case 7:
        return SendHeartbeat("vm-1", false);
      case 8:
        return SendHeartbeat("vm-2", false);
      case 9:  // a holder's lease ends, and the holder has not read the end yet
        if (leases_[1] == 0) return false;
        expired_holders_.push_back(std::move(holders_[1]));
        lease_manager_.OnLease("hut-1", leases_[1] = 0, now_);
        return true;
      case 10:  // holders whose leases have ended still act
        if (expired_holders_.empty()) return false;
        for (auto& holder : expired_holders_) {
          holder->Tick(now_);
          DeliverCommands(holder->dispatcher(), [&](auto& batch, auto outcome, auto* heartbeat) {
            holder->OnCommandOutcome(batch, outcome, heartbeat, now_);
          });
        }
        return true;
    }
    return false;
  }

  // Asserts the invariants of every state.
  void Check(const std::vector<int>& walk) {
    std::map<wire::TaskId, int> running;
    for (auto& [id, agent] : agents_) {
      for (const auto& [key, attempt] : agent.tasks) ++running[key];
    }
    const auto walk_text = [&] {
      std::string out;
      for (int c : walk) out += std::to_string(c) + " ";
      return out;
    };
    for (const auto& [task, n] : running) ASSERT_LE(n, 1) << "a task runs twice: " << walk_text();
    ASSERT_LE(running.size(), 2u) << walk_text();
    // At most one controller sends commands that the machine would execute.
    for (const auto& [id, agent] : agents_) {
      int commanders = 0;
      const auto count = [&](const scheduler::Scheduler& scheduler) {
        const auto machine = scheduler.machines().find(id);
        if (machine == scheduler.machines().end() || machine->second.needs_new_token) return;
        commanders +=
            machine->second.token_confirmed && machine->second.fencing_token == agent.token ? 1 : 0;
      };
      count(leader_);
      for (int i : {1, 2}) {
        if (holders_[i]) count(holders_[i]->dispatcher());
      }
      ASSERT_LE(commanders, 1) << id << ": " << walk_text();
    }
  }

  // Returns a text key of the state: the variables that determine the effect of further choices.
  std::string State() {
    std::string out;
    const auto put = [&](uint64_t value) { out += std::to_string(value) + ","; };
    const auto put_scheduler = [&](const scheduler::Scheduler& scheduler) {
      for (const auto& [id, machine] : scheduler.machines()) {
        out += id + ":";
        put(machine.shard_lease), put(machine.handover_lease), put(machine.token_confirmed),
            put(machine.needs_new_token), put(machine.awaits_recovery);
        put(machine.answers_suspended), put(machine.record_durable);
        for (const auto& [key, allocation] : machine.allocations) {
          put(key.first.index), put(static_cast<uint64_t>(allocation.state)),
              put(allocation.stop_requested);
        }
      }
      for (const auto& [id, job] : scheduler.jobs()) {
        for (const auto& task : job->tasks) put(static_cast<uint64_t>(task.phase));
      }
      out += "|";
    };
    put_scheduler(leader_);
    for (int i : {1, 2}) {
      put(leases_[i] != 0);
      if (holders_[i]) put_scheduler(holders_[i]->dispatcher());
    }
    for (const auto& holder : expired_holders_) put_scheduler(holder->dispatcher());
    for (const auto& [id, agent] : agents_) {
      for (const auto& [key, attempt] : agent.tasks) put(key.index);
      out += ";";
    }
    put(write_in_flight_), put(unacknowledged_revision_ != 0);
    // In place of the contents of the channels, the key has the number of frames that each
    // controller has sent.
    for (const int choice : {0, 4, 5, 6}) put(static_cast<uint64_t>(choice_counts_[choice]));
    return out;
  }

 private:
  struct Agent {
    std::string id;
    uint64_t token = 0;
    uint64_t sequence = 0;
    std::map<wire::TaskId, uint64_t> tasks;
  };
  static constexpr uint64_t kToken = 10;

  static config::Settings Settings(const std::string& node) {
    config::Settings settings;
    settings.name = node;
    settings.zone = "z" + node.substr(4);
    for (const char* peer : {"hut-0", "hut-1", "hut-2"}) {
      if (node != peer) settings.peers.push_back({peer, std::string("z") + (peer + 4), peer});
    }
    settings.controller_count = 3;
    settings.zones = {"z0", "z1", "z2"};
    settings.teams = {{"tight", 0, 2, 0, 0}};
    settings.heartbeat_s = 1;
    settings.agent_lease_s = 100;  // No agent lease expires in a walk.
    settings.cancel_within_s = 250;
    test::SetServiceLimits(settings);
    return settings;
  }

  void Lease(int i) {
    const std::string node = "hut-" + std::to_string(i);
    leases_[i] = ++revision_;
    lease_manager_.OnLease(node, leases_[i], now_);
    holders_[i] = std::make_unique<ShardHolder>(Settings(node), derived_, static_cast<size_t>(i),
                                                leases_[i], now_, [this](const std::string&) {
                                                  return ShardHolder::LiveJob{spec_, kToken + 1, 0};
                                                });
    holders_[i]->dispatcher().SetMachineTypes(types_);
    holders_[i]->OnLeader(kToken);
  }

  wire::Heartbeat HeartbeatOf(Agent& agent) {
    wire::Heartbeat heartbeat =
        test::MakeHeartbeat(agent.id, /*agent_epoch=*/1, ++agent.sequence, agent.token);
    heartbeat.address = agent.id + ":1";
    heartbeat.zone = agent.id == "vm-1" ? "z1" : "z2";
    for (const auto& [task, attempt] : agent.tasks) {
      heartbeat.tasks.push_back(test::Running(task, attempt));
    }
    return heartbeat;
  }

  static void Execute(Agent& agent, uint64_t token, const std::vector<wire::Command>& commands) {
    agent.token = token;
    for (const auto& command : commands) {
      if (command.type == wire::CommandType::kStart) {
        agent.tasks.emplace(command.task, command.attempt);
      }
      if (command.type == wire::CommandType::kStop) agent.tasks.erase(command.task);
    }
  }

  // Sends a heartbeat of the machine's agent to the controller that the records name.
  bool SendHeartbeat(const std::string& id, bool ignore_outcome) {
    Agent& agent = agents_[id];
    scheduler::HeartbeatAnswer answer;
    bool sent_to_holder = false;
    for (int i : {1, 2}) {
      if (!holders_[i] || !holders_[i]->dispatcher().Owns(id)) continue;
      answer = holders_[i]->OnHeartbeat(HeartbeatOf(agent), now_);
      sent_to_holder = true;
    }
    if (!sent_to_holder) answer = leader_.OnHeartbeat(HeartbeatOf(agent), now_);
    if (answer.accepted && answer.token >= agent.token)
      Execute(agent, answer.token, answer.commands);
    return ignore_outcome || answer.accepted;
  }

  template <typename F>
  void DeliverCommands(scheduler::Scheduler& scheduler, F done) {
    for (auto& batch : scheduler.TakeCommands(now_)) {
      Agent& agent = agents_[batch.machine];
      if (batch.fencing_token < agent.token || batch.agent_epoch != 1) {
        const wire::Heartbeat heartbeat = HeartbeatOf(agent);
        done(batch, scheduler::CommandOutcome::kRefused, &heartbeat);
        continue;
      }
      Execute(agent, batch.fencing_token, batch.commands);
      const wire::Heartbeat heartbeat = HeartbeatOf(agent);
      done(batch, scheduler::CommandOutcome::kExecuted, &heartbeat);
    }
  }

  bool Write(bool acknowledged) {
    if (write_in_flight_) return false;
    const auto records = leader_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
    if (records.empty()) {
      DeliverCommands(leader_, [&](auto& batch, auto outcome, auto* heartbeat) {
        leader_.OnCommandOutcome(batch, outcome, heartbeat, now_);
      });
      return false;
    }
    ++revision_;
    for (const auto& write : records.machines) {
      routes_.OnPack(write.pack, &write.value, revision_);
    }
    write_in_flight_ = true;
    unacknowledged_revision_ = revision_;
    return acknowledged ? AcknowledgeWrite() : true;
  }

  bool AcknowledgeWrite() {
    if (!write_in_flight_) return false;
    write_in_flight_ = false;
    leader_.OnRecordsWritten(std::exchange(unacknowledged_revision_, 0), now_);
    DeliverCommands(leader_, [&](auto& batch, auto outcome, auto* heartbeat) {
      leader_.OnCommandOutcome(batch, outcome, heartbeat, now_);
    });
    return true;
  }

  bool Exchange(int i, bool lose_answer) {
    if (!holders_[i]) return false;
    ShardHolder& holder = *holders_[i];
    for (const auto& [id, entry] : routes_.MachinesUnder(leases_[i])) {
      holder.OnMachineAssigned(id, entry.address, entry.version, entry.handover_revision, now_);
    }
    holder.Tick(now_);
    const auto deliver_commands = [&] {
      DeliverCommands(holder.dispatcher(), [&](auto& batch, auto outcome, auto* heartbeat) {
        holder.OnCommandOutcome(batch, outcome, heartbeat, now_);
      });
    };
    deliver_commands();
    holder.OnFrameLost();
    if (auto frame = holder.NextFrame(revision_, now_)) {
      frame->node = "hut-" + std::to_string(i);
      if (lease_manager_.OnFrame(*frame, now_) && !lose_answer) {
        if (auto answer = lease_manager_.MakeAnswer(frame->node)) holder.OnFrame(*answer, now_);
      }
    }
    holder.dispatcher().Place(now_);
    deliver_commands();
    return true;
  }

  const config::DerivedSettings derived_;
  double now_ = 1;
  uint64_t revision_ = kToken + 1;
  scheduler::Scheduler leader_;
  ShardLeaseManager lease_manager_;
  RoutingTable routes_;
  std::vector<wire::MachineType> types_;
  wire::JobSpec spec_;
  std::map<std::string, Agent> agents_;
  std::unique_ptr<ShardHolder> holders_[3];
  std::vector<std::unique_ptr<ShardHolder>> expired_holders_;
  uint64_t leases_[3] = {0, 0, 0};
  bool write_in_flight_ = false;
  uint64_t unacknowledged_revision_ = 0;
  int choice_counts_[kChoices] = {};
};

TEST(ShardModelTest, EveryOrderOfEvents) {
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
        if (changes && seen.insert(model.State()).second) next.push_back(std::move(longer));
      }
    }
    frontier = std::move(next);
  }
  RecordProperty("states", static_cast<int>(seen.size()));
  RecordProperty("walks", static_cast<int>(walks));
  // With fewer states, walks would end early and the invariants would hardly be tested.
  EXPECT_GT(seen.size(), 300u);
}

}  // namespace
}  // namespace mosspath::shard
