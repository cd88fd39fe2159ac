#include "mosspath/scheduler/durable_state.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "mosspath/scheduler/shard_leases.h"

namespace mosspath::scheduler {

using jobs::Job;

namespace {

constexpr uint32_t kMaxRetries = 1000;
// A pack may use this share of the store's size limit for a value.
constexpr double kPackFill = 0.7;
// Size limit of a pack, so that packs fit into the requests that write them.
constexpr double kMaxPackBytes = 32.0 * 1024;
constexpr double kBytesPerKb = 1024;
// The size limit of a start marker pack is that of a progress pack divided by this.
constexpr size_t kMarkerPacksPerProgressPack = 8;
// Start markers may use the remaining budget of a batch divided by this.
constexpr size_t kMarkerBudgetDivisor = 2;

size_t PackBytes(const config::Settings& settings) {
  return static_cast<size_t>(
      std::min(settings.store_value_kb * kBytesPerKb * kPackFill, kMaxPackBytes));
}

uint32_t Segments(const Job& job) {
  return (job.spec.tasks + jobs::kTasksPerSegment - 1) / jobs::kTasksPerSegment;
}

}  // namespace

std::string EncodeMachineRecord(const MachineRecord& record) {
  if (record.lease == kNoLease) return record.address;
  return record.address + "/" + std::to_string(record.lease) + "/" +
         std::to_string(record.handover_revision);
}

MachineRecord DecodeMachineRecord(const wire::Json& json) {
  if (!json.is_string()) return {};
  const auto& text = json.get_ref<const std::string&>();
  // Earlier versions recorded the machine's zone instead of an address.
  if (text.find(':') == std::string::npos) return {};
  const size_t slash = text.find('/');
  MachineRecord record{.address = text.substr(0, slash)};
  if (slash == std::string::npos) return record;
  const char* end = text.data() + text.size();
  const auto lease = std::from_chars(text.data() + slash + 1, end, record.lease);
  if (lease.ptr != end && *lease.ptr == '/') {
    std::from_chars(lease.ptr + 1, end, record.handover_revision);
  }
  return record;
}

DurableState::DurableState(const config::Settings& settings, uint64_t token)
    : pack_bytes_(PackBytes(settings)),
      progress_(pack_bytes_),
      start_markers_(pack_bytes_ / kMarkerPacksPerProgressPack),
      machines_(pack_bytes_),
      newest_revision_(token) {}

void DurableState::LoadProgressPack(int pack, const wire::Json& value, uint64_t version) {
  PackedMapOf(pack).Load(LocalPack(pack), value, version);
  // Keeps all records of the same name: if the record of a segment has moved to another pack, the
  // old pack may still contain an earlier state of the segment.
  for (const auto& [name, record] : value.items()) unrestored_records_[name].push_back(record);
}

void DurableState::LoadMachinesPack(int pack, const wire::Json& value, uint64_t version) {
  machines_.Load(pack, value, version);
}

std::optional<uint32_t> DurableState::RestoreJob(Job& job) {
  for (uint32_t segment = 0; segment < Segments(job); ++segment) {
    const auto bitmaps = unrestored_records_.find(jobs::SegmentRecordName(job.spec.id, segment));
    if (bitmaps == unrestored_records_.end()) continue;
    for (const auto& bitmap : bitmaps->second) jobs::ApplyDoneBitmap(bitmap, segment, &job);
    unrestored_records_.erase(bitmaps);
  }
  if (const auto marker = unrestored_records_.find(jobs::StartMarkerRecordName(job.spec.id));
      marker != unrestored_records_.end()) {
    job.start_marker = Job::StartMarker::kDurable;
    job.inherited_start_marker = true;
    unrestored_records_.erase(marker);
  }
  const auto it = unrestored_records_.find(jobs::CrashLoopRecordName(job.spec.id));
  if (it == unrestored_records_.end()) return std::nullopt;
  const wire::Json retries = it->second.back();
  unrestored_records_.erase(it);
  if (!retries.is_number_unsigned()) return std::nullopt;
  return std::min(retries.get<uint32_t>(), kMaxRetries);
}

void DurableState::OnTaskDone(const Job& job, uint32_t index) {
  dirty_segments_.insert({job.spec.id, index / jobs::kTasksPerSegment});
}

// The record shares packs with other progress records, so it is written together with them.
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
  // The marker is set once and never changed, so it never moves to another pack. During a move, a
  // later leader could find the marker in neither pack.
  start_markers_.Set(jobs::StartMarkerRecordName(job.spec.id), 1);
}

