// A controller in simulated time: the decision code of the real one, wired as in service/ but over
// the simulated network and the simulated store.
//
// The class is implemented by duty:
//   controller.cc           the process: start, crash, freeze, loops
//   controller_election.cc  store lease, campaigns, promises of peers, taking and giving up the
//   lead controller_watch.cc     reading the store and telling each part what has changed
//   controller_jobs.cc      submissions, status questions and cancellations of users
//   controller_commands.cc  heartbeats, direct commands, records, completions and scaling
//   controller_peers.cc     heartbeats among controllers, which carry the admission plan
//   controller_shards.cc    holding a shard of the machines, and leasing shards as the leader
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/admission/fair_queue.h"
#include "mosspath/election/failure_detector.h"
#include "mosspath/election/leadership.h"
#include "mosspath/jobs/job_index.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/service/admission_service.h"
#include "mosspath/shard/routing_table.h"
#include "mosspath/shard/shard_holder.h"
#include "mosspath/shard/shard_lease_manager.h"
#include "simulation/simulated_environment.h"

namespace mosspath::simulation {

// Runs from its construction to the end of the day, through crashes and restarts. Times inside are
// those of its own clock, which drifts; delays of its timers are simulated time.
class SimulatedController {
 public:
  using SubmitResponder = std::function<void(int http_status, double retry_after_s)>;
  // The state counts with status 200.
  using StatusResponder = std::function<void(int http_status, wire::JobState state)>;

  // The environment must outlive the controller and know the names of all controllers. `drift`: how
  // fast its clock runs, 1 for a right one.
  SimulatedController(SimulatedEnvironment& environment, std::string name, double drift);

  // --- State ---

  const std::string& name() const { return name_; }
  bool up() const { return alive_ && !frozen(); }
  bool leading() const { return scheduler_ != nullptr && leadership_->MayAct(Now()); }
  // Whether it leads or campaigns.
  bool electing() const { return alive_ && (leadership_->campaigning() || token() != 0); }
  // Its fencing token; 0 unless it was elected and has not lost the lead.
  uint64_t token() const { return leadership_->token(); }
  // As the leader; null if it does not lead.
  scheduler::Scheduler* leader_scheduler() { return scheduler_.get(); }

  // --- Counts over the whole day ---

  // Starts of tasks that it commanded as the holder of a shard.
  uint64_t holder_starts() const { return holder_starts_; }
  int resignations() const { return resignations_; }
  // Heartbeats that it answered when only its peers' promises allowed that.
  int heartbeats_on_promise() const { return heartbeats_on_promise_; }
  // Cancellations that it first learned from peers.
  int cancellations_learned() const { return cancellations_learned_; }
  // Submissions that its admission refused.
  uint64_t refused() const { return refused_; }

  // --- Faults and adjustments ---

  // The process ends, and a new one starts after that time.
  void Crash(double downtime_s);
  // The process does not run for that time, though the clock does.
  void Freeze(double duration_s);
  // It renews its store lease but can't read, as when it has no socket left for that.
  void FailReads(double duration_s) { reads_fail_until_ = environment_.clock.now() + duration_s; }
  // Never resigns, as one that has just done so in vain.
  bool never_resigns = false;
  // How many changes a second it may make for acceptances.
  void SetAcceptanceRate(double changes_per_s) { acceptance_rate_ = changes_per_s; }

  // --- Agents ---

  void OnHeartbeat(const wire::Heartbeat& heartbeat,
                   const SimulatedEnvironment::HeartbeatResponder& respond);

  // --- Users ---

  void OnSubmit(const wire::JobSpec& spec, const SubmitResponder& respond);
  void OnStatusQuery(const std::string& id, const StatusResponder& respond);
  void OnCancel(const std::string& id, const StatusResponder& respond);
  // It confirms a cancellation to a user, or learns of it from a peer: the job is cancelled,
  // durable since that revision of the store, whatever this controller has read.
  void LearnCancelled(const std::string& id, uint64_t revision);

  // --- Admission ---

  // The share of the budget that it may fill now; 0 before its first start.
  double budget_share() const { return admission_ ? admission_->CurrentShare(Now()) : 0; }
  // Live tasks that all controllers together may accept.
  double budget() const { return admission_->controller().budget(); }

 private:
  using Entries = std::map<std::string, SimulatedKeyValueStore::Entry>;
  using Condition = SimulatedKeyValueStore::Condition;
  using Change = SimulatedKeyValueStore::Change;
  using OnRevision = std::function<void(uint64_t revision)>;  // 0: the change was not made
  using OnStatus = std::function<void(jobs::JobStatus)>;

  // --- The process ---

