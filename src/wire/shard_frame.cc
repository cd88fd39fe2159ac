#include "mosspath/wire/shard_frame.h"

#include <algorithm>
#include <utility>

#include "mosspath/wire/peer_heartbeat.h"
#include "mosspath/wire/varint.h"
#include "wire/frame_header.h"

namespace mosspath::wire {
namespace {

using Kind = ShardMessage::Kind;
using MachineStatus = ShardMessage::MachineStatus;

constexpr uint64_t kVersion = 1;
constexpr size_t kMaxNameBytes = 200;
constexpr uint64_t kMaxTaskIndex = 100'000;
constexpr uint64_t kMaxMessages = 1 << 16;

// Bits of the flags in a machine status.
constexpr uint64_t kSpotBit = 1;
constexpr uint64_t kSchedulableBit = 2;
constexpr uint64_t kIdleBit = 4;
constexpr uint64_t kOnDemandWorkBit = 8;
constexpr uint64_t kUnresponsiveBit = 16;
constexpr uint64_t kAllBits = 31;

bool IsKind(uint64_t number) {
  const auto is_between = [number](Kind first, Kind last) {
    return number >= static_cast<uint64_t>(first) && number <= static_cast<uint64_t>(last);
  };
  return is_between(Kind::kDelegateTasks, Kind::kMachineDeleted) ||
         is_between(Kind::kClaimTasks, Kind::kCrashLoop);
}

// A run of consecutive task indices.
struct TaskRun {
  uint32_t first = 0;
  uint32_t count = 0;
  [[nodiscard]] uint32_t end() const { return first + count; }
};

std::vector<TaskRun> RunsOf(const std::vector<uint32_t>& tasks) {
  std::vector<TaskRun> runs;
  for (const uint32_t index : tasks) {
    if (!runs.empty() && runs.back().end() == index) {
      ++runs.back().count;
    } else {
      runs.push_back({index, 1});
    }
  }
  return runs;
}

// Writes the tasks as runs. A run is encoded as two numbers: the gap since the end of the previous
// run, and the length of the run.
void PutTasks(VarintWriter& writer, const std::vector<uint32_t>& tasks) {
  const std::vector<TaskRun> runs = RunsOf(tasks);
  writer.Put(static_cast<uint64_t>(runs.size()));
  uint32_t previous_end = 0;
  for (const TaskRun& run : runs) {
    writer.Put(uint64_t{run.first - previous_end});
    writer.Put(uint64_t{run.count});
    previous_end = run.end();
  }
}

std::vector<uint32_t> GetTasks(VarintReader& reader) {
  std::vector<uint32_t> tasks;
  const uint64_t run_count = reader.GetCount(kMaxTaskIndex);
  uint64_t end = 0;
  for (uint64_t run = 0; run < run_count; ++run) {
    const uint64_t gap = reader.Get();
    const uint64_t count = reader.Get();
    const bool is_separate = run == 0 || gap > 0;
    if (gap > kMaxTaskIndex || count == 0 || count > kMaxTaskIndex ||
        end + gap + count > kMaxTaskIndex || !is_separate) {
      throw BadMessage("frame: task numbers out of range");
    }
    const uint64_t first = end + gap;
    end = first + count;
    for (uint64_t index = first; index < end; ++index) {
      tasks.push_back(static_cast<uint32_t>(index));
    }
  }
  return tasks;
}

void PutMachine(VarintWriter& writer, const MachineStatus& machine) {
  writer.Put(std::string_view(machine.address));
  writer.Put(std::string_view(machine.type));
  writer.Put(std::string_view(machine.zone));
  uint64_t flags = 0;
  if (machine.spot) flags |= kSpotBit;
  if (machine.schedulable) flags |= kSchedulableBit;
  if (machine.idle) flags |= kIdleBit;
  if (machine.has_on_demand_work) flags |= kOnDemandWorkBit;
  if (machine.unresponsive) flags |= kUnresponsiveBit;
  writer.Put(flags);
  for (const double amount : {machine.idle_s, machine.remaining_cpu_s, machine.used_cpus,
                              machine.used_gpus, machine.used_memory_gb}) {
    writer.PutAmount(std::min(amount, kNeverS));
  }
}

MachineStatus GetMachine(VarintReader& reader) {
  MachineStatus machine;
  machine.address = reader.GetString(kMaxNameBytes);
  machine.type = reader.GetString(kMaxNameBytes);
  machine.zone = reader.GetString(kMaxNameBytes);
  const uint64_t flags = reader.Get();
  if (flags > kAllBits) throw BadMessage("frame: not a machine");
  machine.spot = (flags & kSpotBit) != 0;
  machine.schedulable = (flags & kSchedulableBit) != 0;
  machine.idle = (flags & kIdleBit) != 0;
  machine.has_on_demand_work = (flags & kOnDemandWorkBit) != 0;
  machine.unresponsive = (flags & kUnresponsiveBit) != 0;
  machine.idle_s = reader.GetAmount();
  machine.remaining_cpu_s = reader.GetAmount();
  machine.used_cpus = reader.GetAmount();
  machine.used_gpus = reader.GetAmount();
  machine.used_memory_gb = reader.GetAmount();
  return machine;
}

}  // namespace

std::string Encode(const ShardMessage& message) {
  VarintWriter writer;
  writer.Put(static_cast<uint64_t>(message.kind));
  writer.Put(std::string_view(message.name));
  writer.Put(std::string_view(message.job));
  PutTasks(writer, message.tasks);
  writer.PutAmount(std::min(message.seconds, kNeverS));
  writer.Put(message.count);
  writer.Put(uint64_t{message.machine.has_value()});
  if (message.machine) PutMachine(writer, *message.machine);
  return writer.Take();
}

ShardMessage DecodeShardMessage(std::string_view encoded) {
  VarintReader reader(encoded);
  ShardMessage message;
  const uint64_t kind = reader.Get();
  if (!IsKind(kind)) throw BadMessage("frame: a message of no known kind");
  message.kind = static_cast<Kind>(kind);
  message.name = reader.GetString(kMaxNameBytes);
  message.job = reader.GetString(kMaxNameBytes);
  message.tasks = GetTasks(reader);
  message.seconds = reader.GetAmount();
  message.count = reader.Get();
  const uint64_t has_machine = reader.Get();
  if (has_machine > 1) throw BadMessage("frame: not a machine");
  if (has_machine == 1) message.machine = GetMachine(reader);
  reader.End();
  return message;
}

std::string Encode(const ShardFrame& frame) {
  VarintWriter writer;
  PutHeader(writer, FrameKind::kShardFrame, kVersion);
  writer.Put(std::string_view(frame.node));
  writer.Put(frame.leader_token);
  writer.Put(frame.lease);
  writer.Put(uint64_t{frame.from_leader});
  writer.Put(frame.acknowledged);
  writer.Put(frame.receive_window_bytes);
  writer.PutAmount(std::min(frame.view_age_s, kNeverS));
  writer.Put(frame.newest_cancellation);
  writer.Put(frame.first_sequence);
  writer.Put(static_cast<uint64_t>(frame.messages.size()));
  for (const auto& message : frame.messages) writer.Put(std::string_view(message));
  return writer.Take();
}

ShardFrame DecodeShardFrame(std::string_view encoded) {
  if (encoded.size() > kMaxShardFrameBytes) throw BadMessage("frame: too large");
  VarintReader reader(encoded);
  GetHeader(reader, FrameKind::kShardFrame, kVersion, kVersion);
  ShardFrame frame;
  frame.node = reader.GetString(kMaxNameBytes);
  frame.leader_token = reader.Get();
  frame.lease = reader.Get();
  frame.from_leader = reader.Get() != 0;
  frame.acknowledged = reader.Get();
  frame.receive_window_bytes = reader.Get();
  frame.view_age_s = reader.GetAmount();
  frame.newest_cancellation = reader.Get();
  frame.first_sequence = reader.Get();
  frame.messages.resize(reader.GetCount(kMaxMessages));
  for (auto& message : frame.messages) message = reader.GetString(kMaxShardFrameBytes);
  reader.End();
  return frame;
}

}  // namespace mosspath::wire
