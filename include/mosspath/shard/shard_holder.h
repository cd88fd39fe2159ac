// The holder of a block: it commands the block's machines, places there what the leader gives it,
// and tells the leader what became of it. It has no records of its own: what is done becomes
// durable through the leader, and until then the workers keep it (rule 8 of docs/design.md). Pure.
//
// Who uses it may let it act only while the block's record shows this lease and the view of the
// state service is fresh (docs/blocks.md, "How long a holder may act").
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/shard/reliable_channel.h"

namespace mosspath::shard {

class ShardHolder {
 public:
  struct LiveJob {
    wire::JobSpec spec;
    uint64_t version = 0;
    double submitted_at = 0;  // on this node's steady clock
  };
  // A live job as the mirror has it.
  using FindJob = std::function<std::optional<LiveJob>(const std::string& id)>;

  ShardHolder(const config::Settings& settings, const config::DerivedSettings& derived,
              size_t own_block, uint64_t lease, double now, FindJob find_job);

  uint64_t lease() const { return lease_; }
  scheduler::Scheduler& dispatcher() { return dispatcher_; }
  const scheduler::Scheduler& dispatcher() const { return dispatcher_; }

  // --- What the state service shows ---
  // The machine is the block's; `version` of the record that says so is its token, `handed` which
  // time it was handed over.
  void OnMachineAssigned(const std::string& machine, const std::string& address, uint64_t version,
                         uint64_t handed, double now);
  // It no longer says so.
  void OnMachineUnassigned(const std::string& machine) { returned_.erase(machine); }
  struct ReturnedMachine {
    uint64_t lost = 0;               // 1: it was
    uint64_t handover_revision = 0;  // as of when it was held
  };
  const std::map<std::string, ReturnedMachine>& returned() const { return returned_; }
  // Whoever leads now is told everything anew.
  void OnLeader(uint64_t token);
  void OnJobEnded(const std::string& id, double now) { dispatcher_.RemoveJob(id, now); }

  // --- Workers ---
  scheduler::HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& r, double now);
  void OnCommandOutcome(const scheduler::CommandBatch& order, scheduler::CommandOutcome outcome,
                        const wire::Heartbeat* report, double now);

  // --- The leader ---
  uint64_t leader_token() const { return leader_token_; }
  // False: not from the present leader, or for another lease. Nothing is done then.
  bool OnFrame(const wire::ShardFrame& frame, double now);
  // What is to be told now, if anything is; `revision`: up to where the mirror has come.
  std::optional<wire::ShardFrame> NextFrame(uint64_t revision, double now);
  // Left unanswered or refused: to be sent again.
  void OnFrameLost() { next_frame_at_ = -1e18; }
  // The frame that acknowledges what came, with what waits.
  wire::ShardFrame MakeAnswer();

  void Tick(double now);
  // Most of its machines are silent, all at once.
  bool IsPartitionedFromAgents(double now) { return dispatcher_.IsPartitionedFromAgents(now); }

 private:
  void LoadJob(const std::string& job);
  void LoadJob(const wire::Heartbeat& r);
  void AcceptReturnedMachines();
  void CollectUpdates(uint64_t revision, double now);

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  const uint64_t lease_;
  const FindJob find_job_;
  scheduler::Scheduler dispatcher_;
  ReliableChannel channel_;
  uint64_t leader_token_ = 0;
  bool claims_sent_ = false;    // this leader has been sent all that is held
  bool synced_ = false;         // and that it is all
  uint64_t applied_batch_ = 0;  // the last batch of gives
  double leader_heard_at_ = -1e18;
  double next_frame_at_ = -1e18;
  double next_status_at_ = -1e18;
  std::map<std::string, wire::ShardMessage> reported_status_;  // of machines
  std::map<std::string, uint64_t> handover_revisions_;         // of machines that were taken
  std::map<std::string, ReturnedMachine> returned_;  // though the record still has them here
};

}  // namespace mosspath::shard
