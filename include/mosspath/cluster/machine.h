// A machine as the leader pictures it: what may be on it, and what it holds. Pure.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "mosspath/wire/messages.h"

namespace mosspath::cluster {

// An attempt of a task that is, or may be, on a machine.
struct Allocation {
  enum class State { kPlanned, kStartSent, kReported } state = State::kPlanned;
  // Reports after this one tell whether the start was taken. While a start that went straight to
  // the worker is unanswered, no report does.
  uint64_t start_sent_sequence = 0;
  uint64_t start_sent_token = 0;
  bool start_sent_directly = false;  // the start went straight to the worker
  double start_sent_at = 0;          // and when
  bool start_unconfirmed =
      false;  // such a start got no answer: it may be executed until the token rises
  wire::TaskState reported = wire::TaskState::kFetching;
  wire::ExitReason exit_reason = wire::ExitReason::kNone;
  bool stop_requested = false;
  double grace_s = 0;
  uint64_t last_listed_in = 0;  // the last report taken in that listed it
  double stop_sent_at = -1e18;
  uint64_t forget_sent_sequence = 0;  // the report whose answer said to forget it; 0: none
  double placed_at = 0;               // when it was placed
  double running_since = 0;
  bool recovered = false;     // begun before we knew: its run time is not known
  bool orphaned = false;      // no live job, or a second copy: only to be stopped and forgotten
  double expected_run_s = 0;  // of run time
  // What it takes of the machine and of its team's limit.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string team;
  std::string image;

  bool exited() const { return state == State::kReported && reported == wire::TaskState::kExited; }
};

inline constexpr uint64_t kNoHeartbeat = ~uint64_t{0};

using AllocationKey = std::pair<wire::TaskId, uint64_t>;  // task and attempt

// Images on a machine, most recently used first; a placed task marks its image present at once.
class ImageCache {
 public:
  ImageCache() = default;
  // The index of a copy is its own.
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

// What its holder tells of a machine (seconds, CPUs, GB).
struct MachineStatusUpdate {
  bool schedulable = false;  // takes new tasks, as far as its holder knows
  bool idle = false;
  bool has_on_demand_work = false;  // runs work that allows no cheap machine
  bool unresponsive = false;
  double idle_s = 0;
  double remaining_cpu_s = 0;  // CPU seconds that its tasks are expected to take yet
  double used_cpus = 0, used_gpus = 0, used_memory_gb = 0;  // used
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
  uint64_t min_agent_epoch = 0;    // reports of earlier sessions are void
  uint64_t fencing_token = 0;      // the one it is commanded under
  bool token_confirmed = false;    // has reported under that token
  bool command_in_flight = false;  // commands are on their way straight to the worker
  bool awaits_recovery = false;    // was in the predecessor's list and is not ruled out yet
  // Where a predecessor says its worker is; what it answered when asked there.
  std::string recorded_address;
  double next_probe_at = -1e18;
  uint64_t probe_epoch = 1;
  int failed_probes = 0;
  double first_contact_at = 0;
  double last_contact_at = -1e18;  // that it takes what we say, not only that its reports arrive
  double lease_renewed_at = 0;     // the last 200 that any entitled controller could have sent
  double epoch_seen_at = -1e18;    // when we learned of the session, which had begun by then
  // --- Whether what it is told reaches it ---
  double token_unconfirmed_since =
      0;                    // first answered under a token that it has not shown since; 0: it has
  int ignored_answers = 0;  // answers in a row whose commands had no effect
  uint64_t unheeded_token = 0;       // what it was told under this one had none
  std::optional<double> reclaim_at;  // when the cloud takes it away
  bool draining = false;             // takes no new tasks
  bool cordoned = false;  // the same, but urgent work that finds no room elsewhere may come here
  bool quarantined = false;
  bool lost = false;  // silent beyond its lease: nothing is on it
  bool deleting = false;
  bool failed = false;             // the cloud says that it stopped
  bool missing_from_list = false;  // silent, and no longer in the cloud's list
  double idle_since = 0;
  std::map<std::string, int> errors_by_job;  // since the last success, by job
  double slowdown = 1;  // how long tasks take here, against others of their jobs elsewhere
  int timed_tasks = 0;
  std::map<AllocationKey, Allocation> allocations;
  ImageCache image_cache;

  // --- Blocks (docs/sharding.md) ---
  uint64_t shard_lease = 0;      // another controller holds it under this lease; 0: this one
  uint64_t handover_lease = 0;   // is being handed over under that one; takes nothing new
  bool blocks_recovery = false;  // inherited, and a takeover waits for it
  bool answers_suspended =
      false;  // that may be durable: its holder may count from there, so it is not answered
  bool needs_new_token =
      false;  // its holder is gone: nothing is said to it before its token is raised
  uint64_t expired_lease = 0;      // its entry names this lease, which is over, until it is known
  uint64_t handover_revision = 0;  // which time it is handed over; see scheduler/durable_state.h
  uint64_t record_change_number = 0;   // changes of its entry in the record
  bool recall_requested = false;       // its holder is to give it back
  double handover_not_before = -1e18;  // not handed over before
  MachineStatusUpdate holder_status;   // from its holder; as of
  double holder_status_at = -1e18;

  bool in_record = false;               // its entry is in the record, durable or not
  bool record_durable = false;          // its entry in the record is durable
  bool has_unconfirmed_starts = false;  // has a start that got no answer
  bool has_pending_commands = false;  // has starts or stops that a worker may still have to be told

  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;  // of its type
  double used_cpus = 0, used_gpus = 0, used_memory_gb = 0;

  // For how long its reports have arrived without showing the token that they were answered with.
  double TokenUnconfirmedFor(double now) const {
    return token_unconfirmed_since > 0 ? now - token_unconfirmed_since : 0;
  }
  // Whether (session, seq) is newer than what is known.
  bool IsNewer(uint64_t s, uint64_t q) const {
    return s >= min_agent_epoch &&
           (s > agent_epoch || (s == agent_epoch && q > heartbeat_sequence));
  }
  bool Fits(double c, double g, double m) const {
    constexpr double kSlack = 1e-6;
    return used_cpus + c <= cpus + kSlack && used_gpus + g <= gpus + kSlack &&
           used_memory_gb + m <= memory_gb + kSlack;
  }
};

}  // namespace mosspath::cluster
