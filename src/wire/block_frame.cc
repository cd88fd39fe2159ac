#include "mosspath/wire/block_frame.h"

#include <algorithm>
#include <utility>

#include "mosspath/wire/presence.h"
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

std::string Encode(const BlockItem& item) {
  VarintWriter w;
  w.Put(static_cast<uint64_t>(item.kind));
  w.Put(std::string_view(item.name));
  w.Put(std::string_view(item.job));
  PutTasks(w, item.tasks);
  w.PutAmount(std::min(item.seconds, kNever));
  w.Put(item.count);
  w.Put(uint64_t{item.machine.has_value()});
  if (item.machine) {
    const BlockItem::Machine& m = *item.machine;
    w.Put(std::string_view(m.address));
    w.Put(std::string_view(m.type));
    w.Put(std::string_view(m.zone));
    w.Put((m.spot ? 1U : 0U) | (m.usable ? 2U : 0U) | (m.idle ? 4U : 0U) | (m.needed ? 8U : 0U) |
          (m.silent ? uint64_t{16} : uint64_t{0}));
    for (const double v : {m.idle_s, m.work_s, m.cpus, m.gpus, m.memory_gb}) {
      w.PutAmount(std::min(v, kNever));
    }
  }
  return w.Take();
}

BlockItem DecodeBlockItem(std::string_view text) {
  VarintReader r(text);
  BlockItem item;
  const uint64_t kind = r.Get();
  if (!IsKind(kind)) throw BadMessage("frame: an item of no known kind");
  item.kind = static_cast<BlockItem::Kind>(kind);
  item.name = r.GetString(kMaxName);
  item.job = r.GetString(kMaxName);
  item.tasks = GetTasks(r);
  item.seconds = r.GetAmount();
  item.count = r.Get();
  const uint64_t has_machine = r.Get();
  if (has_machine > 1) throw BadMessage("frame: not a machine");
  if (has_machine == 1) {
    BlockItem::Machine m;
    m.address = r.GetString(kMaxName);
    m.type = r.GetString(kMaxName);
    m.zone = r.GetString(kMaxName);
    const uint64_t flags = r.Get();
    if (flags > 31) throw BadMessage("frame: not a machine");
    m.spot = (flags & 1) != 0;
    m.usable = (flags & 2) != 0;
    m.idle = (flags & 4) != 0;
    m.needed = (flags & 8) != 0;
    m.silent = (flags & 16) != 0;
    m.idle_s = r.GetAmount();
    m.work_s = r.GetAmount();
    m.cpus = r.GetAmount();
    m.gpus = r.GetAmount();
    m.memory_gb = r.GetAmount();
    item.machine = std::move(m);
  }
  r.End();
  return item;
}

std::string Encode(const BlockFrame& f) {
  VarintWriter w;
  w.Put(kFrameBlock);
  w.Put(kVersion);
  w.Put(std::string_view(f.node));
  w.Put(f.leader);
  w.Put(f.lease);
  w.Put(uint64_t{f.from_leader});
  w.Put(f.heard);
  w.Put(f.room);
  w.PutAmount(std::min(f.view_age_s, kNever));
  w.Put(f.cancelled);
  w.Put(f.first);
  w.Put(static_cast<uint64_t>(f.items.size()));
  for (const auto& item : f.items) w.Put(std::string_view(item));
  return w.Take();
}

BlockFrame DecodeBlockFrame(std::string_view text) {
  if (text.size() > kMaxBlockFrame) throw BadMessage("frame: too large");
  VarintReader r(text);
  if (r.Get() != kFrameBlock) throw BadMessage("frame: not of a block");
  if (r.Get() != kVersion) throw BadMessage("frame: a version that is not spoken here");
  BlockFrame f;
  f.node = r.GetString(kMaxName);
  f.leader = r.Get();
  f.lease = r.Get();
  f.from_leader = r.Get() != 0;
  f.heard = r.Get();
  f.room = r.Get();
  f.view_age_s = r.GetAmount();
  f.cancelled = r.Get();
  f.first = r.Get();
  f.items.resize(r.GetCount(kMaxItems));
  for (auto& item : f.items) item = r.GetString(kMaxBlockFrame);
  r.End();
  return f;
}

}  // namespace mosspath::wire
