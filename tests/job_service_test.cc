// Tests, for each way in which a controller receives a cancellation, that the controller logs the
// cancellation as possibly confirmed to users and treats the job as ended.
#include "mosspath/service/job_service.h"

#include <gtest/gtest.h>

#include <chrono>

#include "fakes/http_services.h"
#include "fakes/one_controller.h"

namespace mosspath::service {
namespace {

using JobStatus = JobService::JobStatus;

class JobServiceTest : public ::testing::Test {
 protected:
  static config::Settings Settings(const std::string& state) {
    config::Settings settings = fakes::OneControllerSettings(state);
    settings.agent_lease_s = 6;  // shortens the timeouts of calls
    settings.memory_mb = 64;
    return settings;
  }
  static wire::JobSpec Spec(const std::string& id) { return fakes::SmallJob(id, 2); }

  JobServiceTest()
      : store_(io_),
        settings_(Settings(store_.address())),
        derived_(settings_),
        client_(io_, settings_, derived_, nullptr),
        watch_cache_(io_, client_, derived_, keys::kLive, keys::kAll,
                     {.reset = [this] { jobs_.OnReset(); },
                      .changed =
                          [this](const kvstore::Event& e) {
                            if (e.key.starts_with(keys::kFinal)) return jobs_.OnFinalRecord(e);
                            if (!jobs_.records().OwnsKey(e.key)) return;
                            for (const auto& id : jobs_.OnRecord(e).accepted)
                              accepted_.push_back(id);
                          },
                      .loaded =
                          [this] {
                            jobs_.AssumeReportedUpTo(watch_cache_.revision());
                            jobs_.OnLoaded(watch_cache_.revision());
                          },
                      .advanced = [] {},
                      .current = [](double) {}}),
        admission_(settings_),
        jobs_(io_, client_, watch_cache_, admission_, settings_, derived_) {
    jobs_.on_job_cancelled = [this](const std::string& id) { ended_.push_back(id); };
    store_.Put(keys::Job("req-1"), jobs::JobRecords::EncodeEntry(Spec("req-1"), 0));
    watch_cache_.Start();
    RunUntil([&] { return watch_cache_.loaded(); });
  }

  void RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 2000 && !condition(); ++i) io_.run_for(std::chrono::milliseconds(5));
    ASSERT_TRUE(condition());
  }
  JobStatus AwaitStatus(const std::function<void(std::function<void(JobStatus)>)>& request) {
    std::optional<JobStatus> result;
    request([&](JobStatus status) { result = status; });
    RunUntil([&] { return result.has_value(); });
    return result.value_or(JobStatus::kUndetermined);
  }
  JobStatus Lookup(const std::string& id) {
    return AwaitStatus([&](auto done) { jobs_.Lookup(id, done); });
  }
  JobStatus Cancel(const std::string& id) {
    return AwaitStatus([&](auto done) { jobs_.Cancel(id, done); });
  }

  asio::io_context io_;
  fakes::FakeKeyValueStore store_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  kvstore::Client client_;
  kvstore::WatchCache watch_cache_;
  AdmissionService admission_;
  JobService jobs_;
  std::vector<std::string> ended_;
  std::vector<std::string> accepted_;
};

// A job is accepted and cancelled after the controller has checked its live jobs and before it
// reads the job's final record. The controller then reports the cancellation to the user, so it
// must have logged the cancellation: a leader that has not read the final record receives the
// cancellation from this log.
TEST_F(JobServiceTest, ACancellationReadFromItsFinalRecordCountsAsReported) {
  uint64_t cancelled = 0;
  bool answered = false;
  store_.before_single_read = [&] {
    store_.down = true;  // All later reads fail.
    cancelled = store_.Put(keys::Final("req-2"),
                           {{"stage", wire::JobStateName(wire::JobState::kCancelled)}});
  };
  const uint64_t before = jobs_.cancellations().newest();
  jobs_.Lookup("req-2", [&](JobStatus status) {
    answered = true;
    EXPECT_EQ(status, JobStatus::kCancelled);
    EXPECT_GE(jobs_.cancellations().newest(), cancelled);
  });
  RunUntil([&] { return answered; });
  EXPECT_GT(cancelled, before);
}

