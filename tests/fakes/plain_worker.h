// What a worker does with what reaches it, as the protocol says, for models that walk every order.
// No run ends by itself.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::fakes {

struct PlainAgent {
  std::string id;
  uint64_t session = 1;
  uint64_t seq = 0;
  uint64_t token = 0;
  double lease_from = 0;
  struct Attempt {
    wire::TaskState state = wire::TaskState::kRunning;
    wire::ExitReason why = wire::ExitReason::kNone;
  };
  std::map<std::pair<wire::TaskId, uint64_t>, Attempt> attempts;

  bool Has(const wire::TaskId& task) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](const auto& a) {
      return a.first.first == task && a.second.state != wire::TaskState::kExited;
    });
  }
  wire::Heartbeat Report() {
    wire::Heartbeat r;
    r.machine = id;
    r.address = id + ":1";
    r.type = "box";
    r.zone = "east";
    r.agent_epoch = session;
    r.sequence = ++seq;
    r.fencing_token = token;
    for (const auto& [key, a] : attempts) {
      r.tasks.push_back({key.first, key.second, a.state, a.why, false});
    }
    return r;
  }
  void Execute(const std::vector<wire::Command>& commands) {
    for (const auto& c : commands) {
      const auto key = std::pair(c.task, c.attempt);
      const auto it = attempts.find(key);
      if (c.type == wire::CommandType::kStart && it == attempts.end()) {
        if (Has(c.task)) {
          attempts[key] = {wire::TaskState::kExited, wire::ExitReason::kOtherAttemptPresent};
        } else {
          attempts[key] = {};
        }
      } else if (c.type == wire::CommandType::kStop && it != attempts.end()) {
        if (it->second.state != wire::TaskState::kExited) {
          it->second = {wire::TaskState::kExited, wire::ExitReason::kStopped};
        }
      } else if (c.type == wire::CommandType::kForget && it != attempts.end()) {
        attempts.erase(it);
      }
    }
  }
  // What runs of the task is done.
  bool Finish(const wire::TaskId& task) {
    bool any = false;
    for (auto& [key, a] : attempts) {
      if (key.first != task || a.state == wire::TaskState::kExited) continue;
      a = {wire::TaskState::kExited, wire::ExitReason::kSucceeded};
      any = true;
    }
    return any;
  }
  void LeaseAt(double now, double lease_s) {
    if (now - lease_from < lease_s) return;
    attempts.clear();
    ++session;
    lease_from = now;
  }
};

}  // namespace mosspath::fakes
