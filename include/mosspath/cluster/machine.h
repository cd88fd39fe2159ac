// The state that a controller keeps of a machine: the state of the machine's agent, the attempts
// that may be on the machine, and the machine's resources. Times are seconds on this controller's
// steady clock. Does no I/O.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "mosspath/cluster/resources.h"
#include "mosspath/wire/messages.h"

namespace mosspath::cluster {

// An attempt of a task that is, or may be, on a machine.
struct Allocation {
  enum class State { kPlanned, kStartSent, kReported } state = State::kPlanned;
  // A heartbeat with a higher sequence tells whether the agent has executed the start. The value is
  // kNoHeartbeat while a start that was sent directly to the agent is unanswered: until then no
  // heartbeat tells whether the agent has executed the start.
  uint64_t start_sent_sequence = 0;
  uint64_t start_sent_token = 0;
  // The start was sent to the agent, not in a heartbeat's answer, or this controller does not know
  // how the attempt was started. A copy of the start may reach the agent at any later time.
  bool start_sent_directly = false;
  double start_sent_at = 0;  // set only for a start sent directly
  // A start sent directly got no answer. The agent may still execute the start until it has
  // received a higher token.
  bool start_unconfirmed = false;
  wire::TaskState reported = wire::TaskState::kFetching;
  wire::ExitReason exit_reason = wire::ExitReason::kNone;
  bool stop_requested = false;
  double grace_s = 0;
  // When this controller learned that the job has ended; nothing while the job is live.
  std::optional<double> job_end_seen_at;
  uint64_t last_listed_in = 0;  // number of the last reconciled heartbeat that listed the attempt
  double stop_sent_at = -1e18;
  // Sequence of the heartbeat whose answer contained the command to forget the attempt; 0: none.
  uint64_t forget_sent_sequence = 0;
  double placed_at = 0;
  double running_since = 0;
  // The run time is unknown: the agent listed the attempt before this controller had an allocation
  // for it, or this process was stalled during the attempt.
  bool recovered = false;
  bool orphaned = false;      // the job has ended, or this is a second copy; stopped and forgotten
  double expected_run_s = 0;  // expected run time
  // Resources charged to the machine and to the team's quota.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string team;
  std::string image;

  bool exited() const { return state == State::kReported && reported == wire::TaskState::kExited; }
  // Returns whether an agent that receives a forget command under `token` executes no copy of the
  // attempt's start afterwards. Answers to heartbeats have no late copies.
  bool CanBeForgottenUnder(uint64_t token) const {
    return !start_sent_directly || token > start_sent_token;
  }
};

// The value of Allocation::start_sent_sequence while no heartbeat can tell whether the agent has
// executed the start.
inline constexpr uint64_t kNoHeartbeat = ~uint64_t{0};

using AllocationKey = std::pair<wire::TaskId, uint64_t>;  // task and attempt

// The images on a machine in LRU order. The image of a task is treated as present once the task is
// placed.
class ImageCache {
 public:
  ImageCache() = default;
  // Rebuilds the index, since its iterators point into the list of `other`.
  ImageCache(const ImageCache& other);
  ImageCache& operator=(const ImageCache& other);
  ImageCache(ImageCache&&) = default;
  ImageCache& operator=(ImageCache&&) = default;
  ~ImageCache() = default;

  bool Has(const std::string& image) const { return index_.contains(image); }
  double size_gb() const { return total_; }
  void MarkUsed(const std::string& image, double gb, double capacity_gb);
  void Clear();