void DurableState::ForgetJob(const Job& job) {
  start_markers_.Erase(jobs::StartMarkerRecordName(job.spec.id), /*lazily=*/true);
  for (uint32_t segment = 0; segment < Segments(job); ++segment) {
    progress_.Erase(jobs::SegmentRecordName(job.spec.id, segment), /*lazily=*/true);
  }
  ClearCrashLoop(job.spec.id);
}

void DurableState::AddMachine(const std::string& id, const std::string& address) {
  if (!machines_.Has(id)) machines_.Set(id, address);
}

void DurableState::AssignMachine(cluster::Machine& machine, const std::string& address,
                                 uint64_t lease) {
  // Between two handovers of a machine, at least the record of the machine's return is written, so
  // each handover has a revision of its own.
  machine.handover_revision = newest_revision_;
  machines_.Replace(machine.id, EncodeMachineRecord({address, lease, machine.handover_revision}));
  machine.in_record = true;
  machine.record_durable = false;
  machine.record_change_number = ++machine_record_changes_;
}

void DurableState::RemoveMachine(const std::string& id) { machines_.Erase(id, /*lazily=*/false); }

// ---------------------------------------------------------------------------- writing

void DurableState::BatchBudget::Deduct(const kvstore::PackedMap::PackWrite& write) {
  --packs;
  bytes -= std::min(bytes, write.size_bytes);
}

DurableState::WriteBatch DurableState::TakeBatch(size_t max_packs, size_t max_bytes,
                                                 cluster::ClusterState& cluster) {
  if (!in_flight_.empty()) return {};
  EncodeDirtySegments(cluster);
  BatchBudget budget{max_packs, max_bytes};
  // A task start waits for the record of the machine and then for the start marker of the job, so
  // machine records are taken first, then start markers.
  TakeMachinePacks(budget, cluster);
  const Packs start_marker_packs = TakeStartMarkerPacks(budget);
  TakeProgressPacks(budget);
  MarkStartMarkersInFlight(start_marker_packs);
  MarkTasksInFlight(cluster);
  return in_flight_;
}

void DurableState::EncodeDirtySegments(const cluster::ClusterState& cluster) {
  for (const Segment& segment : dirty_segments_) {
    const Job* job = cluster.FindJob(segment.job);
    if (job == nullptr) continue;
    progress_.Set(jobs::SegmentRecordName(segment.job, segment.index),
                  jobs::EncodeDoneBitmap(*job, segment.index));
  }
  dirty_segments_.clear();
}

void DurableState::TakeMachinePacks(BatchBudget& budget, cluster::ClusterState& cluster) {
  in_flight_.machines = machines_.TakeDirty(budget.packs, budget.bytes);
  Packs packs;
  for (const auto& write : in_flight_.machines) {
    packs.insert(write.pack);
    budget.Deduct(write);
  }
  for (auto& [id, machine] : cluster.machines) {
    if (!machine.in_record || machine.record_durable) continue;
    if (!packs.contains(machines_.PackOf(id))) continue;
    in_flight_machines_.push_back({id, machine.record_change_number});
    // Once the record may be durable, the holder named in the record may rely on being the only
    // controller that answers the machine, so this controller stops answering the machine.
    machine.answers_suspended = machine.answers_suspended || machine.handover_lease != kNoLease;
  }
}

