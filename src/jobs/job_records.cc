#include "mosspath/jobs/job_records.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mosspath::jobs {
namespace {

bool Has(const std::vector<std::string>& list, const std::string& s) {
  return std::find(list.begin(), list.end(), s) != list.end();
}

}  // namespace

void JobRecords::Clear() {
  records_.clear();
  homes_.clear();
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
  Record r;
  r.version = r.created_at_revision = version;
  const auto take = [&](const wire::Json& entry) {
    AcceptedJob a{wire::ParseJob(entry.at("spec")), 0, entry.value("at", 0.0)};
    r.jobs.push_back(a.spec.id);
    accepted.push_back(std::move(a));
  };
  if (key.starts_with(single_prefix_)) {
    take(value);
  } else {
    for (const wire::Json& entry : value.at("jobs")) take(entry);
    r.created_at_revision = value.value("born", version);
    r.ended = value.value("over", std::vector<std::string>{});
  }
  for (AcceptedJob& a : accepted) a.version = r.created_at_revision;
  return r;
}

JobRecords::Change JobRecords::OnRecord(const std::string& key, const wire::Json* value,
                                        uint64_t version) {
  std::vector<AcceptedJob> accepted;
  Record next;
  if (value != nullptr) next = Parse(key, *value, version, accepted);
  std::set<std::string> touched;
  if (const auto old = records_.find(key); old != records_.end()) {
    for (const auto& id : old->second.jobs) {
      std::erase(homes_[id].records, key);
      touched.insert(id);
    }
    for (const auto& id : old->second.ended) {
      std::erase(homes_[id].ended_in, key);
      touched.insert(id);
    }
    records_.erase(old);
  }
  Change change;
  for (const AcceptedJob& a : accepted) {
    homes_[a.spec.id].records.push_back(key);
    touched.insert(a.spec.id);
  }
  for (const auto& id : next.ended) {
    homes_[id].ended_in.push_back(key);
    touched.insert(id);
  }
  if (value != nullptr) records_[key] = std::move(next);
  for (const auto& id : touched) {
    const auto s = homes_.find(id);
    const bool live = !s->second.records.empty() && s->second.ended_in.empty();
    const auto known = live_.find(id);
    if (!live && known != live_.end()) {
      live_.erase(known);
      change.ended.push_back(id);
    } else if (live && known == live_.end()) {
      const auto a = std::find_if(accepted.begin(), accepted.end(),
                                  [&](const AcceptedJob& x) { return x.spec.id == id; });
      if (a != accepted.end()) {
        live_.emplace(id, *a);
        change.accepted.push_back(id);
      }
    } else if (live) {  // a second home; records that are loaded come in no order of time
      for (const AcceptedJob& a : accepted) {
        if (a.spec.id == id) known->second.version = std::min(known->second.version, a.version);
      }
    }
    if (s->second.records.empty() && s->second.ended_in.empty()) homes_.erase(s);
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

bool JobRecords::MayForget(const Record& r, const std::string& id, uint64_t revision) const {
  return revision >= r.version && homes_.at(id).records.empty();
}

wire::Json JobRecords::Render(const Record& r, const std::vector<std::string>& ended,
                              uint64_t revision) const {
  std::vector<wire::Json> jobs;
  std::vector<std::string> over;
  for (const auto& id : r.ended) {
    if (!MayForget(r, id, revision)) over.push_back(id);
  }
  for (const auto& id : r.jobs) {
    const AcceptedJob* a = Find(id);
    if (Has(ended, id) || a == nullptr) {
      over.push_back(id);
    } else {
      jobs.push_back(EncodeEntry(a->spec, a->submitted_wall_s));
    }
  }
  return {{"jobs", std::move(jobs)}, {"over", std::move(over)}, {"born", r.created_at_revision}};
}

std::vector<RecordChange> JobRecords::PlanEnd(const std::vector<std::string>& ids,
                                              uint64_t revision) const {
  std::set<std::string> keys;
  for (const auto& id : ids) {
    if (!live_.contains(id)) continue;
    const auto& homes = homes_.at(id).records;
    // What was loaded ahead of the revision may have another home that isn't seen yet.
    const bool seen = std::all_of(homes.begin(), homes.end(), [&](const std::string& key) {
      return records_.at(key).version <= revision;
    });
    if (seen) keys.insert(homes.begin(), homes.end());
  }
  std::vector<RecordChange> out;
  for (const auto& key : keys) {
    const Record& r = records_.at(key);
    RecordChange c{key, r.version, std::nullopt};
    if (!key.starts_with(single_prefix_)) c.value = Render(r, ids, revision);
    out.push_back(std::move(c));
  }
  return out;
}

std::vector<RecordChange> JobRecords::PlanCleanup(uint64_t revision, size_t most) const {
  std::vector<RecordChange> out;
  for (const auto& [key, r] : records_) {
    if (out.size() >= most) break;
    const bool stray = std::any_of(r.jobs.begin(), r.jobs.end(),
                                   [&](const std::string& id) { return !live_.contains(id); });
    if (stray) {  // over elsewhere
      RecordChange c{key, r.version, std::nullopt};
      if (!key.starts_with(single_prefix_)) c.value = Render(r, {}, revision);
      out.push_back(std::move(c));
    } else if (r.jobs.empty() &&
               std::all_of(r.ended.begin(), r.ended.end(),
                           [&](const std::string& id) { return MayForget(r, id, revision); })) {
      out.push_back({key, r.version, std::nullopt});
    }
  }
  return out;
}

}  // namespace mosspath::jobs