 private:
  std::list<std::pair<std::string, double>> order_;
  std::map<std::string, std::list<std::pair<std::string, double>>::iterator> index_;
  double total_ = 0;
};

// The status that a holder reports of a delegated machine (seconds, CPUs, GB).
struct MachineStatusUpdate {
  bool schedulable = false;  // the machine takes new tasks, according to its holder
  bool idle = false;
  bool has_on_demand_work = false;  // the machine runs tasks that require an on-demand machine
  bool unresponsive = false;
  double idle_s = 0;
  double remaining_cpu_s = 0;  // CPU seconds that the machine's tasks are still expected to use
  double used_cpus = 0, used_gpus = 0, used_memory_gb = 0;
  friend bool operator==(const MachineStatusUpdate&, const MachineStatusUpdate&) = default;
};

struct Machine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  size_t shard = 0;
  uint64_t agent_epoch = 0;
  uint64_t heartbeat_sequence = 0;
  uint64_t min_agent_epoch = 0;  // heartbeats of earlier agent epochs are ignored
  uint64_t fencing_token = 0;    // the token of the commands to this machine
  // Heartbeats under a lower token are no evidence of the machine's state. At most `fencing_token`.
  uint64_t min_heartbeat_token = 0;
  bool token_confirmed = false;    // the agent has sent a heartbeat under `min_heartbeat_token`
  bool command_in_flight = false;  // a direct command batch to the agent is unanswered
  bool awaits_recovery = false;    // the tasks on a machine taken over are not determined yet
  // The agent's address according to the record, and the state of probes to that address.
  std::string recorded_address;
  double next_probe_at = -1e18;
  uint64_t probe_epoch = 1;
  int failed_probes = 0;
  double first_contact_at = 0;
  // The last proof that the agent receives this controller's answers or commands. A heartbeat is a
  // proof only if it carries the current token.
  double last_contact_at = -1e18;
  // The latest time at which a controller that was allowed to command this machine (the leader or
  // a shard holder) may have answered a heartbeat with 200. Such an answer renews the agent's
  // lease.
  double lease_renewed_at = 0;
  double epoch_seen_at = -1e18;  // first receipt of the agent epoch, which had begun by then
  // --- Whether answers reach the agent ---
  // When a heartbeat under another token was first answered with the current token; 0 once the
  // agent has confirmed the current token.
  double token_unconfirmed_since = 0;
  int ignored_answers = 0;             // consecutive answers whose commands had no effect
  uint64_t ignored_answers_token = 0;  // the token under which answers had no effect; 0: none
  std::optional<double> reclaim_at;    // when the cloud reclaims the machine
  bool draining = false;               // the machine takes no new tasks
  bool cordoned = false;  // the machine takes only urgent tasks that fit on no other machine
  bool quarantined = false;
  bool lost = false;  // the agent's lease has expired, so no task runs on the machine
  bool deleting = false;
  bool failed = false;  // the cloud reports the machine as stopped
  // The machine is silent, and no longer in the cloud's list of machines.
  bool missing_from_list = false;
  double idle_since = 0;
  std::map<std::string, int> errors_by_job;  // failures since the last success, by job
  double slowdown = 1;  // run time of tasks relative to the mean of their jobs; 1: average
  int timed_tasks = 0;
  std::map<AllocationKey, Allocation> allocations;
  ImageCache image_cache;

  // --- Shards (docs/sharding.md) ---
  uint64_t shard_lease = 0;     // lease of the holder that commands the machine; 0: this controller
  uint64_t handover_lease = 0;  // lease of a handover in progress (no new tasks); 0: none
  bool blocks_recovery = false;  // recovery waits until this machine's tasks are determined
  // The record of the handover may be durable. The holder named in the record may then rely on
  // being the only controller that answers the agent, so this controller does not answer.
  bool answers_suspended = false;
  // An earlier holder may have used the current token, so no command is sent before the token is
  // raised.
  bool needs_new_token = false;
  // An expired lease that the record still names until the machine's tasks are determined; 0: none.
  uint64_t expired_lease = 0;
  uint64_t handover_revision = 0;     // identifies the handover; see scheduler/durable_state.h
  uint64_t record_change_number = 0;  // number of the record's last change
  bool recall_requested = false;      // the holder must return the machine to the leader
  double handover_not_before = -1e18;
  MachineStatusUpdate holder_status;  // the last status that the holder reported
  double holder_status_at = -1e18;    // when that status applied

  bool in_record = false;               // the machine has a record, which may not be durable yet
  bool record_durable = false;          // the machine's record is durable
  bool has_unconfirmed_starts = false;  // a direct start got no answer
  bool awaits_newer_token = false;      // an exited attempt can be forgotten only under a new token
  size_t kept_attempts = 0;  // exited attempts that the agent keeps after the last answer to it
  bool has_pending_commands = false;  // starts or stops may still have to be sent to the agent

  // Resources and image fetch rate of the machine's type.
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double used_cpus = 0, used_gpus = 0, used_memory_gb = 0;

  // Returns for how many seconds the machine's heartbeats have not confirmed the token with which
  // they were answered; 0 if the token is confirmed.
  double TokenUnconfirmedFor(double now) const {
    return token_unconfirmed_since > 0 ? now - token_unconfirmed_since : 0;
  }
  // Sets a token below which no heartbeat is evidence of the machine's state.
  void RequireToken(uint64_t token) {
    fencing_token = min_heartbeat_token = token;
    token_confirmed = false;
  }
  // Returns whether a heartbeat under the token is evidence of the machine's state.
  bool IsCurrentToken(uint64_t token) const {
    return token >= min_heartbeat_token && token <= fencing_token;
  }
  // The agent has shown the token in a heartbeat that is evidence of the machine's state.
  void ConfirmToken(uint64_t token) { min_heartbeat_token = token; }
  // Whether a heartbeat with this epoch and sequence is newer than the last one.
  bool IsNewer(uint64_t epoch, uint64_t sequence) const {
    return epoch >= min_agent_epoch &&
           (epoch > agent_epoch || (epoch == agent_epoch && sequence > heartbeat_sequence));
  }
  Resources resources() const { return {cpus, gpus, memory_gb}; }
  Resources used() const { return {used_cpus, used_gpus, used_memory_gb}; }
  // Returns what no task uses. Negative where the machine is overcommitted.
  Resources free() const { return resources() - used(); }
  // Returns whether the free resources suffice for one more task of the job.
  bool Fits(const wire::JobSpec& spec) const { return cluster::Fits(TaskResources(spec), free()); }
};

}  // namespace mosspath::cluster