DurableState::Packs DurableState::TakeStartMarkerPacks(BatchBudget& budget) {
  Packs packs;
  if (budget.packs <= 1 || budget.bytes == 0) return packs;
  const size_t max_packs = budget.packs / kMarkerBudgetDivisor;
  for (auto& write : start_markers_.TakeDirty(max_packs, budget.bytes / kMarkerBudgetDivisor)) {
    packs.insert(write.pack);
    budget.Deduct(write);
    write.pack += kFirstMarkerPack;
    in_flight_.progress.push_back(std::move(write));
  }
  return packs;
}

void DurableState::TakeProgressPacks(BatchBudget& budget) {
  // TakeDirty returns at least one pack, whatever its size, so the budget must suffice for a full
  // pack.
  if (budget.packs == 0 || budget.bytes < pack_bytes_) return;
  for (auto& write : progress_.TakeDirty(budget.packs, budget.bytes)) {
    in_flight_.progress.push_back(std::move(write));
  }
}

void DurableState::MarkStartMarkersInFlight(const Packs& start_marker_packs) {
  std::erase_if(unwritten_markers_, [&](const std::string& job) {
    const int pack = start_markers_.PackOf(jobs::StartMarkerRecordName(job));
    const bool job_is_over = pack < 0;
    if (job_is_over) return true;
    if (!start_marker_packs.contains(pack)) return false;
    in_flight_markers_.push_back(job);
    return true;
  });
}

void DurableState::MarkTasksInFlight(const cluster::ClusterState& cluster) {
  Packs packs;
  for (const auto& write : in_flight_.progress) packs.insert(write.pack);
  for (const auto& [id, job] : cluster.jobs) {
    // The tasks are in ascending order, so each segment is looked up only once.
    std::optional<uint32_t> segment;
    bool in_flight = false;
    for (const uint32_t index : job->done_not_durable) {
      if (segment != index / jobs::kTasksPerSegment) {
        segment = index / jobs::kTasksPerSegment;
        in_flight = packs.contains(progress_.PackOf(jobs::SegmentRecordName(id, *segment)));
      }
      if (in_flight) in_flight_tasks_.push_back({id, index});
    }
  }
}

std::vector<std::string> DurableState::OnBatchWritten(uint64_t revision,
                                                      cluster::ClusterState& cluster) {
  newest_revision_ = std::max(newest_revision_, revision);
  for (const auto& write : in_flight_.machines) machines_.OnPackVersion(write.pack, revision);
  for (const auto& write : in_flight_.progress) OnProgressVersion(write.pack, revision);
  for (const wire::TaskId& task : in_flight_tasks_) {
    Job* job = cluster.FindJob(task.job);
    if (job == nullptr) continue;
    job->tasks[task.index].durable = true;
    job->done_not_durable.erase(task.index);
  }
  std::vector<std::string> recorded;
  for (const InFlightMachine& written : in_flight_machines_) {
    // The written pack contains the record of a machine that was removed and added again while the
    // batch was in flight, so that record is durable. If a machine's record was changed in that
    // time, the written pack contains the old record, so the new record is not durable yet.
    const auto it = cluster.machines.find(written.id);
    if (it == cluster.machines.end() || !it->second.in_record ||
        it->second.record_change_number != written.record_change_number) {
      continue;
    }
    it->second.record_durable = it->second.has_pending_commands = true;
    recorded.push_back(written.id);
  }
  for (const auto& id : in_flight_markers_) {
    if (Job* job = cluster.FindJob(id)) job->start_marker = Job::StartMarker::kDurable;
  }
  cluster.changed_since_pass =
      cluster.changed_since_pass || !in_flight_machines_.empty() || !in_flight_markers_.empty();
  ClearInFlight();
  return recorded;
}

void DurableState::OnBatchFailed() {
  for (const auto& write : in_flight_.machines) machines_.MarkDirty(write.pack);
  for (const auto& write : in_flight_.progress) {
    PackedMapOf(write.pack).MarkDirty(LocalPack(write.pack));
  }
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
