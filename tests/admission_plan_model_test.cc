// Enumerates the orders of events of a small model of admission plans, up to a bounded length.
#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/admission/admission_plan.h"

namespace mosspath::admission {
namespace {

// A model of a leader that plans admission shares and of two controllers that request them. The
// events are:
//   - a controller requests a plan, with or without demand;
//   - a response arrives at a controller late, twice or never;
//   - time passes;
//   - a new leader starts while plans of the old leader are valid.
// In every order of events, the shares in force on the two controllers must sum to at most
// kPlannedFraction.
class Model {
 public:
  static constexpr int kChoices = 8;
  Model() { StartLeader(); }

  bool Step(int choice) {
    switch (choice) {
      case 0:
      case 1:
        return RequestPlan(choice, 0);
      case 2:
      case 3:
        return RequestPlan(choice - 2, 100);
      case 4:
      case 5:
        return Deliver(static_cast<size_t>(choice - 4));
      case 6:
        now_ += kLife / 2;
        return true;
      default:
        if (leaders_ == 3) return false;
        StartLeader();
        return true;
    }
  }
  double SharesInForce() const { return shares_[0].Current(now_) + shares_[1].Current(now_); }
  std::string State() const {
    std::string out = std::to_string(now_) + "/" + std::to_string(leaders_);
    for (int i : {0, 1}) {
      out += "|" + std::to_string(shares_[i].Current(now_)) + "," +
             std::to_string(shares_[i].plan().token) + "," + std::to_string(requested_at_[i]);
      for (const auto& [plan, requested_at] : in_flight_[i]) {
        out += ";" + std::to_string(plan.token) + "." + std::to_string(plan.share) + "@" +
               std::to_string(requested_at);
      }
    }
    return out + "#" + std::to_string(planner_->PlanFor("none", 0, now_).version);
  }

 private:
  static constexpr double kLife = 4;

  void StartLeader() {
    planner_ = std::make_unique<AdmissionPlanner>(std::vector<std::string>{"0", "1"}, ++leaders_,
                                                  kLife, now_);
  }
  bool RequestPlan(int i, double demand) {
    if (in_flight_[i].size() == 2) in_flight_[i].pop_front();
    in_flight_[i].emplace_back(planner_->PlanFor(std::to_string(i), demand, now_), now_);
    return true;
  }
  // Delivers the oldest response in flight to controller `i`. Every second delivery leaves the
  // response in flight, so that it is delivered again.
  bool Deliver(size_t i) {
    if (in_flight_[i].empty()) return false;
    const auto [plan, requested_at] = in_flight_[i].front();
    if (delivered_++ % 2 == 0) in_flight_[i].pop_front();
    shares_[i].OnPlan(plan, requested_at);
    requested_at_[i] = requested_at;
    return true;
  }

  double now_ = 0;
  uint64_t leaders_ = 0;
  std::unique_ptr<AdmissionPlanner> planner_;
  AdmissionShare shares_[2] = {AdmissionShare(2), AdmissionShare(2)};
  std::deque<std::pair<AdmissionPlan, double>> in_flight_[2];
  double requested_at_[2] = {0, 0};
  int delivered_ = 0;
};

TEST(AdmissionPlanModelTest, EveryOrderOfEvents) {
  constexpr size_t kMaxLength = 10;
  std::set<std::string> seen;
  std::vector<std::vector<int>> frontier{{}};
  double most_in_force = 0;
  for (size_t length = 0; length < kMaxLength; ++length) {
    std::vector<std::vector<int>> next;
    for (const auto& events : frontier) {
      for (int choice = 0; choice < Model::kChoices; ++choice) {
        Model model;
        for (int c : events) model.Step(c);
        if (!model.Step(choice)) continue;
        most_in_force = std::max(most_in_force, model.SharesInForce());
        ASSERT_LE(model.SharesInForce(), kPlannedFraction + 1e-9)
            << ::testing::PrintToString(events) << choice;
        if (!seen.insert(model.State()).second) continue;
        next.push_back(events);
        next.back().push_back(choice);
      }
    }
    if (next.size() > 4000) next.resize(4000);  // bounds the run time
    frontier = std::move(next);
  }
  RecordProperty("states", static_cast<int>(seen.size()));
  EXPECT_GT(seen.size(), 5000u);
  EXPECT_GT(most_in_force, 0.9 * kPlannedFraction);  // Some order nearly reaches the bound.
}

}  // namespace
}  // namespace mosspath::admission
