// Tests of the admission controller: its decisions equal those of a slow reference model, and a
// flood of jobs from one team leaves budget to the other teams.
#include "mosspath/admission/admission_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "builders.h"
#include "mosspath/admission/admission_plan.h"

namespace mosspath::admission {
namespace {

wire::JobSpec Spec(int number, const std::string& team, const std::string& job_class,
                   uint32_t tasks, wire::Priority priority = wire::Priority::kNormal) {
  wire::JobSpec spec = test::MakeJobSpec("req-" + std::to_string(number), team, tasks);
  spec.job_class = job_class;
  spec.priority = priority;
  return spec;
}

// A reference model that computes every sum from all jobs.
struct ReferenceController {
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
  bool Admits(const wire::JobSpec& spec, double share) const {
    if (jobs.contains(spec.id)) return true;
    const double seen = Sum([](const Job& j) { return j.seen; });
    const double in_flight = Sum([](const Job& j) { return !j.seen; });
    const double team = Sum([&](const Job& j) { return j.spec.team == spec.team; });
    const double job_class_sum = Sum([&](const Job& j) {
      return j.spec.team == spec.team && j.spec.job_class == spec.job_class;
    });
    const double free = std::max(0.0, budget - seen);
    const double assured_each = budget / 4 / 2;  // A quarter is assured to two teams.
    const double other_team = Sum([&](const Job& j) { return j.spec.team != spec.team; });
    const bool assured = team + spec.tasks <= assured_each;
    if (in_flight + spec.tasks > (in_flight > 0 ? share * free * (assured ? 1 : 0.5) : free))
      return false;
    const double limit =
        std::max(assured_each, free - in_flight - std::max(0.0, assured_each - other_team));
    if (team > 0 && !assured && team + spec.tasks > limit) return false;
    return job_class_sum <= 0 || job_class_sum + spec.tasks <=
                                     PriorityWeight(spec.priority) * std::max(0.0, limit - team);
  }
};

RC_GTEST_PROP(AdmissionControllerTest, DecidesAsTheReferenceModelAfterAnyHistory, ()) {
  AdmissionController controller(1000, {"a", "b"}, 1, 10);
  ReferenceController reference{1000, {}};
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    const int n = *rc::gen::inRange(0, 40);
    const auto spec = Spec(n, n % 3 == 0 ? "a" : "b", n % 2 == 0 ? "x" : "y",
                           static_cast<uint32_t>(10 + n * 7), static_cast<wire::Priority>(n % 4));
    const auto known = reference.jobs.find(spec.id);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        const double share = *rc::gen::element(0.05, 0.2, 0.5);
        const bool admits = reference.Admits(spec, share);
        const AdmissionVerdict verdict = controller.Request(spec, share, i);
        RC_ASSERT(verdict.admit == admits);
        RC_ASSERT(admits || (verdict.retry_after_s >= 1 && verdict.retry_after_s <= 15));
        if (admits) reference.jobs.emplace(spec.id, ReferenceController::Job{spec, false});
        break;
      }
      case 2:
        controller.OnAccepted(spec);
        reference.jobs[spec.id] = {spec, true};
        break;
      case 3:
        controller.OnEnded(spec.id, i);
        reference.jobs.erase(spec.id);
        break;
      default:
        controller.OnDropped(spec.id);
        if (known != reference.jobs.end() && !known->second.seen) reference.jobs.erase(known);
        break;
    }
    RC_ASSERT(controller.live() == reference.Sum([](const auto& j) { return j.seen; }));
    RC_ASSERT(controller.in_flight() == reference.Sum([](const auto& j) { return !j.seen; }));
  }
}

// Each controller reads from the key-value store, only after a delay, the jobs that the other
// controllers accepted. The admission shares of all controllers sum to kPlannedFraction. The
// accepted tasks therefore exceed the budget by at most that fraction of the budget, plus one job
// per controller.
RC_GTEST_PROP(AdmissionControllerTest, LaggingViewsExceedTheBudgetByTheirShareAtMost, ()) {
  constexpr double kBudget = 1000;
  const size_t count = static_cast<size_t>(*rc::gen::inRange(1, 6));
  std::vector<AdmissionController> controllers(count,
                                               AdmissionController(kBudget, {"a", "b"}, 1, 10));
  std::vector<std::deque<wire::JobSpec>> unseen(count);
  double live = 0;
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const auto which = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(count)));
    if (*rc::gen::inRange(0, 3) == 0) {
      // The controller reads some of the accepted jobs from the key-value store.
      for (int k = *rc::gen::inRange(0, 10); k > 0 && !unseen[which].empty(); --k) {
        controllers[which].OnAccepted(unseen[which].front());
        unseen[which].pop_front();
      }
      continue;
    }
    const auto spec =
        Spec(i, i % 2 == 0 ? "a" : "b", "x", static_cast<uint32_t>(*rc::gen::inRange(1, 80)));
    if (!controllers[which].Request(spec, kPlannedFraction / static_cast<double>(count), i).admit)
      continue;
    controllers[which].OnDurable(spec.id, static_cast<uint64_t>(i) + 1);
    live += spec.tasks;
    for (auto& queue : unseen) queue.push_back(spec);
  }
  RC_ASSERT(live <= kBudget * (1 + kPlannedFraction) + 80 * static_cast<double>(count));
}

