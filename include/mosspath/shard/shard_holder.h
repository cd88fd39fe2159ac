// The holder of a shard: commands the shard's machines, places the tasks that the leader delegates,
// and sends the results to the leader. A holder writes no records. The leader makes completions
// durable; until then the agents keep them (docs/design.md, rule 8; and docs/sharding.md). Does no
// I/O.
//
// The caller may use this object to command machines only while two conditions hold: the record of
// the shard lease names the lease() of this object, and what this controller has read of the
// key-value store is fresh (docs/sharding.md, "How long a holder may act").
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/shard/machine_status_filter.h"
#include "mosspath/shard/reliable_channel.h"

namespace mosspath::shard {

// All times are seconds on this controller's steady clock.
class ShardHolder {
 public:
  struct LiveJob {
    wire::JobSpec spec;
    uint64_t version = 0;
    double submitted_at = 0;
  };
  // Looks up a job in the watch cache. Returns nothing if the job has ended or the watch cache has
  // no record of the job.
  using FindJob = std::function<std::optional<LiveJob>(const std::string& id)>;

  // Holds the shard with the index `own_shard` under the shard lease `lease`.
  ShardHolder(const config::Settings& settings, const config::DerivedSettings& derived,
              size_t own_shard, uint64_t lease, double now, FindJob find_job);

  [[nodiscard]] uint64_t lease() const { return lease_; }
  [[nodiscard]] scheduler::Scheduler& dispatcher() { return scheduler_; }
  [[nodiscard]] const scheduler::Scheduler& dispatcher() const { return scheduler_; }

  // --- Records of the key-value store ---
  // The machine's record assigns the machine to this lease. The record's `version` is the fencing
  // token for the machine; `handover_revision` rises with each handover of the machine.
  void OnMachineAssigned(const std::string& machine, const std::string& address, uint64_t version,
                         uint64_t handover_revision, double now);
  // The machine's record no longer assigns the machine to this lease.
  void OnMachineUnassigned(const std::string& machine) { returned_.erase(machine); }
  struct ReturnedMachine {
    // True if the machine was returned because it did not answer; false if it was returned because
    // it was empty.
    bool lost = false;
    uint64_t handover_revision = 0;  // revision of the handover that the return ends
  };
  // The machines that were returned to the leader although their records still assign them to this
  // lease.
  [[nodiscard]] const std::map<std::string, ReturnedMachine>& returned() const { return returned_; }
  // Sets the fencing token of the present leader. If the token differs from the last one, all
  // claims and machine states will be sent again, since the new leader has none.
  void OnLeader(uint64_t token);
  void OnJobEnded(const std::string& id, double now) { scheduler_.RemoveJob(id, now); }
  // This controller has read the store up to `revision`, and the lease was open then. The revision
  // may become a fencing token once the leader of that time has shown that it knows the lease: only
  // then are the tokens of whoever commands the machines next higher.
  void OnRevisionRead(uint64_t revision) {
    if (last_leader_frame_at_) scheduler_.OnRevisionRead(revision);
  }

  // --- Agents ---
  scheduler::HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat, double now);
  // `heartbeat` is the heartbeat in the agent's answer to the batch; null if there is none.
  void OnCommandOutcome(const scheduler::CommandBatch& batch, scheduler::CommandOutcome outcome,
                        const wire::Heartbeat* heartbeat, double now);

  // --- The leader ---
  [[nodiscard]] uint64_t leader_token() const { return leader_token_; }
  // Handles a frame. Returns false, without effect, if the frame is not from the present leader or
  // is for another lease. Throws wire::BadMessage on a frame that no leader can have sent.
  bool OnFrame(const wire::ShardFrame& frame, double now);
  // Returns the frame to send to the leader now; nothing if none is due. `revision`: the latest
  // revision in the watch cache.
  [[nodiscard]] std::optional<wire::ShardFrame> NextFrame(uint64_t revision, double now);
  // The leader refused or did not answer the last frame. Its messages must be sent again, so the
  // next frame is due at once.
  void OnFrameLost() { next_frame_at_.reset(); }
  // Returns a frame for the leader with the acknowledgement and the messages in the queue.
  [[nodiscard]] wire::ShardFrame MakeAnswer();

  void Tick(double now);
  // Returns whether the heartbeats of most of the shard's machines stopped at the same time, which
  // indicates a partition between this controller and the agents.
  [[nodiscard]] bool IsPartitionedFromAgents(double now) {
    return scheduler_.IsPartitionedFromAgents(now);
  }

 private:
  void LoadJob(const std::string& job);
  void LoadJobsOf(const wire::Heartbeat& heartbeat);
  void OnLeaderMessage(wire::ShardMessage& message, double now);
  void AcceptReturnedMachines();
  void EnqueueUpdates(uint64_t revision, double now);
  void EnqueueClaims();
  void EnqueueStatus(double now);

  const config::Settings settings_;
  const config::DerivedSettings derived_;
  const uint64_t lease_;
  const FindJob find_job_;
  scheduler::Scheduler scheduler_;
  ReliableChannel channel_;
  MachineStatusFilter status_filter_;
  uint64_t leader_token_ = 0;
  bool claims_sent_ = false;    // all claims have been queued for the present leader
  bool synced_ = false;         // kSyncComplete has been queued after the claims
  uint64_t applied_batch_ = 0;  // number of the last batch of delegated tasks that was received
  std::optional<double> last_leader_frame_at_;
  std::optional<double> next_frame_at_;   // nullopt: a frame is due now
  std::optional<double> next_status_at_;  // nullopt: the machine states are due now
  // For each held machine, the revision of the handover that assigned the machine to this lease.
  std::map<std::string, uint64_t> handover_revisions_;
  std::map<std::string, ReturnedMachine> returned_;
};

}  // namespace mosspath::shard
