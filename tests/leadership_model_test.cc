// Every order of the events of the first meeting in docs/compound-failures.md.
//
// Three controllers, the state service, and an agent with one long task that is cancelled. The
// controllers are the real decision classes; everything else is as plain as can be. Whatever the
// order of events, the task has ended within cancel_s of the moment its user was told.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/election/cancellation_log.h"
#include "mosspath/election/leadership.h"
#include "peer_settings.h"

namespace mosspath::election {
namespace {

using Kind = Leadership::Step::Kind;

enum class Event {
  kAgentLeaseTime,  // half an agent's lease passes
  kStoreLeaseTime,  // a part of a controller's lease passes
  kRefuseLeader,    // the state service refuses the first leader alone, or no longer does
  kOutage,          // it is down for all, or up again
  kCancel,          // the second controller cancels the job and tells its user
  kRestart,         // the second controller restarts at once, with nothing read
  kDelayResponses,  // responses between controllers are delayed, or delivered
  kPartitionThird,  // the third controller is partitioned from the others, or no longer
  kEvents
};

// A guard that the model leaves out, to show that it is needed.
enum class Without {
  kNothing,
  kNewestCancellation,    // peers do not say which cancellations they may have reported
  kCompleteLoad,          // a first page counts as a complete load
  kLearnedCancellations,  // jobs whose cancellation was learned from peers are not ended
};

// The controllers, the state service and the agent.
class Model {
 public:
  explicit Model(Without without) : without_(without) {
    for (size_t i = 0; i < controllers_.size(); ++i) StartController(i);
    RunFor(3);
  }

  void Step(Event event) {
    switch (event) {
      case Event::kAgentLeaseTime:
        return RunFor(settings_.agent_lease_s / 2);
      case Event::kStoreLeaseTime:
        return RunFor(derived_.store_lease_s * 0.4);
      case Event::kRefuseLeader:
        leader_refused_ = !leader_refused_;
        return;
      case Event::kOutage:
        store_down_ = !store_down_;
        // Every lease has its full time again.
        for (auto& [id, until] : store_leases_) until = now_ + derived_.store_lease_s;
        return;
      case Event::kCancel:
        if (store_down_ || cancelled_ != 0) return;
        cancelled_ = ++revision_;
        reported_at_ = now_;
        LearnCancellation(controllers_[1], cancelled_);
        return;
      case Event::kRestart:
        return StartController(1);
      case Event::kDelayResponses:
        delaying_responses_ = !delaying_responses_;
        for (auto& deliver : std::exchange(delayed_responses_, {})) deliver();
        return;
      case Event::kPartitionThird:
        third_partitioned_ = !third_partitioned_;
        return;
      case Event::kEvents:
        return;
    }
  }
  bool IsViolated() const { return violated_; }
  bool ContinuesInOutage() const { return learned_ && store_down_ && task_running_ && AnyMayAct(); }
  std::string State() const {
    std::string out = fmt::format(
        "{}{}{}{}{}{} {} {:.1f} {:.1f} {} |", leader_refused_, store_down_, delaying_responses_,
        third_partitioned_, task_running_, AnyMayAct(), delayed_responses_.size(),
        now_ - lease_renewed_at_, cancelled_ == 0 ? 0 : now_ - reported_at_, agent_token_);
    for (const Controller& controller : controllers_) {
      out += fmt::format(
          " {} {} {} {} {} {:.1f} {:.1f} {} {}", controller.leadership->token(),
          controller.leadership->leader_token(), controller.loaded, controller.knows_cancellation,
          controller.cancellations->newest() >= cancelled_,
          std::min(99.0, controller.leadership->view_age_s(now_)),
          std::min(9.0, now_ - controller.contact), controller.leadership->MayAct(now_),
          controller.leadership->MakePromiseRequest().read_revision >= cancelled_);
    }
    return out;
  }

 private:
  struct Controller {
    std::string name;
    std::optional<Leadership> leadership;
    std::optional<CancellationLog> cancellations;
    double contact = -1e18;
    int loaded = 0;                   // 1: a first page, 2: all
    bool knows_cancellation = false;  // that the job is cancelled
    uint64_t incarnation = 0;
  };

