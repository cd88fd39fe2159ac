// Admission: the line that every controller draws, plans of parts, turns in what waits and in
// placing; and every order of events of a small model of plans.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>
#include <string>

#include "mosspath/admission/admission_controller.h"
#include "mosspath/admission/admission_plan.h"
#include "mosspath/admission/fair_queue.h"
#include "mosspath/scheduler/fair_share.h"

namespace mosspath::admission {
namespace {

wire::JobSpec Spec(int n, const std::string& team, const std::string& job_class, uint32_t tasks,
                   wire::Priority rank = wire::Priority::kNormal) {
  wire::JobSpec s;
  s.id = "req-" + std::to_string(n);
  s.team = team;
  s.job_class = job_class;
  s.tasks = tasks;
  s.priority = rank;
  s.cpus = 1;
  return s;
}

// The slow plain model of the gate: every sum is made anew from what there is.
struct PlainGate {
  struct Job {
    wire::JobSpec spec;
    bool seen = false;
  };
  double budget;
  std::map<std::string, Job> jobs;

  template <typename Pred>
  double Sum(Pred pred) const {
    double sum = 0;
    for (const auto& [id, j] : jobs) sum += pred(j) ? j.spec.tasks : 0;
    return sum;
  }
  bool Admits(const wire::JobSpec& s, double part) const {
    if (jobs.contains(s.id)) return true;
    const double seen = Sum([](const Job& j) { return j.seen; });
    const double out = Sum([](const Job& j) { return !j.seen; });
    const double team = Sum([&](const Job& j) { return j.spec.team == s.team; });
    const double cls =
        Sum([&](const Job& j) { return j.spec.team == s.team && j.spec.job_class == s.job_class; });
    const double free = std::max(0.0, budget - seen);
    const double each = budget / 4 / 2;  // two teams
    const double other = Sum([&](const Job& j) { return j.spec.team != s.team; });
    const bool assured = team + s.tasks <= each;
    if (out + s.tasks > (out > 0 ? part * free * (assured ? 1 : 0.5) : free)) return false;
    const double limit = std::max(each, free - out - std::max(0.0, each - other));
    if (team > 0 && !assured && team + s.tasks > limit) return false;
    return cls <= 0 || cls + s.tasks <= PriorityWeight(s.priority) * std::max(0.0, limit - team);
  }
};

RC_GTEST_PROP(Gate, DecidesAsThePlainModelAfterAnyHistory, ()) {
  AdmissionController gate(1000, {"a", "b"}, 1, 10);
  PlainGate plain{1000, {}};
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    const int n = *rc::gen::inRange(0, 40);
    const auto spec = Spec(n, n % 3 == 0 ? "a" : "b", n % 2 == 0 ? "x" : "y",
                           static_cast<uint32_t>(10 + n * 7), static_cast<wire::Priority>(n % 4));
    const auto known = plain.jobs.find(spec.id);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        const double part = *rc::gen::element(0.05, 0.2, 0.5);
        const bool admits = plain.Admits(spec, part);
        const AdmissionVerdict v = gate.Request(spec, part, i);
        RC_ASSERT(v.admit == admits);
        RC_ASSERT(admits || (v.retry_after_s >= 1 && v.retry_after_s <= 15));
        if (admits) plain.jobs.emplace(spec.id, PlainGate::Job{spec, false});
        break;
      }
      case 2:
        gate.OnAccepted(spec);
        plain.jobs[spec.id] = {spec, true};
        break;
      case 3:
        gate.OnEnded(spec.id, i);
        plain.jobs.erase(spec.id);
        break;
      default:
        gate.OnDropped(spec.id);
        if (known != plain.jobs.end() && !known->second.seen) plain.jobs.erase(known);
        break;
    }
    RC_ASSERT(gate.live() == plain.Sum([](const auto& j) { return j.seen; }));
    RC_ASSERT(gate.in_flight() == plain.Sum([](const auto& j) { return !j.seen; }));
  }
}

// Controllers that see each other's acceptances late, with the parts that they may have: what is
// accepted exceeds the budget by no more than its planned part of what the latest view lacks.
RC_GTEST_PROP(Gate, ViewsThatLagExceedTheBudgetByTheirPartAtMost, ()) {
  constexpr double kBudget = 1000;
  const size_t n = static_cast<size_t>(*rc::gen::inRange(1, 6));
  std::vector<AdmissionController> gates(n, AdmissionController(kBudget, {"a", "b"}, 1, 10));
  std::vector<std::deque<wire::JobSpec>> unseen(n);
  double live = 0;
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const auto c = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(n)));
    if (*rc::gen::inRange(0, 3) == 0) {  // its view catches up with some
      for (int k = *rc::gen::inRange(0, 10); k > 0 && !unseen[c].empty(); --k) {
        gates[c].OnAccepted(unseen[c].front());
        unseen[c].pop_front();
      }
      continue;
    }
    const auto spec =
        Spec(i, i % 2 == 0 ? "a" : "b", "x", static_cast<uint32_t>(*rc::gen::inRange(1, 80)));
    if (!gates[c].Request(spec, kPlannedFraction / static_cast<double>(n), i).admit) continue;
    gates[c].OnDurable(spec.id, static_cast<uint64_t>(i) + 1);
    live += spec.tasks;
    for (auto& u : unseen) u.push_back(spec);
  }
  RC_ASSERT(live <= kBudget * (1 + kPlannedFraction) + 80 * static_cast<double>(n));
}

