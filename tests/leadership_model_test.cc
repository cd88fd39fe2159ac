// The first of the meetings in docs/meetings.md in every order.
//
// Three controllers, the state service, and a worker with one long task that is cancelled. The
// controllers are the real decisions; everything else is plain. Whatever the order of what happens,
// the task is gone within cancel_s of the moment its user was told.
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/election/cancellation_log.h"
#include "mosspath/election/leadership.h"
#include "simulation/cluster.h"

namespace mosspath::election {
namespace {

using Kind = Leadership::Step::Kind;

config::Settings Settings(const std::string& node = "hut-0") {
  config::Settings s = simulation::SmallSettings();
  s.name = node;
  for (const std::string other : {"hut-0", "hut-1", "hut-2"}) {
    if (other != node) s.peers.push_back({other, "east", other});
  }
  return s;
}

enum class Event {
  kTime,    // half a lease goes by
  kMoment,  // a part of a grant does
  kRefuse,  // the state service refuses the first leader alone, or no longer does
  kOutage,  // it is down for all, or up again
  kCancel,  // the second controller cancels the job and tells its user
  kBounce,  // the second controller is back at once, with nothing read
  kHold,    // answers between controllers are held up, or arrive
  kApart,   // the third controller is cut from the others, or no longer
  kEvents
};

// What the model leaves out, to show that it is missed.
enum class Without {
  kNothing,
  kNewest,   // peers do not say what they may have told
  kLoaded,   // a first page counts as all
  kLearned,  // what peers tell of is not ended
};

class Meeting {
 public:
  explicit Meeting(Without without) : without_(without) {
    for (size_t i = 0; i < nodes_.size(); ++i) Boot(i);
    Run(3);
  }

  void Step(Event e) {
    switch (e) {
      case Event::kTime:
        return Run(settings_.agent_lease_s / 2);
      case Event::kMoment:
        return Run(derived_.store_lease_s * 0.4);
      case Event::kRefuse:
        refused_ = !refused_;
        return;
      case Event::kOutage:
        down_ = !down_;
        // Every lease has its full time again.
        for (auto& [id, until] : grants_) until = now_ + derived_.store_lease_s;
        return;
      case Event::kCancel:
        if (down_ || cancelled_ != 0) return;
        cancelled_ = ++revision_;
        told_at_ = now_;
        Learn(nodes_[1], cancelled_);
        return;
      case Event::kBounce:
        return Boot(1);
      case Event::kHold:
        holding_ = !holding_;
        for (auto& deliver : std::exchange(held_, {})) deliver();
        return;
      case Event::kApart:
        apart_ = !apart_;
        return;
      case Event::kEvents:
        return;
    }
  }
  bool Broken() const { return broken_; }
  bool GoesOn() const { return learned_ && down_ && on_ && AnyEntitled(); }
  std::string State() const {
    std::string s = fmt::format("{}{}{}{}{}{} {} {:.1f} {:.1f} {} |", refused_, down_, holding_,
                                apart_, on_, AnyEntitled(), held_.size(), now_ - lease_from_,
                                cancelled_ == 0 ? 0 : now_ - told_at_, worker_token_);
    for (const Node& n : nodes_) {
      s += fmt::format(" {} {} {} {} {} {:.1f} {:.1f} {} {}", n.lead->token(),
                       n.lead->leader_token(), n.loaded, n.knows, n.told->newest() >= cancelled_,
                       std::min(99.0, n.lead->view_age_s(now_)), std::min(9.0, now_ - n.contact),
                       n.lead->MayAct(now_),
                       n.lead->MakePromiseRequest().read_revision >= cancelled_);
    }
    return s;
  }

 private:
  struct Node {
    std::string name;
    std::optional<Leadership> lead;
    std::optional<CancellationLog> told;
    double contact = -1e18;
    int loaded = 0;      // 1: a first page, 2: all
    bool knows = false;  // that the job is cancelled
    uint64_t life = 0;
  };

