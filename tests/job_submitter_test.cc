// What a burst of submissions costs the state service, counted.
#include "mosspath/service/job_submitter.h"

#include <gtest/gtest.h>

#include <optional>

#include "fakes/http_services.h"
#include "fakes/one_controller.h"
#include "mosspath/service/keys.h"

namespace mosspath::service {
namespace {

class AcceptorTest : public ::testing::Test {
 protected:
  static wire::JobSpec Spec(int i) {
    return fakes::SmallJob("req-" + std::to_string(100000 + i), 10);
  }

  AcceptorTest()
      : store_(io_),
        settings_(fakes::OneControllerSettings(store_.address())),
        derived_(settings_),
        client_(io_, settings_, derived_, nullptr),
        acceptor_(io_, client_, settings_, derived_) {}

  // How each of the jobs was answered.
  std::map<JobSubmitter::Outcome, int> Submit(int first, int count) {
    std::map<JobSubmitter::Outcome, int> told;
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      acceptor_.Submit(Spec(first + i), 7, [&](JobSubmitter::Outcome o, uint64_t) {
        ++told[o];
        ++answered;
      });
    }
    while (answered < count) io_.run_one();
    return told;
  }
  size_t Records() const {
    return static_cast<size_t>(
        std::count_if(store_.pairs().begin(), store_.pairs().end(),
                      [](const auto& p) { return p.first.starts_with(keys::kBatches); }));
  }

  asio::io_context io_;
  fakes::FakeKeyValueStore store_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  kvstore::Client client_;
  JobSubmitter acceptor_;
};

// A change each, 100 submissions took five seconds at this rate, and were answered 503 after two.
TEST_F(AcceptorTest, AHundredSubmissionsAtOnceTakeAFewChanges) {
  acceptor_.SetBatching(true);
  const auto told = Submit(0, 100);
  EXPECT_EQ(told.at(JobSubmitter::Outcome::kNew), 100);
  EXPECT_LE(Records(), 12u);
}

// While a controller may be of the version before, each has a record that it can read.
TEST_F(AcceptorTest, WithoutSharingTheOlderFormIsWritten) {
  const auto told = Submit(0, 10);
  EXPECT_EQ(told.at(JobSubmitter::Outcome::kNew), 10);
  EXPECT_EQ(Records(), 0u);
  EXPECT_TRUE(store_.pairs().contains(keys::Job("req-100003")));
}

// One that is known must not keep those it shares a transaction with from being accepted.
TEST_F(AcceptorTest, AKnownJobAmongOthers) {
  EXPECT_EQ(Submit(3, 1).at(JobSubmitter::Outcome::kNew), 1);
  acceptor_.SetBatching(true);
  const auto told = Submit(0, 10);
  EXPECT_EQ(told.at(JobSubmitter::Outcome::kNew), 9);
  EXPECT_EQ(told.at(JobSubmitter::Outcome::kAlreadyRecorded), 1);
}

// What can't be taken is answered, not held back.
TEST_F(AcceptorTest, AnOutageIsAnsweredAtOnce) {
  acceptor_.SetBatching(true);
  store_.down = true;
  EXPECT_EQ(Submit(0, 40).at(JobSubmitter::Outcome::kUndetermined), 40);
}

// One team's flood leaves places to others, and the next of another team goes before what waits of
// it.
TEST_F(AcceptorTest, ATeamsFloodLeavesPlacesAndTurns) {
  acceptor_.SetBatching(true);
  int full = 0;
  int accepted = 0;
  for (int i = 0; i < 600; ++i) {
    acceptor_.Submit(Spec(1000 + i), 7, [&](JobSubmitter::Outcome o, uint64_t) {
      ++(o == JobSubmitter::Outcome::kQueueFull ? full : accepted);
    });
  }
  EXPECT_GT(full, 300);
  EXPECT_GT(600 - full, 200);
  wire::JobSpec other = Spec(5000);
  other.team = "u";
  std::optional<JobSubmitter::Outcome> told;
  acceptor_.Submit(other, 7, [&](JobSubmitter::Outcome o, uint64_t) { told = o; });
  while (!told) io_.run_one();
  EXPECT_EQ(*told, JobSubmitter::Outcome::kNew);
  EXPECT_LT(accepted, 120);
}

}  // namespace
}  // namespace mosspath::service
