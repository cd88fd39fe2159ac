// Tests of bursts of submissions: the number of transactions, and the outcome of each submission.
#include "mosspath/service/job_submitter.h"

#include <gtest/gtest.h>

#include <optional>

#include "fakes/http_services.h"
#include "fakes/one_controller.h"
#include "mosspath/service/keys.h"

namespace mosspath::service {
namespace {

class JobSubmitterTest : public ::testing::Test {
 protected:
  static wire::JobSpec JobNumber(int i) {
    return fakes::SmallJob("req-" + std::to_string(100000 + i), 10);
  }

  JobSubmitterTest()
      : store_(io_),
        settings_(fakes::OneControllerSettings(store_.address())),
        derived_(settings_),
        client_(io_, settings_, derived_, nullptr),
        submitter_(io_, client_, settings_, derived_) {}

  // Submits `count` jobs and returns how many were answered with each outcome.
  std::map<JobSubmitter::Outcome, int> Submit(int first, int count) {
    std::map<JobSubmitter::Outcome, int> outcomes;
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      submitter_.Submit(JobNumber(first + i), 7, [&](JobSubmitter::Outcome o, uint64_t) {
        ++outcomes[o];
        ++answered;
      });
    }
    while (answered < count) io_.run_one();
    return outcomes;
  }
  size_t BatchRecords() const {
    return static_cast<size_t>(
        std::count_if(store_.pairs().begin(), store_.pairs().end(),
                      [](const auto& p) { return p.first.starts_with(keys::kBatches); }));
  }

  asio::io_context io_;
  fakes::FakeKeyValueStore store_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  kvstore::Client client_;
  JobSubmitter submitter_;
};

// At this test's write rate, 100 transactions take five seconds. With one transaction for each job,
// 100 submissions were therefore answered with status 503 after two seconds.
TEST_F(JobSubmitterTest, AHundredSubmissionsAtOnceTakeFewTransactions) {
  submitter_.SetBatching(true);
  const auto outcomes = Submit(0, 100);
  EXPECT_EQ(outcomes.at(JobSubmitter::Outcome::kNew), 100);
  EXPECT_LE(BatchRecords(), 12u);
}

// While another controller may still run the previous version, each job is written to a record of
// its own, which the previous version can read.
TEST_F(JobSubmitterTest, WithoutBatchingOneRecordPerJobIsWritten) {
  const auto outcomes = Submit(0, 10);
  EXPECT_EQ(outcomes.at(JobSubmitter::Outcome::kNew), 10);
  EXPECT_EQ(BatchRecords(), 0u);
  EXPECT_TRUE(store_.pairs().contains(keys::Job("req-100003")));
}

// A job that is already recorded must not prevent the other jobs of its transaction from being
// accepted.
TEST_F(JobSubmitterTest, AKnownJobDoesNotBlockItsBatch) {
  EXPECT_EQ(Submit(3, 1).at(JobSubmitter::Outcome::kNew), 1);
  submitter_.SetBatching(true);
  const auto outcomes = Submit(0, 10);
  EXPECT_EQ(outcomes.at(JobSubmitter::Outcome::kNew), 9);
  EXPECT_EQ(outcomes.at(JobSubmitter::Outcome::kAlreadyRecorded), 1);
}

// During an outage, submissions are answered as undetermined instead of being held in the queue.
TEST_F(JobSubmitterTest, AnOutageIsAnsweredAtOnce) {
  submitter_.SetBatching(true);
  store_.down = true;
  EXPECT_EQ(Submit(0, 40).at(JobSubmitter::Outcome::kUndetermined), 40);
}

// A flood of one team leaves queue space to other teams, and the next job of another team is
// accepted before the pending jobs of the flooding team.
TEST_F(JobSubmitterTest, OneTeamsFloodLeavesQueueSpaceToOthers) {
  submitter_.SetBatching(true);
  int full = 0;
  int accepted = 0;
  for (int i = 0; i < 600; ++i) {
    submitter_.Submit(JobNumber(1000 + i), 7, [&](JobSubmitter::Outcome o, uint64_t) {
      ++(o == JobSubmitter::Outcome::kQueueFull ? full : accepted);
    });
  }
  EXPECT_GT(full, 300);
  EXPECT_GT(600 - full, 200);
  wire::JobSpec other = JobNumber(5000);
  other.team = "u";
  std::optional<JobSubmitter::Outcome> outcome;
  submitter_.Submit(other, 7, [&](JobSubmitter::Outcome o, uint64_t) { outcome = o; });
  while (!outcome) io_.run_one();
  EXPECT_EQ(*outcome, JobSubmitter::Outcome::kNew);
  EXPECT_LT(accepted, 120);
}

}  // namespace
}  // namespace mosspath::service
