#include "mosspath/service/machine_type_poller.h"

#include <utility>

namespace mosspath::service {
namespace {

constexpr double kPollIntervalLeases = 3;  // interval between polls, in agent lease durations
constexpr double kRetryS = 2.0;

}  // namespace

MachineTypePoller::MachineTypePoller(const LeaderContext& context, OnTypes on_types)
    : context_(context), on_types_(std::move(on_types)), timer_(context.io) {}

void MachineTypePoller::Poll() {
  context_.cloud.ListMachineTypes(
      context_.term.Guard([this](bool ok, const std::vector<wire::MachineType>& types) {
        if (ok) {
          context_.scheduler.SetMachineTypes(types);
          on_types_(types);
        }
        const double pause_s = ok ? kPollIntervalLeases * context_.settings.agent_lease_s : kRetryS;
        timer_.After(pause_s, [this] { Poll(); });
      }));
}

}  // namespace mosspath::service