TEST(Gate, AFloodLeavesRoomForWhoeverComesLater) {
  std::vector<std::string> teams = {"guest", "desk"};
  for (int t = 0; t < 20; ++t) teams.push_back("t" + std::to_string(t));
  AdmissionController gate(10'000, teams, 1, 10);
  int n = 0;
  const auto flood = [&](const std::string& team, const std::string& cls, wire::Priority rank) {
    double had = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto spec = Spec(++n, team, cls, 50, rank);
      if (!gate.Request(spec, 1, 0).admit) continue;
      gate.OnAccepted(spec);
      had += 50;
    }
    return had;
  };
  EXPECT_GT(flood("guest", "f", wire::Priority::kLow), 2'000);
  EXPECT_GT(flood("guest", "g", wire::Priority::kLow), 400);  // another class of the same team
  EXPECT_GT(flood("desk", "low", wire::Priority::kLow), 1'000);
  EXPECT_GT(flood("desk", "urgent", wire::Priority::kHigh), 500);  // urgent work still has room
  for (int t = 0; t < 20; ++t)
    EXPECT_GE(flood("t" + std::to_string(t), "c", wire::Priority::kLow), 50);
  EXPECT_LE(gate.live(), 10'000);
}

TEST(Gate, WeightsTellWhoMayHaveMore) {
  AdmissionController gate(1000, {"none", "b"}, 1, 10);
  gate.SetWeights({{"none", 0}, {"b", 3}});
  // One job at a time.
  EXPECT_TRUE(gate.Request(Spec(1, "none", "x", 10), 0.5, 0).admit);
  const AdmissionVerdict refused = gate.Request(Spec(2, "none", "x", 10), 0.5, 0);
  EXPECT_FALSE(refused.admit);
  EXPECT_NE(refused.reason.find("none"), std::string::npos);
  gate.OnAccepted(Spec(1, "none", "x", 10));
  for (int i = 10; i < 100; ++i) {
    const auto s = Spec(i, "b", "x", 10);
    if (gate.Request(s, 1, 0).admit) gate.OnAccepted(s);
  }
  EXPECT_GT(gate.TasksOf("b"), 450);  // three times what is left, of which its class has 2/3
}

// Retries must not come back all at once, and in time to be tried several times.
TEST(Gate, RetriesAreSpread) {
  AdmissionController gate(100, {"a"}, 1, 10);
  EXPECT_TRUE(gate.Request(Spec(0, "a", "x", 50), 0.5, 0).admit);
  std::set<int> seconds;
  for (int i = 1; i < 50; ++i) {
    const AdmissionVerdict v = gate.Request(Spec(i, "a", "x", 50), 0.5, 0);
    ASSERT_FALSE(v.admit);
    ASSERT_GE(v.retry_after_s, 1);
    ASSERT_LE(v.retry_after_s, 15);
    seconds.insert(static_cast<int>(v.retry_after_s));
  }
  EXPECT_GE(seconds.size(), 6u);
}

// Ended while its acceptance was on its way, and never shown by a view that was loaded anew: what
// it took must come free.
TEST(Gate, WhatEndedUnseenIsForgotten) {
  AdmissionController gate(100, {"a"}, 1, 10);
  ASSERT_TRUE(gate.Request(Spec(1, "a", "x", 50), 0.5, 0).admit);
  gate.OnDurable("req-1", 7);
  gate.Clear();
  gate.OnLoaded(6);
  EXPECT_EQ(gate.in_flight(), 50);
  gate.OnLoaded(7);
  EXPECT_EQ(gate.in_flight(), 0);
  EXPECT_EQ(gate.TasksOf("a"), 0);
}

// Every order of: either of two controllers asks whoever leads, answers that arrive late, twice or
// never, time that passes, a new leader while the old one goes on until its time. The parts in
// force never exceed what is planned.
class PlanModel {
 public:
  static constexpr int kChoices = 8;
  PlanModel() { Lead(); }

  bool Step(int choice) {
    switch (choice) {
      case 0:
      case 1:
        return AskPlan(choice, 0);
      case 2:
      case 3:
        return AskPlan(choice - 2, 100);
      case 4:
      case 5:
        return Deliver(static_cast<size_t>(choice - 4));
      case 6:
        now_ += kLife / 2;
        return true;
      default:
        if (leaders_ == 3) return false;
        Lead();
        return true;
    }
  }
  double Parts() const { return shares_[0].Current(now_) + shares_[1].Current(now_); }
  std::string Print() const {
    std::string out = std::to_string(now_) + "/" + std::to_string(leaders_);
    for (int i : {0, 1}) {
      out += "|" + std::to_string(shares_[i].Current(now_)) + "," +
             std::to_string(shares_[i].plan().token) + "," + std::to_string(until_[i]);
      for (const auto& [plan, asked] : out_[i]) {
        out += ";" + std::to_string(plan.token) + "." + std::to_string(plan.share) + "@" +
               std::to_string(asked);
      }
    }
    return out + "#" + std::to_string(planner_->PlanFor("none", 0, now_).version);
  }

 private:
  static constexpr double kLife = 4;

  void Lead() {
    planner_ = std::make_unique<AdmissionPlanner>(std::vector<std::string>{"0", "1"}, ++leaders_,
                                                  kLife, now_);
  }
  bool AskPlan(int i, double demand) {
    if (out_[i].size() == 2) out_[i].pop_front();
    out_[i].emplace_back(planner_->PlanFor(std::to_string(i), demand, now_), now_);
    return true;
  }
  // The older of what is on its way; it may come again.
  bool Deliver(size_t i) {
    if (out_[i].empty()) return false;
    const auto [plan, asked] = out_[i].front();
    if (delivered_++ % 2 == 0) out_[i].pop_front();
    shares_[i].OnPlan(plan, asked);
    until_[i] = asked;
    return true;
  }

  double now_ = 0;
  uint64_t leaders_ = 0;
  std::unique_ptr<AdmissionPlanner> planner_;
  AdmissionShare shares_[2] = {AdmissionShare(2), AdmissionShare(2)};
  std::deque<std::pair<AdmissionPlan, double>> out_[2];
  double until_[2] = {0, 0};
  int delivered_ = 0;
};

TEST(PlanModel, EveryOrderOfEvents) {
  constexpr size_t kLongest = 10;
  std::set<std::string> seen;
  std::vector<std::vector<int>> frontier{{}};
  double most = 0;
  for (size_t length = 0; length < kLongest; ++length) {
    std::vector<std::vector<int>> next;
    for (const auto& walk : frontier) {
      for (int choice = 0; choice < PlanModel::kChoices; ++choice) {
        PlanModel model;
        for (int c : walk) model.Step(c);
        if (!model.Step(choice)) continue;
        most = std::max(most, model.Parts());
        ASSERT_LE(model.Parts(), kPlannedFraction + 1e-9)
            << ::testing::PrintToString(walk) << choice;
        if (!seen.insert(model.Print()).second) continue;
        next.push_back(walk);
        next.back().push_back(choice);
      }
    }
    if (next.size() > 4000) next.resize(4000);  // the first of each length
    frontier = std::move(next);
  }
  RecordProperty("states", static_cast<int>(seen.size()));
  EXPECT_GT(seen.size(), 5000u);
  EXPECT_GT(most, 0.9 * kPlannedFraction);  // and they are used
}

TEST(Plan, PartsFollowWhoIsAsked) {
  AdmissionPlanner planner({"a", "b"}, 5, 4, 0);
  EXPECT_EQ(planner.PlanFor("a", 10, 3).life_s, 0);  // plans of an earlier leader may be in force
  double part_a = 0;
  for (double now = 5; now < 30; now += 1) {
    part_a = planner.PlanFor("a", 300, now).share;
    planner.PlanFor("b", 100, now);
  }
  EXPECT_NEAR(part_a, MinimumShare(2) + (kPlannedFraction - 2 * MinimumShare(2)) * 0.75, 1e-9);
  EXPECT_EQ(planner.PlanFor("stranger", 100, 31).life_s, 0);
}

TEST(Plan, AnOlderOneChangesNothing) {
  AdmissionShare share(2);
  share.OnPlan({7, 3, 4, 0.3}, 10);
  share.OnPlan({6, 9, 4, 0.4}, 11);  // of an earlier leadership
  share.OnPlan({7, 2, 4, 0.4}, 11);
  share.OnPlan({8, 1, 0, 0.4}, 11);  // of one that does not plan
  EXPECT_EQ(share.Current(13.9), 0.3);
  EXPECT_EQ(share.Current(14), MinimumShare(2));
}

RC_GTEST_PROP(FairQueue, NobodyWaitsBehindAnothersQueue, ()) {
  FairQueue<std::pair<std::string, int>> queue;
  const int flood = *rc::gen::inRange(1, 300);
  for (int i = 0; i < flood; ++i) queue.Push("flood", "f", 1, {"flood", i});
  const int served = *rc::gen::inRange(0, flood);
  for (int i = 0; i < served; ++i) RC_ASSERT(queue.Pop().second == i);  // each class in order
  const int others = *rc::gen::inRange(1, 8);
  for (int t = 0; t < others; ++t) {
    queue.Push("t" + std::to_string(t), "c", 1, {"t" + std::to_string(t), 0});
  }
  std::set<std::string> came;
  for (int i = 0; i <= others && !queue.empty(); ++i) came.insert(queue.Pop().first);
  for (int t = 0; t < others; ++t) RC_ASSERT(came.contains("t" + std::to_string(t)));
  size_t left = queue.size();
  while (!queue.empty()) {
    queue.Pop();
    --left;
  }
  RC_ASSERT(left == 0u);
}

TEST(FairQueue, ClassesOfATeamShareByWeightAndLateOnesAreTakenOut) {
  FairQueue<int> queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push("t", "low", 1, 0);
    queue.Push("t", "high", 4, 1);
  }
  int high = 0;
  for (int i = 0; i < 50; ++i) high += queue.Pop();
  EXPECT_NEAR(high, 40, 2);
  size_t taken = 0;
  queue.RemoveIf([](int rank) { return rank == 1; }, [&](int) { ++taken; });
  EXPECT_EQ(taken, static_cast<size_t>(100 - high));
  EXPECT_EQ(queue.SizeOf("t"), queue.size());
  EXPECT_EQ(queue.Pop(), 0);
}

}  // namespace
}  // namespace mosspath::admission

