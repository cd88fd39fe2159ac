// Who leads, who promises, and what a leader learns from its peers while the state service is
// silent: each decision by itself, and the first of the meetings in docs/meetings.md in every
// order.
#include "mosspath/election/leadership.h"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <functional>

#include "mosspath/election/cancellation_log.h"
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

class LeadershipTest : public ::testing::Test {
 protected:
  LeadershipTest() : settings_(Settings()), derived_(settings_), l_(settings_, derived_, 0) {}

  // Elected at 10 under this token, having read all up to it.
  void Lead(uint64_t token) {
    l_.OnStoreLeaseGranted(7, 10);
    l_.OnLoaded(false);
    EXPECT_EQ(l_.NextStep(10).kind, Kind::kCampaign);
    l_.OnLeaderKey({"hut-0", 7, token});
    EXPECT_EQ(l_.NextStep(10).kind, Kind::kElected);
    l_.OnReadUpTo(10, token);
  }
  static wire::PromiseResponse Says(uint64_t newest, uint64_t from,
                                    std::vector<wire::CancellationLogSlice::Entry> ids = {}) {
    return {true, {newest, from, std::max(newest, from), std::move(ids)}};
  }
  std::vector<std::string> Hear(uint64_t round, const char* peer,
                                const wire::PromiseResponse& answer, double now) {
    std::vector<wire::CancellationLogSlice::Entry> learned;
    understood_ = l_.OnPromiseResponse(round, peer, answer, now, learned);
    std::vector<std::string> ids;
    for (const auto& e : learned) ids.push_back(e.id);
    return ids;
  }
  // As a peer that has read up to 100, where hut-1 leads under 90.
  void Follow() {
    l_.OnLoaded(false);
    l_.OnLeaderKey({"hut-1", 9, 90});
    l_.OnReadUpTo(10, 100);
  }
  bool Promises(uint64_t token, double contact, double now, const std::string& asker = "hut-1") {
    return l_.OnPromiseRequest({asker, token, 0}, contact, now).promised;
  }

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  Leadership l_;
  bool understood_ = false;
};

TEST_F(LeadershipTest, LeadsUnderTheKeysVersionWhileItsGrantAndItsViewHold) {
  Lead(50);
  EXPECT_EQ(l_.token(), 50u);
  EXPECT_TRUE(l_.MayAct(10 + derived_.store_lease_s / 2));
  EXPECT_FALSE(l_.MayAct(10 + derived_.store_lease_s));
  for (double now = 10; now < 40; now += derived_.store_lease_renew_s) l_.OnStoreLeaseRenewed(now);
  EXPECT_FALSE(l_.MayAct(10 + derived_.max_view_age_s + 0.1));  // its view is too old
  l_.OnReadUpTo(39, 60);
  EXPECT_TRUE(l_.MayAct(40));
  const auto lost = l_.OnLeaderKey({"hut-1", 9, 61});
  ASSERT_TRUE(lost);
  EXPECT_EQ(lost->token, 50u);
  EXPECT_FALSE(l_.MayAct(40));
}

// Whatever the process before it promised it may have promised just then.
TEST_F(LeadershipTest, LeadsOnlyAfterItsPromise) {
  Leadership back(settings_, derived_, 10);
  back.OnStoreLeaseGranted(8, 10);
  back.OnLoaded(false);
  back.OnLeaderKey({"hut-0", 8, 70});
  EXPECT_EQ(back.NextStep(10 + derived_.promise_s / 2).kind, Kind::kWait);
  EXPECT_EQ(back.NextStep(10 + derived_.promise_s + 0.01).kind, Kind::kElected);
  // Where nobody ever led there is nobody to have promised.
  Leadership first(settings_, derived_, 10);
  first.OnStoreLeaseGranted(8, 10);
  first.OnLoaded(true);
  first.OnLeaderKey({"hut-0", 8, 1});
  EXPECT_EQ(first.NextStep(10).kind, Kind::kElected);
}

TEST_F(LeadershipTest, OthersGoFirstAfterItResigned) {
  Lead(50);
  ASSERT_TRUE(l_.Resign("", 11));
  l_.OnStoreLeaseGranted(8, 11);
  l_.OnLeaderKey({});
  EXPECT_EQ(l_.NextStep(11).kind, Kind::kWait);
  EXPECT_EQ(l_.NextStep(11 + derived_.store_lease_s / 4).kind, Kind::kWait);
  EXPECT_EQ(l_.NextStep(11 + derived_.store_lease_s / 2 + 0.01).kind,
            Kind::kCampaign);  // nobody does
}

