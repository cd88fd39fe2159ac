#include "mosspath/cluster/resources.h"

#include <algorithm>
#include <cmath>

namespace mosspath::cluster {
namespace {

constexpr double kTaskTolerance = 1e-6;  // in tasks
// The number of tasks that fit by a resource which the tasks do not need: in effect unlimited.
constexpr double kUnboundedTasks = 1e6;

double TasksThatFit(double needed, double available) {
  return needed > 0 ? std::max(0.0, std::floor(available / needed + kTaskTolerance))
                    : kUnboundedTasks;
}

double ShareOf(double part, double total) { return total > 0 ? part / total : 0; }

}  // namespace

double TasksThatFit(const Resources& task, const Resources& available) {
  return std::min({TasksThatFit(task.cpus, available.cpus), TasksThatFit(task.gpus, available.gpus),
                   TasksThatFit(task.memory_gb, available.memory_gb)});
}

double DominantShare(const Resources& part, const Resources& total) {
  return std::max({ShareOf(part.cpus, total.cpus), ShareOf(part.gpus, total.gpus),
                   ShareOf(part.memory_gb, total.memory_gb)});
}

}  // namespace mosspath::cluster
