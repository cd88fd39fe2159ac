// Bounded model check: a breadth-first search over the orders of the events of the first compound
// failure in docs/compound-failures.md.
//
// The model has three controllers, the key-value store, and an agent with one long task whose job
// is cancelled. The controllers use the real Leadership and CancellationLog; the key-value store
// and the agent are minimal models. In every order of events, the task must end within cancel_s
// after the cancellation was confirmed to the user.
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
  kAgentLeaseTime,  // half an agent lease passes
  kStoreLeaseTime,  // a fraction of a store lease passes
  kRefuseLeader,    // toggles whether the key-value store refuses the first controller alone
  kOutage,          // toggles whether the key-value store is down for all controllers
  kCancel,          // the second controller cancels the job and confirms it to the user
  kRestart,         // the second controller restarts at once and has read no data yet
  kDelayResponses,  // begins to delay promise responses, or delivers the delayed responses
  kPartitionThird,  // toggles whether the third controller is partitioned from the other two
  kEvents
};

// The guard that the model omits, to show that the guard is necessary.
enum class OmittedGuard {
  kNone,
  kNewestCancellation,    // peers do not send the cancellations that they may have confirmed
  kCompleteLoad,          // a controller treats the first page that it reads as a complete load
  kLearnedCancellations,  // the leader does not end jobs whose cancellation a peer has sent
};