namespace mosspath::scheduler {
namespace {

jobs::Job Waiting(const std::string& team, const std::string& job_class, uint32_t tasks,
                  uint32_t placed) {
  wire::JobSpec s;
  s.id = "req-" + team + job_class;
  s.team = team;
  s.job_class = job_class;
  s.tasks = tasks;
  s.cpus = 1;
  jobs::Job job(s, 1, 0);
  for (uint32_t i = 0; i < placed; ++i) job.pending.erase(i);
  return job;
}

// However much of others waits, each team and class is owed what its floor exceeds its use by.
TEST(Turns, EachTeamAndClassIsOwedItsFloor) {
  FairShare turns({{"desk", 0, 0, 0, 0}, {"guest", 0, 0, 0, 0}, {"sure", 300, 0, 0, 0}});
  turns.Configure(0.15, {});
  const auto urgent = Waiting("desk", "urgent", 5000, 900);
  const auto low = Waiting("desk", "low", 5000, 10);
  const auto guest = Waiting("guest", "g", 5000, 20);
  const auto sure = Waiting("sure", "s", 5000, 70);
  turns.BeginPass(1000);
  for (const auto* j : {&urgent, &low, &guest, &sure}) turns.AddJob(*j, true);
  turns.ComputeFloors();
  EXPECT_EQ(turns.DeficitCpus(urgent), 0);
  EXPECT_NEAR(turns.DeficitCpus(low), 0.15 * 910 / 2 - 10, 1e-9);
  EXPECT_NEAR(turns.DeficitCpus(guest), 50 - 20, 1e-9);
  EXPECT_NEAR(turns.DeficitCpus(sure), 300 - 70, 1e-9);  // its guarantee
  for (int i = 0; i < 30; ++i) turns.OnAllocated(guest, 1);
  EXPECT_EQ(turns.DeficitCpus(guest), 0);
  EXPECT_FALSE(turns.MayPreempt(guest, 1));
  EXPECT_TRUE(turns.MayPreempt(urgent, 1));
  // Nothing is kept for who has nothing left, or no weight.
  turns.Configure(0.15, {{"guest", 0}});
  turns.BeginPass(1000);
  turns.AddJob(urgent, true);
  turns.AddJob(guest, true);
  turns.ComputeFloors();
  EXPECT_EQ(turns.DeficitCpus(guest), 0);
  turns.Configure(0, {});
  turns.BeginPass(1000);
  for (const auto* j : {&urgent, &low, &guest, &sure}) turns.AddJob(*j, true);
  turns.ComputeFloors();
  EXPECT_FALSE(turns.has_deficit());
}

TEST(Turns, AWaitingTaskCostsFewBytes) {
  const auto job = Waiting("t", "c", 100'000, 0);
  const double each =
      sizeof(jobs::Task) + static_cast<double>(job.pending.bytes()) / job.spec.tasks;
  EXPECT_LT(each, 8);
}

}  // namespace
}  // namespace mosspath::scheduler
