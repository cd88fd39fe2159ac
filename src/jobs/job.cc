#include "mosspath/jobs/job.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mosspath::jobs {

Job::Job(wire::JobSpec job_spec, uint64_t acceptance_version, double submission_time)
    : spec(std::move(job_spec)),
      version(acceptance_version),
      submitted_at(submission_time),
      tasks(spec.tasks) {
  pending.FillUpTo(spec.tasks);
}

bool Job::MarkDone(uint32_t index) {
  Task& task = tasks[index];
  if (task.phase == TaskPhase::kDone) return false;
  pending.erase(index);
  task.phase = TaskPhase::kDone;
  ++done;
  if (!task.durable) done_not_durable.insert(index);
  return true;
}

std::string CrashLoopRecordName(const std::string& job) { return job + "!"; }

std::string StartMarkerRecordName(const std::string& job) { return job + "+"; }

std::string SegmentRecordName(const std::string& job, uint32_t segment) {
  return job + "#" + std::to_string(segment);
}

wire::Json EncodeDoneBitmap(const Job& job, uint32_t segment) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string bits;
  const uint32_t first = segment * kTasksPerSegment;
  const uint32_t last = std::min(job.spec.tasks, first + kTasksPerSegment);
  for (uint32_t i = first; i < last; i += 4) {
    unsigned digit = 0;
    for (uint32_t k = i; k < i + 4; ++k) {
      digit = digit << 1 | (k < last && job.tasks[k].phase == TaskPhase::kDone ? 1U : 0U);
    }
    bits.push_back(kDigits[digit]);
  }
  bits.resize(bits.find_last_not_of('0') + 1);
  return bits;
}

void ApplyDoneBitmap(const wire::Json& bits, uint32_t segment, Job* job) {
  if (!bits.is_string()) return;
  const auto& text = bits.get_ref<const std::string&>();
  if (text.size() > kTasksPerSegment / 4) return;
  for (size_t d = 0; d < text.size(); ++d) {
    unsigned digit = 0;
    const auto [end, error] = std::from_chars(text.data() + d, text.data() + d + 1, digit, 16);
    if (error != std::errc{}) return;
    for (unsigned k = 0; k < 4; ++k) {
      const uint64_t i = uint64_t{segment} * kTasksPerSegment + 4 * d + k;
      if ((digit >> (3 - k) & 1) == 0 || i >= job->spec.tasks) continue;
      const auto index = static_cast<uint32_t>(i);
      job->tasks[index].durable = true;
      job->MarkDone(index);
      job->done_not_durable.erase(index);
    }
  }
}

}  // namespace mosspath::jobs
