// Tests of the election, of promises not to lead, and of the cancellations that a leader receives
// from its peers during an outage of the key-value store.
#include "mosspath/election/leadership.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "mosspath/election/cancellation_log.h"
#include "peer_settings.h"

namespace mosspath::election {
namespace {

using Kind = Leadership::Step::Kind;

class LeadershipTest : public ::testing::Test {
 protected:
  LeadershipTest()
      : settings_(test::PeerSettings()), derived_(settings_), leadership_(settings_, derived_, 0) {}

  // Elects this controller at 10 s under `token`. The controller has read all records up to the
  // revision `token`.
  void Lead(uint64_t token) {
    leadership_.OnStoreLeaseGranted(7, 10);
    leadership_.OnLoaded(false);
    EXPECT_EQ(leadership_.NextStep(10).kind, Kind::kCampaign);
    leadership_.OnLeaderKey({"hut-0", 7, token});
    EXPECT_EQ(leadership_.NextStep(10).kind, Kind::kElected);
    leadership_.OnReadUpTo(10, token);
  }
  // Returns a promise with a slice of the cancellation log. The slice is complete after the
  // revision `from`.
  static wire::PromiseResponse Promise(uint64_t newest, uint64_t from,
                                       std::vector<wire::CancellationLogSlice::Entry> ids = {}) {
    return {true, {newest, from, std::max(newest, from), std::move(ids)}};
  }
  // Delivers a peer's response and returns the ids of the cancellations in the response.
  std::vector<std::string> Receive(uint64_t round, const char* peer,
                                   const wire::PromiseResponse& response, double now) {
    std::vector<wire::CancellationLogSlice::Entry> learned;
    accepted_ = leadership_.OnPromiseResponse(round, peer, response, now, learned) !=
                PromiseResponseResult::kImplausible;
    std::vector<std::string> ids;
    for (const auto& entry : learned) ids.push_back(entry.id);
    return ids;
  }
  // Makes this controller a peer that has read up to revision 100; hut-1 leads under token 90.
  void Follow() {
    leadership_.OnLoaded(false);
    leadership_.OnLeaderKey({"hut-1", 9, 90});
    leadership_.OnReadUpTo(10, 100);
  }
  bool GetsPromise(uint64_t token, double contact, double now,
                   const std::string& sender = "hut-1") {
    return leadership_.OnPromiseRequest({sender, token, 0}, contact, now).promised();
  }

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  Leadership leadership_;
  bool accepted_ = false;
};

TEST_F(LeadershipTest, LeadsUnderTheKeysVersionWhileItsLeaseAndItsViewAreValid) {
  Lead(50);
  EXPECT_EQ(leadership_.token(), 50u);
  EXPECT_TRUE(leadership_.MayAct(10 + derived_.store_lease_s / 2));
  EXPECT_FALSE(leadership_.MayAct(10 + derived_.store_lease_s));
  for (double now = 10; now < 40; now += derived_.store_lease_renew_s)
    leadership_.OnStoreLeaseRenewed(now);
  // The controller's last read of the key-value store is too old.
  EXPECT_FALSE(leadership_.MayAct(10 + derived_.max_view_age_s + 0.1));
  leadership_.OnReadUpTo(39, 60);
  EXPECT_TRUE(leadership_.MayAct(40));
  const auto lost = leadership_.OnLeaderKey({"hut-1", 9, 61});
  ASSERT_TRUE(lost);
  EXPECT_EQ(lost->token, 50u);
  EXPECT_FALSE(leadership_.MayAct(40));
}

// The previous process of this controller may have promised not to lead just before it ended. The
// restarted controller must wait until that promise has expired.
TEST_F(LeadershipTest, LeadsOnlyAfterItsOwnPromiseExpires) {
  Leadership restarted(settings_, derived_, 10);
  restarted.OnStoreLeaseGranted(8, 10);
  restarted.OnLoaded(false);
  restarted.OnLeaderKey({"hut-0", 8, 70});
  EXPECT_EQ(restarted.NextStep(10 + derived_.promise_s / 2).kind, Kind::kWait);
  EXPECT_EQ(restarted.NextStep(10 + derived_.promise_s + 0.01).kind, Kind::kElected);
  // If no controller has ever led, no promise can have been made.
  Leadership first(settings_, derived_, 10);
  first.OnStoreLeaseGranted(8, 10);
  first.OnLoaded(true);
  first.OnLeaderKey({"hut-0", 8, 1});
  EXPECT_EQ(first.NextStep(10).kind, Kind::kElected);
}

TEST_F(LeadershipTest, OthersCampaignFirstAfterItResigned) {
  Lead(50);
  ASSERT_TRUE(leadership_.Resign(LeadershipLossReason::kViewIsStale, 11));
  leadership_.OnStoreLeaseGranted(8, 11);
  leadership_.OnLeaderKey({});
  EXPECT_EQ(leadership_.NextStep(11).kind, Kind::kWait);
  EXPECT_EQ(leadership_.NextStep(11 + derived_.store_lease_s / 4).kind, Kind::kWait);
  // No other controller has campaigned in the meantime.
  EXPECT_EQ(leadership_.NextStep(11 + derived_.store_lease_s / 2 + 0.01).kind, Kind::kCampaign);
}

TEST_F(LeadershipTest, ContinuesWhileAllPeersPromise) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  EXPECT_FALSE(leadership_.BeginPromiseRound(now - 0.1, now));  // The key-value store answered.
  auto round = leadership_.BeginPromiseRound(10, now);
  ASSERT_TRUE(round);
  Receive(*round, "hut-1", Promise(40, 50), now);
  EXPECT_FALSE(leadership_.MayAct(now));  // Only one of two peers has promised.
  Receive(*round - 1, "hut-2", Promise(40, 50), now);
  EXPECT_FALSE(leadership_.MayAct(now));  // hut-2 promised in an earlier round.
  Receive(*round, "hut-2", {false, Promise(40, 50).cancellations}, now);
  EXPECT_FALSE(leadership_.MayAct(now));  // hut-2 refused to promise.
  Receive(*round, "hut-2", Promise(40, 50), now + 0.1);
  EXPECT_TRUE(leadership_.MayAct(now + 0.1));
  // The promises make the view as fresh as a read of the key-value store at the time of the promise
  // requests.
  EXPECT_NEAR(leadership_.view_age_s(now + 0.1), 0.1, 1e-9);
  EXPECT_FALSE(leadership_.MayAct(now + derived_.promise_s));
}

// A peer confirms a cancellation to its user while the leader alone can't reach the key-value
// store. The leader must receive the cancellation before it may act, or it would keep the job's
// tasks running.
TEST_F(LeadershipTest, AnUnreadCancellationIsLearnedFirst) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  const uint64_t round = *leadership_.BeginPromiseRound(10, now);
  Receive(round, "hut-1", Promise(0, 50), now);
  // hut-2 has restarted. It can't list the cancellations up to revision 60 that its previous
  // process may have confirmed, and the leader has read only up to revision 50.
  EXPECT_TRUE(Receive(round, "hut-2", Promise(60, 60), now).empty());
  EXPECT_FALSE(leadership_.MayAct(now));
  // A cancellation after revision 60 does not replace those between revisions 50 and 60.
  Receive(round, "hut-2", Promise(70, 60, {{"req-1", 70}}), now);
  EXPECT_FALSE(leadership_.MayAct(now));
  leadership_.OnReadUpTo(10, 60);
  EXPECT_EQ(leadership_.MakePromiseRequest().read_revision, 60u);
  const uint64_t next = *leadership_.BeginPromiseRound(10, now);
  Receive(next, "hut-1", Promise(0, 60), now);
  EXPECT_EQ(Receive(next, "hut-2", Promise(80, 60, {{"req-1", 70}, {"req-2", 80}}), now),
            (std::vector<std::string>{"req-1", "req-2"}));
  EXPECT_TRUE(leadership_.MayAct(now));
}

