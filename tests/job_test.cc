// Tests of a job's tasks: the bitmap of done tasks, and the memory per task.
#include "mosspath/jobs/job.h"

#include <gtest/gtest.h>

#include <string>

#include "builders.h"

namespace mosspath::jobs {
namespace {

TEST(JobTest, DoneBitmapsRoundTrip) {
  wire::JobSpec spec;
  spec.id = "req-1";
  spec.tasks = 1200;
  Job job(spec, 1, 0);
  for (uint32_t i = 0; i < 1200; ++i) {
    if (i % 5 != 0 && i % 7 != 3) job.MarkDone(i);
  }
  Job copy(spec, 1, 0);
  for (uint32_t segment = 0; segment < 3; ++segment) {
    ApplyDoneBitmap(EncodeDoneBitmap(job, segment), segment, &copy);
  }
  EXPECT_EQ(copy.done, job.done);
  EXPECT_EQ(copy.pending, job.pending);
  EXPECT_TRUE(copy.done_not_durable.empty());
  // Malformed segments of the bitmap have no effect on the job.
  ApplyDoneBitmap(wire::Json("x"), 0, &copy);
  ApplyDoneBitmap(wire::Json("ff"), 5, &copy);
  ApplyDoneBitmap(wire::Json(std::string(200, 'f')), 0, &copy);
  ApplyDoneBitmap(wire::Json{{"a", 1}}, 0, &copy);
  EXPECT_EQ(copy.done, job.done);
}

TEST(JobTest, APendingTaskTakesFewBytes) {
  wire::JobSpec spec = test::MakeJobSpec("req-tc", "t", 100'000);
  spec.job_class = "c";
  const Job job(spec, 1, 0);
  const double bytes_per_task =
      sizeof(Task) + static_cast<double>(job.pending.bytes()) / job.spec.tasks;
  EXPECT_LT(bytes_per_task, 8);
}

}  // namespace
}  // namespace mosspath::jobs
