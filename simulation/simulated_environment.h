// The environment of the controllers in simulated time: the clock, the network, the key-value
// store, the cloud with its machines, and the rule checker.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/messages.h"
#include "mosspath/wire/shard_frame.h"
#include "simulation/decisions.h"
#include "simulation/random.h"
#include "simulation/rule_checker.h"
#include "simulation/simulated_agent.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_key_value_store.h"
#include "simulation/simulated_network.h"

namespace mosspath::simulation {

// Names of network hosts that are neither controllers nor machines.
inline constexpr const char* kStoreHost = "state";
inline constexpr const char* kCloudHost = "cloud";
inline constexpr const char* kUsersHost = "users";

// Owns everything outside the controllers. Members are public, as in a test fixture: scenarios set
// faults directly, and controllers register their message handlers. Times are simulated seconds.
class SimulatedEnvironment {
 public:
  SimulatedEnvironment(config::Settings settings, std::vector<wire::MachineType> types,
                       uint64_t seed);

  using HeartbeatResponder = std::function<void(const HeartbeatReply&)>;
  // Handles an encoded message at a controller. Returns the encoded answer; nothing if the
  // controller does not answer, for instance while it is down.
  using MessageHandler = std::function<std::optional<std::string>(const std::string&)>;
  using ShardFrameHandler =
      std::function<std::optional<wire::ShardFrame>(const std::string& encoded)>;

  // --- Jobs ---

  // Registers the job with the agents and the rule checker.
  void Submit(const wire::JobSpec& spec);
  // Registers the job and writes its record to the store directly, without a controller.
  void Accept(const wire::JobSpec& spec);
  // Writes the cancellation to the store directly. Returns its revision; 0 if the store has no
  // record of a live job with this id.
  uint64_t Cancel(const std::string& id);
  // Returns whether a task of the job runs on any machine.
  bool RunsJob(const std::string& job) const;

  // --- The cloud ---

  // Adds a machine that is up immediately.
  SimulatedAgent& AddMachine(const std::string& type, const std::string& zone, bool spot);
  // Returns the name of a new machine that is up after its boot time; empty: no capacity.
  std::string RentMachine(const std::string& type, const std::string& zone, bool spot);
  void DeleteMachine(const std::string& id);
  // Returns the list of the machines that existed machine_list_lag_s ago, since the cloud's list
  // lags by that time.
  std::vector<wire::ListedMachine> ListMachines() const;
  // Returns the machine that is up at the address now; null if there is none.
  SimulatedAgent* FindByAddress(const std::string& address);
  // Terminates the machine and adds a new one that is up immediately at the same address.
  void ReplaceMachine(const std::string& id);

  // Returns the zone of a controller. Controllers are assigned to the zones in turn.
  std::string ZoneOf(const std::string& node) const;

  // --- Faults, each active until a simulated time ---

  // Until this time, each heartbeat is delivered a second time, later and to a random controller.
  double duplicate_heartbeats_until = 0;
  // Until late_writes_until, the share late_writes_share of the store changes gets no answer. Such
  // a change is applied seconds later, possibly after newer changes, and even if the controller
  // that sent the change has crashed meanwhile.
  double late_writes_until = 0;
  double late_writes_share = 0;
  // Until this time, answers to direct commands are delayed by seconds.
  double delayed_answers_until = 0;
  // Until this time, each request that was carried out arrives once more, at once or up to three
  // agent leases later. Nobody waits for the answer to the repeated request.
  double repeated_requests_until = 0;

  // Carries out a copy of a request later, if requests are repeated now. Called when the request
  // has been carried out.
  void RepeatLater(std::function<void()> carry_out);

  // --- Observations, with which a scenario checks that its fault condition occurred ---

  struct Observations {
    size_t late_writes = 0;          // store changes applied late
    size_t outdated_duplicates = 0;  // duplicates of heartbeats with an earlier epoch or token
    size_t late_commands = 0;        // command batches that arrived seconds after they were sent
    size_t repeated_requests = 0;    // requests that were carried out and arrived once more
    size_t repeated_starts = 0;      // of these, direct commands with starts
    // Command batches that were executed by machines whose heartbeats were lost.
    size_t outbound_cut_commands = 0;
    // Machines that ran tasks when they were cut off again after a brief contact.
    size_t busy_brief_contacts = 0;
    size_t late_answers = 0;        // command answers that arrived after a newer heartbeat
    std::vector<double> elections;  // times at which a controller was elected
    std::string last_confirmer;     // the controller that last confirmed a cancellation
  };
  Observations observed;
  // The time of each task's last completion.
  std::map<wire::TaskId, double> completed_at;
  // Called when the last task of a job has completed.
  std::function<void(const std::string& job)> on_job_end;

  // --- Components and state ---

  size_t capacity = 8;  // maximum number of machines that are up or booting
  const config::Settings settings;
  const std::vector<wire::MachineType> types;
  SimulatedClock clock;
  Random random;
  SimulatedNetwork network;
  Decisions decisions;
  SimulatedKeyValueStore store;
  RuleChecker rule_checker;
  std::map<std::string, wire::JobSpec> specs;  // all submitted jobs
  std::set<std::string> faulty_jobs;           // jobs whose tasks fail on every machine
  std::map<wire::TaskId, double> run_times_s;  // preset run times, instead of random run times
  std::map<std::string, std::unique_ptr<SimulatedAgent>> agents;  // terminated agents are kept
  std::vector<std::string> nodes;                                 // names of the controllers

  // --- Message handlers of the controllers, called when a message arrives ---

  std::function<void(const std::string& node, const wire::Heartbeat&, const HeartbeatResponder&)>
      on_heartbeat;
  // The keys are the names of the controllers.
  std::map<std::string, MessageHandler> on_promise_request;
  std::map<std::string, MessageHandler> on_peer_heartbeat;
  std::map<std::string, ShardFrameHandler> on_shard_frame;

 private:
  SimulatedAgent& Add(const std::string& id, const std::string& type, const std::string& zone,
                      bool spot);
  std::string NextMachineName();

  uint64_t next_machine_ = 0;
  size_t booting_ = 0;
};

}  // namespace mosspath::simulation
