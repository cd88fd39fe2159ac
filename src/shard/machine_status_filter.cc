#include "mosspath/shard/machine_status_filter.h"

#include <cmath>

namespace mosspath::shard {
namespace {

using MachineStatus = wire::ShardMessage::MachineStatus;

// A change of a machine's remaining work (in CPU seconds) is sent only if the change exceeds this
// share of the remaining work plus this many CPU seconds.
constexpr double kWorkStepRatio = 0.2;
constexpr double kWorkStepS = 1;

bool HasSameState(const MachineStatus& sent, const MachineStatus& current) {
  return sent.schedulable == current.schedulable && sent.idle == current.idle &&
         sent.has_on_demand_work == current.has_on_demand_work &&
         sent.unresponsive == current.unresponsive && sent.used_cpus == current.used_cpus &&
         sent.used_gpus == current.used_gpus && sent.used_memory_gb == current.used_memory_gb &&
         sent.type == current.type && sent.address == current.address;
}

bool IsEquivalent(const MachineStatus& sent, const MachineStatus& current) {
  if (!HasSameState(sent, current)) return false;
  // While a machine stays idle, only its idle time changes. The leader adds the time since the last
  // message itself, so no new message is needed.
  if (sent.idle) return true;
  const double change_s = std::abs(sent.remaining_cpu_s - current.remaining_cpu_s);
  return change_s <= kWorkStepRatio * current.remaining_cpu_s + kWorkStepS;
}

}  // namespace

bool MachineStatusFilter::ShouldSend(const wire::ShardMessage& message) {
  const auto it = sent_.find(message.name);
  if (it != sent_.end() && IsEquivalent(it->second, *message.machine)) return false;
  sent_[message.name] = *message.machine;
  return true;
}

}  // namespace mosspath::shard