  double Now() const { return environment_.clock.now() * drift_; }
  bool frozen() const { return environment_.clock.now() < frozen_until_; }
  bool IsProcess(uint64_t process) const { return alive_ && process == process_; }
  void RegisterHandlers();
  void Start();
  void ResetState();
  // Runs the action now, or when the process runs again; not at all if the process ends before.
  void RunUnlessFrozen(std::function<void()> action);
  // Runs the action after that time as a timer of this process does.
  void After(double delay_s, std::function<void()> action);
  // As After(), but once this process has ended the next one still wakes up for it. The action must
  // look after that itself.
  void AfterInAnyProcess(double delay_s, std::function<void()> action);
  void ReportStall(double from);
  void TickLoop();
  void TickLeader();

  // Runs `at_store` at the store, and then `on_result` here. Nothing is called when the store is
  // down or a message is lost, nor once this process has ended.
  template <typename Result>
  void CallStore(std::function<Result()> at_store, std::function<void(Result)> on_result);
  // The same for a change. While writes are late, some get no answer and are carried out seconds
  // later, whatever has become of this process.
  template <typename Result>
  void CallStoreForChange(std::function<Result()> at_store, std::function<void(Result)> on_result);

  // --- Election ---

  void PromiseLoop();
  void RequestPromise(const std::string& peer, uint64_t round, const std::string& request);
  void OnPromiseResponse(const std::string& peer, uint64_t round, const std::string& response);
  std::optional<std::string> OnPromiseRequest(const std::string& text);
  std::optional<std::string> AnswerPromiseRequest(const std::string& text);
  void RenewLoop();
  void GrantStoreLease(double sent_at);
  void Campaign(uint64_t version);
  void OnElected(const Entries& entries);
  void OnLeadershipChange(const election::Leadership::MaybeLoss& loss);
  void Resign();

  // --- Watch ---

  void WatchLoop();
  // Reads all of the store. Calls back with whether this knows now what was written before the
  // call.
  void ReadStore(std::function<void(bool read)> done);
  void ApplyView(const SimulatedKeyValueStore::View& view, double sent_at);
  void ApplyLeader(const Entries& entries);
  void ApplyJobs(const Entries& entries);
  void ApplyFinalRecords(const Entries& entries);
  void ApplyJobChange(const jobs::JobRecords::Change& change);
  void UpdateScheduler(const Entries& entries);

  // --- Jobs ---

  // An admitted job that waits to be made durable.
  struct PendingJob {
    wire::JobSpec spec;
    double deadline = 0;
    SubmitResponder respond;
  };
  using Revisions = std::vector<uint64_t>;  // of each job of a batch; 0: it was there already

  void AnswerKnownSubmission(const std::string& id, const SubmitResponder& respond);
  void AnswerInvalidSubmission(const std::string& id, const SubmitResponder& respond);
  void Admit(const wire::JobSpec& spec, const SubmitResponder& respond);
  void FindStatus(const std::string& id, OnStatus done);
  void FindStatusInFinalRecord(const std::string& id, const OnStatus& done);
  void AnswerStatus(const std::string& id, jobs::JobStatus status, const StatusResponder& respond);
  // What a user is told of a job with this status.
  wire::JobState ReportState(const std::string& id, jobs::JobStatus status);
  void StopTasksOf(const std::string& id);
  void TryCancel(const std::string& id, double deadline, OnStatus done);
  // Runs at the store. `end` is written only if the job has no end yet.
  uint64_t CommitEnd(const std::string& id, jobs::JobStatus end,
                     const std::vector<jobs::RecordChange>& records,
                     std::vector<Condition> conditions);
  void AcceptanceLoop();
  void DropOverdue();
  void AcceptBatch(std::vector<PendingJob> batch);
  Revisions CommitAcceptances(const std::vector<PendingJob>& batch);
  // Without revisions the store did not answer in time.
  void OnBatchAnswered(const std::vector<PendingJob>& batch,
                       const std::optional<Revisions>& revisions);

  // --- Commands ---

  void AnswerAsHolder(const wire::Heartbeat& heartbeat,
                      const SimulatedEnvironment::HeartbeatResponder& respond);
  void AnswerAsLeader(const wire::Heartbeat& heartbeat,
                      const SimulatedEnvironment::HeartbeatResponder& respond);
  // The other controller that holds the machine's shard, or may know who does; empty if there is
  // none.
  std::string HolderOf(const std::string& machine) const;
  void SendCommands();
  // `shard_lease`: under which the commands are given; 0: they are the leader's.
  void SendCommandsOf(scheduler::Scheduler& source, uint64_t shard_lease);
  void SendBatch(const scheduler::CommandBatch& batch, uint64_t shard_lease);
  using OnOutcome = std::function<void(scheduler::CommandOutcome, const wire::Heartbeat*)>;
  OnOutcome MakeOutcomeHandler(const scheduler::CommandBatch& batch, uint64_t shard_lease);
  // Runs at the machine.
  void DeliverBatch(SimulatedAgent& agent, const scheduler::CommandBatch& batch, double sent_at,
                    const OnOutcome& on_outcome);
  void WriteCompletions();
  void WriteCompletion(const std::string& id, const std::vector<jobs::RecordChange>& records);
  void WriteRecords();
  OnRevision MakeRecordsHandler();
  void ListMachinesLoop();
  void Scale();
  void DeleteMachine(const std::string& id);