TEST(AdmissionControllerTest, AFloodLeavesBudgetToLaterTeams) {
  std::vector<std::string> teams = {"guest", "desk"};
  for (int t = 0; t < 20; ++t) teams.push_back("t" + std::to_string(t));
  AdmissionController controller(10'000, teams, 1, 10);
  int n = 0;
  const auto flood = [&](const std::string& team, const std::string& job_class,
                         wire::Priority priority) {
    double admitted = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto spec = Spec(++n, team, job_class, 50, priority);
      if (!controller.Request(spec, 1, 0).admit) continue;
      controller.OnAccepted(spec);
      admitted += 50;
    }
    return admitted;
  };
  EXPECT_GT(flood("guest", "f", wire::Priority::kLow), 2'000);
  EXPECT_GT(flood("guest", "g", wire::Priority::kLow), 400);  // another class of the same team
  EXPECT_GT(flood("desk", "low", wire::Priority::kLow), 1'000);
  // Urgent jobs of the flooding team are still admitted.
  EXPECT_GT(flood("desk", "urgent", wire::Priority::kHigh), 500);
  for (int t = 0; t < 20; ++t)
    EXPECT_GE(flood("t" + std::to_string(t), "c", wire::Priority::kLow), 50);
  EXPECT_LE(controller.live(), 10'000);
}

TEST(AdmissionControllerTest, WeightsScaleTheLimits) {
  AdmissionController controller(1000, {"none", "b"}, 1, 10);
  controller.SetWeights({{"none", 0}, {"b", 3}});
  // A team of weight 0 may have one job at a time.
  EXPECT_TRUE(controller.Request(Spec(1, "none", "x", 10), 0.5, 0).admit);
  const AdmissionVerdict refused = controller.Request(Spec(2, "none", "x", 10), 0.5, 0);
  EXPECT_FALSE(refused.admit);
  EXPECT_NE(refused.reason.find("none"), std::string::npos);
  controller.OnAccepted(Spec(1, "none", "x", 10));
  for (int i = 10; i < 100; ++i) {
    const auto spec = Spec(i, "b", "x", 10);
    if (controller.Request(spec, 1, 0).admit) controller.OnAccepted(spec);
  }
  // Team "b" has weight 3. Its class gets 2/3 of the team's limit.
  EXPECT_GT(controller.TasksOf("b"), 450);
}

// The retry delays of refused jobs must differ, so that their retries do not arrive all at once.
// Each delay must be at most 15 s, so that a client can make several attempts.
TEST(AdmissionControllerTest, RetriesAreSpread) {
  AdmissionController controller(100, {"a"}, 1, 10);
  EXPECT_TRUE(controller.Request(Spec(0, "a", "x", 50), 0.5, 0).admit);
  std::set<int> seconds;
  for (int i = 1; i < 50; ++i) {
    const AdmissionVerdict verdict = controller.Request(Spec(i, "a", "x", 50), 0.5, 0);
    ASSERT_FALSE(verdict.admit);
    ASSERT_GE(verdict.retry_after_s, 1);
    ASSERT_LE(verdict.retry_after_s, 15);
    seconds.insert(static_cast<int>(verdict.retry_after_s));
  }
  EXPECT_GE(seconds.size(), 6u);
}

// A job may end before the controller has read the job's acceptance from the key-value store. If
// the controller then reloads all records, it never reads that acceptance. OnLoaded must release
// the budget of the job, which would otherwise stay in use forever.
TEST(AdmissionControllerTest, AJobThatEndedUnseenIsReleased) {
  AdmissionController controller(100, {"a"}, 1, 10);
  ASSERT_TRUE(controller.Request(Spec(1, "a", "x", 50), 0.5, 0).admit);
  controller.OnDurable("req-1", 7);
  controller.Clear();
  controller.OnLoaded(6);
  EXPECT_EQ(controller.in_flight(), 50);
  controller.OnLoaded(7);
  EXPECT_EQ(controller.in_flight(), 0);
  EXPECT_EQ(controller.TasksOf("a"), 0);
}

// Guards against budget that is in use for ever: the answer of the write arrives after a reload
// that was complete up to the write, and the job had ended before that.
TEST(AdmissionControllerTest, AJobThatEndedUnseenBeforeItsWriteIsAnsweredIsReleased) {
  AdmissionController controller(1000, {"a"}, 1, 10);
  ASSERT_TRUE(controller.Request(Spec(1, "a", "x", 30), 0.5, 0).admit);
  ASSERT_TRUE(controller.Request(Spec(2, "a", "x", 20), 0.5, 0).admit);
  controller.Clear();
  controller.OnLoaded(7);
  controller.OnDurable("req-1", 7);
  EXPECT_EQ(controller.in_flight(), 20);
  controller.OnDurable("req-2", 8);
  EXPECT_EQ(controller.in_flight(), 20);
}

}  // namespace
}  // namespace mosspath::admission
