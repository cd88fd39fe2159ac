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
struct Slot {
  enum class State { kIntended, kSent, kReported } state = State::kIntended;
  // Reports after this one tell whether the start was taken. While a start that went straight to
  // the worker is unanswered, no report does.
  uint64_t sent_seq = 0;
  uint64_t sent_token = 0;
  bool direct = false;   // the start went straight to the worker
  double direct_at = 0;  // and when
  bool unsure = false;   // such a start got no answer: it may be executed until the token rises
  wire::TaskState reported = wire::TaskState::kFetching;
  wire::Why why = wire::Why::kNone;
  bool stop = false;
  double grace_s = 0;
  uint64_t seen = 0;  // the last report taken in that listed it
  double stop_sent = -1e18;
  uint64_t forget_seq = 0;  // the report whose answer said to forget it; 0: none
  double since = 0;         // when it was placed
  double running_since = 0;
  bool adopted = false;   // begun before we knew: its run time is not known
  bool orphan = false;    // no live job, or a second copy: only to be stopped and forgotten
  double expected_s = 0;  // of run time
  // What it takes of the machine and of its team's limit.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string team;
  std::string image;

  bool exited() const { return state == State::kReported && reported == wire::TaskState::kExited; }
};

inline constexpr uint64_t kNoReport = ~uint64_t{0};

using SlotKey = std::pair<wire::TaskId, uint64_t>;  // task and attempt

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
  double bytes_gb() const { return total_; }
  void Use(const std::string& image, double gb, double capacity_gb);
  void Clear();

 private:
  std::list<std::pair<std::string, double>> order_;
  std::map<std::string, std::list<std::pair<std::string, double>>::iterator> index_;
  double total_ = 0;
};

// What its holder tells of a machine (seconds, CPUs, GB).
struct MachineNews {
  bool usable = false;  // takes new tasks, as far as its holder knows
  bool idle = false;
  bool needed = false;  // runs work that allows no cheap machine
  bool silent = false;
  double idle_s = 0;
  double work_s = 0;                         // CPU seconds that its tasks are expected to take yet
  double cpus = 0, gpus = 0, memory_gb = 0;  // used
  friend bool operator==(const MachineNews&, const MachineNews&) = default;
};

struct Machine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  size_t block = 0;
  uint64_t session = 0;
  uint64_t seq = 0;
  uint64_t least_session = 0;  // reports of earlier sessions are void
  uint64_t token = 0;          // the one it is commanded under
  bool confirmed = false;      // has reported under that token
  bool calling = false;        // commands are on their way straight to the worker
  bool inherited = false;      // was in the predecessor's list and is not ruled out yet
  // Where a predecessor says its worker is; what it answered when asked there.
  std::string recorded_address;
  double ask_after = -1e18;
  uint64_t ask_session = 1;
  int asked_in_vain = 0;
  double first_heard = 0;
  double last_heard = -1e18;    // that it takes what we say, not only that its reports arrive
  double last_answered = 0;     // the last 200 that any entitled controller could have sent
  double session_seen = -1e18;  // when we learned of the session, which had begun by then
  // --- Whether what it is told reaches it ---
  double told_at = 0;  // first answered under a token that it has not shown since; 0: it has
  int ignored = 0;     // answers in a row whose commands had no effect
  uint64_t doubted_token = 0;       // what it was told under this one had none
  std::optional<double> notice_at;  // when the cloud takes it away
  bool draining = false;            // takes no new tasks
  bool resting = false;  // the same, but urgent work that finds no room elsewhere may come here
  bool condemned = false;
  bool lost = false;  // silent beyond its lease: nothing is on it
  bool deleting = false;
  bool failed = false;    // the cloud says that it stopped
  bool unlisted = false;  // silent, and no longer in the cloud's list
  double idle_since = 0;
  std::map<std::string, int> errors;  // since the last success, by job
  double slowness = 1;  // how long tasks take here, against others of their jobs elsewhere
  int timed = 0;
  std::map<SlotKey, Slot> slots;
  ImageCache images;

  // --- Blocks (docs/blocks.md) ---
  uint64_t lease = 0;    // another controller holds it under this lease; 0: this one
  uint64_t leaving = 0;  // is being handed over under that one; takes nothing new
  bool counted = false;  // inherited, and a takeover waits for it
  bool silenced =
      false;  // that may be durable: its holder may count from there, so it is not answered
  bool retoken = false;     // its holder is gone: nothing is said to it before its token is raised
  uint64_t past_lease = 0;  // its entry names this lease, which is over, until it is known
  uint64_t handed = 0;      // which time it is handed over; see scheduler/records.h
  uint64_t entry_no = 0;    // changes of its entry in the record
  bool asked_back = false;  // its holder is to give it back
  double kept_until = -1e18;  // not handed over before
  MachineNews news;           // from its holder; as of
  double news_at = -1e18;

  bool in_record = false;  // its entry is in the record, durable or not
  bool recorded = false;   // its entry in the record is durable
  bool unsure = false;     // has a start that got no answer
  bool todo = false;       // has starts or stops that a worker may still have to be told

  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;  // of its type
  double used_cpus = 0, used_gpus = 0, used_memory_gb = 0;

  // For how long its reports have arrived without showing the token that they were answered with.
  double DeafFor(double now) const { return told_at > 0 ? now - told_at : 0; }
  // Whether (session, seq) is newer than what is known.
  bool Newer(uint64_t s, uint64_t q) const {
    return s >= least_session && (s > session || (s == session && q > seq));
  }
  bool Fits(double c, double g, double m) const {
    constexpr double kSlack = 1e-6;
    return used_cpus + c <= cpus + kSlack && used_gpus + g <= gpus + kSlack &&
           used_memory_gb + m <= memory_gb + kSlack;
  }
};

}  // namespace mosspath::cluster