// The controller logs its own cancellation before it answers the user, even if the watch cache
// has not received the cancellation yet.
TEST_F(JobServiceTest, ItsOwnCancellationCountsAtOnce) {
  bool answered = false;
  jobs_.Cancel("req-1", [&](JobStatus status) {
    answered = true;
    EXPECT_EQ(status, JobStatus::kCancelled);
    EXPECT_GT(jobs_.cancellations().newest(), jobs_.cancellations().listed_from());
    EXPECT_EQ(ended_, std::vector<std::string>{"req-1"});
  });
  RunUntil([&] { return answered; });
}

// The cancellation is committed, its answer is lost, and a retry finds the job cancelled.
TEST_F(JobServiceTest, ACancellationWithoutAnAnswerIsReportedByTheRetry) {
  store_.lose_changes = true;
  EXPECT_EQ(Cancel("req-1"), JobStatus::kUndetermined);
  store_.lose_changes = false;
  EXPECT_EQ(Cancel("req-1"), JobStatus::kCancelled);
  EXPECT_EQ(jobs_.cancellations().Since(jobs_.cancellations().listed_from()).entries.size(), 1u);
  EXPECT_EQ(jobs_.FindLive("req-1"), nullptr);
}

// The controller receives a cancellation from a peer during an outage of the key-value store. The
// job must end at once, because the watch cache receives the cancellation only after the outage.
TEST_F(JobServiceTest, AJobCancelledAheadOfTheWatchCacheHasEnded) {
  ASSERT_NE(jobs_.FindLive("req-1"), nullptr);
  store_.down = true;
  const uint64_t revision = watch_cache_.revision() + 1;
  jobs_.OnJobCancelled("req-1", revision);
  EXPECT_EQ(ended_, std::vector<std::string>{"req-1"});
  EXPECT_EQ(jobs_.FindLive("req-1"), nullptr);
  EXPECT_NE(jobs_.records().Find("req-1"), nullptr);
  EXPECT_EQ(Lookup("req-1"), JobStatus::kCancelled);
  EXPECT_EQ(jobs_.cancellations().newest(), revision);
}

// The controller receives a cancellation from a peer. The watch cache then receives the job's
// acceptance, but no later change while an outage of the key-value store lasts. A leader that
// treated the job as live kept running the job, although the user had received the confirmation of
// the cancellation.
TEST_F(JobServiceTest, AJobCancelledBeforeItsAcceptanceIsSeenIsNotAccepted) {
  jobs_.OnJobCancelled("req-3", watch_cache_.revision() + 2);
  store_.Put(keys::Job("req-3"), jobs::JobRecords::EncodeEntry(Spec("req-3"), 0));
  RunUntil([&] { return jobs_.records().Find("req-3") != nullptr; });
  EXPECT_EQ(accepted_, std::vector<std::string>{"req-1"});
  EXPECT_EQ(jobs_.FindLive("req-3"), nullptr);
  std::vector<std::string> live;
  jobs_.ForEachLive([&](const std::string& id, const jobs::AcceptedJob&) { live.push_back(id); });
  EXPECT_EQ(live, std::vector<std::string>{"req-1"});
}

// Guards against a service that refuses all jobs: each repeated submission of an ended job left the
// job's tasks in flight for ever.
TEST_F(JobServiceTest, RepeatedSubmissionsOfAnEndedJobTakeNoBudget) {
  ASSERT_EQ(Cancel("req-1"), JobStatus::kCancelled);
  RunUntil([&] { return admission_.controller().live() == 0; });
  int answers = 0;
  const auto on_outcome = [&](JobService::SubmitOutcome outcome) {
    EXPECT_EQ(outcome, JobService::SubmitOutcome::kAlreadyRecorded);
    ++answers;
  };
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(jobs_.Submit(Spec("req-1"), on_outcome).admit);
  EXPECT_EQ(answers, 3);
  EXPECT_EQ(admission_.controller().in_flight(), 0);
  EXPECT_EQ(admission_.Demand(net::Now()), 0);
}

}  // namespace
}  // namespace mosspath::service