  void StartController(size_t i) {
    Controller& controller = controllers_[i];
    controller.name = "hut-" + std::to_string(i);
    controller.leadership.emplace(test::PeerSettings(controller.name), derived_, now_);
    controller.cancellations.emplace(100);
    controller.contact = -1e18;
    controller.loaded = 0;
    controller.knows_cancellation = false;
    ++controller.incarnation;
  }
  void LearnCancellation(Controller& controller, uint64_t revision) {
    controller.cancellations->Add("req-1", revision);
    controller.knows_cancellation = true;
  }
  bool AnyMayAct() const {
    return std::any_of(controllers_.begin(), controllers_.end(), [&](const Controller& controller) {
      return controller.leadership->MayAct(now_);
    });
  }

  void RunFor(double for_s) {
    constexpr double kStep = 0.1;
    for (double elapsed_s = 0; elapsed_s < for_s; elapsed_s += kStep) {
      now_ += kStep;
      for (size_t i = 0; i < controllers_.size(); ++i) {
        if (!store_down_ && !(i == 0 && leader_refused_)) AnswerFromStore(controllers_[i]);
      }
      if (!store_down_) ExpireStoreLeases();
      for (size_t i = 0; i < controllers_.size(); ++i) RequestPromises(i);
      RunAgent();
    }
  }
  // The state service answers the controller.
  void AnswerFromStore(Controller& controller) {
    controller.contact = now_;
    const uint64_t store_lease = controller.leadership->store_lease();
    if (store_lease == 0) {
      controller.leadership->OnStoreLeaseGranted(++next_store_lease_, now_);
      store_leases_[next_store_lease_] = now_ + derived_.store_lease_s;
    } else if (!store_leases_.contains(store_lease)) {
      controller.leadership->OnStoreLeaseEnded();
    } else {
      controller.leadership->OnStoreLeaseRenewed(now_);
      store_leases_[store_lease] = now_ + derived_.store_lease_s;
    }
    // Keys are read in the order of their names: the leader's comes long before all is known.
    controller.leadership->OnLeaderKey(key_);
    if (controller.loaded == 0 && without_ != Without::kCompleteLoad) {
      controller.loaded = 1;
      return;
    }
    if (controller.loaded < 2 && without_ != Without::kCompleteLoad)
      controller.cancellations->AssumeReportedUpTo(revision_);
    controller.loaded = 2;
    controller.leadership->OnLoaded(revision_ == 0);
    if (cancelled_ != 0 && without_ != Without::kCompleteLoad)
      LearnCancellation(controller, cancelled_);
    controller.leadership->OnReadUpTo(now_, revision_);
    const auto step = controller.leadership->NextStep(now_);
    if (step.kind == Kind::kCampaign && key_.version == step.version) {
      key_ = {controller.name, controller.leadership->store_lease(), ++revision_};
    }
    if (step.kind == Kind::kElected)
      controller.knows_cancellation = controller.knows_cancellation || cancelled_ != 0;
  }
  void ExpireStoreLeases() {
    for (auto it = store_leases_.begin(); it != store_leases_.end();) {
      if (it->second > now_) {
        ++it;
        continue;
      }
      if (key_.version != 0 && key_.store_lease == it->first) {
        ++revision_;
        key_ = {};
      }
      it = store_leases_.erase(it);
    }
  }
  void RequestPromises(size_t i) {
    Controller& controller = controllers_[i];
    const auto round = controller.leadership->BeginPromiseRound(controller.contact, now_);
    if (!round) return;
    for (size_t peer_index = 0; peer_index < controllers_.size(); ++peer_index) {
      if (peer_index == i || (third_partitioned_ && (peer_index == 2 || i == 2))) continue;
      Controller& peer = controllers_[peer_index];
      const auto request =
          wire::DecodePromiseRequest(wire::Encode(controller.leadership->MakePromiseRequest()));
      const auto promise = peer.leadership->OnPromiseRequest(request, peer.contact, now_);
      if (!promise.well_formed) continue;
      wire::PromiseResponse response{promise.promised,
                                     peer.cancellations->Since(request.read_revision)};
      if (without_ == Without::kNewestCancellation)
        response.cancellations = {0, 0, request.read_revision, {}};
      const auto deliver = [this, i, round = *round, name = peer.name,
                            incarnation = controller.incarnation,
                            encoded = wire::Encode(response)] {
        Controller& requester = controllers_[i];
        if (requester.incarnation != incarnation) return;
        std::vector<wire::CancellationLogSlice::Entry> learned;
        requester.leadership->OnPromiseResponse(round, name, wire::DecodePromiseResponse(encoded),
                                                now_, learned);
        if (without_ == Without::kLearnedCancellations) return;
        for (const auto& entry : learned) LearnCancellation(requester, entry.revision);
        learned_ = learned_ || !learned.empty();
      };
      if (delaying_responses_ && delayed_responses_.size() < 4) {
        delayed_responses_.push_back(deliver);
      } else if (!delaying_responses_) {
        deliver();
      }
    }
  }
  // The agent sends a heartbeat to every controller that may act, at its interval.
  void RunAgent() {
    if (now_ - lease_renewed_at_ > settings_.agent_lease_s) {
      task_running_ = false;
      lease_renewed_at_ = now_;
    }
    if (now_ - heartbeat_sent_at_ >= settings_.heartbeat_s) {
      heartbeat_sent_at_ = now_;
      for (const Controller& controller : controllers_) {
        if (!controller.leadership->MayAct(now_) || controller.leadership->token() < agent_token_)
          continue;
        agent_token_ = controller.leadership->token();
        lease_renewed_at_ = now_;
        if (controller.knows_cancellation) task_running_ = false;
      }
    }
    violated_ = violated_ || (task_running_ && cancelled_ != 0 &&
                              now_ > reported_at_ + settings_.cancel_within_s);
  }

