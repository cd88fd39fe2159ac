#include "mosspath/scheduler/durable_state.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "mosspath/scheduler/shard_leases.h"

namespace mosspath::scheduler {

using jobs::Job;

namespace {

constexpr uint32_t kMaxRetries = 1000;
// How full a pack may be of what a value of the store may hold, and of what a request may hold.
constexpr double kPackFill = 0.7;
constexpr double kMaxPackBytes = 32.0 * 1024;
constexpr double kBytesPerKb = 1024;
// How many packs of start markers take the room of one pack of progress.
constexpr size_t kMarkerPacksPerPack = 8;
// Of what a batch may still hold, start markers take one part in so many.
constexpr size_t kMarkerRoomDivisor = 2;

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
  // Earlier versions recorded the zone here.
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
      start_markers_(pack_bytes_ / kMarkerPacksPerPack),
      machines_(pack_bytes_),
      newest_revision_(token) {}

void DurableState::LoadProgressPack(int pack, const wire::Json& value, uint64_t version) {
  PackedMapOf(pack).Load(LocalPack(pack), value, version);
  // A segment that moved to another pack may stand in the old one too, as it was then.
  for (const auto& [name, record] : value.items()) unclaimed_[name].push_back(record);
}

void DurableState::LoadMachinesPack(int pack, const wire::Json& value, uint64_t version) {
  machines_.Load(pack, value, version);
}

std::optional<uint32_t> DurableState::RestoreJob(Job& job) {
  for (uint32_t segment = 0; segment < Segments(job); ++segment) {
    const auto bitmaps = unclaimed_.find(jobs::SegmentRecordName(job.spec.id, segment));
    if (bitmaps == unclaimed_.end()) continue;
    for (const auto& bitmap : bitmaps->second) jobs::ApplyDoneBitmap(bitmap, segment, &job);
    unclaimed_.erase(bitmaps);
  }
  if (const auto marker = unclaimed_.find(jobs::StartMarkerRecordName(job.spec.id));
      marker != unclaimed_.end()) {
    job.start_marker = Job::StartMarker::kDurable;
    job.inherited_start_marker = true;
    unclaimed_.erase(marker);
  }
  const auto it = unclaimed_.find(jobs::CrashLoopRecordName(job.spec.id));
  if (it == unclaimed_.end()) return std::nullopt;
  const wire::Json retries = it->second.back();
  unclaimed_.erase(it);
  if (!retries.is_number_unsigned()) return std::nullopt;
  return std::min(retries.get<uint32_t>(), kMaxRetries);
}

void DurableState::OnTaskDone(const Job& job, uint32_t index) {
  dirty_segments_.insert({job.spec.id, index / jobs::kTasksPerSegment});
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
  // Something was written between any two handovers, if only that the machine came back, so the
  // revision is another each time.
  machine.handover_revision = newest_revision_;
  machines_.Replace(machine.id, EncodeMachineRecord({address, lease, machine.handover_revision}));
  machine.in_record = true;
  machine.record_durable = false;
  machine.record_change_number = ++machine_changes_;
}

void DurableState::RemoveMachine(const std::string& id) { machines_.Erase(id, /*lazily=*/false); }

// ---------------------------------------------------------------------------- writing

void DurableState::BatchRoom::Use(const kvstore::PackedMap::PackWrite& write) {
  --packs;
  bytes -= std::min(bytes, write.size_bytes);
}

DurableState::WriteBatch DurableState::TakeBatch(size_t max_packs, size_t max_bytes,
                                                 cluster::ClusterState& cluster) {
  if (!in_flight_.empty()) return {};
  EncodeDirtySegments(cluster);
  BatchRoom room{max_packs, max_bytes};
  // Starts wait for the records of machines, and then for start markers.
  TakeMachinePacks(room, cluster);
  const Packs start_marker_packs = TakeStartMarkerPacks(room);
  TakeProgressPacks(room);
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

void DurableState::TakeMachinePacks(BatchRoom& room, cluster::ClusterState& cluster) {
  in_flight_.machines = machines_.TakeDirty(room.packs, room.bytes);
  Packs packs;
  for (const auto& write : in_flight_.machines) {
    packs.insert(write.pack);
    room.Use(write);
  }
  for (auto& [id, machine] : cluster.machines) {
    if (!machine.in_record || machine.record_durable) continue;
    if (!packs.contains(machines_.PackOf(id))) continue;
    in_flight_machines_.push_back({id, machine.record_change_number});
    // Once the record may be durable, its holder may count on being the only one that answers.
    machine.answers_suspended = machine.answers_suspended || machine.handover_lease != kNoLease;
  }
}

DurableState::Packs DurableState::TakeStartMarkerPacks(BatchRoom& room) {
  Packs packs;
  if (room.packs <= 1 || room.bytes == 0) return packs;
  const size_t max_packs = room.packs / kMarkerRoomDivisor;
  for (auto& write : start_markers_.TakeDirty(max_packs, room.bytes / kMarkerRoomDivisor)) {
    packs.insert(write.pack);
    room.Use(write);
    write.pack += kFirstMarkerPack;
    in_flight_.progress.push_back(std::move(write));
  }
  return packs;
}

void DurableState::TakeProgressPacks(BatchRoom& room) {
  // One pack is taken however large it is, so there must be room for a whole one.
  if (room.packs == 0 || room.bytes < pack_bytes_) return;
  for (auto& write : progress_.TakeDirty(room.packs, room.bytes)) {
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
    // The tasks are in ascending order, so each segment is looked up once.
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
    // A machine that was removed and added meanwhile is in the record that was written all the
    // same, but not with what its record has been changed to since.
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
