#include "mosspath/wire/status_snapshot.h"

#include <algorithm>
#include <tuple>

#include "mosspath/wire/varint.h"
#include "wire/frame_header.h"

namespace mosspath::wire {
namespace {

using Incident = StatusSnapshot::Incident;
using Job = StatusSnapshot::Job;
using Machines = StatusSnapshot::Machines;
using Progress = StatusSnapshot::Progress;
using Queue = StatusSnapshot::Queue;

constexpr uint64_t kVersion = 2;
constexpr uint64_t kMaxItems = 4096;
constexpr size_t kMaxTextBytes = 200;
constexpr size_t kMaxBytesWithJobs = kMaxStatusSnapshotBytes - 64;
constexpr size_t kMaxJobCountsBytes = 16;  // upper bound on a job's bytes besides its id

std::string_view Clip(std::string_view text) { return text.substr(0, kMaxTextBytes); }

template <typename Item, typename PutItem>
void PutList(VarintWriter& writer, const std::vector<Item>& items, PutItem put) {
  const size_t count = std::min<size_t>(items.size(), kMaxItems);
  writer.Put(static_cast<uint64_t>(count));
  for (size_t i = 0; i < count; ++i) put(writer, items[i]);
}

template <typename Item, typename GetItem>
std::vector<Item> GetList(VarintReader& reader, GetItem get) {
  std::vector<Item> items(reader.GetCount(kMaxItems));
  for (Item& item : items) get(reader, item);
  return items;
}

void PutQueue(VarintWriter& writer, const Queue& queue) {
  writer.Put(Clip(queue.job_class));
  writer.Put(queue.jobs);
  writer.Put(queue.waiting);
  writer.Put(queue.running);
  writer.PutAmount(queue.started_ago_s);
  writer.PutAmount(queue.finished_ago_s);
  writer.PutAmount(queue.oldest_s);
  writer.Put(Clip(queue.waiting_reason));
}

void GetQueue(VarintReader& reader, Queue& queue) {
  queue.job_class = reader.GetString(kMaxTextBytes);
  queue.jobs = reader.Get();
  queue.waiting = reader.Get();
  queue.running = reader.Get();
  queue.started_ago_s = reader.GetAmount();
  queue.finished_ago_s = reader.GetAmount();
  queue.oldest_s = reader.GetAmount();
  queue.waiting_reason = reader.GetString(kMaxTextBytes);
}

void PutMachines(VarintWriter& writer, const Machines& machines) {
  writer.Put(Clip(machines.type));
  writer.Put(Clip(machines.zone));
  writer.Put(static_cast<uint64_t>(machines.spot));
  writer.Put(machines.up);
  writer.Put(machines.draining);
  writer.Put(machines.booting);
  writer.PutAmount(machines.cpus);
  writer.PutAmount(machines.used_cpus);
}

void GetMachines(VarintReader& reader, Machines& machines) {
  machines.type = reader.GetString(kMaxTextBytes);
  machines.zone = reader.GetString(kMaxTextBytes);
  machines.spot = reader.Get() != 0;
  machines.up = reader.Get();
  machines.draining = reader.Get();
  machines.booting = reader.Get();
  machines.cpus = reader.GetAmount();
  machines.used_cpus = reader.GetAmount();
}

void PutProgress(VarintWriter& writer, const Progress& progress) {
  writer.Put(Clip(progress.kind));
  writer.Put(Clip(progress.job_class));
  writer.PutAmount(progress.within_s);
  writer.PutAmount(progress.times);
  writer.PutAmount(progress.share);
  writer.Put(progress.met);
  writer.Put(progress.of);
}

void GetProgress(VarintReader& reader, Progress& progress) {
  progress.kind = reader.GetString(kMaxTextBytes);
  progress.job_class = reader.GetString(kMaxTextBytes);
  progress.within_s = reader.GetAmount();
  progress.times = reader.GetAmount();
  progress.share = reader.GetAmount();
  progress.met = reader.Get();
  progress.of = reader.Get();
}

void PutIncident(VarintWriter& writer, const Incident& incident) {
  writer.PutAmount(incident.ago_s);
  writer.Put(Clip(incident.description));
}

void GetIncident(VarintReader& reader, Incident& incident) {
  incident.ago_s = reader.GetAmount();
  incident.description = reader.GetString(kMaxTextBytes);
}

// Encodes the number of included jobs, followed by these jobs. Includes as many jobs as fit into a
// frame that already has `bytes_before` bytes.
std::string EncodeJobs(const std::vector<Job>& jobs, size_t bytes_before) {
  VarintWriter items;
  uint64_t count = 0;
  for (const Job& job : jobs) {
    const size_t bytes = bytes_before + items.size() + job.id.size() + kMaxJobCountsBytes;
    if (count == kMaxItems || bytes > kMaxBytesWithJobs) break;
    items.Put(Clip(job.id));
    items.Put(uint64_t{job.done});
    items.Put(uint64_t{job.running});
    ++count;
  }
  VarintWriter list;
  list.Put(count);
  return list.Take() + items.Take();
}

void GetJob(VarintReader& reader, Job& job) {
  job.id = reader.GetString(kMaxTextBytes);
  job.done = static_cast<uint32_t>(reader.Get());
  job.running = static_cast<uint32_t>(reader.Get());
}

}  // namespace

std::string Encode(const StatusSnapshot& snapshot) {
  VarintWriter writer;
  PutHeader(writer, FrameKind::kStatusSnapshot, kVersion);
  writer.Put(Clip(snapshot.leader));
  writer.Put(snapshot.token);
  writer.Put(static_cast<uint64_t>(snapshot.recovery_complete));
  writer.PutAmount(snapshot.leader_for_s);
  PutList(writer, snapshot.queues, PutQueue);
  PutList(writer, snapshot.teams, PutQueue);
  PutList(writer, snapshot.machines, PutMachines);
  PutList(writer, snapshot.progress, PutProgress);
  PutList(writer, snapshot.incidents, PutIncident);
  const std::string jobs = EncodeJobs(snapshot.jobs, writer.size());
  return writer.Take() + jobs;
}

StatusSnapshot DecodeStatusSnapshot(std::string_view frame) {
  if (frame.size() > kMaxStatusSnapshotBytes) throw BadMessage("frame: too large");
  VarintReader reader(frame);
  GetHeader(reader, FrameKind::kStatusSnapshot, kVersion, kVersion);
  StatusSnapshot snapshot;
  snapshot.leader = reader.GetString(kMaxTextBytes);
  snapshot.token = reader.Get();
  snapshot.recovery_complete = reader.Get() != 0;
  snapshot.leader_for_s = reader.GetAmount();
  snapshot.queues = GetList<Queue>(reader, GetQueue);
  snapshot.teams = GetList<Queue>(reader, GetQueue);
  snapshot.machines = GetList<Machines>(reader, GetMachines);
  snapshot.progress = GetList<Progress>(reader, GetProgress);
  snapshot.incidents = GetList<Incident>(reader, GetIncident);
  snapshot.jobs = GetList<Job>(reader, GetJob);
  reader.End();
  return snapshot;
}

bool IsNewer(const StatusSnapshot& snapshot, const StatusSnapshot& other) {
  return std::tie(snapshot.token, snapshot.leader_for_s) >
         std::tie(other.token, other.leader_for_s);
}

}  // namespace mosspath::wire