// A peer cancels two jobs and receives the responses of the key-value store in reverse order. The
// peer therefore logs the earlier cancellation after it has sent the later cancellation to the
// leader. A leader that then requested only entries after the later cancellation never received the
// earlier cancellation.
TEST_F(LeadershipTest, AnEarlierCancellationMayBecomeKnownLater) {
  Lead(50);
  CancellationLog peer(10);
  peer.AssumeReportedUpTo(40);
  peer.Add("req-2", 80);
  const double now = 10 + derived_.store_lease_s;
  const auto round = [&](double at) {
    const uint64_t n = *leadership_.BeginPromiseRound(10, at);
    Receive(n, "hut-1", Promise(0, 50), at);
    return Receive(n, "hut-2", {true, peer.Since(leadership_.MakePromiseRequest().read_revision)},
                   at);
  };
  EXPECT_EQ(round(now), std::vector<std::string>{"req-2"});
  peer.Add("req-1", 70);
  EXPECT_EQ(round(now + 0.1), (std::vector<std::string>{"req-1", "req-2"}));
}

// If there are more cancellations than a response holds, the leader ends the listed jobs, but the
// response does not refresh the leader's view.
TEST_F(LeadershipTest, APartialCancellationListDoesNotRefreshTheView) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  const uint64_t round = *leadership_.BeginPromiseRound(10, now);
  Receive(round, "hut-1", Promise(0, 50), now);
  wire::PromiseResponse partial = Promise(90, 50, {{"req-1", 60}});
  partial.cancellations.to_revision = 80;
  EXPECT_EQ(Receive(round, "hut-2", partial, now), std::vector<std::string>{"req-1"});
  EXPECT_FALSE(leadership_.MayAct(now));
}

