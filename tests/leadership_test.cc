// Who leads, who promises not to, and what a leader learns from its peers while the state service
// is silent.
#include "mosspath/election/leadership.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

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

}  // namespace
}  // namespace mosspath::election
