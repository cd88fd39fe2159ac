// A controller's decision code in simulated time: the dispatcher, the grant's clock and the fenced
// writes, wired as in service/ but over the stand-in network.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

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

class SimulatedController {
 public:
  SimulatedController(SimulatedEnvironment& world, std::string name, double drift);

  const std::string& name() const { return name_; }
  bool leading() const { return dispatcher_ != nullptr && Entitled(); }
  scheduler::Scheduler* dispatcher() { return dispatcher_.get(); }
  uint64_t token() const { return lead_->token(); }
  shard::ShardHolder* holder() { return holder_.get(); }
  bool up() const { return alive_ && !StandsStill(); }
  // It leads, or tries to.
  bool electing() const { return alive_ && (lead_->campaigning() || token() != 0); }
  bool holding() const { return alive_ && holder_ && MayHold(); }
  uint64_t held_starts() const { return held_starts_; }  // starts told as a holder
  bool reluctant = false;  // never resigns, as one that has just done so in vain
  int resigned() const { return resigned_; }
  int vouched() const { return vouched_; }  // reports answered when only the peers' word allowed it
  void Crash(double back_after_s);
  // It doesn't run for a while though its clock does.
  void Freeze(double for_s);
  // It renews its grant but can't read, as when it has no socket left for that.
  void Unread(double for_s) { unread_until_ = world_.clock.now() + for_s; }
  void OnReport(const wire::Heartbeat& r, const SimulatedEnvironment::HeartbeatResponder& answer);

  // --- Users ---
  // It tells a user that a job is cancelled, durable since that revision: so it knows, whatever it
  // has read. Told by nobody that would know, peers vouched for a leader that had not heard of it.
  void LearnCancelled(const std::string& id, uint64_t revision);
  int learned() const { return learned_; }  // cancellations that peers told it of
  using SubmitAnswer = std::function<void(int status, double retry_after_s)>;
  void OnSubmit(const wire::JobSpec& spec, const SubmitAnswer& answer);
  using JobAnswer = std::function<void(int status, wire::JobState stage)>;
  void OnAsked(const std::string& id, const JobAnswer& answer);
  void OnCancel(const std::string& id, const JobAnswer& answer);
  // How many changes it may make for acceptances.
  void ChangesASecond(double rate) { accept_rate_ = rate; }
  double part() const { return admission_ ? admission_->CurrentShare(Now()) : 0; }
  double budget() const { return admission_->controller().budget(); }
  uint64_t refused() const { return refused_; }

 private:
  using Pairs = std::map<std::string, SimulatedKeyValueStore::Entry>;

  double Now() const { return world_.clock.now() * drift_; }
  bool Entitled() const { return lead_->MayAct(Now()); }
  void Resign();
  bool StandsStill() const { return world_.clock.now() < frozen_until_; }
  // Now, or when it runs again.
  void Running(std::function<void()> f);
  std::optional<std::string> Vouch(const std::string& question);
  void AskToVouch();
  void Told(const election::Leadership::MaybeLoss& lost);
  // Runs at the state service, then back here unless this life has ended.
  template <typename R>
  void Ask(std::function<R()> at_service, std::function<void(R)> back);
  // So does a change; on some days its answer is lost, and it is carried out much later.
  template <typename R>
  void AskChange(std::function<R()> at_service, std::function<void(R)> back);
  void Boot();
  void Renew();
  void Poll();
  // Reads all that is there; `seen` tells whether it holds what was written before this call.
  void Look(std::function<void(bool seen)> seen);
  void See(const SimulatedKeyValueStore::View& view, double sent);
  void Campaign(uint64_t version);
  void Elected(uint64_t token, const Pairs& pairs);
  void Tick();
  void ListMachines();
  void Flush();
  void WriteCompletions();
  void SendDirect();
  void SendOrders(scheduler::Scheduler& dispatcher, uint64_t lease);

  // --- Users ---
  struct Waiting {
    wire::JobSpec spec;
    double deadline = 0;
    SubmitAnswer answer;
  };
  void SeeJobs(const Pairs& pairs);
  void Lookup(const std::string& id, std::function<void(jobs::JobStatus)> done);
  void AnswerKnown(const std::string& id, jobs::JobStatus known, const JobAnswer& answer);
  // What its user is told of a job of which this is known.
  wire::JobState Tells(const std::string& id, jobs::JobStatus known);
  void EndTasks(const std::string& id);
  uint64_t CommitEnd(const std::string& id, jobs::JobStatus end,
                     const std::vector<jobs::RecordChange>& records,
                     std::vector<SimulatedKeyValueStore::Condition> conditions);
  void TryCancel(const std::string& id, double deadline, std::function<void(jobs::JobStatus)> done);
  void PumpAccepts();
  void AcceptNow(std::vector<Waiting> batch);
  void SendPresence();
  std::optional<std::string> TakePresence(const std::string& text);

  // --- Blocks ---
  bool MayHold() const { return lead_->ViewIsFresh(Now()); }
  void SeeBlocks(const Pairs& pairs);
  void SeeOwnBlock(const Pairs& pairs);
  void Offer(const Pairs& pairs);
  void ChangeLeases();
  std::optional<wire::ShardFrame> TakeFrame(const std::string& text);
  void SendFrame(const std::string& to, wire::ShardFrame frame, bool as_leader);
  void SendFrames();

  SimulatedEnvironment& world_;
  const std::string name_;
  const double drift_;
  const config::DerivedSettings derived_;
  uint64_t life_ = 0;
  bool alive_ = false;
  std::optional<election::Leadership> lead_;  // of this life
  double unread_until_ = 0;
  net::LoopClock turns_;
  double frozen_until_ = 0;
  double last_contact_ = -1e18;
  uint64_t polls_ = 0;
  uint64_t seen_poll_ = 0;
  int resigned_ = 0;
  int vouched_ = 0;
  int learned_ = 0;
  std::unique_ptr<scheduler::Scheduler> dispatcher_;
  config::Settings settings_;  // with this controller's name and its peers
  std::unique_ptr<shard::ShardLeaseManager> desk_;
  std::unique_ptr<shard::ShardHolder> holder_;
  shard::RoutingTable routes_;
  std::map<std::string, uint64_t> seen_packs_;
  uint64_t revision_ = 0;  // of the state service, as last read
  std::optional<jobs::JobIndex> directory_;
  std::optional<election::FailureDetector> liveness_;
  bool offering_ = false;
  std::set<std::string> framing_;  // a frame to them is under way
  uint64_t held_starts_ = 0;
  std::unique_ptr<service::AdmissionService> admission_;
  admission::FairQueue<Waiting> accepting_;
  std::map<std::string, uint64_t> shown_;  // records of jobs that it has read, with their versions
  std::set<std::string> shown_finals_;
  uint64_t seen_jobs_ = 0;  // up to when
  double accept_rate_;
  uint64_t refused_ = 0;
};

}  // namespace mosspath::simulation