// During a reload the leader has not read the ends of all jobs, even if the first page of records
// that it has read has a recent revision. Promises must not make this incomplete view fresh.
TEST_F(LeadershipTest, ALeaderThatReloadsGetsNoPromises) {
  Lead(50);
  const double now = 10 + derived_.store_lease_s;
  const uint64_t round = *leadership_.BeginPromiseRound(10, now);
  Receive(round, "hut-1", Promise(0, 50), now);
  leadership_.Reset();
  Receive(round, "hut-2", Promise(0, 50), now);
  EXPECT_FALSE(leadership_.MayAct(now));
  EXPECT_FALSE(leadership_.BeginPromiseRound(10, now));
}

TEST_F(LeadershipTest, APeerPromisesOnlyWhatItKnows) {
  EXPECT_FALSE(GetsPromise(90, 0, 20));  // This controller has read nothing.
  leadership_.OnLeaderKey({"hut-1", 9, 90});
  // Before the load is complete, this controller can't tell which cancellations its previous
  // process may have confirmed.
  EXPECT_FALSE(GetsPromise(90, 0, 20));
  Follow();
  EXPECT_FALSE(GetsPromise(90, 19.9, 20));  // The key-value store answered at 19.9 s.
  EXPECT_TRUE(GetsPromise(90, 0, 20));
  EXPECT_FALSE(GetsPromise(89, 0, 20));  // Token 89 is an earlier leader's.
  leadership_.OnLeaderKey({});
  leadership_.OnReadUpTo(15, 110);
  EXPECT_FALSE(GetsPromise(90, 0, 20));  // The leader key was deleted.
}

// Guards against expired leases: the first leader alone lost contact with the key-value store, a
// second leader was elected, and then the key-value store was down for all controllers. The first
// leader had not read the second election. It refused the promise to the second leader, and all
// leases expired.
TEST_F(LeadershipTest, ALaterLeaderIsAccepted) {
  Lead(50);
  EXPECT_FALSE(GetsPromise(50, 10, 20));  // Token 50 is this controller's own.
  EXPECT_EQ(leadership_.token(), 50u);
  const auto promise = leadership_.OnPromiseRequest({"hut-1", 60, 0}, 10, 20);
  EXPECT_TRUE(promise.promised());
  ASSERT_TRUE(promise.loss);
  EXPECT_EQ(promise.loss->token, 50u);
  EXPECT_EQ(leadership_.token(), 0u);
  EXPECT_EQ(leadership_.leader(), "hut-1");
  EXPECT_FALSE(GetsPromise(50, 10, 20, "hut-2"));  // Token 50 is of an earlier term.
  EXPECT_EQ(leadership_.NextStep(20).kind, Kind::kNone);
  // A leader key that is read later takes precedence over a promise request.
  leadership_.OnLeaderKey({});
  leadership_.OnReadUpTo(21, 70);
  EXPECT_FALSE(GetsPromise(60, 10, 22));
}

TEST_F(LeadershipTest, ImplausibleRequestsGetNoPromise) {
  Follow();
  EXPECT_TRUE(leadership_.OnPromiseRequest({"hut-1", 1'000'000, 0}, 0, 20).malformed());
  EXPECT_TRUE(leadership_.OnPromiseRequest({"hut-1", 90, 1'000'000}, 0, 20).malformed());
  EXPECT_TRUE(leadership_.OnPromiseRequest({"hut-9", 90, 0}, 0, 20).malformed());
  EXPECT_TRUE(leadership_.OnPromiseRequest({"hut-1", 0, 0}, 0, 20).malformed());
  EXPECT_FALSE(leadership_.OnPromiseRequest({"hut-1", 90, 0}, 0, 20).malformed());
  Leadership leader(settings_, derived_, 0);
  leader.OnStoreLeaseGranted(7, 10);
  leader.OnLoaded(true);
  leader.OnLeaderKey({"hut-0", 7, 5});
  leader.NextStep(10);
  leader.OnReadUpTo(10, 5);
  std::vector<wire::CancellationLogSlice::Entry> learned;
  const uint64_t round = *leader.BeginPromiseRound(10, 12);
  EXPECT_EQ(leader.OnPromiseResponse(round, "hut-1", Promise(1'000'000, 5), 12, learned),
            PromiseResponseResult::kImplausible);
  EXPECT_TRUE(learned.empty());
}

}  // namespace
}  // namespace mosspath::election
