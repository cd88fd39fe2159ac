// Bounded model check: a breadth-first search over the orders of the events below. The model has
// one task, a partitioned machine, a healthy machine, and two leaders in succession. Heartbeats of
// the partitioned machine are duplicated, answers to it are lost, and commands to it are lost or
// delayed. The leaders are instances of the real Scheduler. The task must never run on both
// machines.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "builders.h"
#include "fakes/plain_agent.h"
#include "mosspath/scheduler/scheduler.h"
#include "simulation/cluster.h"

namespace mosspath::scheduler {
namespace {

const wire::TaskId kTask{"req-1", 0};

using fakes::PlainAgent;

enum class Event {
  // Events of the partitioned machine.
  kHeartbeat,                // the machine sends a heartbeat and receives the answer
  kHeartbeatAnswerLost,      // the machine sends a heartbeat; the answer is lost
  kCommands,                 // direct commands arrive; the leader receives their outcome
  kCommandOutcomeLost,       // direct commands arrive; their outcome is lost
  kCommandsDelayed,          // direct commands are delayed; their outcome is undetermined
  kDelayedCommandsArrive,    // the oldest delayed commands arrive, also under a later leader
  kDuplicateFirstHeartbeat,  // the leader receives the first heartbeat again
  kDuplicateLastHeartbeat,   // the leader receives the last heartbeat again
  // Other events.
  kHealthyHeartbeat,  // the healthy machine sends a heartbeat and receives its commands
  kTimePasses,        // a third of an agent lease passes
  kElect,             // the second leader is elected
  kEvents
};

class Model {
 public:
  Model() : settings_(simulation::SmallSettings()), derived_(settings_) {
    Elect(10);
    Step(Event::kHeartbeat);
    Step(Event::kHealthyHeartbeat);
    for (int i = 0; i < 2; ++i) MakeRecordsDurable();
    job_ = test::MakeJobSpec(kTask.job, "free", /*tasks=*/1);
    job_.image = "img";
    job_.priority = wire::Priority::kHigh;
    job_.estimated_run_s = 100;
    leader_->AddJob(job_, 5, now_);
    leader_->Place(now_);
  }

  // Applies the event. Returns false if the event cannot happen in this state.
  bool Step(Event event) {
    now_ += 0.6;
    for (PlainAgent* agent : {&partitioned_, &healthy_})
      agent->ExpireLeaseIfDue(now_, settings_.agent_lease_s);
    const bool applied = Apply(event);
    for (PlainAgent* agent : {&partitioned_, &healthy_})
      agent->ExpireLeaseIfDue(now_, settings_.agent_lease_s);
    leader_->Tick(now_);
    MakeRecordsDurable();
    return applied;
  }
  bool RunsTwice() const { return partitioned_.Has(kTask) && healthy_.Has(kTask); }
  bool HasStarted() const { return partitioned_.Has(kTask) || healthy_.Has(kTask); }

  // Returns a text that identifies the state: everything that affects later steps, with times
  // relative to now and rounded to seconds, so that equivalent states compare equal.
  std::string State() const {
    std::string out = fmt::format("{} {} {}", elections_, delayed_commands_.size(),
                                  first_heartbeat_ ? first_heartbeat_->sequence : 0);
    for (const PlainAgent* agent : {&partitioned_, &healthy_}) {
      out += fmt::format("|{} {} {} {:.0f}", agent->epoch, agent->sequence, agent->token,
                         now_ - agent->lease_renewed_at);
      for (const auto& [key, a] : agent->attempts) {
        out += fmt::format(" {}:{}", key.second, static_cast<int>(a.state));
      }
    }
    for (const auto& [id, machine] : leader_->machines()) {
      out += fmt::format("|{} {} {} {} {} {}{}{}{} {:.0f} {:.0f}", id, machine.agent_epoch,
                         machine.heartbeat_sequence, machine.fencing_token,
                         machine.min_heartbeat_token, machine.token_confirmed, machine.lost,
                         machine.awaits_recovery, machine.ignored_answers,
                         now_ - machine.lease_renewed_at, machine.TokenUnconfirmedFor(now_));
      for (const auto& [key, allocation] : machine.allocations) {
        out += fmt::format(" {}:{}{}{}", key.second, static_cast<int>(allocation.state),
                           allocation.start_unconfirmed, allocation.stop_requested);
      }
    }
    return out;
  }

