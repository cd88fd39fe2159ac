// The admission controller against a slow plain model, and under floods of one team.
#include "mosspath/admission/admission_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mosspath/admission/admission_plan.h"

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

}  // namespace
}  // namespace mosspath::admission
