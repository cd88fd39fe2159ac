// The role of a leader that delegates nothing, and the role of a leader that delegates machines and
// tasks to holders of shards. No I/O except logging.
#pragma once

#include "mosspath/scheduler/leader_sharding.h"
#include "mosspath/scheduler/machine_handover.h"
#include "mosspath/scheduler/role.h"
#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

// The role of a leader that commands all machines itself and writes the durable state.
class LeaderRole : public Role {
 public:
  // `state` outlives this object.
  explicit LeaderRole(SchedulerState& state) : state_(state) {}

  bool AcceptsUnknownMachines() const override { return true; }
  bool ProbesAtAllTimes() const override { return false; }
  bool ReceivesMachineLists() const override { return true; }
  void OnDeliveryFailureSuspected(cluster::Machine& machine) override;
  bool OnMachineLost(cluster::Machine& machine) override;
  void OnJobRemoved(const jobs::Job& job) override;
  void OnTaskDone(const jobs::Job& job, uint32_t index) override;
  void OnAttemptRecovered(jobs::Job& /*job*/, uint32_t /*index*/) override {}
  void OnCrashLoop(const jobs::Job& job) override;
  void OnCrashLoopEnded(const jobs::Job& job) override;
  void OnReconciliationEnded(uint64_t /*reconciliation*/, size_t /*tasks*/) override {}
  void BeforePlacement(double /*now*/) override {}
  void AfterPlacement(double /*now*/) override {}
  void OnRecordsWritten() override {}

 private:
  SchedulerState& state_;
};

// The role of a leader that also delegates machines and tasks to holders of shards.
class ShardedLeaderRole : public LeaderRole {
 public:
  // All arguments outlive this object.
  ShardedLeaderRole(SchedulerState& state, MachineHandover& handover, LeaderSharding& sharding)
      : LeaderRole(state), handover_(handover), sharding_(sharding) {}

  void OnReconciliationEnded(uint64_t reconciliation, size_t tasks) override;
  void BeforePlacement(double now) override { handover_.HandOverMachines(now); }
  void AfterPlacement(double now) override { handover_.RecallMachines(now); }
  void OnRecordsWritten() override { sharding_.SendDurableCompletions(); }

 private:
  MachineHandover& handover_;
  LeaderSharding& sharding_;
};

}  // namespace mosspath::scheduler
