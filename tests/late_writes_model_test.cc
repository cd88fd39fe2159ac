// Bounded model check: a breadth-first search over the orders of the events below. The model has a
// job of two tasks, two machines, and successive leaders. The key-value store may commit a
// transaction late: without an answer, after a newer transaction, or after the leader that sent it
// was replaced. The leaders are instances of the real Scheduler. A task must neither run twice nor
// lose its result, and the job must not be done before both tasks have ended.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "builders.h"
#include "fakes/plain_agent.h"
#include "mosspath/jobs/job.h"
#include "mosspath/scheduler/scheduler.h"
#include "simulation/cluster.h"

namespace mosspath::scheduler {
namespace {

using fakes::PlainAgent;

// When the key-value store processes a transaction, it commits the transaction if all its
// conditions hold, and rejects it otherwise.
enum class Event {
  kSendTransaction,      // the leader sends its pending records in one transaction
  kTransactionAnswered,  // the last transaction is processed, and the leader receives the answer
  kTransactionTimesOut,  // the leader stops waiting for the answer to the last transaction
  kCommitOldest,         // the oldest transaction that the leader does not await is processed
  kCommitNewest,         // the newest transaction that the leader does not await is processed
  kReadVersions,         // the leader reads the versions of its packs
  kFirstHeartbeat,       // the first machine sends a heartbeat and receives the answer
  kSecondHeartbeat,      // the second machine sends a heartbeat and receives the answer
  kFirstTaskEnds,        // the first task exits successfully on each machine that runs it
  kSecondTaskEnds,       // the second task exits successfully on each machine that runs it
  kCompleteJob,          // the leader records the done job and receives the answer
  kCancel,               // another controller cancels the job; the leader reads the change
  kElect,                // another leader is elected and has read all records
  kFirstMachineDies,     // the first machine is deleted, and the leader is notified
  kEvents
};

class Model {
 public:
  // Without `conditions`, the key-value store ignores the conditions of transactions.
  explicit Model(bool conditions) : conditions_(conditions) {
    job_ = test::MakeJobSpec("req-1", "free", /*tasks=*/2, /*cpus=*/5);  // one task per machine
    job_.image = "img";
    job_.priority = wire::Priority::kHigh;
    job_.estimated_run_s = 100;
    live_ = ++revision_;
    StartLeader();
    // When the second machine registers, a transaction with the first machine's record is still in
    // flight and has timed out.
    for (const Event event :
         {Event::kFirstHeartbeat, Event::kFirstHeartbeat, Event::kSendTransaction,
          Event::kTransactionTimesOut, Event::kSecondHeartbeat, Event::kSecondHeartbeat,
          Event::kSendTransaction, Event::kTransactionAnswered, Event::kFirstHeartbeat,
          Event::kSecondHeartbeat, Event::kFirstHeartbeat, Event::kSecondHeartbeat}) {
      Step(event);
    }
  }

  // Applies the event. Returns false if the event cannot happen in this state.
  bool Step(Event event) {
    now_ += 0.6;
    for (PlainAgent* agent : {&first_, &second_})
      agent->ExpireLeaseIfDue(now_, settings_.agent_lease_s);
    const bool applied = Apply(event);
    leader_->Tick(now_);
    return applied;
  }
  // Returns the invariant that is violated; empty if none is.
  std::string Violation() const {
    for (uint32_t i = 0; i < 2; ++i) {
      if (first_alive_ && first_.Has({"req-1", i}) && second_.Has({"req-1", i})) return "ran twice";
    }
    if (completed_ && ended_tasks_.size() < 2) return "done before both tasks ended";
    if (completed_ && cancelled_) return "done and cancelled";
    return lost_result_;
  }
  // Returns how many transactions were committed without an answer to the leader.
  size_t late() const { return late_commits_; }

  // Returns a text that identifies the state: everything that affects later steps.
  std::string State() const {
    std::string out =
        fmt::format("{} {} {} {} {} {} {}|", live_ != 0, completed_, cancelled_, first_alive_,
                    awaiting_answer_, in_flight_.size(), revision_ - token_);
    for (const auto& [key, pair] : pairs_) out += fmt::format(" {}={}", key, pair.first.dump());
    for (const auto& transaction : in_flight_) {
      out += "|";
      for (const auto& [key, value] : transaction.puts) {
        out += fmt::format(
            " {}{}{}", key, value.dump(),
            pairs_.contains(key) && transaction.versions.at(key) == pairs_.at(key).second);
      }
    }
    for (const PlainAgent* agent : {&first_, &second_}) {
      out += fmt::format("|{} {:.0f}", agent->epoch, now_ - agent->lease_renewed_at);
      for (const auto& [key, a] : agent->attempts) {
        out += fmt::format(" {}:{}{}", key.first.index, static_cast<int>(a.state),
                           static_cast<int>(a.exit_reason));
      }
    }
    for (const auto& [id, machine] : leader_->machines()) {
      out += fmt::format("|{} {}{}{}", id, machine.token_confirmed, machine.record_durable,
                         machine.awaits_recovery);
      for (const auto& [key, allocation] : machine.allocations) {
        out += fmt::format(" {}{}{}", key.first.index, static_cast<int>(allocation.state),
                           allocation.stop_requested);
      }
    }
    if (const auto* job = leader_->FindJob("req-1")) {
      for (const auto& task : job->tasks)
        out += fmt::format(" {}{}", static_cast<int>(task.phase), task.durable);
    }
    return out;
  }

