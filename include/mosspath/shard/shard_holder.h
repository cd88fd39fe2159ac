// The holder of a shard: it commands the shard's machines, places on them the tasks that the leader
// delegates to it, and sends the leader the results. It has no records of its own: what is done
// becomes durable through the leader, and until then the agents keep it (docs/design.md, rule 8;
// and docs/sharding.md). Pure.
//
// The caller may let it act only while the shard's record shows this lease and the view of the
// state service is fresh (docs/sharding.md, "How long a holder may act").
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
  // Looks up a live job in the watch cache; none: the job is over or not known.
  using FindJob = std::function<std::optional<LiveJob>(const std::string& id)>;

  // Holds the shard with the index `own_shard` under `lease`.
  ShardHolder(const config::Settings& settings, const config::DerivedSettings& derived,
              size_t own_shard, uint64_t lease, double now, FindJob find_job);

  [[nodiscard]] uint64_t lease() const { return lease_; }
  [[nodiscard]] scheduler::Scheduler& dispatcher() { return scheduler_; }
  [[nodiscard]] const scheduler::Scheduler& dispatcher() const { return scheduler_; }

  // --- What the state service shows ---
  // The machine belongs to the shard. The `version` of the record that says so is its fencing
  // token, and `handover_revision` counts its handovers.
  void OnMachineAssigned(const std::string& machine, const std::string& address, uint64_t version,
                         uint64_t handover_revision, double now);
  // The record no longer says so.
  void OnMachineUnassigned(const std::string& machine) { returned_.erase(machine); }
  struct ReturnedMachine {
    bool lost = false;               // it did not answer, rather than being empty
    uint64_t handover_revision = 0;  // under which it was held
  };
  // The machines that were given back although the record still has them here.
  [[nodiscard]] const std::map<std::string, ReturnedMachine>& returned() const { return returned_; }
  // Who leads now, by its token. A new leader is sent everything anew.
  void OnLeader(uint64_t token);
  void OnJobEnded(const std::string& id, double now) { scheduler_.RemoveJob(id, now); }

  // --- Agents ---
  scheduler::HeartbeatAnswer OnHeartbeat(const wire::Heartbeat& heartbeat, double now);
  // `heartbeat` is the agent's answer to the batch, if there was one.
  void OnCommandOutcome(const scheduler::CommandBatch& batch, scheduler::CommandOutcome outcome,
                        const wire::Heartbeat* heartbeat, double now);

  // --- The leader ---
  [[nodiscard]] uint64_t leader_token() const { return leader_token_; }
  // False, and no effect: the frame is not from the present leader, or for another lease. Throws
  // wire::BadMessage on a frame that no leader can have sent.
  bool OnFrame(const wire::ShardFrame& frame, double now);
  // The frame to send now, if any. `revision`: up to where the watch cache has come.
  [[nodiscard]] std::optional<wire::ShardFrame> NextFrame(uint64_t revision, double now);
  // The last frame was not answered, or refused: it is to be sent again.
  void OnFrameLost() { next_frame_at_.reset(); }
  // The frame that acknowledges what was received, with the messages that wait.
  [[nodiscard]] wire::ShardFrame MakeAnswer();

  void Tick(double now);
  // Most of its machines fell silent at once.
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
  bool claims_sent_ = false;    // this leader has been sent all that is held
  bool synced_ = false;         // and that this is all
  uint64_t applied_batch_ = 0;  // the last batch of delegated tasks
  std::optional<double> leader_heard_at_;
  std::optional<double> next_frame_at_;                 // none: at once
  std::optional<double> next_status_at_;                // none: at once
  std::map<std::string, uint64_t> handover_revisions_;  // of the machines that are held
  std::map<std::string, ReturnedMachine> returned_;
};

}  // namespace mosspath::shard
