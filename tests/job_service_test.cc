// What a controller counts as told and as over, whatever way it came to know of it.
#include "mosspath/service/job_service.h"

#include <gtest/gtest.h>

#include <chrono>

#include "fakes/http_services.h"
#include "fakes/one_controller.h"

namespace mosspath::service {
namespace {

using Known = JobService::JobStatus;

class JobTableTest : public ::testing::Test {
 protected:
  static config::Settings Settings(const std::string& state) {
    config::Settings s = fakes::OneControllerSettings(state);
    s.agent_lease_s = 6;  // calls time out soon
    s.memory_mb = 64;
    return s;
  }
  static wire::JobSpec Spec(const std::string& id) { return fakes::SmallJob(id, 2); }

  JobTableTest()
      : store_(io_),
        settings_(Settings(store_.address())),
        derived_(settings_),
        client_(io_, settings_, derived_, nullptr),
        mirror_(io_, client_, derived_, keys::kLive, keys::kAll,
                {.reset = [this] { jobs_.OnReset(); },
                 .changed =
                     [this](const kvstore::Event& e) {
                       if (e.key.starts_with(keys::kFinal)) return jobs_.OnFinalRecord(e);
                       if (!jobs_.records().OwnsKey(e.key)) return;
                       for (const auto& id : jobs_.OnRecord(e).accepted) came_.push_back(id);
                     },
                 .loaded =
                     [this] {
                       jobs_.AssumeReportedUpTo(mirror_.revision());
                       jobs_.OnLoaded(mirror_.revision());
                     },
                 .advanced = [] {},
                 .current = [](double) {}}),
        admission_(settings_),
        jobs_(io_, client_, mirror_, admission_, settings_, derived_) {
    jobs_.on_cancelled_ahead = [this](const std::string& id) { ended_.push_back(id); };
    store_.Put(keys::Job("req-1"), jobs::JobRecords::EncodeEntry(Spec("req-1"), 0));
    mirror_.Start();
    Until([&] { return mirror_.loaded(); });
  }

  void Until(const std::function<bool()>& condition) {
    for (int i = 0; i < 2000 && !condition(); ++i) io_.run_for(std::chrono::milliseconds(5));
    ASSERT_TRUE(condition());
  }
  Known Ask(const std::function<void(std::function<void(Known)>)>& what) {
    std::optional<Known> told;
    what([&](Known k) { told = k; });
    Until([&] { return told.has_value(); });
    return told.value_or(Known::kUndetermined);
  }
  Known Lookup(const std::string& id) {
    return Ask([&](auto done) { jobs_.Lookup(id, done); });
  }
  Known Cancel(const std::string& id) {
    return Ask([&](auto done) { jobs_.Cancel(id, done); });
  }

  asio::io_context io_;
  fakes::FakeKeyValueStore store_;
  const config::Settings settings_;
  const config::DerivedSettings derived_;
  kvstore::Client client_;
  kvstore::WatchCache mirror_;
  AdmissionService admission_;
  JobService jobs_;
  std::vector<std::string> ended_;
  std::vector<std::string> came_;
};

// Between the look at the live jobs and the read of its final record a job came, was cancelled, and
// is told so here: a leader that has not read that must hear of it from this controller.
TEST_F(JobTableTest, WhatWasReadByItselfCountsAsTold) {
  uint64_t cancelled = 0;
  bool told = false;
  store_.before_single_read = [&] {
    store_.down = true;  // nothing else is read any more
    cancelled = store_.Put(keys::Final("req-2"),
                           {{"stage", wire::JobStateName(wire::JobState::kCancelled)}});
  };
  const uint64_t before = jobs_.cancellations().newest();
  jobs_.Lookup("req-2", [&](Known k) {
    told = true;
    EXPECT_EQ(k, Known::kCancelled);
    EXPECT_GE(jobs_.cancellations().newest(), cancelled);
  });
  Until([&] { return told; });
  EXPECT_GT(cancelled, before);
}

// Before its user is told, whatever the mirror shows by then.
TEST_F(JobTableTest, ItsOwnCancellationCountsAtOnce) {
  bool told = false;
  jobs_.Cancel("req-1", [&](Known k) {
    told = true;
    EXPECT_EQ(k, Known::kCancelled);
    EXPECT_GT(jobs_.cancellations().newest(), jobs_.cancellations().listed_from());
    EXPECT_EQ(ended_, std::vector<std::string>{"req-1"});
  });
  Until([&] { return told; });
}

// The cancellation is carried out, its answer is lost, and a retry finds it done.
TEST_F(JobTableTest, ACancellationWithoutAnAnswerIsToldByTheRetry) {
  store_.lose_changes = true;
  EXPECT_EQ(Cancel("req-1"), Known::kUndetermined);
  store_.lose_changes = false;
  EXPECT_EQ(Cancel("req-1"), Known::kCancelled);
  EXPECT_EQ(jobs_.cancellations().Since(jobs_.cancellations().listed_from()).entries.size(), 1u);
  EXPECT_EQ(jobs_.FindLive("req-1"), nullptr);
}

// Its tasks end at once, not when the mirror tells, which takes as long as an outage does.
TEST_F(JobTableTest, WhatIsCancelledAheadOfTheMirrorIsOver) {
  ASSERT_NE(jobs_.FindLive("req-1"), nullptr);
  store_.down = true;
  const uint64_t revision = mirror_.revision() + 1;
  jobs_.OnCancellationLearned("req-1", revision);
  EXPECT_EQ(ended_, std::vector<std::string>{"req-1"});
  EXPECT_EQ(jobs_.FindLive("req-1"), nullptr);
  EXPECT_NE(jobs_.records().Find("req-1"), nullptr);
  EXPECT_EQ(Lookup("req-1"), Known::kCancelled);
  EXPECT_EQ(jobs_.cancellations().newest(), revision);
}

// The mirror shows that it was accepted, and then nothing more for as long as an outage lasts: a
// leader that took it for live went on with it, although its user had been told.
TEST_F(JobTableTest, WhatIsCancelledBeforeItIsSeenToComeDoesNotCome) {
  jobs_.OnCancellationLearned("req-3", mirror_.revision() + 2);
  store_.Put(keys::Job("req-3"), jobs::JobRecords::EncodeEntry(Spec("req-3"), 0));
  Until([&] { return jobs_.records().Find("req-3") != nullptr; });
  EXPECT_EQ(came_, std::vector<std::string>{"req-1"});
  EXPECT_EQ(jobs_.FindLive("req-3"), nullptr);
  std::vector<std::string> live;
  jobs_.ForEachLive([&](const std::string& id, const jobs::AcceptedJob&) { live.push_back(id); });
  EXPECT_EQ(live, std::vector<std::string>{"req-1"});
}

}  // namespace
}  // namespace mosspath::service
