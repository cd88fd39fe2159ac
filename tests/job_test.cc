// A job's tasks: the bitmap of those that are done, and the memory that they take.
#include "mosspath/jobs/job.h"

#include <gtest/gtest.h>

#include <string>

namespace mosspath::jobs {
namespace {

TEST(Progress, BitsRoundTrip) {
  wire::JobSpec spec;
  spec.id = "req-1";
  spec.tasks = 1200;
  jobs::Job job(spec, 1, 0);
  for (uint32_t i = 0; i < 1200; ++i) {
    if (i % 5 != 0 && i % 7 != 3) job.MarkDone(i);
  }
  jobs::Job copy(spec, 1, 0);
  for (uint32_t s = 0; s < 3; ++s) jobs::ApplyDoneBitmap(jobs::EncodeDoneBitmap(job, s), s, &copy);
  EXPECT_EQ(copy.done, job.done);
  EXPECT_EQ(copy.pending, job.pending);
  EXPECT_TRUE(copy.done_not_durable.empty());
  // Hostile records change nothing they shouldn't.
  jobs::ApplyDoneBitmap(wire::Json("x"), 0, &copy);
  jobs::ApplyDoneBitmap(wire::Json("ff"), 5, &copy);
  jobs::ApplyDoneBitmap(wire::Json(std::string(200, 'f')), 0, &copy);
  jobs::ApplyDoneBitmap(wire::Json{{"a", 1}}, 0, &copy);
  EXPECT_EQ(copy.done, job.done);
}

jobs::Job Waiting(const std::string& team, const std::string& job_class, uint32_t tasks,
                  uint32_t placed) {
  wire::JobSpec s;
  s.id = "req-" + team + job_class;
  s.team = team;
  s.job_class = job_class;
  s.tasks = tasks;
  s.cpus = 1;
  jobs::Job job(s, 1, 0);
  for (uint32_t i = 0; i < placed; ++i) job.pending.erase(i);
  return job;
}

TEST(Turns, AWaitingTaskCostsFewBytes) {
  const auto job = Waiting("t", "c", 100'000, 0);
  const double each =
      sizeof(jobs::Task) + static_cast<double>(job.pending.bytes()) / job.spec.tasks;
  EXPECT_LT(each, 8);
}

}  // namespace
}  // namespace mosspath::jobs