TEST_F(LeadershipTest, GoesOnWhileAllPeersVouch) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  EXPECT_FALSE(l_.BeginPromiseRound(now - 0.1, now));  // the service answers
  auto round = l_.BeginPromiseRound(10, now);
  ASSERT_TRUE(round);
  Hear(*round, "hut-1", Says(40, 50), now);
  EXPECT_FALSE(l_.MayAct(now));  // one of two
  Hear(*round - 1, "hut-2", Says(40, 50), now);
  EXPECT_FALSE(l_.MayAct(now));  // of an earlier round
  Hear(*round, "hut-2", {false, Says(40, 50).cancellations}, now);
  EXPECT_FALSE(l_.MayAct(now));  // no promise
  Hear(*round, "hut-2", Says(40, 50), now + 0.1);
  EXPECT_TRUE(l_.MayAct(now + 0.1));
  EXPECT_NEAR(l_.view_age_s(now + 0.1), 0.1, 1e-9);  // as good as a look when it was asked for
  EXPECT_FALSE(l_.MayAct(now + derived_.promise_s));
}

// Told by one peer while this leader was refused alone: its tasks must not go on.
TEST_F(LeadershipTest, ACancellationThatItHasNotReadIsLearnedFirst) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  const uint64_t round = *l_.BeginPromiseRound(10, now);
  Hear(round, "hut-1", Says(0, 50), now);
  // The peer's process is new: what the one before it told can't be listed.
  EXPECT_TRUE(Hear(round, "hut-2", Says(60, 60), now).empty());
  EXPECT_FALSE(l_.MayAct(now));
  // Nor does what it lists beyond that make up for it.
  Hear(round, "hut-2", Says(70, 60, {{"req-1", 70}}), now);
  EXPECT_FALSE(l_.MayAct(now));
  l_.OnReadUpTo(10, 60);
  EXPECT_EQ(l_.MakePromiseRequest().read_revision, 60u);
  const uint64_t next = *l_.BeginPromiseRound(10, now);
  Hear(next, "hut-1", Says(0, 60), now);
  EXPECT_EQ(Hear(next, "hut-2", Says(80, 60, {{"req-1", 70}, {"req-2", 80}}), now),
            (std::vector<std::string>{"req-1", "req-2"}));
  EXPECT_TRUE(l_.MayAct(now));
}

// The answers to two changes come to a peer in the other order: it learns of the earlier
// cancellation after it has told of the later one. Asked for what is later only, it never said so.
TEST_F(LeadershipTest, AnEarlierCancellationMayBecomeKnownLater) {
  Lead(50);
  CancellationLog peer(10);
  peer.AssumeReportedUpTo(40);
  peer.Add("req-2", 80);
  const double now = 10 + derived_.store_lease_s;
  const auto round = [&](double at) {
    const uint64_t n = *l_.BeginPromiseRound(10, at);
    Hear(n, "hut-1", Says(0, 50), at);
    return Hear(n, "hut-2", {true, peer.Since(l_.MakePromiseRequest().read_revision)}, at);
  };
  EXPECT_EQ(round(now), std::vector<std::string>{"req-2"});
  peer.Add("req-1", 70);
  EXPECT_EQ(round(now + 0.1), (std::vector<std::string>{"req-1", "req-2"}));
}

// More than an answer holds: what it lists is ended, but it is no look.
TEST_F(LeadershipTest, AHalfLearnedListIsNoLook) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  const uint64_t round = *l_.BeginPromiseRound(10, now);
  Hear(round, "hut-1", Says(0, 50), now);
  wire::PromiseResponse part = Says(90, 50, {{"req-1", 60}});
  part.cancellations.to_revision = 80;
  EXPECT_EQ(Hear(round, "hut-2", part, now), std::vector<std::string>{"req-1"});
  EXPECT_FALSE(l_.MayAct(now));
}

// What has ended while it read anew it does not know, whatever the revision of the first page says.
TEST_F(LeadershipTest, ALeaderThatReadsAnewIsNotVouchedFor) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  const uint64_t round = *l_.BeginPromiseRound(10, now);
  Hear(round, "hut-1", Says(0, 50), now);
  l_.Reset();
  Hear(round, "hut-2", Says(0, 50), now);
  EXPECT_FALSE(l_.MayAct(now));
  EXPECT_FALSE(l_.BeginPromiseRound(10, now));
}

