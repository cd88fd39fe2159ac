// Reads the store and applies changes to each part of the controller.
#include <algorithm>

#include "simulation/controller.h"
#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr double kReadIntervalS = 0.1;

}  // namespace

void SimulatedController::WatchLoop() {
  if (!alive_) return;
  After(kReadIntervalS, [this] { WatchLoop(); });
  ReadStore([](bool) {});
}

void SimulatedController::ReadStore(std::function<void(bool)> done) {
  using SharedView = std::shared_ptr<const SimulatedKeyValueStore::View>;
  if (environment_.clock.now() < reads_fail_until_) return done(false);
  const uint64_t read = ++reads_begun_;
  const double sent_at = Now();
  CallStore<SharedView>([this] { return environment_.store.Snapshot(); },
                        [this, read, sent_at, done = std::move(done)](const SharedView& view) {
                          last_store_contact_ = std::max(last_store_contact_, sent_at);
                          // If a read that began later has been applied already, this read is
                          // ignored, because the later read included all changes of this read.
                          if (read > newest_read_) {
                            newest_read_ = read;
                            ApplyView(*view, sent_at);
                          }
                          done(true);
                        });
}

void SimulatedController::ApplyView(const SimulatedKeyValueStore::View& view, double sent_at) {
  using Kind = election::Leadership::Step::Kind;
  const Entries& entries = view.entries;
  // On the first read of a process, the job index assumes that the previous process confirmed
  // cancellations to users up to this revision.
  if (revision_ == 0) job_index_->AssumeReportedUpTo(view.revision);
  revision_ = std::max(revision_, view.revision);
  ApplyLeader(entries);
  ApplyJobs(entries);
  if (settings_.lease_shards) ApplyShards(entries);
  const auto step = leadership_->NextStep(Now());
  leadership_->OnReadUpTo(sent_at, revision_);
  if (step.kind == Kind::kElected) return OnElected(entries);
  if (token() != 0) return UpdateScheduler(entries);
  if (settings_.lease_shards) ApplyOwnShard(entries);
  if (step.kind == Kind::kCampaign) Campaign(step.version);
}

void SimulatedController::ApplyLeader(const Entries& entries) {
  election::Leadership::LeaderKey leader;
  if (const auto found = entries.find(kLeaderKey); found != entries.end()) {
    const SimulatedKeyValueStore::Entry& entry = found->second;
    leader = {entry.value.value("node", ""), entry.lease, entry.version};
  }
  OnLeadershipChange(leadership_->OnLeaderKey(leader));
  OnLeadershipChange(leadership_->OnLoaded(entries.empty()));
}

// ---------------------------------------------------------------------------- jobs

void SimulatedController::ApplyJobs(const Entries& entries) {
  if (jobs_revision_ == revision_) return;
  jobs_revision_ = revision_;
  ApplyFinalRecords(entries);
  std::erase_if(job_record_versions_, [&](const auto& record) {
    if (entries.contains(record.first)) return false;
    ApplyJobChange(job_index_->OnRecord(record.first, nullptr, jobs_revision_));
    return true;
  });
  for (auto it = entries.lower_bound(kJobPrefix);
       it != entries.end() && it->first.starts_with(kJobPrefix); ++it) {
    const auto& [key, entry] = *it;
    uint64_t& version = job_record_versions_[key];
    if (std::exchange(version, entry.version) == entry.version) continue;
    ApplyJobChange(job_index_->OnRecord(key, &entry.value, entry.version));
  }
  job_index_->OnLoaded(jobs_revision_);
  // A job that is accepted and ends between two reads is live in neither read. So admission
  // removes in-flight jobs by the revision that was read.
  admission_->controller().OnLoaded(revision_);
}

void SimulatedController::ApplyFinalRecords(const Entries& entries) {
  for (auto it = entries.lower_bound(kFinalPrefix);
       it != entries.end() && it->first.starts_with(kFinalPrefix); ++it) {
    const auto& [key, entry] = *it;
    if (!final_records_.insert(key).second) continue;
    job_index_->OnFinalRecord(key.substr(kFinalPrefix.size()), entry.value, entry.version);
  }
}

void SimulatedController::ApplyJobChange(const jobs::JobRecords::Change& change) {
  for (const auto& id : change.accepted) {
    admission_->controller().OnAccepted(job_index_->records().Find(id)->spec);
  }
  for (const auto& id : change.ended) admission_->controller().OnEnded(id, Now());
}

// ---------------------------------------------------------------------------- as the leader

void SimulatedController::UpdateScheduler(const Entries& entries) {
  for (const auto& [key, entry] : entries) {
    if (key.starts_with(kProgressPrefix)) {
      scheduler_->OnProgressVersion(PackOf(key), entry.version);
    }
    if (key.starts_with(kMachinesPrefix)) {
      scheduler_->OnMachinesVersion(PackOf(key), entry.version);
    }
  }
  job_index_->ForEachLive([this](const std::string& id, const jobs::AcceptedJob& job) {
    if (scheduler_->FindJob(id) == nullptr) scheduler_->AddJob(job.spec, job.version, Now());
  });
  std::vector<std::string> ended;
  for (const auto& [id, job] : scheduler_->jobs()) {
    if (job_index_->FindLive(id) == nullptr) ended.push_back(id);
  }
  for (const auto& id : ended) scheduler_->RemoveJob(id, Now());
  if (shard_leases_) UpdateShardLeases(entries);
}

}  // namespace mosspath::simulation
