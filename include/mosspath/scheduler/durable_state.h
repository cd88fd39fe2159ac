// The records that a term of leadership keeps in the store: the machines that may run tasks, and
// the progress of jobs (completed tasks, start markers, crash loops). Many records are packed into
// few values of the store, and at most one batch of writes is in flight. No I/O: the caller writes
// the batches.
//
// Invariants: no task starts on a machine before the machine's record is durable (rule 5 of
// docs/design.md); a completion counts as durable only once a batch that contains it has been
// written (rule 8); each write is conditional on the version of the value that it replaces.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/jobs/job.h"
#include "mosspath/kvstore/packed_map.h"

namespace mosspath::scheduler {

// The record of a machine. The handover revision rises with each handover of the machine. A holder
// that returns a machine may be handed the same machine again without having read the record in
// between. The higher handover revision then shows the holder that this is a new handover.
struct MachineRecord {
  std::string address;             // of the machine's agent
  uint64_t lease = 0;              // the holder of this lease commands the machine; 0: the leader
  uint64_t handover_revision = 0;  // 0: no handover, or an earlier version's record
};
std::string EncodeMachineRecord(const MachineRecord& record);
// Returns an empty record if the value is not a machine record.
MachineRecord DecodeMachineRecord(const wire::Json& json);

class DurableState {
 public:
  // `token` is the fencing token of the term, which is the store revision of its election.
  DurableState(const config::Settings& settings, uint64_t token);

  // The packs to write in one transaction.
  struct WriteBatch {
    std::vector<kvstore::PackedMap::PackWrite> machines;
    std::vector<kvstore::PackedMap::PackWrite> progress;
    bool empty() const { return machines.empty() && progress.empty(); }
  };

  // --- Records of a predecessor ---

  void LoadProgressPack(int pack, const wire::Json& value, uint64_t version);
  void LoadMachinesPack(int pack, const wire::Json& value, uint64_t version);
  // Applies to `job` its loaded records: the completed tasks, and the start marker. Returns the
  // number of retries if the job was recorded as crash looping.
  std::optional<uint32_t> RestoreJob(jobs::Job& job);

  // --- Changes ---

  void OnTaskDone(const jobs::Job& job, uint32_t index);
  void RecordCrashLoop(const std::string& job, uint32_t retries);
  void ClearCrashLoop(const std::string& job);
  // Adds a start marker for the job, unless the job has one. The marker records that tasks of the
  // job may have been started. No task of the job may be started before the marker is durable.
  void RequestStartMarker(jobs::Job& job);
  void ForgetJob(const jobs::Job& job);
  // Adds a record of the machine, unless the machine has one.
  void AddMachine(const std::string& id, const std::string& address);
  // Sets the machine's record to name `lease`. Once the record is durable, the holder of the lease
  // commands the machine, or the leader if `lease` is kNoLease.
  void AssignMachine(cluster::Machine& machine, const std::string& address, uint64_t lease);
  // Removes an ended lease from the machine's record.
  void ClearExpiredLease(const std::string& id, const std::string& address) {
    machines_.Replace(id, EncodeMachineRecord({.address = address}));
  }
  void RemoveMachine(const std::string& id);
  // Schedules another write of the pack that contains the machine's record, without a change to the
  // pack. The store revision of the write serves as a new fencing token.
  void RewriteMachine(const std::string& id) { machines_.Touch(id); }
  // Requests a revision above newest_revision(): rewrites the machine's record, unless a batch is
  // in flight, which gives a newer revision as well.
  void RequestNewerRevision(const std::string& id) {
    if (in_flight_.empty()) RewriteMachine(id);
  }
  // Returns whether machine records have changed since they were last written and no batch is in
  // flight.
  bool has_unwritten_machines() const { return machines_.dirty() && in_flight_.empty(); }

  // --- Writing ---

  // Returns the next batch to write, of at most `max_packs` packs and about `max_bytes` bytes.
  // Returns an empty batch while another batch is in flight.
  WriteBatch TakeBatch(size_t max_packs, size_t max_bytes, cluster::ClusterState& cluster);
  // Ends the batch in flight, which was written at the store revision `revision`. Returns the ids
  // of the machines whose records the write has made durable.
  std::vector<std::string> OnBatchWritten(uint64_t revision, cluster::ClusterState& cluster);
  // Ends the batch in flight, which was not written. Its packs go into a later batch.
  void OnBatchFailed();
  // Records the version that a watch event of the store shows for the pack.
  void OnProgressVersion(int pack, uint64_t version) {
    PackedMapOf(pack).OnPackVersion(LocalPack(pack), version);
  }
  void OnMachinesVersion(int pack, uint64_t version) { machines_.OnPackVersion(pack, version); }
  // A controller that writes no records has read the store up to this revision. The tokens of all
  // later commanders of its machines must be higher.
  void OnRevisionRead(uint64_t revision) {
    newest_revision_ = std::max(newest_revision_, revision);
  }
  // Returns the store revision of the last write, or the token of this term before the first write;
  // for a holder of a shard, the last revision passed to OnRevisionRead(). The revision is lower
  // than the token of any later commander of the machines.
  uint64_t newest_revision() const { return newest_revision_; }

 private:
  // A segment of a job's tasks, of jobs::kTasksPerSegment tasks.
  struct Segment {
    std::string job;
    uint32_t index = 0;
    friend auto operator<=>(const Segment&, const Segment&) = default;
  };
  struct InFlightMachine {
    std::string id;
    uint64_t record_change_number = 0;  // see cluster::Machine::record_change_number
  };
  using Packs = std::set<int>;  // pack numbers

  void EncodeDirtySegments(const cluster::ClusterState& cluster);
  // The unused part of a batch's limits.
  struct BatchBudget {
    size_t packs = 0;
    size_t bytes = 0;
    void Deduct(const kvstore::PackedMap::PackWrite& write);
  };
  void TakeMachinePacks(BatchBudget& budget, cluster::ClusterState& cluster);
  // Returns the numbers of the start marker packs that were added to the batch.
  Packs TakeStartMarkerPacks(BatchBudget& budget);
  void TakeProgressPacks(BatchBudget& budget);
  void MarkStartMarkersInFlight(const Packs& start_marker_packs);
  void MarkTasksInFlight(const cluster::ClusterState& cluster);
  void ClearInFlight();

  // Start markers are stored with the progress, but in small packs of their own, which are numbered
  // from kFirstMarkerPack: a marker is written once, and its write must not include a full pack of
  // progress.
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
  // Loaded records by name, until RestoreJob is called for the job that they belong to. A name has
  // several records if several packs contain a record of that name.
  std::map<std::string, std::vector<wire::Json>> unrestored_records_;
  // Segments that have changed, but are not encoded into progress_ yet.
  std::set<Segment> dirty_segments_;
  WriteBatch in_flight_;
  std::vector<wire::TaskId> in_flight_tasks_;
  std::vector<InFlightMachine> in_flight_machines_;
  std::vector<std::string> unwritten_markers_;  // jobs whose start markers are not durable yet
  std::vector<std::string> in_flight_markers_;
  uint64_t machine_record_changes_ = 0;  // number of AssignMachine calls
  uint64_t newest_revision_;
};

}  // namespace mosspath::scheduler