  // --- Peers ---

  void PeerHeartbeatLoop();
  void SendPeerHeartbeat(const std::string& peer, const std::string& text);
  std::optional<std::string> OnPeerHeartbeat(const std::string& text);

  // --- Shards ---

  bool MayHold() const { return leadership_->ViewIsFresh(Now()); }
  void ApplyShards(const Entries& entries);
  void ApplyOwnShard(const Entries& entries);
  void StartHolding(uint64_t shard_lease);
  void OfferToHold(const Entries& entries);
  void InheritShardLeases();
  void UpdateShardLeases(const Entries& entries);
  void WriteLeaseChanges();
  uint64_t CommitLeaseChange(const shard::ShardLeaseManager::LeaseChange& change, uint64_t token);
  std::optional<wire::ShardFrame> OnShardFrame(const std::string& text);
  std::optional<wire::ShardFrame> AnswerFrameAsHolder(const wire::ShardFrame& frame);
  std::optional<wire::ShardFrame> AnswerFrameAsLeader(const wire::ShardFrame& frame);
  void SendShardFrames();
  void SendShardFrame(const std::string& peer, wire::ShardFrame frame, bool as_leader);
  void OnShardFrameAnswered(const std::string& peer, bool as_leader, double sent_at,
                            const std::optional<wire::ShardFrame>& answer);

  SimulatedEnvironment& environment_;
  const std::string name_;
  const double drift_;
  const config::DerivedSettings derived_;
  config::Settings settings_;  // with this controller's name and its peers

  // The process.
  uint64_t process_ = 0;  // one more with each start and each crash
  bool alive_ = false;
  double frozen_until_ = 0;
  net::LoopClock loop_clock_;

  // Election.
  std::unique_ptr<election::Leadership> leadership_;
  std::unique_ptr<election::FailureDetector> failure_detector_;
  double last_store_contact_;

  // Watch.
  double reads_fail_until_ = 0;
  uint64_t reads_begun_ = 0;
  uint64_t newest_read_ = 0;    // by the order of their beginnings; 0: none has ended
  uint64_t revision_ = 0;       // of the store, as last read
  uint64_t jobs_revision_ = 0;  // up to which the job index knows all records
  std::unique_ptr<jobs::JobIndex> job_index_;
  std::map<std::string, uint64_t> job_record_versions_;  // of the records that it has read
  std::set<std::string> final_records_;                  // that it has read

  // The leader's; null unless it leads.
  std::unique_ptr<scheduler::Scheduler> scheduler_;
  std::unique_ptr<shard::ShardLeaseManager> shard_leases_;

  // Shards.
  std::unique_ptr<shard::ShardHolder> holder_;
  shard::RoutingTable routing_table_;
  std::map<std::string, uint64_t> machine_pack_versions_;
  bool offer_in_flight_ = false;
  std::set<std::string> frames_in_flight_;  // by the peer that they were sent to

  // Jobs.
  std::unique_ptr<service::AdmissionService> admission_;
  admission::FairQueue<PendingJob> acceptance_queue_;
  double acceptance_rate_;

  // Counts.
  uint64_t holder_starts_ = 0;
  int resignations_ = 0;
  int heartbeats_on_promise_ = 0;
  int cancellations_learned_ = 0;
  uint64_t refused_ = 0;
};

template <typename Result>
void SimulatedController::CallStore(std::function<Result()> at_store,
                                    std::function<void(Result)> on_result) {
  environment_.network.Send(name_, kStoreHost, [this, process = process_, at_store, on_result] {
    if (!environment_.store.up()) return;
    Result result = at_store();
    environment_.network.Send(kStoreHost, name_, [this, process, on_result, result] {
      if (!IsProcess(process)) return;
      RunUnlessFrozen([on_result, result] { on_result(result); });
    });
  });
}

template <typename Result>
void SimulatedController::CallStoreForChange(std::function<Result()> at_store,
                                             std::function<void(Result)> on_result) {
  constexpr double kMinLatenessS = 2;
  constexpr double kMaxLatenessS = 12;
  Random& random = environment_.random;
  const bool late = environment_.clock.now() < environment_.late_writes_until &&
                    random.Uniform(0, 1) < environment_.late_writes_share;
  if (!late) return CallStore(std::move(at_store), std::move(on_result));
  environment_.clock.After(random.Uniform(kMinLatenessS, kMaxLatenessS),
                           [this, at_store = std::move(at_store)] {
                             if (!environment_.store.up()) return;
                             at_store();
                             ++environment_.observed.late_writes;
                           });
}

}  // namespace mosspath::simulation