 private:
  void Elect(uint64_t token) {
    leader_ = std::make_unique<Scheduler>(settings_, derived_, token, now_);
    leader_->SetMachineTypes({simulation::SmallType()});
  }
  void MakeRecordsDurable() {
    for (;;) {
      const auto batch = leader_->TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
      if (batch.empty()) return;
      for (const auto& write : batch.machines) records_[write.pack] = write.value;
      leader_->OnRecordsWritten(++revision_, now_);
    }
  }
  void SendHeartbeat(PlainAgent& agent, bool arrives) {
    const wire::Heartbeat heartbeat = agent.MakeHeartbeat();
    if (&agent == &partitioned_) {
      if (!first_heartbeat_) first_heartbeat_ = heartbeat;
      last_heartbeat_ = heartbeat;
    }
    const HeartbeatAnswer answer = leader_->OnHeartbeat(heartbeat, now_);
    if (!arrives || !answer.accepted || answer.token < agent.token) return;
    agent.lease_renewed_at = now_;
    agent.token = answer.token;
    agent.Execute(answer.commands);
  }
  // Executes the commands unless their fencing token is stale or their agent epoch differs. Returns
  // whether the agent accepted the commands.
  static bool ExecuteIfAccepted(PlainAgent& agent, const CommandBatch& batch) {
    if (batch.fencing_token < agent.token || batch.agent_epoch != agent.epoch) return false;
    agent.token = batch.fencing_token;
    agent.Execute(batch.commands);
    return true;
  }
  bool DeliverCommands(Event event) {
    bool any = false;
    for (const CommandBatch& batch : leader_->TakeCommands(now_)) {
      PlainAgent& agent = batch.machine == partitioned_.id ? partitioned_ : healthy_;
      const bool for_this_machine =
          (&agent == &partitioned_) == (event != Event::kHealthyHeartbeat);
      any = any || for_this_machine;
      if (for_this_machine && event == Event::kCommandsDelayed) {
        delayed_commands_.push_back(batch);
        leader_->OnCommandOutcome(batch, CommandOutcome::kUndetermined, nullptr, now_);
        continue;
      }
      const bool accepted = ExecuteIfAccepted(agent, batch);
      const wire::Heartbeat heartbeat = agent.MakeHeartbeat();
      const bool lost = for_this_machine && event == Event::kCommandOutcomeLost;
      leader_->OnCommandOutcome(batch,
                                lost       ? CommandOutcome::kUndetermined
                                : accepted ? CommandOutcome::kExecuted
                                           : CommandOutcome::kRefused,
                                lost ? nullptr : &heartbeat, now_);
    }
    return any;
  }
  bool Apply(Event event) {
    switch (event) {
      case Event::kHeartbeat:
      case Event::kHeartbeatAnswerLost:
        SendHeartbeat(partitioned_, event == Event::kHeartbeat);
        return true;
      case Event::kCommands:
      case Event::kCommandOutcomeLost:
      case Event::kCommandsDelayed:
        return DeliverCommands(event);
      case Event::kDelayedCommandsArrive:
        if (delayed_commands_.empty()) return false;
        ExecuteIfAccepted(partitioned_, delayed_commands_.front());
        delayed_commands_.erase(delayed_commands_.begin());
        return true;
      case Event::kDuplicateFirstHeartbeat:
      case Event::kDuplicateLastHeartbeat: {
        const auto& duplicate =
            event == Event::kDuplicateFirstHeartbeat ? first_heartbeat_ : last_heartbeat_;
        if (!duplicate || (event == Event::kDuplicateFirstHeartbeat &&
                           first_heartbeat_->sequence == last_heartbeat_->sequence))
          return false;
        leader_->OnHeartbeat(*duplicate, now_);
        return true;
      }
      case Event::kHealthyHeartbeat:
        SendHeartbeat(healthy_, true);
        DeliverCommands(event);
        return true;
      case Event::kTimePasses:
        // The healthy machine continues to send heartbeats.
        for (int i = 0; i < 3; ++i) {
          now_ += settings_.agent_lease_s / 9;
          for (PlainAgent* agent : {&partitioned_, &healthy_})
            agent->ExpireLeaseIfDue(now_, settings_.agent_lease_s);
          leader_->Tick(now_);
          MakeRecordsDurable();
          SendHeartbeat(healthy_, true);
        }
        return true;
      case Event::kElect: {
        if (++elections_ > 1) return false;
        Elect(1000);
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
  PlainAgent partitioned_{.id = "vm-1", .lease_renewed_at = 1, .attempts = {}};
  PlainAgent healthy_{.id = "vm-2", .lease_renewed_at = 1, .attempts = {}};
  std::unique_ptr<Scheduler> leader_;
  std::map<int, wire::Json> records_;
  std::vector<CommandBatch> delayed_commands_;
  std::optional<wire::Heartbeat> first_heartbeat_;
  std::optional<wire::Heartbeat> last_heartbeat_;
};

TEST(HeartbeatModelTest, TheTaskIsNeverOnBothMachinesUnderLossAndDuplication) {
  constexpr size_t kMaxEvents = 8;
  constexpr size_t kMaxStates = 40'000;
  spdlog::set_level(spdlog::level::off);
  std::set<std::string> seen;
  std::vector<std::vector<Event>> paths{{}};
  size_t started = 0;
  for (size_t at = 0; at < paths.size() && seen.size() < kMaxStates; ++at) {
    const std::vector<Event> path = paths[at];
    for (int event = 0; event < static_cast<int>(Event::kEvents); ++event) {
      Model model;
      for (const Event earlier : path) model.Step(earlier);
      if (!model.Step(static_cast<Event>(event))) continue;
      if (!seen.insert(model.State()).second) continue;
      std::string events;
      for (const Event earlier : path) events += fmt::format("{} ", static_cast<int>(earlier));
      ASSERT_FALSE(model.RunsTwice()) << events << event;
      started += model.HasStarted() ? 1 : 0;
      if (path.size() + 1 >= kMaxEvents) continue;
      paths.push_back(path);
      paths.back().push_back(static_cast<Event>(event));
    }
  }
  spdlog::set_level(spdlog::level::info);
  RecordProperty("states", static_cast<int>(seen.size()));
  std::cout << "states " << seen.size() << ", paths " << paths.size() << '\n';
  EXPECT_GT(seen.size(), 5'000u);
  EXPECT_GT(started, seen.size() / 4);
}

}  // namespace
}  // namespace mosspath::scheduler
