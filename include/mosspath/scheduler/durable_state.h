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

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/jobs/job.h"
#include "mosspath/kvstore/packed_map.h"

namespace mosspath::scheduler {

// A machine's entry: its worker's address, the lease under which another controller holds it, and
// which time it was handed over: a revision that rises with each. Its holder may never see what the
// entry said in between, and must tell a machine that it gave back from one that it got again.
struct MachineRecord {
  std::string address;
  uint64_t lease = 0;
  uint64_t handover_revision = 0;  // 0: written by a version that did not say
};
std::string EncodeMachineRecord(const MachineRecord& entry);
MachineRecord DecodeMachineRecord(const wire::Json& text);

class DurableState {
 public:
  DurableState(const config::Settings& settings, uint64_t token);

  struct WriteBatch {
    std::vector<kvstore::PackedMap::PackWrite> machines;
    std::vector<kvstore::PackedMap::PackWrite> progress;
    bool empty() const { return machines.empty() && progress.empty(); }
  };

  // --- As a predecessor left them ---
  void LoadProgressPack(int pack, const wire::Json& value, uint64_t version);
  void LoadMachinesPack(int pack, const wire::Json& value, uint64_t version);
  // Takes over what is recorded of the job: what is done, whether its tasks may have been started;
  // how often it was tried if it was doubted.
  std::optional<uint32_t> RestoreJob(jobs::Job& job);

  // --- Changes ---
  void OnTaskDone(const jobs::Job& job, uint32_t index);
  void RecordCrashLoop(const std::string& job, uint32_t retries);
  void ClearCrashLoop(const std::string& job);
  // The job's tasks may be started once this is durable.
  void RequestStartMarker(jobs::Job& job);
  void ForgetJob(const jobs::Job& job);
  void AddMachine(const std::string& id, const std::string& address);
  // The machine is held under that lease from when this is durable; 0: by the leader.
  void AssignMachine(cluster::Machine& m, const std::string& address, uint64_t lease);
  // The same entry without the lease that is over; with the next write.
  void ClearExpiredLease(const std::string& id, const std::string& address) {
    machines_.Replace(id, EncodeMachineRecord({address}));
  }
  void RemoveMachine(const std::string& id);
  // The machine's pack is written again as it is: its revision serves as a token.
  void RewriteMachine(const std::string& id) { machines_.Touch(id); }
  // Entries of machines wait to be written, and none is being written.
  bool has_unwritten_machines() const { return machines_.dirty() && in_flight_.empty(); }

  // --- Writing ---
  WriteBatch TakeBatch(size_t most, size_t bytes, cluster::ClusterState& picture);
  // The machines whose entries have become durable with it.
  std::vector<std::string> OnBatchWritten(uint64_t revision, cluster::ClusterState& picture);
  void OnBatchFailed();
  void OnProgressVersion(int pack, uint64_t version) {
    PackedMapOf(pack).OnPackVersion(LocalPack(pack), version);
  }
  void OnMachinesVersion(int pack, uint64_t version) { machines_.OnPackVersion(pack, version); }
  // Of the last write, or the token of this leader; lower than the token of any later one.
  uint64_t newest_revision() const { return newest_revision_; }

 private:
  void ClearInFlight();
  // Marks stand beside the progress, in small packs of their own under numbers from here on: each
  // is written once, and writing it must not write all progress again.
  static constexpr int kFirstMarkerPack = 1'000'000;
  kvstore::PackedMap& PackedMapOf(int pack) {
    return pack < kFirstMarkerPack ? progress_ : start_markers_;
  }
  static int LocalPack(int pack) {
    return pack < kFirstMarkerPack ? pack : pack - kFirstMarkerPack;
  }

  const size_t pack_bytes_;
  kvstore::PackedMap progress_;
  kvstore::PackedMap start_markers_;
  kvstore::PackedMap machines_;
  std::map<std::string, std::vector<wire::Json>> unclaimed_;   // loaded before their job
  std::set<std::pair<std::string, uint32_t>> dirty_segments_;  // job, segment: not in progress_ yet
  WriteBatch in_flight_;
  std::vector<std::pair<std::string, uint32_t>> in_flight_tasks_;
  std::vector<std::pair<std::string, uint64_t>> in_flight_machines_;  // and the number of the entry
  std::vector<std::string> unwritten_markers_;  // jobs whose marks are not durable yet
  std::vector<std::string> in_flight_markers_;
  uint64_t machine_changes_ = 0;  // changes of machines' entries
  uint64_t newest_revision_;
};

}  // namespace mosspath::scheduler
