#include "mosspath/jobs/job_index.h"

namespace mosspath::jobs {
namespace {

JobStatus ParseFinalRecord(const wire::Json& final_record) {
  const std::string stage = final_record.is_object() ? final_record.value("stage", "") : "";
  if (stage == wire::JobStateName(wire::JobState::kDone)) return JobStatus::kDone;
  if (stage == wire::JobStateName(wire::JobState::kCancelled)) return JobStatus::kCancelled;
  return JobStatus::kUndetermined;
}

}  // namespace

wire::Json EncodeFinalRecord(JobStatus end) {
  const auto stage = end == JobStatus::kDone ? wire::JobState::kDone : wire::JobState::kCancelled;
  return {{"stage", wire::JobStateName(stage)}};
}

void JobIndex::Reset() {
  records_.Clear();
  missing_.clear();
}

JobRecords::Change JobIndex::OnRecord(const std::string& key, const wire::Json* value,
                                      uint64_t version) {
  auto change = records_.OnRecord(key, value, version);
  for (const auto& id : change.accepted) missing_.erase(id);
  for (const auto& id : change.ended) {
    missing_.erase(id);
    unread_cancellations_.erase(id);
  }
  return change;
}

void JobIndex::OnFinalRecord(const std::string& id, const wire::Json& value, uint64_t version) {
  missing_.erase(id);
  const JobStatus end = ParseFinalRecord(value);
  if (end == JobStatus::kCancelled) cancellations_.Add(id, version);
  if (end != JobStatus::kUndetermined) OnEnded(id, end);
}

void JobIndex::OnEnded(const std::string& id, JobStatus end) {
  if (!ended_.emplace(id, end).second) return;
  ended_order_.push_back(id);
  if (ended_order_.size() > limits_.finals) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

void JobIndex::OnJobCancelled(const std::string& id, uint64_t revision, uint64_t read_revision) {
  cancellations_.Add(id, revision);
  OnEnded(id, JobStatus::kCancelled);
  ForgetReadCancellations(read_revision);
  if (revision > read_revision) unread_cancellations_[id] = revision;
}

void JobIndex::ForgetReadCancellations(uint64_t read_revision) {
  std::erase_if(unread_cancellations_,
                [read_revision](const auto& entry) { return entry.second <= read_revision; });
}

std::optional<JobStatus> JobIndex::FindEnded(const std::string& id) const {
  const auto it = ended_.find(id);
  return it == ended_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<JobStatus> JobIndex::StatusAfterRead(const std::string& id) const {
  if (const auto ended = FindEnded(id)) return ended;
  if (records_.Find(id) != nullptr) return JobStatus::kLive;
  if (missing_.contains(id)) return JobStatus::kMissing;
  return std::nullopt;  // the job has ended, or was never accepted
}

JobStatus JobIndex::StatusFromFinalRecord(const std::string& id, const wire::Json* value,
                                          uint64_t version, uint64_t revision_at_request,
                                          uint64_t read_revision) {
  if (value == nullptr) {
    // If records were read since the request, the job may have been accepted in the meantime, so it
    // is not added to the missing jobs.
    if (revision_at_request == read_revision) {
      if (missing_.size() >= limits_.finals) missing_.clear();
      missing_.insert(id);
    }
    return JobStatus::kMissing;
  }
  const JobStatus end = ParseFinalRecord(*value);
  // This controller reports the end from now on, even if it has not read the revision of the final
  // record yet.
  if (end == JobStatus::kCancelled) OnJobCancelled(id, version, read_revision);
  if (end != JobStatus::kUndetermined) OnEnded(id, end);
  return end;
}

JobIndex::CancelStep JobIndex::PlanCancellation(const std::string& id, JobStatus known,
                                                uint64_t read_revision) const {
  using Kind = CancelStep::Kind;
  if (known != JobStatus::kLive) return {Kind::kAnswer, known, {}};
  auto records = records_.PlanEnd({id}, read_revision);
  if (records.empty()) return {Kind::kReadAgain, known, {}};
  return {Kind::kCommit, known, std::move(records)};
}

void JobIndex::ForEachLive(
    const std::function<void(const std::string& id, const AcceptedJob&)>& visit) const {
  for (const auto& [id, job] : records_.live()) {
    if (!unread_cancellations_.contains(id)) visit(id, job);
  }
}

}  // namespace mosspath::jobs
