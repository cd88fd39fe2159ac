// What a term of leadership keeps in the store: which machines may run something, and which tasks
// are done. Many records in few values, and one batch of writes in flight at a time. Pure.
//
// Invariants: nothing starts on a machine before its record is durable (rule 5 of docs/design.md);
// a completion counts as durable only once a batch that held it was written (rule 8); each write is
// conditional on the version of the value that it replaces.
#pragma once

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

// The record of a machine: its agent's address, the lease under which another controller commands
// it, and the revision of its last handover, which rises with each. A holder may never see what the
// record said in between, and must tell a machine that it returned from one that it got again.
struct MachineRecord {
  std::string address;
  uint64_t lease = 0;              // 0: the leader commands the machine
  uint64_t handover_revision = 0;  // 0: written by a version that did not record it
};
std::string EncodeMachineRecord(const MachineRecord& record);
// Returns an empty record for a value that is none.
MachineRecord DecodeMachineRecord(const wire::Json& json);

class DurableState {
 public:
  // `token` is the fencing token of the term, which is the revision of its election.
  DurableState(const config::Settings& settings, uint64_t token);

  // The packs that are to be written in one transaction.
  struct WriteBatch {
    std::vector<kvstore::PackedMap::PackWrite> machines;
    std::vector<kvstore::PackedMap::PackWrite> progress;
    bool empty() const { return machines.empty() && progress.empty(); }
  };

  // --- Records of a predecessor ---

  void LoadProgressPack(int pack, const wire::Json& value, uint64_t version);
  void LoadMachinesPack(int pack, const wire::Json& value, uint64_t version);
  // Takes over what is recorded of the job: which tasks are done, and whether its tasks may have
  // been started. Returns the number of retries if the job was recorded as crash looping.
  std::optional<uint32_t> RestoreJob(jobs::Job& job);

  // --- Changes ---

  void OnTaskDone(const jobs::Job& job, uint32_t index);
  void RecordCrashLoop(const std::string& job, uint32_t retries);
  void ClearCrashLoop(const std::string& job);
  // The job's tasks may be started once its start marker is durable.
  void RequestStartMarker(jobs::Job& job);
  void ForgetJob(const jobs::Job& job);
  // Records a machine that is not recorded yet.
  void AddMachine(const std::string& id, const std::string& address);
  // Records that the machine is commanded under that lease from when this is durable, or by the
  // leader if the lease is kNoLease.
  void AssignMachine(cluster::Machine& machine, const std::string& address, uint64_t lease);
  // Removes the lease that is over from the machine's record.
  void ClearExpiredLease(const std::string& id, const std::string& address) {
    machines_.Replace(id, EncodeMachineRecord({.address = address}));
  }
  void RemoveMachine(const std::string& id);
  // Writes the machine's pack again as it is: the revision of the write serves as a token.
  void RewriteMachine(const std::string& id) { machines_.Touch(id); }
  // Whether records of machines wait to be written, and no batch is in flight.
  bool has_unwritten_machines() const { return machines_.dirty() && in_flight_.empty(); }

  // --- Writing ---

  // Returns what is to be written now, of at most `max_packs` packs and about `max_bytes` bytes;
  // nothing while a batch is in flight.
  WriteBatch TakeBatch(size_t max_packs, size_t max_bytes, cluster::ClusterState& cluster);
  // The batch in flight was written at this revision. Returns the machines whose records have
  // become durable with it.
  std::vector<std::string> OnBatchWritten(uint64_t revision, cluster::ClusterState& cluster);
  // It was not written: its packs are taken again with a later batch.
  void OnBatchFailed();
  // The store shows a pack under this version.
  void OnProgressVersion(int pack, uint64_t version) {
    PackedMapOf(pack).OnPackVersion(LocalPack(pack), version);
  }
  void OnMachinesVersion(int pack, uint64_t version) { machines_.OnPackVersion(pack, version); }
  // Returns the revision of the last write, or the token of this term before the first. It is lower
  // than the token of any later term.
  uint64_t newest_revision() const { return newest_revision_; }

 private:
  // A segment of a job's tasks (jobs::kTasksPerSegment).
  struct Segment {
    std::string job;
    uint32_t index = 0;
    friend auto operator<=>(const Segment&, const Segment&) = default;
  };
  struct InFlightMachine {
    std::string id;
    uint64_t record_change_number = 0;  // see cluster::Machine
  };
  using Packs = std::set<int>;

  void EncodeDirtySegments(const cluster::ClusterState& cluster);
  // What is left of a batch's limits.
  struct BatchRoom {
    size_t packs = 0;
    size_t bytes = 0;
    void Use(const kvstore::PackedMap::PackWrite& write);
  };
  void TakeMachinePacks(BatchRoom& room, cluster::ClusterState& cluster);
  // Returns the packs of start markers that were taken.
  Packs TakeStartMarkerPacks(BatchRoom& room);
  void TakeProgressPacks(BatchRoom& room);
  void MarkStartMarkersInFlight(const Packs& start_marker_packs);
  void MarkTasksInFlight(const cluster::ClusterState& cluster);
  void ClearInFlight();

  // Start markers stand beside the progress, in small packs of their own, numbered from here on:
  // each is written once, and its write must not write all progress again.
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
  // Records by name that were loaded before their job.
  std::map<std::string, std::vector<wire::Json>> unclaimed_;
  std::set<Segment> dirty_segments_;  // not in progress_ yet
  WriteBatch in_flight_;
  std::vector<wire::TaskId> in_flight_tasks_;
  std::vector<InFlightMachine> in_flight_machines_;
  std::vector<std::string> unwritten_markers_;  // jobs whose start markers are not durable yet
  std::vector<std::string> in_flight_markers_;
  uint64_t machine_changes_ = 0;  // changes of machines' records
  uint64_t newest_revision_;
};

}  // namespace mosspath::scheduler