  void Boot(size_t i) {
    Node& n = nodes_[i];
    n.name = "hut-" + std::to_string(i);
    n.lead.emplace(Settings(n.name), derived_, now_);
    n.told.emplace(100);
    n.contact = -1e18;
    n.loaded = 0;
    n.knows = false;
    ++n.life;
  }
  void Learn(Node& n, uint64_t revision) {
    n.told->Add("req-1", revision);
    n.knows = true;
  }
  bool AnyEntitled() const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [&](const Node& n) { return n.lead->MayAct(now_); });
  }

  void Run(double for_s) {
    constexpr double kStep = 0.1;
    for (double t = 0; t < for_s; t += kStep) {
      now_ += kStep;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (!down_ && !(i == 0 && refused_)) Reach(nodes_[i]);
      }
      if (!down_) Expire();
      for (size_t i = 0; i < nodes_.size(); ++i) Ask(i);
      Work();
    }
  }
  // The state service answers it.
  void Reach(Node& n) {
    n.contact = now_;
    const uint64_t grant = n.lead->store_lease();
    if (grant == 0) {
      n.lead->OnStoreLeaseGranted(++next_grant_, now_);
      grants_[next_grant_] = now_ + derived_.store_lease_s;
    } else if (!grants_.contains(grant)) {
      n.lead->OnStoreLeaseEnded();
    } else {
      n.lead->OnStoreLeaseRenewed(now_);
      grants_[grant] = now_ + derived_.store_lease_s;
    }
    // Keys are read in the order of their names: the leader's comes long before all is known.
    n.lead->OnLeaderKey(key_);
    if (n.loaded == 0 && without_ != Without::kLoaded) {
      n.loaded = 1;
      return;
    }
    if (n.loaded < 2 && without_ != Without::kLoaded) n.told->AssumeReportedUpTo(revision_);
    n.loaded = 2;
    n.lead->OnLoaded(revision_ == 0);
    if (cancelled_ != 0 && without_ != Without::kLoaded) Learn(n, cancelled_);
    n.lead->OnReadUpTo(now_, revision_);
    const auto step = n.lead->NextStep(now_);
    if (step.kind == Kind::kCampaign && key_.version == step.version) {
      key_ = {n.name, n.lead->store_lease(), ++revision_};
    }
    if (step.kind == Kind::kElected) n.knows = n.knows || cancelled_ != 0;
  }
  void Expire() {
    for (auto it = grants_.begin(); it != grants_.end();) {
      if (it->second > now_) {
        ++it;
        continue;
      }
      if (key_.version != 0 && key_.store_lease == it->first) {
        ++revision_;
        key_ = {};
      }
      it = grants_.erase(it);
    }
  }
  void Ask(size_t i) {
    Node& n = nodes_[i];
    const auto round = n.lead->BeginPromiseRound(n.contact, now_);
    if (!round) return;
    for (size_t k = 0; k < nodes_.size(); ++k) {
      if (k == i || (apart_ && (k == 2 || i == 2))) continue;
      Node& peer = nodes_[k];
      const auto question = wire::DecodePromiseRequest(wire::Encode(n.lead->MakePromiseRequest()));
      const auto promise = peer.lead->OnPromiseRequest(question, peer.contact, now_);
      if (!promise.well_formed) continue;
      wire::PromiseResponse answer{promise.promised, peer.told->Since(question.read_revision)};
      if (without_ == Without::kNewest) answer.cancellations = {0, 0, question.read_revision, {}};
      const auto deliver = [this, i, round = *round, name = peer.name, life = n.life,
                            text = wire::Encode(answer)] {
        Node& asked = nodes_[i];
        if (asked.life != life) return;
        std::vector<wire::CancellationLogSlice::Entry> learned;
        asked.lead->OnPromiseResponse(round, name, wire::DecodePromiseResponse(text), now_,
                                      learned);
        if (without_ == Without::kLearned) return;
        for (const auto& e : learned) Learn(asked, e.revision);
        learned_ = learned_ || !learned.empty();
      };
      if (holding_ && held_.size() < 4) {
        held_.push_back(deliver);
      } else if (!holding_) {
        deliver();
      }
    }
  }
  // The worker reports to whoever answers it, now and then.
  void Work() {
    if (now_ - lease_from_ > settings_.agent_lease_s) {
      on_ = false;
      lease_from_ = now_;
    }
    if (now_ - reported_ >= settings_.heartbeat_s) {
      reported_ = now_;
      for (const Node& n : nodes_) {
        if (!n.lead->MayAct(now_) || n.lead->token() < worker_token_) continue;
        worker_token_ = n.lead->token();
        lease_from_ = now_;
        if (n.knows) on_ = false;
      }
    }
    broken_ = broken_ || (on_ && cancelled_ != 0 && now_ > told_at_ + settings_.cancel_within_s);
  }

  const Without without_;
  const config::Settings settings_ = Settings();
  const config::DerivedSettings derived_{settings_};
  double now_ = 0;
  std::array<Node, 3> nodes_;
  // The state service.
  bool refused_ = false;
  bool down_ = false;
  uint64_t revision_ = 0;
  uint64_t next_grant_ = 0;
  std::map<uint64_t, double> grants_;
  Leadership::LeaderKey key_;
  uint64_t cancelled_ = 0;
  double told_at_ = 0;
  // Between controllers.
  bool holding_ = false;
  bool apart_ = false;
  std::vector<std::function<void()>> held_;
  bool learned_ = false;
  // The worker.
  bool on_ = true;
  double lease_from_ = 0;
  double reported_ = 0;
  uint64_t worker_token_ = 0;
  bool broken_ = false;
};

