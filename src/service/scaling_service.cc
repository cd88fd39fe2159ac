#include "mosspath/service/scaling_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::service {
namespace {

// Minimum pause after a plan, as a multiple of the time that the planning took.
constexpr double kPauseRatio = 3;
constexpr double kMinPlanIntervalS = 1.0;
constexpr size_t kMaxMachinesPerDeletion = 100;

}  // namespace

ScalingService::ScalingService(const LeaderContext& context, net::StallDetector& stalls)
    : context_(context), stalls_(stalls), timer_(context.io), scale_out_(context) {}

void ScalingService::Stop() {
  timer_.Cancel();
  scale_out_.Stop();
}

void ScalingService::PlanSoon() {
  if (!scale_out_.idle()) return;
  const double wait_s = next_plan_at_ ? *next_plan_at_ - net::Now() : 0;
  timer_.After(wait_s, [this] { Plan(); });
}

void ScalingService::Plan() {
  timer_.After(std::max(kMinPlanIntervalS, context_.settings.heartbeat_s / 2), [this] { Plan(); });
  stalls_.Check();
  if (!context_.term.MayAct()) return;
  const double began = net::Now();
  const autoscaler::ScalingPlan plan = context_.scheduler.PlanScaling(began);
  const double planned = net::Now();
  next_plan_at_ =
      planned + std::max(context_.derived.scaling_interval_s, kPauseRatio * (planned - began));
  if (scale_out_.idle() && context_.scheduler.recovery_complete()) {
    scale_out_.Enqueue(plan.scale_out);
  }
  scale_out_.Send();
  ScaleIn(plan.scale_in);
}

void ScalingService::ScaleIn(const std::vector<std::string>& machines) {
  for (size_t begin = 0; begin < machines.size() && context_.cloud.MayRequest();
       begin += kMaxMachinesPerDeletion) {
    const size_t end = std::min(machines.size(), begin + kMaxMachinesPerDeletion);
    DeleteMachines({machines.begin() + static_cast<std::ptrdiff_t>(begin),
                    machines.begin() + static_cast<std::ptrdiff_t>(end)});
  }
}

void ScalingService::DeleteMachines(const std::vector<std::string>& machines) {
  for (const auto& machine : machines) {
    spdlog::info("autoscaler: scale_in machine={}", machine);
    context_.scheduler.OnMachineDeleting(machine);
  }
  context_.cloud.Delete(machines,
                        context_.term.Guard([this, machines](CloudClient::Outcome outcome) {
                          OnDeleteOutcome(machines, outcome);
                        }),
                        context_.term.MayStillAct());
}

void ScalingService::OnDeleteOutcome(const std::vector<std::string>& machines,
                                     CloudClient::Outcome outcome) {
  for (const auto& machine : machines) {
    if (outcome == CloudClient::Outcome::kDone) {
      context_.scheduler.OnMachineDeleted(machine, net::Now());
    } else {
      context_.scheduler.OnDeletionFailed(machine);
    }
  }
}

}  // namespace mosspath::service
