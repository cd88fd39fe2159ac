#include "mosspath/scheduler/durable_state.h"

#include <algorithm>
#include <charconv>

namespace mosspath::scheduler {

using jobs::Job;

namespace {

constexpr uint32_t kMostRetries = 1000;
constexpr double kPackFill = 0.7;
constexpr size_t kMarkPacks = 8;  // packs of marks in the room of one of the others

size_t PackBytes(const config::Settings& s) {
  return static_cast<size_t>(std::min(s.store_value_kb * 1024 * kPackFill,
                                      32.0 * 1024));  // well below what a request may hold
}

uint32_t Segments(const Job& job) {
  return (job.spec.tasks + jobs::kTasksPerSegment - 1) / jobs::kTasksPerSegment;
}

}  // namespace

std::string EncodeMachineRecord(const MachineRecord& entry) {
  if (entry.lease == 0) return entry.address;
  return entry.address + "/" + std::to_string(entry.lease) + "/" +
         std::to_string(entry.handover_revision);
}

MachineRecord DecodeMachineRecord(const wire::Json& json) {
  if (!json.is_string()) return {};
  const auto& text = json.get_ref<const std::string&>();
  // Earlier versions recorded the zone here.
  if (text.find(':') == std::string::npos) return {};
  const size_t slash = text.find('/');
  MachineRecord entry{text.substr(0, slash)};
  if (slash == std::string::npos) return entry;
  const char* end = text.data() + text.size();
  const auto lease = std::from_chars(text.data() + slash + 1, end, entry.lease);
  if (lease.ptr != end && *lease.ptr == '/')
    std::from_chars(lease.ptr + 1, end, entry.handover_revision);
  return entry;
}

DurableState::DurableState(const config::Settings& settings, uint64_t token)
    : pack_bytes_(PackBytes(settings)),
      progress_(pack_bytes_),
      start_markers_(pack_bytes_ / kMarkPacks),
      machines_(pack_bytes_),
      newest_revision_(token) {}

void DurableState::LoadProgressPack(int pack, const wire::Json& value, uint64_t version) {
  PackedMapOf(pack).Load(LocalPack(pack), value, version);
  // A segment that moved to another pack may stand in the old one too, as it was then.
  for (const auto& [name, bits] : value.items()) unclaimed_[name].push_back(bits);
}

void DurableState::LoadMachinesPack(int pack, const wire::Json& value, uint64_t version) {
  machines_.Load(pack, value, version);
}

std::optional<uint32_t> DurableState::RestoreJob(Job& job) {
  for (uint32_t s = 0; s < Segments(job); ++s) {
    auto it = unclaimed_.find(jobs::SegmentRecordName(job.spec.id, s));
    if (it == unclaimed_.end()) continue;
    for (const auto& bits : it->second) jobs::ApplyDoneBitmap(bits, s, &job);
    unclaimed_.erase(it);
  }
  if (auto mark = unclaimed_.find(jobs::StartMarkerRecordName(job.spec.id));
      mark != unclaimed_.end()) {
    job.start_marker = Job::StartMarker::kDurable;
    job.inherited_start_marker = true;
    unclaimed_.erase(mark);
  }
  const auto it = unclaimed_.find(jobs::CrashLoopRecordName(job.spec.id));
  if (it == unclaimed_.end()) return std::nullopt;
  const wire::Json retries = it->second.back();
  unclaimed_.erase(it);
  if (!retries.is_number_unsigned()) return std::nullopt;
  return std::min(retries.get<uint32_t>(), kMostRetries);
}

void DurableState::OnTaskDone(const Job& job, uint32_t index) {
  dirty_segments_.emplace(job.spec.id, index / jobs::kTasksPerSegment);
}

// Written with what is written anyway, so it costs no write of its own.
void DurableState::RecordCrashLoop(const std::string& job, uint32_t retries) {
  progress_.Set(jobs::CrashLoopRecordName(job), retries);
}

void DurableState::ClearCrashLoop(const std::string& job) {
  progress_.Erase(jobs::CrashLoopRecordName(job), /*lazily=*/true);
}

void DurableState::RequestStartMarker(Job& job) {
  if (job.start_marker != Job::StartMarker::kNone) return;
  job.start_marker = Job::StartMarker::kRequested;
  unwritten_markers_.push_back(job.spec.id);
  // Set once and never again, so it never moves to another pack: while it did, a successor could
  // find it in neither.
  start_markers_.Set(jobs::StartMarkerRecordName(job.spec.id), 1);
}

void DurableState::ForgetJob(const Job& job) {
  start_markers_.Erase(jobs::StartMarkerRecordName(job.spec.id), /*lazily=*/true);
  for (uint32_t s = 0; s < Segments(job); ++s) {
    progress_.Erase(jobs::SegmentRecordName(job.spec.id, s), /*lazily=*/true);
  }
  ClearCrashLoop(job.spec.id);
}

void DurableState::AddMachine(const std::string& id, const std::string& address) {
  if (!machines_.Has(id)) machines_.Set(id, address);
}

void DurableState::AssignMachine(cluster::Machine& m, const std::string& address, uint64_t lease) {
  // Something was written between two hand-overs, if only that the machine came back.
  m.handover_revision = newest_revision_;
  machines_.Replace(m.id, EncodeMachineRecord({address, lease, m.handover_revision}));
  m.in_record = true;
  m.record_durable = false;
  m.record_change_number = ++machine_changes_;
}

void DurableState::RemoveMachine(const std::string& id) { machines_.Erase(id, /*lazily=*/false); }

DurableState::WriteBatch DurableState::TakeBatch(size_t most, size_t bytes,
                                                 cluster::ClusterState& picture) {
  if (!in_flight_.empty()) return {};
  for (const auto& [id, segment] : dirty_segments_) {
    if (const Job* job = picture.FindJob(id)) {
      progress_.Set(jobs::SegmentRecordName(id, segment), jobs::EncodeDoneBitmap(*job, segment));
    }
  }
  dirty_segments_.clear();
  // Machines first: nothing starts on one before its entry is durable.
  in_flight_.machines = machines_.TakeDirty(most, bytes);
  std::set<int> packs;
  for (const auto& w : in_flight_.machines) {
    packs.insert(w.pack);
    bytes -= std::min(bytes, w.size_bytes);
  }
  for (auto& [id, m] : picture.machines) {
    if (m.in_record && !m.record_durable && packs.contains(machines_.PackOf(id))) {
      in_flight_machines_.emplace_back(id, m.record_change_number);
      m.answers_suspended = m.answers_suspended || m.handover_lease != 0;
    }
  }
  // Then marks, which starts wait for, but in no more than half of what is left.
  std::set<int> mark_packs;
  if (in_flight_.machines.size() + 1 < most && bytes > 0) {
    for (auto& w : start_markers_.TakeDirty((most - in_flight_.machines.size()) / 2, bytes / 2)) {
      mark_packs.insert(w.pack);
      bytes -= std::min(bytes, w.size_bytes);
      w.pack += kFirstMarkerPack;
      in_flight_.progress.push_back(std::move(w));
    }
  }
  const size_t taken = in_flight_.machines.size() + in_flight_.progress.size();
  // One is taken however large, so there must be room for a whole pack.
  if (taken < most && bytes >= pack_bytes_) {
    for (auto& w : progress_.TakeDirty(most - taken, bytes)) {
      in_flight_.progress.push_back(std::move(w));
    }
  }
  packs.clear();
  for (const auto& w : in_flight_.progress) packs.insert(w.pack);
  std::erase_if(unwritten_markers_, [&](const std::string& id) {
    const int pack = start_markers_.PackOf(jobs::StartMarkerRecordName(id));
    if (pack >= 0 && !mark_packs.contains(pack)) return false;
    if (pack >= 0) in_flight_markers_.push_back(id);
    return true;
  });
  for (const auto& [id, job] : picture.jobs) {
    uint32_t segment = ~0U;
    bool writing = false;
    for (const uint32_t i : job->done_not_durable) {  // in order
      if (i / jobs::kTasksPerSegment != segment) {
        segment = i / jobs::kTasksPerSegment;
        writing = packs.contains(progress_.PackOf(jobs::SegmentRecordName(id, segment)));
      }
      if (writing) in_flight_tasks_.emplace_back(id, i);
    }
  }
  return in_flight_;
}

std::vector<std::string> DurableState::OnBatchWritten(uint64_t revision,
                                                      cluster::ClusterState& picture) {
  newest_revision_ = std::max(newest_revision_, revision);
  for (const auto& w : in_flight_.machines) machines_.OnPackVersion(w.pack, revision);
  for (const auto& w : in_flight_.progress) OnProgressVersion(w.pack, revision);
  for (const auto& [id, index] : in_flight_tasks_) {
    Job* job = picture.FindJob(id);
    if (job == nullptr) continue;
    job->tasks[index].durable = true;
    job->done_not_durable.erase(index);
  }
  std::vector<std::string> recorded;
  for (const auto& [id, entry_no] : in_flight_machines_) {
    // Gone and back in the meantime, it is in the record that was written all the same; but not
    // what its entry has been changed to since.
    const auto it = picture.machines.find(id);
    if (it == picture.machines.end() || !it->second.in_record ||
        it->second.record_change_number != entry_no) {
      continue;
    }
    it->second.record_durable = it->second.has_pending_commands = true;
    recorded.push_back(id);
  }
  for (const auto& id : in_flight_markers_) {
    if (Job* job = picture.FindJob(id)) job->start_marker = Job::StartMarker::kDurable;
  }
  picture.changed_since_pass =
      picture.changed_since_pass || !in_flight_machines_.empty() || !in_flight_markers_.empty();
  ClearInFlight();
  return recorded;
}

void DurableState::OnBatchFailed() {
  for (const auto& w : in_flight_.machines) machines_.MarkDirty(w.pack);
  for (const auto& w : in_flight_.progress) PackedMapOf(w.pack).MarkDirty(LocalPack(w.pack));
  unwritten_markers_.insert(unwritten_markers_.end(), in_flight_markers_.begin(),
                            in_flight_markers_.end());
  ClearInFlight();
}

void DurableState::ClearInFlight() {
  in_flight_ = {};
  in_flight_tasks_.clear();
  in_flight_machines_.clear();
  in_flight_markers_.clear();
}

}  // namespace mosspath::scheduler
