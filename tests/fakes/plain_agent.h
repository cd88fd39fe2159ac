// A model of an agent's behavior as the protocol defines it, for tests that enumerate all orders of
// events.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::fakes {

// Has no timers and no network: the test calls a function for each event. The agent's state is
// public, so that a test can compare and set it. A task ends only when the test or a command ends
// it.
struct PlainAgent {
  struct Attempt {
    wire::TaskState state = wire::TaskState::kRunning;
    wire::ExitReason exit_reason = wire::ExitReason::kNone;
  };

  std::string id;
  uint64_t epoch = 1;           // agent epoch
  uint64_t sequence = 0;        // sequence number of the last heartbeat
  uint64_t token = 0;           // the highest fencing token received
  double lease_renewed_at = 0;  // time of the last lease renewal, in s
  std::map<std::pair<wire::TaskId, uint64_t>, Attempt> attempts;  // by task and attempt number

  // Returns whether an attempt of the task is present and has not exited.
  bool Has(const wire::TaskId& task) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](const auto& entry) {
      return entry.first.first == task && entry.second.state != wire::TaskState::kExited;
    });
  }

  // Returns the next heartbeat.
  wire::Heartbeat MakeHeartbeat() {
    wire::Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.address = id + ":1";
    heartbeat.type = "box";
    heartbeat.zone = "east";
    heartbeat.agent_epoch = epoch;
    heartbeat.sequence = ++sequence;
    heartbeat.fencing_token = token;
    for (const auto& [key, attempt] : attempts) {
      heartbeat.tasks.push_back({key.first, key.second, attempt.state, attempt.exit_reason, false});
    }
    return heartbeat;
  }

  // Executes the commands. The caller has checked their fencing token and agent epoch.
  void Execute(const std::vector<wire::Command>& commands) {
    for (const auto& command : commands) Execute(command);
  }

  // Lets all running attempts of the task exit successfully. Returns whether any attempt was
  // running.
  bool Finish(const wire::TaskId& task) {
    bool any = false;
    for (auto& [key, attempt] : attempts) {
      if (key.first != task || attempt.state == wire::TaskState::kExited) continue;
      attempt = {wire::TaskState::kExited, wire::ExitReason::kSucceeded};
      any = true;
    }
    return any;
  }

  // If the lease has expired at `now`, ends all attempts and begins the next agent epoch.
  void ExpireLeaseIfDue(double now, double lease_s) {
    if (now - lease_renewed_at < lease_s) return;
    attempts.clear();
    ++epoch;
    lease_renewed_at = now;
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