TEST_F(LeadershipTest, APeerPromisesOnlyWhatItKnows) {
  EXPECT_FALSE(Promises(90, 0, 20));  // it has read nothing
  l_.OnLeaderKey({"hut-1", 9, 90});
  EXPECT_FALSE(Promises(90, 0, 20));  // not all: what the process before it told is not known
  Follow();
  EXPECT_FALSE(Promises(90, 19.9, 20));  // it can do without the leader
  EXPECT_TRUE(Promises(90, 0, 20));
  EXPECT_FALSE(Promises(89, 0, 20));  // a leader of the past
  l_.OnLeaderKey({});
  l_.OnReadUpTo(15, 110);
  EXPECT_FALSE(Promises(90, 0, 20));  // its key is gone
}

// The first leader was refused alone, another was elected, and then nobody could read: the first
// did not know, promised nothing, and all leases ran out.
TEST_F(LeadershipTest, ALaterLeaderIsBelieved) {
  Lead(50);
  EXPECT_FALSE(Promises(50, 10, 20));  // nobody else leads under its own token
  EXPECT_EQ(l_.token(), 50u);
  const auto promise = l_.OnPromiseRequest({"hut-1", 60, 0}, 10, 20);
  EXPECT_TRUE(promise.promised);
  ASSERT_TRUE(promise.loss);
  EXPECT_EQ(promise.loss->token, 50u);
  EXPECT_EQ(l_.token(), 0u);
  EXPECT_EQ(l_.leader(), "hut-1");
  EXPECT_FALSE(Promises(50, 10, 20, "hut-2"));  // nor anybody earlier any more
  EXPECT_EQ(l_.NextStep(20).kind, Kind::kNone);
  // What it reads later goes before what it was told.
  l_.OnLeaderKey({});
  l_.OnReadUpTo(21, 70);
  EXPECT_FALSE(Promises(60, 10, 22));
}

TEST_F(LeadershipTest, WhatCannotBeIsNoPromise) {
  Follow();
  EXPECT_FALSE(l_.OnPromiseRequest({"hut-1", 1'000'000, 0}, 0, 20).well_formed);
  EXPECT_FALSE(l_.OnPromiseRequest({"hut-1", 90, 1'000'000}, 0, 20).well_formed);
  EXPECT_FALSE(l_.OnPromiseRequest({"hut-9", 90, 0}, 0, 20).well_formed);
  EXPECT_FALSE(l_.OnPromiseRequest({"hut-1", 0, 0}, 0, 20).well_formed);
  EXPECT_TRUE(l_.OnPromiseRequest({"hut-1", 90, 0}, 0, 20).well_formed);
  Leadership leader(settings_, derived_, 0);
  leader.OnStoreLeaseGranted(7, 10);
  leader.OnLoaded(true);
  leader.OnLeaderKey({"hut-0", 7, 5});
  leader.NextStep(10);
  leader.OnReadUpTo(10, 5);
  std::vector<wire::CancellationLogSlice::Entry> learned;
  const uint64_t round = *leader.BeginPromiseRound(10, 12);
  EXPECT_FALSE(leader.OnPromiseResponse(round, "hut-1", Says(1'000'000, 5), 12, learned));
  EXPECT_TRUE(learned.empty());
}

// ---------------------------------------------------------------------------- cancellations

std::vector<std::string> Ids(const wire::CancellationLogSlice& part) {
  std::vector<std::string> ids;
  for (const auto& e : part.entries) ids.push_back(e.id);
  return ids;
}

TEST(Cancelled, ListsWhatCameSince) {
  CancellationLog c(10);
  c.AssumeReportedUpTo(100);  // by the process before
  c.Add("req-1", 90);
  EXPECT_EQ(c.newest(), 100u);
  EXPECT_TRUE(c.Since(0).entries.empty());
  EXPECT_EQ(c.Since(0).from_revision, 100u);
  c.Add("req-2", 120);
  c.Add("req-2", 120);  // its own answer, and the mirror
  c.Add("req-3", 110);
  EXPECT_EQ(Ids(c.Since(100)), (std::vector<std::string>{"req-3", "req-2"}));
  EXPECT_EQ(Ids(c.Since(110)), std::vector<std::string>{"req-2"});
  EXPECT_EQ(c.Since(130).to_revision, 130u);
  c.AssumeReportedUpTo(115);
  EXPECT_EQ(Ids(c.Since(100)), std::vector<std::string>{"req-2"});
  EXPECT_EQ(c.Since(100).from_revision, 115u);
}

