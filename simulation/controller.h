// A controller in simulated time: the production decision code, wired as in service/ but over the
// simulated network and the simulated store.
//
// The implementation is split by responsibility:
//   controller.cc           the process: start, crash, freeze, loops
//   controller_election.cc  store lease, campaigns, promises of peers, gaining and losing the lead
//   controller_watch.cc     reading the store and applying the changes that were read
//   controller_jobs.cc      submissions, status queries and cancellations of users
//   controller_commands.cc  heartbeats, direct commands, records, completions and scaling
//   controller_peers.cc     heartbeats between controllers, which carry the admission plan
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

// Exists for the whole simulated day; its process may crash and restart. Internal times, in
// seconds, are read from the controller's own clock, which drifts. Timer delays are in simulated
// time.
class SimulatedController {
 public:
  using SubmitResponder = std::function<void(int http_status, double retry_after_s)>;
  // The state is valid only with HTTP status 200.
  using StatusResponder = std::function<void(int http_status, wire::JobState state)>;

  // The environment must outlive the controller and already have the names of all controllers.
  // `drift`: the rate of the controller's clock relative to simulated time; 1: accurate.
  SimulatedController(SimulatedEnvironment& environment, std::string name, double drift);

  // --- State ---

  const std::string& name() const { return name_; }
  bool up() const { return alive_ && !frozen(); }
  bool leading() const { return scheduler_ != nullptr && leadership_->MayAct(Now()); }
  // Returns whether the controller campaigns or leads.
  bool electing() const { return alive_ && (leadership_->campaigning() || token() != 0); }
  // The fencing token of the current term; 0 unless the controller was elected and has not lost the
  // lead.
  uint64_t token() const { return leadership_->token(); }
  // The scheduler of the leader; null unless the controller was elected and has not lost the lead.
  scheduler::Scheduler* leader_scheduler() { return scheduler_.get(); }

  // --- Counts over the whole day ---

  // Task starts that the controller commanded as the holder of a shard.
  uint64_t holder_starts() const { return holder_starts_; }
  int resignations() const { return resignations_; }
  // Heartbeats that the controller accepted as the leader after its store lease had expired, while
  // only the promises of its peers still allowed the controller to lead.
  int heartbeats_on_promise() const { return heartbeats_on_promise_; }
  // Cancellations that the controller received from a peer before it read them from the store.
  int cancellations_learned() const { return cancellations_learned_; }
  // Submissions that admission refused.
  uint64_t refused() const { return refused_; }

  // --- Faults and adjustments ---

  // Ends the process; a new process starts after the given time.
  void Crash(double downtime_s);
  // Suspends the process for the given time, while the controller's clock goes on.
  void Freeze(double duration_s);
  // Makes reads from the store fail while the store lease is still renewed. In production, such
  // failures occur on a controller that has no socket left for reads.
  void FailReads(double duration_s) { reads_fail_until_ = environment_.clock.now() + duration_s; }
  // If true, the controller does not resign when what it has read of the store is outdated. This
  // simulates the backoff that follows a resignation without success.
  bool never_resigns = false;
  // Sets how often per second the controller may write a batch of acceptances.
  void SetAcceptanceRate(double changes_per_s) { acceptance_rate_ = changes_per_s; }

  // --- Agents ---

  void OnHeartbeat(const wire::Heartbeat& heartbeat,
                   const SimulatedEnvironment::HeartbeatResponder& respond);

  // --- Users ---

  void OnSubmit(const wire::JobSpec& spec, const SubmitResponder& respond);
  void OnStatusQuery(const std::string& id, const StatusResponder& respond);
  void OnCancel(const std::string& id, const StatusResponder& respond);
  // Called when this controller has written the cancellation or has received it from a peer. The
  // cancellation is durable since `revision`, even if this controller has not yet read the store up
  // to that revision.
  void LearnCancelled(const std::string& id, uint64_t revision);

  // --- Admission ---

  // The share of the admission budget that the controller may use now; 0 before its first start.
  double budget_share() const { return admission_ ? admission_->CurrentShare(Now()) : 0; }
  // The maximum number of tasks of all live jobs, over all controllers.
  double budget() const { return admission_->controller().budget(); }

 private:
  using Entries = std::map<std::string, SimulatedKeyValueStore::Entry>;
  using Condition = SimulatedKeyValueStore::Condition;
  using Change = SimulatedKeyValueStore::Change;
  using OnRevision = std::function<void(uint64_t revision)>;  // 0: the change failed or timed out
  using OnStatus = std::function<void(jobs::JobStatus)>;

  // --- The process ---

  double Now() const { return environment_.clock.now() * drift_; }
  bool frozen() const { return environment_.clock.now() < frozen_until_; }
  bool IsProcess(uint64_t process) const { return alive_ && process == process_; }
  void RegisterHandlers();
  void Start();
  void ResetState();
  // Runs the action now or, if the process is frozen, when the process resumes. Drops the action if
  // the process ends before that.
  void RunUnlessFrozen(std::function<void()> action);
  // Runs the action after the delay, as a timer of this process. The timer ends with the process.
  void After(double delay_s, std::function<void()> action);
  // Like After(), but the timer is not cancelled when this process ends, so the action may run in
  // the next process. The action must check in which process it runs.
  void AfterInAnyProcess(double delay_s, std::function<void()> action);
  void ReportStall(double from);
  void TickLoop();
  void TickLeader();

