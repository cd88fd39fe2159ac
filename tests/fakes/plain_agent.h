// What an agent does with what reaches it, as the protocol says, for models that walk every order
// of events.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::fakes {

// Has no timers and no network: the model calls it for each event. Its state is public, so that a
// model can tell states apart and put an agent into one. No run ends by itself.
struct PlainAgent {
  struct Attempt {
    wire::TaskState state = wire::TaskState::kRunning;
    wire::ExitReason why = wire::ExitReason::kNone;
  };

  std::string id;
  uint64_t session = 1;  // its epoch
  uint64_t seq = 0;      // of its last heartbeat
  uint64_t token = 0;    // the highest fencing token that it has seen
  double lease_from = 0;
  std::map<std::pair<wire::TaskId, uint64_t>, Attempt> attempts;  // by task and attempt

  // Whether an attempt of the task has not exited.
  bool Has(const wire::TaskId& task) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](const auto& entry) {
      return entry.first.first == task && entry.second.state != wire::TaskState::kExited;
    });
  }

  // Its next heartbeat.
  wire::Heartbeat Report() {
    wire::Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = id + ":1";
    heartbeat.type = "box";
    heartbeat.zone = "east";
    heartbeat.agent_epoch = session;
    heartbeat.sequence = ++seq;
    heartbeat.fencing_token = token;
    for (const auto& [key, attempt] : attempts) {
      heartbeat.tasks.push_back({key.first, key.second, attempt.state, attempt.why, false});
    }
    return heartbeat;
  }

  // The caller has checked the token and the epoch.
  void Execute(const std::vector<wire::Command>& commands) {
    for (const auto& command : commands) Execute(command);
  }

  // All running attempts of the task succeed. Returns whether there was one.
  bool Finish(const wire::TaskId& task) {
    bool any = false;
    for (auto& [key, attempt] : attempts) {
      if (key.first != task || attempt.state == wire::TaskState::kExited) continue;
      attempt = {wire::TaskState::kExited, wire::ExitReason::kSucceeded};
      any = true;
    }
    return any;
  }

  // Drops everything and begins the next epoch if the lease is over by then.
  void LeaseAt(double now, double lease_s) {
    if (now - lease_from < lease_s) return;
    attempts.clear();
    ++session;
    lease_from = now;
  }

 private:
  void Execute(const wire::Command& command) {
    const std::pair key(command.task, command.attempt);
    const auto found = attempts.find(key);
    const bool present = found != attempts.end();
    switch (command.type) {
      case wire::CommandType::kStart:
        if (!present) Start(key);
        break;
      case wire::CommandType::kStop:
        if (!present || found->second.state == wire::TaskState::kExited) break;
        found->second = {wire::TaskState::kExited, wire::ExitReason::kStopped};
        break;
      case wire::CommandType::kForget:
        if (present) attempts.erase(found);
        break;
    }
  }

  void Start(const std::pair<wire::TaskId, uint64_t>& key) {
    if (Has(key.first)) {
      attempts[key] = {wire::TaskState::kExited, wire::ExitReason::kOtherAttemptPresent};
    } else {
      attempts[key] = {};
    }
  }
};

}  // namespace mosspath::fakes
