// Fixtures of the scheduler's tests: a scheduler with one machine type whose machines the test
// plays.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/scheduler/scheduler.h"

namespace mosspath::scheduler {

inline config::Settings BaseSettings() {
  config::Settings s;
  s.controller_count = 3;
  s.zones = {"a", "b"};
  s.teams = {{"t", 0, 0, 0, 0}, {"guest", 0, 0, 0, 0}};
  s.objectives = {{"wait", "aimed", 900, 0.9, 1}};
  s.heartbeat_s = 2;
  s.agent_lease_s = 20;
  s.cancel_within_s = 40;
  s.store_requests_per_s = 100;
  s.store_writes_per_s = 25;
  s.store_value_kb = 8;
  s.store_transaction_changes = 8;
  s.cloud_requests_per_s = 5;
  s.machine_list_lag_s = 3;
  return s;
}

class DispatcherTest : public ::testing::Test {
 protected:
  DispatcherTest()
      : settings_(BaseSettings()), derived_(settings_), d_(settings_, derived_, 10, 0) {
    wire::MachineType t;
    t.name = "box";
    t.cpus = 4;
    t.memory_gb = 16;
    t.cache_gb = 10;
    t.fetch_gb_per_s = 1;
    t.price = 1;
    t.boot_s = 10;
    t.zones = {"a", "b"};
    d_.SetMachineTypes({t});
    d_type_ = t;
  }

  wire::JobSpec Job(int number, uint32_t tasks, double cpus, wire::Priority rank) {
    wire::JobSpec s;
    s.id = "req-" + std::to_string(number);
    s.job_class = "c";
    s.team = "t";
    s.tasks = tasks;
    s.cpus = cpus;
    s.memory_gb = 1;
    s.priority = rank;
    s.image = "img";
    s.image_gb = 1;
    s.estimated_run_s = 30;
    return s;
  }

  // The machine's next report, of no tasks.
  wire::Heartbeat Written(const std::string& id, uint64_t session) {
    wire::Heartbeat r;
    r.machine = id;
    r.address = "10.0.0.9:1";
    r.type = "box";
    r.zone = "a";
    r.agent_epoch = session;
    r.sequence = ++seq_[id];
    r.fencing_token = 10;
    return r;
  }

  // A report of what the machine has; (session, seq) count up by themselves.
  HeartbeatAnswer Report(const std::string& id, double now,
                         std::vector<wire::TaskStatus> tasks = {}, uint64_t token = 10) {
    wire::Heartbeat r = Written(id, 1);
    r.fencing_token = token;
    r.tasks = std::move(tasks);
    d_.Place(now);  // the leader's duty
    return d_.OnHeartbeat(r, now);
  }

  // Makes the machine known, recorded and ready for starts.
  void Ready(const std::string& id, double now) {
    Report(id, now);
    d_.Tick(now);
    Flush();
  }

  // All records that want writing are durable, under a revision below any that matters.
  void Flush() {
    while (!d_.TakeRecords(100, 48u << 10).empty()) d_.OnRecordsWritten(1, 0);
  }

  static std::vector<wire::Command> Only(const HeartbeatAnswer& a, wire::CommandType op) {
    std::vector<wire::Command> out;
    for (const auto& c : a.commands) {
      if (c.type == op) out.push_back(c);
    }
    return out;
  }

  config::Settings settings_;
  config::DerivedSettings derived_;
  Scheduler d_;
  wire::MachineType d_type_;
  std::map<std::string, uint64_t> seq_;
};

// A machine's reports arrive, but nothing reaches it.
class DeafTest : public DispatcherTest {
 protected:
  // Its list is what it had; it never shows a token that it was not told before.
  HeartbeatAnswer Deaf(const std::string& id, double now, uint64_t session, uint64_t token) {
    wire::Heartbeat r = Written(id, session);
    r.fencing_token = token;
    d_.Place(now);
    return d_.OnHeartbeat(r, now);
  }
  bool Returns(const std::string& id, double now) {
    const auto back = d_.PlanScaling(now).scale_in;
    return std::find(back.begin(), back.end(), id) != back.end();
  }
  bool Usable(const std::string& id, double now) {
    return cluster::ClusterState(settings_, derived_).IsSchedulable(d_.machines().at(id), now);
  }
};

}  // namespace mosspath::scheduler