 private:
  struct Transaction {
    uint64_t leader = 0;
    std::map<std::string, uint64_t> versions;
    std::map<std::string, wire::Json> puts;
  };

  void StartLeader() {
    token_ = ++revision_;
    awaiting_answer_ = false;
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
  bool Commit(const Transaction& transaction) {
    if (conditions_) {
      if (transaction.leader != token_) return false;
      for (const auto& [key, version] : transaction.versions) {
        const auto it = pairs_.find(key);
        if ((it == pairs_.end() ? 0 : it->second.second) != version) return false;
      }
    }
    ++revision_;
    for (const auto& [key, value] : transaction.puts) pairs_[key] = {value, revision_};
    return true;
  }
  // Returns whether the records in the key-value store mark the task as done.
  bool IsDurable(uint32_t index) const {
    jobs::Job job(job_, 1, 0);
    for (const auto& [key, pair] : pairs_) {
      if (key[0] != 'p') continue;
      for (const auto& [name, bits] : pair.first.items()) {
        if (name == jobs::SegmentRecordName("req-1", 0)) jobs::ApplyDoneBitmap(bits, 0, &job);
      }
    }
    return job.tasks[index].phase == jobs::TaskPhase::kDone;
  }
  void SendHeartbeat(PlainAgent& agent) {
    const HeartbeatAnswer answer = leader_->OnHeartbeat(agent.MakeHeartbeat(), now_);
    if (!answer.accepted || answer.token < agent.token) return;
    agent.lease_renewed_at = now_;
    agent.token = answer.token;
    agent.Execute(answer.commands);
    for (const auto& command : answer.commands) {
      // An agent may forget a result only if the result is durable or the job has ended.
      const bool done = command.type == wire::CommandType::kForget &&
                        ended_.contains({command.task.index, command.attempt});
      if (done && live_ != 0 && !IsDurable(command.task.index))
        lost_result_ = "a result is forgotten before it is durable";
    }
    for (CommandBatch& batch : leader_->TakeCommands(now_)) {
      PlainAgent& target = batch.machine == first_.id ? first_ : second_;
      if (!first_alive_ && &target == &first_) {
        leader_->OnCommandOutcome(batch, CommandOutcome::kRefused, nullptr, now_);
        continue;
      }
      const bool accepted =
          batch.fencing_token >= target.token && batch.agent_epoch == target.epoch;
      if (accepted) {
        target.token = batch.fencing_token;
        target.Execute(batch.commands);
      }
      const wire::Heartbeat heartbeat = target.MakeHeartbeat();
      leader_->OnCommandOutcome(
          batch, accepted ? CommandOutcome::kExecuted : CommandOutcome::kRefused, &heartbeat, now_);
    }
  }
  bool FinishTask(uint32_t index) {
    bool any = false;
    for (PlainAgent* agent : {&first_, &second_}) {
      if (agent == &first_ && !first_alive_) continue;
      for (const auto& [key, a] : agent->attempts) {
        if (key.first.index == index && a.state != wire::TaskState::kExited) {
          ended_.insert({index, key.second});
          ended_tasks_.insert(index);
        }
      }
      any = agent->Finish({"req-1", index}) || any;
    }
    return any;
  }

  bool Apply(Event event) {
    switch (event) {
      case Event::kSendTransaction: {
        if (awaiting_answer_ || in_flight_.size() >= 3) return false;
        const auto batch = leader_->TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
        if (batch.empty()) return false;
        Transaction transaction{token_, {}, {}};
        for (const auto& write : batch.machines) {
          transaction.versions["m" + std::to_string(write.pack)] = write.version;
          transaction.puts["m" + std::to_string(write.pack)] = write.value;
        }
        for (const auto& write : batch.progress) {
          transaction.versions["p" + std::to_string(write.pack)] = write.version;
          transaction.puts["p" + std::to_string(write.pack)] = write.value;
        }
        in_flight_.push_back(std::move(transaction));
        awaiting_answer_ = true;
        return true;
      }
      case Event::kTransactionAnswered: {
        if (!awaiting_answer_) return false;
        awaiting_answer_ = false;
        const Transaction transaction = in_flight_.back();
        in_flight_.pop_back();
        if (Commit(transaction)) {
          leader_->OnRecordsWritten(revision_, now_);
        } else {
          leader_->OnRecordsFailed();
        }
        return true;
      }
      case Event::kTransactionTimesOut:
        if (!awaiting_answer_) return false;
        awaiting_answer_ = false;
        leader_->OnRecordsFailed();
        return true;
      case Event::kCommitOldest:
      case Event::kCommitNewest: {
        // Excludes the transaction whose answer the leader awaits. kTransactionAnswered processes
        // that transaction. After a timeout or an election, the leader awaits no answer.
        const size_t n = in_flight_.size() - (awaiting_answer_ ? 1 : 0);
        if (n == 0 || (event == Event::kCommitNewest && n == 1)) return false;
        const auto it = event == Event::kCommitOldest
                            ? in_flight_.begin()
                            : in_flight_.begin() + static_cast<std::ptrdiff_t>(n) - 1;
        late_commits_ += Commit(*it) ? 1 : 0;
        in_flight_.erase(it);
        return true;
      }
      case Event::kReadVersions:
        for (const auto& [key, pair] : pairs_) {
          const int pack = std::stoi(key.substr(1));
          if (key[0] == 'm') {
            leader_->OnMachinesVersion(pack, pair.second);
          } else {
            leader_->OnProgressVersion(pack, pair.second);
          }
        }
        return true;
      case Event::kFirstHeartbeat:
        if (!first_alive_) return false;
        SendHeartbeat(first_);
        return true;
      case Event::kSecondHeartbeat:
        SendHeartbeat(second_);
        return true;
      case Event::kFirstTaskEnds:
        return FinishTask(0);
      case Event::kSecondTaskEnds:
        return FinishTask(1);
      case Event::kCompleteJob: {
        const auto ids = leader_->TakeCompletedJobs();
        if (ids.empty()) return false;
        if (live_ == 0) {
          leader_->OnCompletionFailed(ids[0]);
          return true;
        }
        completed_ = true;
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
        StartLeader();
        return true;
      case Event::kFirstMachineDies:
        if (!first_alive_) return false;
        first_alive_ = false;
        first_.attempts.clear();
        leader_->OnMachineDeleted(first_.id, now_);
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
  // The key-value store.
  uint64_t revision_ = 0;
  uint64_t token_ = 0;  // the version of the leader key
  uint64_t live_ = 0;   // the version of the job's record; 0: the job has ended
  bool completed_ = false;
  bool cancelled_ = false;
  std::map<std::string, std::pair<wire::Json, uint64_t>> pairs_;  // packs and their versions
  std::vector<Transaction> in_flight_;
  // The leader.
  std::unique_ptr<Scheduler> leader_;
  bool awaiting_answer_ = false;  // whether the last transaction is unanswered
  int elections_ = 0;
  // The machines.
  bool first_alive_ = true;  // whether the first machine exists
  PlainAgent first_{.id = "vm-1", .lease_renewed_at = 1, .attempts = {}};
  PlainAgent second_{.id = "vm-2", .lease_renewed_at = 1, .attempts = {}};
  std::set<std::pair<uint32_t, uint64_t>> ended_;  // by task index and attempt
  std::set<uint32_t> ended_tasks_;
  std::string lost_result_;
  size_t late_commits_ = 0;
};

struct SearchResult {
  size_t states = 0;
  size_t late = 0;  // number of states whose history has a late commit
  std::string violation;
};

SearchResult Search(bool conditions, size_t max_states, size_t max_events) {
  SearchResult out;
  spdlog::set_level(spdlog::level::off);
  std::set<std::string> seen;
  std::vector<std::vector<Event>> paths{{}};
  for (size_t next = 0; next < paths.size() && seen.size() < max_states && out.violation.empty();
       ++next) {
    const std::vector<Event> path = paths[next];
    for (int event = 0; event < static_cast<int>(Event::kEvents); ++event) {
      Model model(conditions);
      for (const Event earlier : path) model.Step(earlier);
      if (!model.Step(static_cast<Event>(event))) continue;
      if (!seen.insert(model.State()).second) continue;
      out.late += model.late() > 0 ? 1 : 0;
      if (const std::string violated = model.Violation(); !violated.empty()) {
        out.violation = violated + ":";
        for (const Event earlier : path)
          out.violation += fmt::format(" {}", static_cast<int>(earlier));
        out.violation += fmt::format(" {}", event);
        break;
      }
      if (path.size() + 1 >= max_events) continue;
      paths.push_back(path);
      paths.back().push_back(static_cast<Event>(event));
    }
  }
  spdlog::set_level(spdlog::level::info);
  out.states = seen.size();
  return out;
}

TEST(LateWritesModelTest, NoTaskRunsTwiceIsLostOrDoneTooEarly) {
  const SearchResult result = Search(true, 30'000, 8);
  EXPECT_EQ(result.violation, "");
  std::cout << "states " << result.states << ", after a late commit " << result.late << '\n';
  EXPECT_GT(result.states, 5'000u);
  EXPECT_GT(result.late, 100u);
}

// Verifies that the model detects a violation when transactions are committed unconditionally.
TEST(LateWritesModelTest, TheModelFailsWithoutTransactionConditions) {
  EXPECT_NE(Search(false, 30'000, 9).violation, "");
}

}  // namespace
}  // namespace mosspath::scheduler
