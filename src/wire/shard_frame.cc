#include "mosspath/wire/shard_frame.h"

#include <algorithm>
#include <utility>

#include "mosspath/wire/peer_heartbeat.h"
#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

constexpr uint64_t kFrameBlock = 0x6d70'03;
constexpr uint64_t kVersion = 1;
constexpr size_t kMaxName = 200;
constexpr uint64_t kMaxTasks = 100'000;
constexpr uint64_t kMaxItems = 1 << 16;

bool IsKind(uint64_t k) { return (k >= 1 && k <= 7) || (k >= 20 && k <= 27); }

// As runs: how far the next begins after the end of the last, and how long it is.
void PutTasks(VarintWriter& w, const std::vector<uint32_t>& tasks) {
  std::vector<std::pair<uint32_t, uint32_t>> runs;
  for (const uint32_t i : tasks) {
    if (!runs.empty() && runs.back().first + runs.back().second == i) {
      ++runs.back().second;
    } else {
      runs.emplace_back(i, 1);
    }
  }
  w.Put(static_cast<uint64_t>(runs.size()));
  uint32_t end = 0;
  for (const auto& [from, n] : runs) {
    w.Put(uint64_t{from - end});
    w.Put(uint64_t{n});
    end = from + n;
  }
}

std::vector<uint32_t> GetTasks(VarintReader& r) {
  std::vector<uint32_t> tasks;
  const uint64_t runs = r.GetCount(kMaxTasks);
  uint64_t at = 0;
  for (uint64_t i = 0; i < runs; ++i) {
    const uint64_t gap = r.Get();
    const uint64_t n = r.Get();
    if (gap > kMaxTasks || n == 0 || n > kMaxTasks || at + gap + n > kMaxTasks ||
        (i > 0 && gap == 0)) {
      throw BadMessage("frame: task numbers out of range");
    }
    at += gap;
    for (uint64_t k = 0; k < n; ++k) tasks.push_back(static_cast<uint32_t>(at + k));
    at += n;
  }
  return tasks;
}

}  // namespace

std::string Encode(const ShardMessage& item) {
  VarintWriter w;
  w.Put(static_cast<uint64_t>(item.kind));
  w.Put(std::string_view(item.name));
  w.Put(std::string_view(item.job));
  PutTasks(w, item.tasks);
  w.PutAmount(std::min(item.seconds, kNeverS));
  w.Put(item.count);
  w.Put(uint64_t{item.machine.has_value()});
  if (item.machine) {
    const ShardMessage::MachineStatus& m = *item.machine;
    w.Put(std::string_view(m.address));
    w.Put(std::string_view(m.type));
    w.Put(std::string_view(m.zone));
    w.Put((m.spot ? 1U : 0U) | (m.schedulable ? 2U : 0U) | (m.idle ? 4U : 0U) |
          (m.has_on_demand_work ? 8U : 0U) | (m.unresponsive ? uint64_t{16} : uint64_t{0}));
    for (const double v :
         {m.idle_s, m.remaining_cpu_s, m.used_cpus, m.used_gpus, m.used_memory_gb}) {
      w.PutAmount(std::min(v, kNeverS));
    }
  }
  return w.Take();
}

ShardMessage DecodeShardMessage(std::string_view text) {
  VarintReader r(text);
  ShardMessage item;
  const uint64_t kind = r.Get();
  if (!IsKind(kind)) throw BadMessage("frame: an item of no known kind");
  item.kind = static_cast<ShardMessage::Kind>(kind);
  item.name = r.GetString(kMaxName);
  item.job = r.GetString(kMaxName);
  item.tasks = GetTasks(r);
  item.seconds = r.GetAmount();
  item.count = r.Get();
  const uint64_t has_machine = r.Get();
  if (has_machine > 1) throw BadMessage("frame: not a machine");
  if (has_machine == 1) {
    ShardMessage::MachineStatus m;
    m.address = r.GetString(kMaxName);
    m.type = r.GetString(kMaxName);
    m.zone = r.GetString(kMaxName);
    const uint64_t flags = r.Get();
    if (flags > 31) throw BadMessage("frame: not a machine");
    m.spot = (flags & 1) != 0;
    m.schedulable = (flags & 2) != 0;
    m.idle = (flags & 4) != 0;
    m.has_on_demand_work = (flags & 8) != 0;
    m.unresponsive = (flags & 16) != 0;
    m.idle_s = r.GetAmount();
    m.remaining_cpu_s = r.GetAmount();
    m.used_cpus = r.GetAmount();
    m.used_gpus = r.GetAmount();
    m.used_memory_gb = r.GetAmount();
    item.machine = std::move(m);
  }
  r.End();
  return item;
}

std::string Encode(const ShardFrame& f) {
  VarintWriter w;
  w.Put(kFrameBlock);
  w.Put(kVersion);
  w.Put(std::string_view(f.node));
  w.Put(f.leader_token);
  w.Put(f.lease);
  w.Put(uint64_t{f.from_leader});
  w.Put(f.acknowledged);
  w.Put(f.receive_window_bytes);
  w.PutAmount(std::min(f.view_age_s, kNeverS));
  w.Put(f.newest_cancellation);
  w.Put(f.first_sequence);
  w.Put(static_cast<uint64_t>(f.messages.size()));
  for (const auto& item : f.messages) w.Put(std::string_view(item));
  return w.Take();
}

ShardFrame DecodeShardFrame(std::string_view text) {
  if (text.size() > kMaxShardFrameBytes) throw BadMessage("frame: too large");
  VarintReader r(text);
  if (r.Get() != kFrameBlock) throw BadMessage("frame: not of a block");
  if (r.Get() != kVersion) throw BadMessage("frame: a version that is not spoken here");
  ShardFrame f;
  f.node = r.GetString(kMaxName);
  f.leader_token = r.Get();
  f.lease = r.Get();
  f.from_leader = r.Get() != 0;
  f.acknowledged = r.Get();
  f.receive_window_bytes = r.Get();
  f.view_age_s = r.GetAmount();
  f.newest_cancellation = r.Get();
  f.first_sequence = r.Get();
  f.messages.resize(r.GetCount(kMaxItems));
  for (auto& item : f.messages) item = r.GetString(kMaxShardFrameBytes);
  r.End();
  return f;
}

}  // namespace mosspath::wire