  const Without without_;
  const config::Settings settings_ = test::PeerSettings();
  const config::DerivedSettings derived_{settings_};
  double now_ = 0;
  std::array<Controller, 3> controllers_;
  // The state service.
  bool leader_refused_ = false;
  bool store_down_ = false;
  uint64_t revision_ = 0;
  uint64_t next_store_lease_ = 0;
  std::map<uint64_t, double> store_leases_;
  Leadership::LeaderKey key_;
  uint64_t cancelled_ = 0;
  double reported_at_ = 0;
  // Between controllers.
  bool delaying_responses_ = false;
  bool third_partitioned_ = false;
  std::vector<std::function<void()>> delayed_responses_;
  bool learned_ = false;
  // The agent.
  bool task_running_ = true;
  double lease_renewed_at_ = 0;
  double heartbeat_sent_at_ = 0;
  uint64_t agent_token_ = 0;
  bool violated_ = false;
};

struct Walked {
  size_t states = 0;
  size_t continued = 0;   // states in which a leader has learned, and continues in the outage
  std::string violation;  // the events that led to one, if any did
};

Walked Walk(Without without, size_t max_states, size_t max_steps) {
  Walked out;
  std::set<std::string> seen;
  std::vector<std::vector<Event>> walks{{}};
  for (size_t at = 0; at < walks.size() && seen.size() < max_states; ++at) {
    const std::vector<Event> walk = walks[at];
    for (int event = 0; event < static_cast<int>(Event::kEvents); ++event) {
      Model model(without);
      for (const Event earlier : walk) model.Step(earlier);
      model.Step(static_cast<Event>(event));
      if (!seen.insert(model.State()).second) continue;
      out.continued += model.ContinuesInOutage() ? 1 : 0;
      // What follows when nothing else happens.
      for (int i = 0; i < 5; ++i) model.Step(Event::kAgentLeaseTime);
      if (model.IsViolated()) {
        for (const Event earlier : walk)
          out.violation += fmt::format("{} ", static_cast<int>(earlier));
        out.violation += fmt::format("{}", event);
        out.states = seen.size();
        return out;
      }
      if (walk.size() + 1 >= max_steps) continue;
      walks.push_back(walk);
      walks.back().push_back(static_cast<Event>(event));
    }
  }
  out.states = seen.size();
  return out;
}

TEST(LeadershipModelTest, CancelledTasksEndInTimeInEveryOrder) {
  const Walked walked = Walk(Without::kNothing, 12'000, 9);
  EXPECT_EQ(walked.violation, "");
  RecordProperty("states", static_cast<int>(walked.states));
  std::cout << "states " << walked.states << ", continued " << walked.continued << '\n';
  EXPECT_GT(walked.states, 5'000u);
  EXPECT_GT(walked.continued, 20u);
}

TEST(LeadershipModelTest, TheModelFailsWithoutEachGuard) {
  for (const Without without :
       {Without::kNewestCancellation, Without::kCompleteLoad, Without::kLearnedCancellations}) {
    EXPECT_NE(Walk(without, 12'000, 9).violation, "") << static_cast<int>(without);
  }
}

}  // namespace
}  // namespace mosspath::election
