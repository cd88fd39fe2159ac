#include "mosspath/scheduler/records.h"

#include <algorithm>
#include <charconv>

namespace mosspath::scheduler {

using jobs::Job;

namespace {

constexpr uint32_t kMostRetries = 1000;
constexpr double kPackFill = 0.7;
constexpr size_t kMarkPacks = 8;  // packs of marks in the room of one of the others

size_t PackBytes(const config::Settings& s) {
  return static_cast<size_t>(std::min(s.value_kb * 1024 * kPackFill,
                                      32.0 * 1024));  // well below what a request may hold
}

uint32_t Segments(const Job& job) { return (job.spec.tasks + jobs::kSegment - 1) / jobs::kSegment; }

}  // namespace

std::string ToText(const MachineEntry& entry) {
  if (entry.lease == 0) return entry.address;
  return entry.address + "/" + std::to_string(entry.lease) + "/" + std::to_string(entry.handed);
}

MachineEntry ReadMachineEntry(const wire::Json& json) {
  if (!json.is_string()) return {};
  const auto& text = json.get_ref<const std::string&>();
  // Earlier versions recorded the zone here.
  if (text.find(':') == std::string::npos) return {};
  const size_t slash = text.find('/');
  MachineEntry entry{text.substr(0, slash)};
  if (slash == std::string::npos) return entry;
  const char* end = text.data() + text.size();
  const auto lease = std::from_chars(text.data() + slash + 1, end, entry.lease);
  if (lease.ptr != end && *lease.ptr == '/') std::from_chars(lease.ptr + 1, end, entry.handed);
  return entry;
}

Records::Records(const config::Settings& settings, uint64_t token)
    : pack_bytes_(PackBytes(settings)),
      progress_(pack_bytes_),
      marks_(pack_bytes_ / kMarkPacks),
      machines_(pack_bytes_),
      newest_revision_(token) {}

void Records::LoadProgress(int pack, const wire::Json& value, uint64_t version) {
  Of(pack).Load(Own(pack), value, version);
  // A segment that moved to another pack may stand in the old one too, as it was then.
  for (const auto& [name, bits] : value.items()) unclaimed_[name].push_back(bits);
}

void Records::LoadMachines(int pack, const wire::Json& value, uint64_t version) {
  machines_.Load(pack, value, version);
}

std::optional<uint32_t> Records::Recall(Job& job) {
  for (uint32_t s = 0; s < Segments(job); ++s) {
    auto it = unclaimed_.find(jobs::SegmentName(job.spec.id, s));
    if (it == unclaimed_.end()) continue;
    for (const auto& bits : it->second) jobs::ApplyBits(bits, s, &job);
    unclaimed_.erase(it);
  }
  if (auto mark = unclaimed_.find(jobs::MarkName(job.spec.id)); mark != unclaimed_.end()) {
    job.mark = Job::Mark::kDurable;
    job.old_mark = true;
    unclaimed_.erase(mark);
  }
  const auto it = unclaimed_.find(jobs::DoubtName(job.spec.id));
  if (it == unclaimed_.end()) return std::nullopt;
  const wire::Json retries = it->second.back();
  unclaimed_.erase(it);
  if (!retries.is_number_unsigned()) return std::nullopt;
  return std::min(retries.get<uint32_t>(), kMostRetries);
}

void Records::TaskDone(const Job& job, uint32_t index) {
  unstaged_.emplace(job.spec.id, index / jobs::kSegment);
}

// Written with what is written anyway, so it costs no write of its own.
void Records::Doubt(const std::string& job, uint32_t retries) {
  progress_.Set(jobs::DoubtName(job), retries);
}

void Records::NoDoubt(const std::string& job) {
  progress_.Erase(jobs::DoubtName(job), /*lazily=*/true);
}

void Records::Mark(Job& job) {
  if (job.mark != Job::Mark::kNone) return;
  job.mark = Job::Mark::kWanted;
  unmarked_.push_back(job.spec.id);
  // Set once and never again, so it never moves to another pack: while it did, a successor could
  // find it in neither.
  marks_.Set(jobs::MarkName(job.spec.id), 1);
}

void Records::Forget(const Job& job) {
  marks_.Erase(jobs::MarkName(job.spec.id), /*lazily=*/true);
  for (uint32_t s = 0; s < Segments(job); ++s) {
    progress_.Erase(jobs::SegmentName(job.spec.id, s), /*lazily=*/true);
  }
  NoDoubt(job.spec.id);
}

void Records::AddMachine(const std::string& id, const std::string& address) {
  if (!machines_.Has(id)) machines_.Set(id, address);
}

void Records::AssignMachine(cluster::Machine& m, const std::string& address, uint64_t lease) {
  // Something was written between two hand-overs, if only that the machine came back.
  m.handed = newest_revision_;
  machines_.Replace(m.id, ToText({address, lease, m.handed}));
  m.in_record = true;
  m.recorded = false;
  m.entry_no = ++entries_;
}

void Records::DropMachine(const std::string& id) { machines_.Erase(id, /*lazily=*/false); }

Records::Batch Records::Take(size_t most, size_t bytes, cluster::Picture& picture) {
  if (!writing_.empty()) return {};
  for (const auto& [id, segment] : unstaged_) {
    if (const Job* job = picture.Find(id)) {
      progress_.Set(jobs::SegmentName(id, segment), jobs::DoneBits(*job, segment));
    }
  }
  unstaged_.clear();
  // Machines first: nothing starts on one before its entry is durable.
  writing_.machines = machines_.TakeDirty(most, bytes);
  std::set<int> packs;
  for (const auto& w : writing_.machines) {
    packs.insert(w.pack);
    bytes -= std::min(bytes, w.bytes);
  }
  for (auto& [id, m] : picture.machines) {
    if (m.in_record && !m.recorded && packs.contains(machines_.PackOf(id))) {
      writing_machines_.emplace_back(id, m.entry_no);
      m.silenced = m.silenced || m.leaving != 0;
    }
  }
  // Then marks, which starts wait for, but in no more than half of what is left.
  std::set<int> mark_packs;
  if (writing_.machines.size() + 1 < most && bytes > 0) {
    for (auto& w : marks_.TakeDirty((most - writing_.machines.size()) / 2, bytes / 2)) {
      mark_packs.insert(w.pack);
      bytes -= std::min(bytes, w.bytes);
      w.pack += kMarks;
      writing_.progress.push_back(std::move(w));
    }
  }
  const size_t taken = writing_.machines.size() + writing_.progress.size();
  // One is taken however large, so there must be room for a whole pack.
  if (taken < most && bytes >= pack_bytes_) {
    for (auto& w : progress_.TakeDirty(most - taken, bytes)) {
      writing_.progress.push_back(std::move(w));
    }
  }
  packs.clear();
  for (const auto& w : writing_.progress) packs.insert(w.pack);
  std::erase_if(unmarked_, [&](const std::string& id) {
    const int pack = marks_.PackOf(jobs::MarkName(id));
    if (pack >= 0 && !mark_packs.contains(pack)) return false;
    if (pack >= 0) writing_marks_.push_back(id);
    return true;
  });
  for (const auto& [id, job] : picture.jobs) {
    uint32_t segment = ~0U;
    bool writing = false;
    for (const uint32_t i : job->unsaved) {  // in order
      if (i / jobs::kSegment != segment) {
        segment = i / jobs::kSegment;
        writing = packs.contains(progress_.PackOf(jobs::SegmentName(id, segment)));
      }
      if (writing) writing_tasks_.emplace_back(id, i);
    }
  }
  return writing_;
}

std::vector<std::string> Records::Written(uint64_t revision, cluster::Picture& picture) {
  newest_revision_ = std::max(newest_revision_, revision);
  for (const auto& w : writing_.machines) machines_.Seen(w.pack, revision);
  for (const auto& w : writing_.progress) SeenProgress(w.pack, revision);
  for (const auto& [id, index] : writing_tasks_) {
    Job* job = picture.Find(id);
    if (job == nullptr) continue;
    job->tasks[index].durable = true;
    job->unsaved.erase(index);
  }
  std::vector<std::string> recorded;
  for (const auto& [id, entry_no] : writing_machines_) {
    // Gone and back in the meantime, it is in the record that was written all the same; but not
    // what its entry has been changed to since.
    const auto it = picture.machines.find(id);
    if (it == picture.machines.end() || !it->second.in_record || it->second.entry_no != entry_no) {
      continue;
    }
    it->second.recorded = it->second.todo = true;
    recorded.push_back(id);
  }
  for (const auto& id : writing_marks_) {
    if (Job* job = picture.Find(id)) job->mark = Job::Mark::kDurable;
  }
  picture.changed = picture.changed || !writing_machines_.empty() || !writing_marks_.empty();
  Clear();
  return recorded;
}

void Records::Failed() {
  for (const auto& w : writing_.machines) machines_.MarkDirty(w.pack);
  for (const auto& w : writing_.progress) Of(w.pack).MarkDirty(Own(w.pack));
  unmarked_.insert(unmarked_.end(), writing_marks_.begin(), writing_marks_.end());
  Clear();
}

void Records::Clear() {
  writing_ = {};
  writing_tasks_.clear();
  writing_machines_.clear();
  writing_marks_.clear();
}

}  // namespace mosspath::scheduler