TEST(Cancelled, ForgetsTheEarliestAndSaysSo) {
  CancellationLog c(3);
  for (uint64_t i = 1; i <= 5; ++i) c.Add("req-" + std::to_string(i), 10 * i);
  EXPECT_EQ(c.Since(0).from_revision, 20u);
  EXPECT_EQ(Ids(c.Since(0)), (std::vector<std::string>{"req-3", "req-4", "req-5"}));
}

TEST(Cancelled, AnAnswerHoldsSoMany) {
  CancellationLog c(4 * wire::kMaxCancelledIds);
  const uint64_t n = 2 * wire::kMaxCancelledIds + 7;
  for (uint64_t i = 1; i <= n; ++i) c.Add("req-" + std::to_string(i), (i + 2) / 2);
  std::set<std::string> seen;
  uint64_t from = 0;
  int parts = 0;
  while (from < c.newest()) {
    const auto part =
        wire::DecodePromiseResponse(wire::Encode(wire::PromiseResponse{true, c.Since(from)}));
    EXPECT_LE(part.cancellations.entries.size(), wire::kMaxCancelledIds);
    EXPECT_EQ(part.cancellations.from_revision, from);
    ASSERT_GT(part.cancellations.to_revision, from);
    for (const auto& e : part.cancellations.entries) EXPECT_TRUE(seen.insert(e.id).second);
    from = part.cancellations.to_revision;
    ++parts;
  }
  EXPECT_EQ(seen.size(), n);
  EXPECT_EQ(parts, 3);
}

TEST(VouchFrame, WhatNoWriterWritesIsRefused) {
  const std::string question = wire::Encode(wire::PromiseRequest{"hut-1", 70'000, 300});
  EXPECT_EQ(wire::DecodePromiseRequest(question).token, 70'000u);
  const std::string answer =
      wire::Encode(wire::PromiseResponse{true, {300, 100, 300, {{"req-1", 200}, {"req-2", 300}}}});
  EXPECT_EQ(wire::DecodePromiseResponse(answer).cancellations.entries.size(), 2u);
  for (size_t n = 0; n < question.size(); ++n) {
    EXPECT_THROW(wire::DecodePromiseRequest(question.substr(0, n)), wire::BadMessage) << n;
  }
  for (size_t n = 0; n < answer.size(); ++n) {
    EXPECT_THROW(wire::DecodePromiseResponse(answer.substr(0, n)), wire::BadMessage) << n;
  }
  EXPECT_THROW(wire::DecodePromiseRequest(question + '\0'), wire::BadMessage);
  EXPECT_THROW(wire::DecodePromiseResponse(answer + '\0'), wire::BadMessage);
  for (const char version : {'\1', '\3'}) {
    EXPECT_THROW(wire::DecodePromiseRequest(version + question.substr(1)), wire::BadMessage);
    EXPECT_THROW(wire::DecodePromiseResponse(version + answer.substr(1)), wire::BadMessage);
  }
  using Ids = std::vector<wire::CancellationLogSlice::Entry>;
  for (const Ids& ids : {Ids{{"req-2", 300}, {"req-1", 200}}, Ids{{"req-1", 100}},
                         Ids{{"req-1", 301}}, Ids{{"vm-1", 200}}}) {
    EXPECT_THROW(wire::DecodePromiseResponse(
                     wire::Encode(wire::PromiseResponse{true, {300, 100, 300, ids}})),
                 wire::BadMessage);
  }
  Ids many;
  for (uint64_t i = 0; i <= wire::kMaxCancelledIds; ++i) many.push_back({"req-1", 200});
  EXPECT_THROW(
      wire::DecodePromiseResponse(wire::Encode(wire::PromiseResponse{true, {300, 100, 300, many}})),
      wire::BadMessage);
}

// ---------------------------------------------------------------------------- the first meeting
//
// Three controllers, the state service, and a worker with one long task that is cancelled. The
// controllers are the real decisions; everything else is plain. Whatever the order of what happens,
// the task is gone within cancel_s of the moment its user was told.

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
