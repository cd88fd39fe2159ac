// Tests of the elector: when it campaigns for the leader key.
#include "mosspath/election/elector.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

#include "fakes/fake_key_value_store.h"
#include "fakes/one_controller.h"

namespace mosspath::election {
namespace {

constexpr double kAgentLeaseS = 6;  // makes a store lease short
constexpr const char* kLeaderKey = "lead";

class ElectorTest : public ::testing::Test {
 protected:
  static config::Settings Settings(const std::string& store) {
    config::Settings settings = fakes::OneControllerSettings(store);
    settings.agent_lease_s = kAgentLeaseS;
    return settings;
  }

  ElectorTest()
      : store_(io_),
        settings_(Settings(store_.address())),
        derived_(settings_),
        client_(io_, settings_, derived_, nullptr),
        elector_(io_, client_, settings_, derived_, kLeaderKey,
                 {.elected = [](uint64_t) {}, .lost = [] {}}) {}

  bool RunUntil(const std::function<bool()>& condition, double limit_s) {
    const double end = net::Now() + limit_s;
    while (!condition() && net::Now() < end) io_.run_for(std::chrono::milliseconds(5));
    return condition();
  }
  void RunFor(double duration_s) {
    RunUntil([] { return false; }, duration_s);
  }
  bool Campaigned() const { return store_.pairs().contains(kLeaderKey); }

  asio::io_context io_;
  fakes::FakeKeyValueStore store_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  kvstore::Client client_;
  Elector elector_;
};

// Guards against a cluster without a leader: an outage that began during a campaign outlasted the
// store lease by the controller's clock, and after the outage no controller campaigned again.
TEST_F(ElectorTest, CampaignsAgainAfterAnOutageInsideACampaignOutlastedItsStoreLease) {
  elector_.Start();
  ASSERT_TRUE(RunUntil([&] { return elector_.store_lease() != kvstore::kNoLease; },
                       derived_.call_timeout_s));
  store_.down = true;
  elector_.OnCacheLoaded(true);
  RunFor(2 * derived_.store_lease_s);
  ASSERT_FALSE(Campaigned());
  store_.down = false;
  EXPECT_TRUE(RunUntil([&] { return Campaigned(); }, derived_.store_lease_s));
}

// Guards against a controller that never campaigns because its store lease had lapsed by its own
// clock when the watch cache was loaded.
TEST_F(ElectorTest, CampaignsAfterARenewalIfItsStoreLeaseHadLapsedWhenTheCacheWasLoaded) {
  elector_.Start();
  ASSERT_TRUE(RunUntil([&] { return elector_.store_lease() != kvstore::kNoLease; },
                       derived_.call_timeout_s));
  store_.down = true;
  RunFor(2 * derived_.store_lease_s);
  elector_.OnCacheLoaded(true);
  store_.down = false;
  EXPECT_TRUE(RunUntil([&] { return Campaigned(); }, derived_.store_lease_s));
}

}  // namespace
}  // namespace mosspath::election