struct Walked {
  size_t states = 0;
  size_t went_on = 0;  // states in which a leader has learned, and goes on in the outage
  std::string broken;  // how, if ever
};

Walked Walk(Without without, size_t most_states, size_t steps) {
  Walked out;
  std::set<std::string> seen;
  std::vector<std::vector<Event>> walks{{}};
  for (size_t at = 0; at < walks.size() && seen.size() < most_states; ++at) {
    const std::vector<Event> walk = walks[at];
    for (int e = 0; e < static_cast<int>(Event::kEvents); ++e) {
      Meeting m(without);
      for (const Event earlier : walk) m.Step(earlier);
      m.Step(static_cast<Event>(e));
      if (!seen.insert(m.State()).second) continue;
      out.went_on += m.GoesOn() ? 1 : 0;
      // What comes of it when nothing else happens.
      for (int i = 0; i < 5; ++i) m.Step(Event::kTime);
      if (m.Broken()) {
        for (const Event earlier : walk)
          out.broken += fmt::format("{} ", static_cast<int>(earlier));
        out.broken += fmt::format("{}", e);
        out.states = seen.size();
        return out;
      }
      if (walk.size() + 1 >= steps) continue;
      walks.push_back(walk);
      walks.back().push_back(static_cast<Event>(e));
    }
  }
  out.states = seen.size();
  return out;
}

TEST(FirstMeeting, TheTasksAreGoneInTimeInEveryOrder) {
  const Walked walked = Walk(Without::kNothing, 12'000, 9);
  EXPECT_EQ(walked.broken, "");
  RecordProperty("states", static_cast<int>(walked.states));
  std::cout << "states " << walked.states << ", went on " << walked.went_on << '\n';
  EXPECT_GT(walked.states, 5'000u);
  EXPECT_GT(walked.went_on, 20u);
}

TEST(FirstMeeting, TheModelMissesEachGuard) {
  for (const Without without : {Without::kNewest, Without::kLoaded, Without::kLearned}) {
    EXPECT_NE(Walk(without, 12'000, 9).broken, "") << static_cast<int>(without);
  }
}

}  // namespace
}  // namespace mosspath::election
