// Reads the cloud's machine types and prices at an interval, for the scheduler. Part of the
// leader's duties; not thread-safe.
#pragma once

#include <functional>
#include <vector>

#include "mosspath/net/timer.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {

class MachineTypePoller {
 public:
  using OnTypes = std::function<void(const std::vector<wire::MachineType>&)>;

  // `on_types` is called with each list of types, after the scheduler has received it.
  MachineTypePoller(const LeaderContext& context, OnTypes on_types);

  void Start() { Poll(); }
  void Stop() { timer_.Cancel(); }

 private:
  void Poll();

  const LeaderContext context_;
  const OnTypes on_types_;
  net::Timer timer_;
};

}  // namespace mosspath::service
