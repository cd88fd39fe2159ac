// What a leadership keeps in the state service: which machines may run something, and which tasks
// are done. Many items in few values, one batch of writes under way at a time. Pure.
//
// Invariants: nothing starts on a machine before its entry is durable (rule 5 of docs/design.md); a
// completion counts as durable only once a batch that held it was written (rule 8); each write is
// conditional on the version of the value that it replaces.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/jobs/job.h"
#include "mosspath/cluster/picture.h"
#include "mosspath/kvstore/packed_map.h"

namespace mosspath::scheduler {

// A machine's entry: its worker's address, the lease under which another controller holds it, and
// which time it was handed over: a revision that rises with each. Its holder may never see what the
// entry said in between, and must tell a machine that it gave back from one that it got again.
struct MachineEntry {
  std::string address;
  uint64_t lease = 0;
  uint64_t handed = 0;  // 0: written by a version that did not say
};
std::string ToText(const MachineEntry& entry);
MachineEntry ReadMachineEntry(const wire::Json& text);

class Records {
 public:
  Records(const config::Settings& settings, uint64_t token);

  struct Batch {
    std::vector<kvstore::PackedMap::Written> machines;
    std::vector<kvstore::PackedMap::Written> progress;
    bool empty() const { return machines.empty() && progress.empty(); }
  };

  // --- As a predecessor left them ---
  void LoadProgress(int pack, const wire::Json& value, uint64_t version);
  void LoadMachines(int pack, const wire::Json& value, uint64_t version);
  // Takes over what is recorded of the job: what is done, whether its tasks may have been started;
  // how often it was tried if it was doubted.
  std::optional<uint32_t> Recall(jobs::Job& job);

  // --- Changes ---
  void TaskDone(const jobs::Job& job, uint32_t index);
  void Doubt(const std::string& job, uint32_t retries);
  void NoDoubt(const std::string& job);
  // The job's tasks may be started once this is durable.
  void Mark(jobs::Job& job);
  void Forget(const jobs::Job& job);
  void AddMachine(const std::string& id, const std::string& address);
  // The machine is held under that lease from when this is durable; 0: by the leader.
  void AssignMachine(cluster::Machine& m, const std::string& address, uint64_t lease);
  // The same entry without the lease that is over; with the next write.
  void ForgetLease(const std::string& id, const std::string& address) {
    machines_.Replace(id, ToText({address}));
  }
  void DropMachine(const std::string& id);
  // The machine's pack is written again as it is: its revision serves as a token.
  void TouchMachine(const std::string& id) { machines_.Touch(id); }
  // Entries of machines wait to be written, and none is being written.
  bool machines_wait() const { return machines_.dirty() && writing_.empty(); }

  // --- Writing ---
  Batch Take(size_t most, size_t bytes, cluster::Picture& picture);
  // The machines whose entries have become durable with it.
  std::vector<std::string> Written(uint64_t revision, cluster::Picture& picture);
  void Failed();
  void SeenProgress(int pack, uint64_t version) { Of(pack).Seen(Own(pack), version); }
  void SeenMachines(int pack, uint64_t version) { machines_.Seen(pack, version); }
  // Of the last write, or the token of this leader; lower than the token of any later one.
  uint64_t newest_revision() const { return newest_revision_; }

 private:
  void Clear();
  // Marks stand beside the progress, in small packs of their own under numbers from here on: each
  // is written once, and writing it must not write all progress again.
  static constexpr int kMarks = 1'000'000;
  kvstore::PackedMap& Of(int pack) { return pack < kMarks ? progress_ : marks_; }
  static int Own(int pack) { return pack < kMarks ? pack : pack - kMarks; }

  const size_t pack_bytes_;
  kvstore::PackedMap progress_;
  kvstore::PackedMap marks_;
  kvstore::PackedMap machines_;
  std::map<std::string, std::vector<wire::Json>> unclaimed_;  // loaded before their job
  std::set<std::pair<std::string, uint32_t>> unstaged_;       // job, segment: not in progress_ yet
  Batch writing_;
  std::vector<std::pair<std::string, uint32_t>> writing_tasks_;
  std::vector<std::pair<std::string, uint64_t>> writing_machines_;  // and the number of the entry
  std::vector<std::string> unmarked_;  // jobs whose marks are not durable yet
  std::vector<std::string> writing_marks_;
  uint64_t entries_ = 0;  // changes of machines' entries
  uint64_t newest_revision_;
};

}  // namespace mosspath::scheduler
