// The leader's decisions: where every task is or may be, where the next ones go, what workers are
// told. Pure: reports, jobs and the time in; commands, records to write and wishes out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/autoscaler/planner.h"
#include "mosspath/cluster/picture.h"
#include "mosspath/scheduler/activity.h"
#include "mosspath/scheduler/aims.h"
#include "mosspath/scheduler/health.h"
#include "mosspath/scheduler/hires.h"
#include "mosspath/scheduler/leased.h"
#include "mosspath/scheduler/orders.h"
#include "mosspath/scheduler/placer.h"
#include "mosspath/scheduler/records.h"
#include "mosspath/scheduler/search.h"
#include "mosspath/scheduler/strays.h"
#include "mosspath/scheduler/takeover.h"
#include "mosspath/wire/digest.h"
#include "mosspath/wire/messages.h"

namespace mosspath::scheduler {

struct ReportAnswer {
  bool accepted = false;  // false: answer 503, the lease is not renewed
  uint64_t token = 0;
  std::vector<wire::Command> commands;
};

struct JobCounts {
  uint32_t done = 0;
  uint32_t running = 0;
};

// Seconds that what is in the slot is taken to run yet.
double LeftToRun(const cluster::Slot& slot, double now);

class Dispatcher {
 public:
  // One leadership: nothing is known but what is loaded next. `now` is after the last moment at
  // which an earlier leader could have answered a worker.
  Dispatcher(const config::Settings& settings, const config::Derived& derived, uint64_t token,
             double now);

  // --- Taking over ---
  void LoadProgress(int pack, const wire::Json& value, uint64_t version);
  void LoadMachines(int pack, const wire::Json& value, uint64_t version);
  void SetTypes(std::vector<wire::MachineType> types);
  // Every place that tasks of earlier leaders could be at is known.
  bool settled() const { return takeover_.settled(); }

  // --- Jobs ---
  void AddJob(wire::JobSpec spec, uint64_t version, double submitted);
  void RemoveJob(const std::string& id, double now);
  const jobs::Job* FindJob(const std::string& id) const { return picture_.Find(id); }
  JobCounts Counts(const std::string& id) const;
  // Jobs whose tasks are all done and whose completion is not being written yet.
  std::vector<std::string> TakeCompleted();
  void CompletionFailed(const std::string& id);

  // --- Workers ---
  ReportAnswer OnReport(const wire::Report& r, double now);
  // At most so many; what is left goes with reports or later.
  std::vector<DirectOrder> TakeDirect(double now, size_t most = ~size_t{0});
  void OnDirect(const DirectOrder& order, DirectOutcome outcome, const wire::Report* report,
                double now);
  void MachineDeleted(const std::string& id, double now);
  void MachineDeleting(const std::string& id);
  void DeletionFailed(const std::string& id);
  // A whole list of machines, asked for at `asked`.
  void OnListed(const std::vector<wire::ListedMachine>& machines, double asked, double now) {
    hires_.Listed(machines, {&picture_.machines, &picture_.lent}, asked, now);
    strays_.Listed(machines, asked);
  }
  void Rented(const std::vector<std::string>& ids, const autoscaler::Wish& offer, double now) {
    hires_.Rented(ids, offer, {&picture_.machines, &picture_.lent}, now);
  }
  void RentRefused(const autoscaler::Wish& offer, double until) { hires_.Refused(offer, until); }

  // --- Time ---
  // Most workers that this leader heard are silent now, all at once: it can't do its work, though
  // another controller may.
  bool Blind(double now) { return takeover_.Blind(picture_.machines, now); }
  // This process did not run from then until now, while its clock did: nobody was silent, slow or
  // gone for that.
  void StoodStill(double from, double now);
  void Tick(double now);
  // Places what can be placed now.
  void Place(double now) { placer_.Place(now); }
  autoscaler::Plan PlanFleet(double now);
  // Something came that no plan has seen yet: jobs, or machines that must be ruled out.
  bool wants_plan() const { return wants_plan_; }

  // --- Records to write; conditional on the leader key and on the packs' versions ---
  // Machines came whose entries are not being written yet.
  bool machines_unrecorded() const { return records_.machines_wait(); }
  // What should be written now, in one transaction; none while the last one taken is out.
  Records::Batch TakeRecords(size_t most, size_t bytes) {
    return records_.Take(most, bytes, picture_);
  }
  void RecordsWritten(uint64_t revision, double now);
  void RecordsFailed() { records_.Failed(); }
  // The state service shows a pack of ours under this version.
  void SeenProgress(int pack, uint64_t version) { records_.SeenProgress(pack, version); }
  void SeenMachines(int pack, uint64_t version) { records_.SeenMachines(pack, version); }

  // --- Blocks, as the leader (docs/blocks.md) ---
  // From now on machines are handed to the holders of blocks. `own`: the leader's block.
  void LeadBlocks(size_t own) { leased_.Lead(own); }
  // A controller holds this block under this lease. `inherited`: since an earlier leader.
  void OpenLease(uint64_t lease, size_t block, bool inherited);
  // Its holder talks with us, or no longer does: only then it is given anything.
  void LeaseReady(uint64_t lease, bool ready);
  // The lease is over. Its holder may have acted until `last_acted`.
  void CloseLease(uint64_t lease, double last_acted, double now);
  // Leases that are over, whose machines are not all known yet.
  std::set<uint64_t> PastLeases() const;
  // Whoever held this one has certainly stopped acting on it.
  void HolderCeased(uint64_t lease, double now);
  bool HasLease(uint64_t lease) const { return leased_.Find(lease) != nullptr; }
  // What its holder says.
  void FromHolder(uint64_t lease, const wire::BlockItem& item, double now);
  std::vector<wire::BlockItem> ForHolder(uint64_t lease) { return leased_.TakeItems(lease); }
  // The lease under which a machine is another controller's; 0: it is ours, or unknown.
  uint64_t LeaseOf(const std::string& machine) const;