// Simulates the controllers, the key-value store and the agent in steps of simulated time.
class Model {
 public:
  explicit Model(OmittedGuard omitted_guard) : omitted_guard_(omitted_guard) {
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
        // When an outage begins or ends, every store lease restarts with its full duration.
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
  // Returns whether the task ran for longer than allowed after the confirmed cancellation.
  bool IsViolated() const { return violated_; }
  // Returns whether a leader that received a cancellation from a peer continues to lead while the
  // key-value store is down.
  bool ContinuesInOutage() const { return learned_ && store_down_ && task_running_ && AnyMayAct(); }
  // Returns a text that identifies the state: everything that affects later steps, with times
  // relative to now, so that equivalent states compare equal.
  std::string State() const {
    std::string out = fmt::format(
        "{}{}{}{}{}{} {} {:.1f} {:.1f} {} |", leader_refused_, store_down_, delaying_responses_,
        third_partitioned_, task_running_, AnyMayAct(), delayed_responses_.size(),
        now_ - lease_renewed_at_, cancelled_ == 0 ? 0 : now_ - reported_at_, agent_token_);
    for (const Controller& controller : controllers_) {
      out +=
          fmt::format(" {} {} {} {} {} {:.1f} {:.1f} {} {}", controller.leadership->token(),
                      controller.leadership->leader_token(), controller.loaded,
                      controller.has_cancellation, controller.cancellations->newest() >= cancelled_,
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
    double contact = -1e18;         // time of the last answer of the key-value store
    int loaded = 0;                 // 0: nothing was read, 1: the first page, 2: all keys
    bool has_cancellation = false;  // whether this controller has the cancellation
    uint64_t incarnation = 0;       // number of starts; responses to earlier starts are dropped
  };

  void StartController(size_t i) {
    Controller& controller = controllers_[i];
    controller.name = "hut-" + std::to_string(i);
    controller.leadership.emplace(test::PeerSettings(controller.name), derived_, now_);
    controller.cancellations.emplace(100);
    controller.contact = -1e18;
    controller.loaded = 0;
    controller.has_cancellation = false;
    ++controller.incarnation;
  }
  void LearnCancellation(Controller& controller, uint64_t revision) {
    controller.cancellations->Add("req-1", revision);
    controller.has_cancellation = true;
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
  // Processes one answer of the key-value store to the controller.
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
    // Keys are read in the order of their names, so the leader key is read long before the load is
    // complete.
    controller.leadership->OnLeaderKey(key_);
    if (controller.loaded == 0 && omitted_guard_ != OmittedGuard::kCompleteLoad) {
      controller.loaded = 1;
      return;
    }
    if (controller.loaded < 2 && omitted_guard_ != OmittedGuard::kCompleteLoad)
      controller.cancellations->AssumeReportedUpTo(revision_);
    controller.loaded = 2;
    controller.leadership->OnLoaded(revision_ == 0);
    if (cancelled_ != 0 && omitted_guard_ != OmittedGuard::kCompleteLoad)
      LearnCancellation(controller, cancelled_);
    controller.leadership->OnReadUpTo(now_, revision_);
    const auto step = controller.leadership->NextStep(now_);
    if (step.kind == Kind::kCampaign && key_.version == step.version) {
      key_ = {controller.name, controller.leadership->store_lease(), ++revision_};
    }
    if (step.kind == Kind::kElected)
      controller.has_cancellation = controller.has_cancellation || cancelled_ != 0;
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
      if (promise.malformed()) continue;
      wire::PromiseResponse response{promise.promised(),
                                     peer.cancellations->Since(request.read_revision)};
      if (omitted_guard_ == OmittedGuard::kNewestCancellation)
        response.cancellations = {0, 0, request.read_revision, {}};
      const auto deliver = [this, i, round = *round, name = peer.name,
                            incarnation = controller.incarnation,
                            encoded = wire::Encode(response)] {
        Controller& requester = controllers_[i];
        if (requester.incarnation != incarnation) return;
        std::vector<wire::CancellationLogSlice::Entry> learned;
        requester.leadership->OnPromiseResponse(round, name, wire::DecodePromiseResponse(encoded),
                                                now_, learned);
        if (omitted_guard_ == OmittedGuard::kLearnedCancellations) return;
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
  // Expires the agent's lease, which stops the task, and sends a heartbeat to every controller that
  // may act, once per heartbeat interval.
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
        if (controller.has_cancellation) task_running_ = false;
      }
    }
    violated_ = violated_ || (task_running_ && cancelled_ != 0 &&
                              now_ > reported_at_ + settings_.cancel_within_s);
  }

  const OmittedGuard omitted_guard_;
  const config::Settings settings_ = test::PeerSettings();
  const config::DerivedSettings derived_{settings_};
  double now_ = 0;
  std::array<Controller, 3> controllers_;
  // The key-value store.
  bool leader_refused_ = false;
  bool store_down_ = false;
  uint64_t revision_ = 0;
  uint64_t next_store_lease_ = 0;
  std::map<uint64_t, double> store_leases_;
  Leadership::LeaderKey key_;
  uint64_t cancelled_ = 0;
  double reported_at_ = 0;
  // Messages between controllers.
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

struct SearchResult {
  size_t states = 0;
  size_t continued = 0;   // states in which ContinuesInOutage() holds
  std::string violation;  // the events that led to a violation; empty if none was found
};

SearchResult Search(OmittedGuard omitted_guard, size_t max_states, size_t max_steps) {
  SearchResult out;
  std::set<std::string> seen;
  std::vector<std::vector<Event>> paths{{}};
  for (size_t at = 0; at < paths.size() && seen.size() < max_states; ++at) {
    const std::vector<Event> path = paths[at];
    for (int event = 0; event < static_cast<int>(Event::kEvents); ++event) {
      Model model(omitted_guard);
      for (const Event earlier : path) model.Step(earlier);
      model.Step(static_cast<Event>(event));
      if (!seen.insert(model.State()).second) continue;
      out.continued += model.ContinuesInOutage() ? 1 : 0;
      // Time passes without further events, so that a late end of the task becomes visible.
      for (int i = 0; i < 5; ++i) model.Step(Event::kAgentLeaseTime);
      if (model.IsViolated()) {
        for (const Event earlier : path)
          out.violation += fmt::format("{} ", static_cast<int>(earlier));
        out.violation += fmt::format("{}", event);
        out.states = seen.size();
        return out;
      }
      if (path.size() + 1 >= max_steps) continue;
      paths.push_back(path);
      paths.back().push_back(static_cast<Event>(event));
    }
  }
  out.states = seen.size();
  return out;
}

TEST(LeadershipModelTest, CancelledTasksEndInTimeInEveryOrder) {
  const SearchResult result = Search(OmittedGuard::kNone, 12'000, 9);
  EXPECT_EQ(result.violation, "");
  RecordProperty("states", static_cast<int>(result.states));
  std::cout << "states " << result.states << ", continued " << result.continued << '\n';
  EXPECT_GT(result.states, 5'000u);
  EXPECT_GT(result.continued, 20u);
}

TEST(LeadershipModelTest, TheModelFailsWithoutEachGuard) {
  for (const OmittedGuard omitted_guard :
       {OmittedGuard::kNewestCancellation, OmittedGuard::kCompleteLoad,
        OmittedGuard::kLearnedCancellations}) {
    EXPECT_NE(Search(omitted_guard, 12'000, 9).violation, "") << static_cast<int>(omitted_guard);
  }
}

}  // namespace
}  // namespace mosspath::election
