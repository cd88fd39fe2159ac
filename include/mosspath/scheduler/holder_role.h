// The role of a controller that holds a shard. The holder commands the machines that the leader
// hands over, runs the tasks that the leader delegates, and sends the leader the changes that only
// the leader writes to the store. No I/O.
#pragma once

#include "mosspath/scheduler/holder_sharding.h"
#include "mosspath/scheduler/role.h"
#include "mosspath/scheduler/scheduler_state.h"

namespace mosspath::scheduler {

class HolderRole : public Role {
 public:
  // Both arguments outlive this object.
  HolderRole(SchedulerState& state, HolderSharding& sharding)
      : state_(state), sharding_(sharding) {}

  bool AcceptsUnknownMachines() const override { return false; }
  bool ProbesAtAllTimes() const override { return true; }
  bool ReceivesMachineLists() const override { return false; }
  void OnDeliveryFailureSuspected(cluster::Machine& machine) override;
  // Keeps the lost machine's entry until ReturnMachines (holder_sharding.h) has reported the loss
  // to the leader.
  bool OnMachineLost(cluster::Machine& /*machine*/) override { return false; }
  void OnJobRemoved(const jobs::Job& job) override;
  void OnTaskDone(const jobs::Job& job, uint32_t index) override;
  void OnAttemptRecovered(jobs::Job& job, uint32_t index) override;
  void OnCrashLoop(const jobs::Job& job) override;
  void OnCrashLoopEnded(const jobs::Job& /*job*/) override {}
  void OnReconciliationEnded(uint64_t /*reconciliation*/, size_t /*tasks*/) override {}
  void BeforePlacement(double /*now*/) override {}
  void AfterPlacement(double /*now*/) override {}
  void OnRecordsWritten() override {}

 private:
  SchedulerState& state_;
  HolderSharding& sharding_;
};

}  // namespace mosspath::scheduler
