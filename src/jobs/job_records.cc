#include "mosspath/jobs/job_records.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mosspath::jobs {
namespace {

bool Has(const std::vector<std::string>& list, const std::string& element) {
  return std::find(list.begin(), list.end(), element) != list.end();
}

}  // namespace

void JobRecords::Clear() {
  records_.clear();
  record_keys_by_job_.clear();
  live_.clear();
}

wire::Json JobRecords::EncodeEntry(const wire::JobSpec& spec, double at_wall_s) {
  return {{"spec", wire::ToJson(spec)}, {"at", at_wall_s}};
}

wire::Json JobRecords::EncodeBatch(std::vector<wire::Json> entries) {
  return {{"jobs", std::move(entries)}};
}

JobRecords::Record JobRecords::Parse(const std::string& key, const wire::Json& value,
                                     uint64_t version, std::vector<AcceptedJob>& accepted) const {
  Record record;
  record.version = record.created_at_revision = version;
  const auto add_entry = [&](const wire::Json& entry) {
    AcceptedJob job{wire::ParseJob(entry.at("spec")), 0, entry.value("at", 0.0)};
    record.jobs.push_back(job.spec.id);
    accepted.push_back(std::move(job));
  };
  if (key.starts_with(single_prefix_)) {
    add_entry(value);
  } else {
    for (const wire::Json& entry : value.at("jobs")) add_entry(entry);
    record.created_at_revision = value.value("born", version);
    record.ended = value.value("over", std::vector<std::string>{});
  }
  for (AcceptedJob& job : accepted) job.version = record.created_at_revision;
  return record;
}

JobRecords::Change JobRecords::OnRecord(const std::string& key, const wire::Json* value,
                                        uint64_t version) {
  std::vector<AcceptedJob> accepted;
  Record record;
  if (value != nullptr) record = Parse(key, *value, version, accepted);
  std::set<std::string> affected_jobs;
  if (const auto old = records_.find(key); old != records_.end()) {
    for (const auto& id : old->second.jobs) {
      std::erase(record_keys_by_job_[id].containing, key);
      affected_jobs.insert(id);
    }
    for (const auto& id : old->second.ended) {
      std::erase(record_keys_by_job_[id].ended_in, key);
      affected_jobs.insert(id);
    }
    records_.erase(old);
  }
  Change change;
  for (const AcceptedJob& job : accepted) {
    record_keys_by_job_[job.spec.id].containing.push_back(key);
    affected_jobs.insert(job.spec.id);
  }
  for (const auto& id : record.ended) {
    record_keys_by_job_[id].ended_in.push_back(key);
    affected_jobs.insert(id);
  }
  if (value != nullptr) records_[key] = std::move(record);
  for (const auto& id : affected_jobs) {
    const auto keys = record_keys_by_job_.find(id);
    const bool live = !keys->second.containing.empty() && keys->second.ended_in.empty();
    const auto known = live_.find(id);
    if (!live && known != live_.end()) {
      live_.erase(known);
      change.ended.push_back(id);
    } else if (live && known == live_.end()) {
      const auto job = std::find_if(accepted.begin(), accepted.end(),
                                    [&](const AcceptedJob& other) { return other.spec.id == id; });
      if (job != accepted.end()) {
        live_.emplace(id, *job);
        change.accepted.push_back(id);
      }
    } else if (live) {  // the job was live already; a load reads its records in any order
      for (const AcceptedJob& job : accepted) {
        if (job.spec.id == id) known->second.version = std::min(known->second.version, job.version);
      }
    }
    if (keys->second.containing.empty() && keys->second.ended_in.empty())
      record_keys_by_job_.erase(keys);
  }
  return change;
}

const AcceptedJob* JobRecords::Find(const std::string& id) const {
  const auto it = live_.find(id);
  return it == live_.end() ? nullptr : &it->second;
}

uint64_t JobRecords::VersionOf(const std::string& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? 0 : it->second.version;
}

bool JobRecords::MayForget(const Record& record, const std::string& id, uint64_t revision) const {
  return revision >= record.version && record_keys_by_job_.at(id).containing.empty();
}

wire::Json JobRecords::Encode(const Record& record, const std::vector<std::string>& ended,
                              uint64_t revision) const {
  std::vector<wire::Json> jobs;
  std::vector<std::string> over;
  for (const auto& id : record.ended) {
    if (!MayForget(record, id, revision)) over.push_back(id);
  }
  for (const auto& id : record.jobs) {
    const AcceptedJob* job = Find(id);
    if (Has(ended, id) || job == nullptr) {
      over.push_back(id);
    } else {
      jobs.push_back(EncodeEntry(job->spec, job->submitted_wall_s));
    }
  }
  return {
      {"jobs", std::move(jobs)}, {"over", std::move(over)}, {"born", record.created_at_revision}};
}

std::vector<RecordChange> JobRecords::PlanEnd(const std::vector<std::string>& ids,
                                              uint64_t revision) const {
  std::set<std::string> keys;
  for (const auto& id : ids) {
    if (!live_.contains(id)) continue;
    const auto& containing = record_keys_by_job_.at(id).containing;
    // A load may read a record that is newer than `revision`. Another record of the job may then be
    // unread.
    const bool all_read =
        std::all_of(containing.begin(), containing.end(),
                    [&](const std::string& key) { return records_.at(key).version <= revision; });
    if (all_read) keys.insert(containing.begin(), containing.end());
  }
  std::vector<RecordChange> changes;
  for (const auto& key : keys) {
    const Record& record = records_.at(key);
    RecordChange record_change{key, record.version, std::nullopt};
    if (!key.starts_with(single_prefix_)) record_change.value = Encode(record, ids, revision);
    changes.push_back(std::move(record_change));
  }
  return changes;
}

std::vector<RecordChange> JobRecords::PlanCleanup(uint64_t revision, size_t max_changes) const {
  std::vector<RecordChange> changes;
  for (const auto& [key, record] : records_) {
    if (changes.size() >= max_changes) break;
    const bool contains_ended_job =
        std::any_of(record.jobs.begin(), record.jobs.end(),
                    [&](const std::string& id) { return !live_.contains(id); });
    if (contains_ended_job) {  // another record lists the job in `over`
      RecordChange record_change{key, record.version, std::nullopt};
      if (!key.starts_with(single_prefix_)) record_change.value = Encode(record, {}, revision);
      changes.push_back(std::move(record_change));
    } else if (record.jobs.empty() &&
               std::all_of(record.ended.begin(), record.ended.end(), [&](const std::string& id) {
                 return MayForget(record, id, revision);
               })) {
      changes.push_back({key, record.version, std::nullopt});
    }
  }
  return changes;
}

}  // namespace mosspath::jobs