  // Runs `at_store` at the store, and then `on_result` at this controller. If the store is down or
  // the request is lost, neither function is called. If the answer is lost or this process has
  // ended, `on_result` is not called.
  template <typename Result>
  void CallStore(std::function<Result()> at_store, std::function<void(Result)> on_result);
  // Like CallStore(), for changes. While SimulatedEnvironment::late_writes_until has not passed,
  // some changes get no answer and are applied seconds later, even if this process has ended.
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
  // Reads the whole store. Calls `done` with true once this controller has read everything that was
  // written before the call, and with false if the read failed at once. Without an answer from the
  // store, `done` is not called.
  void ReadStore(std::function<void(bool read)> done);
  void ApplyView(const SimulatedKeyValueStore::View& view, double sent_at);
  void ApplyLeader(const Entries& entries);
  void ApplyJobs(const Entries& entries);
  void ApplyFinalRecords(const Entries& entries);
  void ApplyJobChange(const jobs::JobRecords::Change& change);
  void UpdateScheduler(const Entries& entries);

  // --- Jobs ---

  // An admitted job whose record is not durable yet.
  struct PendingJob {
    wire::JobSpec spec;
    double deadline = 0;
    SubmitResponder respond;
  };
  using Revisions = std::vector<uint64_t>;  // of each job in a batch; 0: the job already existed

  void AnswerKnownSubmission(const std::string& id, const SubmitResponder& respond);
  void AnswerInvalidSubmission(const std::string& id, const SubmitResponder& respond);
  void Admit(const wire::JobSpec& spec, const SubmitResponder& respond);
  void FindStatus(const std::string& id, OnStatus done);
  void FindStatusInFinalRecord(const std::string& id, const OnStatus& done);
  void AnswerStatus(const std::string& id, jobs::JobStatus status, const StatusResponder& respond);
  // Returns the state to report to a user for a job with this status, and records this controller
  // as the last confirmer if the answer confirms a cancellation.
  wire::JobState ReportState(const std::string& id, jobs::JobStatus status);
  void StopTasksOf(const std::string& id);
  void TryCancel(const std::string& id, double deadline, OnStatus done);
  // Runs at the store. Writes the final record only if the job has no final record yet.
  uint64_t CommitEnd(const std::string& id, jobs::JobStatus end,
                     const std::vector<jobs::RecordChange>& records,
                     std::vector<Condition> conditions);
  void AcceptanceLoop();
  void DropOverdue();
  void AcceptBatch(std::vector<PendingJob> batch);
  Revisions CommitAcceptances(const std::vector<PendingJob>& batch);
  // `revisions` has no value if the store did not answer in time.
  void OnBatchAnswered(const std::vector<PendingJob>& batch,
                       const std::optional<Revisions>& revisions);

  // --- Commands ---

  void AnswerAsHolder(const wire::Heartbeat& heartbeat,
                      const SimulatedEnvironment::HeartbeatResponder& respond);
  void AnswerAsLeader(const wire::Heartbeat& heartbeat,
                      const SimulatedEnvironment::HeartbeatResponder& respond);
  // Returns the name of the controller to which the machine should send its heartbeats: the holder
  // of the machine's shard or, if the holder is unknown, the leader, which can redirect the
  // machine. Returns an empty string if that controller is this one, if neither controller is
  // known, or if shards are not leased.
  std::string HolderOf(const std::string& machine) const;
  void SendCommands();
  // `shard_lease`: the shard lease under which the commands are sent; 0: commands of the leader.
  void SendCommandsOf(scheduler::Scheduler& source, uint64_t shard_lease);
  void SendBatch(const scheduler::CommandBatch& batch, uint64_t shard_lease);
  using OnOutcome = std::function<void(scheduler::CommandOutcome, const wire::Heartbeat*)>;
  OnOutcome MakeOutcomeHandler(const scheduler::CommandBatch& batch, uint64_t shard_lease);
  // Runs at the machine.
  void RepeatBatchLater(SimulatedAgent& agent, const scheduler::CommandBatch& batch);
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

  // Returns whether the controller may act as the holder of a shard. A holder may act only while
  // its last read of the jobs is recent enough.
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
  uint64_t process_ = 0;  // increases by one with each start and each crash
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
  uint64_t newest_read_ = 0;    // number of the latest-begun read that was applied; 0: none
  uint64_t revision_ = 0;       // newest store revision that was read
  uint64_t jobs_revision_ = 0;  // the job index has all records up to this store revision
  std::unique_ptr<jobs::JobIndex> job_index_;
  std::map<std::string, uint64_t> job_record_versions_;  // versions of the job records read so far
  std::set<std::string> final_records_;                  // keys of the final records read so far

  // State of the leader; null unless the controller was elected and has not lost the lead.
  std::unique_ptr<scheduler::Scheduler> scheduler_;
  std::unique_ptr<shard::ShardLeaseManager> shard_leases_;

  // Shards.
  std::unique_ptr<shard::ShardHolder> holder_;
  shard::RoutingTable routing_table_;
  std::map<std::string, uint64_t> machine_pack_versions_;
  bool offer_in_flight_ = false;
  std::set<std::string> frames_in_flight_;  // receivers of the frames that are not answered yet

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
    environment_.RepeatLater([this, at_store] {
      if (environment_.store.up()) at_store();
    });
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