  // --- Blocks, as a holder ---
  // Nothing but what the leader gives is placed, on no machine but those of the block.
  void HoldBlock(size_t own) { leased_.Hold(own); }
  // The job as the mirror knows it; its tasks are others' until they are given.
  void KnowJob(wire::JobSpec spec, uint64_t version, double submitted);
  // The machine is ours under this token.
  void TakeMachine(const std::string& id, const std::string& address, uint64_t token, double now);
  bool Commands(const std::string& id) const { return picture_.machines.contains(id); }
  void FromLeader(const wire::BlockItem& item, double now);
  std::vector<wire::BlockItem> ForLeader() { return leased_.TakeItems(0); }
  // All tasks that it has or may have, and completions that are not known to be durable: for a
  // leader that begins.
  std::vector<wire::BlockItem> AllHeld() const;
  // Every machine that it was assigned is known.
  bool AllKnown() const;
  // Gives back what has waited for room for so long, and machines that are lost or asked back.
  void GiveBack(double patience_s, bool leader_hears, double now);
  wire::BlockItem Load(uint64_t applied) const;
  wire::BlockItem News(const cluster::Machine& m, double now) const;

  void Apply(const config::OperatorSettings& s);
  // See Placer.
  void MarkedSince(uint64_t version) { placer_.MarkedSince(version); }

  // --- For status and tests ---
  // The job's completion is durable: counts it towards the objectives.
  void Finished(const std::string& id, double now);
  wire::Digest Summary(double now) const;
  // Jobs tried and machines looked at for them, so far.
  uint64_t placements() const { return placer_.placements(); }
  uint64_t looked_at() const { return placer_.looked_at(); }
  const cluster::Machines& machines() const { return picture_.machines; }
  const cluster::Jobs& jobs() const { return picture_.jobs; }

 private:
  struct Tuning {
    autoscaler::PlannerTuning fleet;
    bool preemption = true;
  };

  // --- What workers tell ---
  cluster::Machine& MachineFor(const wire::Report& r, double now);
  void NewSession(cluster::Machine& m, uint64_t session, double now);
  void Reconcile(cluster::Machine& m, const wire::Report& r, bool regular, double now);
  void Doubt(cluster::Machine& m);
  void Adopt(cluster::Machine& m, const wire::TaskReport& t, double now);
  void OnExited(cluster::Machine& m, const cluster::SlotKey& key, cluster::Slot& slot, double now);
  void OnAsked(cluster::Machine& m, const DirectOrder& order, DirectOutcome outcome,
               const wire::Report* report, double now);
  bool Heeds(const wire::Report& r) const;
  void OnStranger(const wire::Report& r, double now);
  void RuleOut(cluster::Machine& m);
  // Nothing is on it any more, though it has not said so itself.
  void EndAll(cluster::Machine& m, double now);
  void LookForStrays();
  void TaskDone(jobs::Job& job, uint32_t index);
  void Judge(const cluster::Machine& m, const jobs::Job& job, Health::Verdict verdict, double now);
  // --- What they are told ---
  std::vector<wire::Command> CommandsFor(cluster::Machine& m, double now);
  void RaiseTokens();
  // --- The fleet ---
  void MoveOff(double now);
  // Every machine that can be used or be told about, whoever commands it.
  cluster::Machine* FindAny(const std::string& id);
  // --- Blocks ---
  void Claim(uint64_t lease, const wire::BlockItem& item, double now);
  void DoneAt(uint64_t lease, const wire::BlockItem& item, double now);
  void NewsOf(uint64_t lease, const wire::BlockItem& item, double now);
  void GivenBack(uint64_t lease, const wire::BlockItem& item, double now);
  void TellKept();
  void HandOverSome(double now);
  void Hand(cluster::Machine& m, double now);
  void AskBackSome(double now);
  cluster::Machine& TakeIn(const cluster::Machine& lent, uint64_t past_lease, double last_acted);
  void KnownOrGone(const std::string& machine);
  void StopHeld(const std::string& job, uint32_t index);
  bool Readopt(jobs::Job& job, uint32_t index);
  bool IsLeaving(const wire::TaskId& task, uint64_t lease) const;
  bool Seeks(const wire::TaskId& task) const;
  // --- For people ---
  const char* WhyWaiting(const jobs::Job& job, double now) const;
  void LogSummary(double now);

  // Each of these owns one state; what they guard stands in their headers.
  const config::Settings settings_;
  const config::Derived derived_;
  const uint64_t token_;
  const Aims aims_;
  Activity activity_;
  cluster::Picture picture_;
  Takeover takeover_;
  Search search_;
  Leased leased_;
  Records records_;
  Hires hires_;
  Strays strays_;
  const Health health_;
  Placer placer_;
  Tuning tuning_;
  std::map<std::string, std::vector<uint32_t>> over_;  // as a holder: tasks of jobs that ended
  uint64_t taken_in_ = 0;                              // reports
  bool wants_plan_ = false;                            // something came since the last plan
};

}  // namespace mosspath::scheduler
