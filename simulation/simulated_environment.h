// The world around the controllers in simulated time: the clock, the network, the key-value store,
// the cloud with its machines, and the checker of the rules.
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

// Names of hosts on the network that are neither controllers nor machines.
inline constexpr const char* kStoreHost = "state";
inline constexpr const char* kCloudHost = "cloud";
inline constexpr const char* kUsersHost = "users";

// Owns everything outside the controllers. Its members are public, as in a test fixture: scenarios
// set faults directly, and controllers register how they take messages.
class SimulatedEnvironment {
 public:
  SimulatedEnvironment(config::Settings settings, std::vector<wire::MachineType> types,
                       uint64_t seed);

  using HeartbeatResponder = std::function<void(const HeartbeatReply&)>;
  // Takes an encoded message at a controller and returns the encoded answer; none while it is down.
  using MessageHandler = std::function<std::optional<std::string>(const std::string&)>;
  using ShardFrameHandler =
      std::function<std::optional<wire::ShardFrame>(const std::string& encoded)>;

  // --- Jobs ---

  // Makes the job known to agents and to the rule checker.
  void Submit(const wire::JobSpec& spec);
  // Makes the job durable in the store, without a controller's doing.
  void Accept(const wire::JobSpec& spec);
  // Makes the cancellation durable in the store. Returns its revision; 0 if the job has ended.
  uint64_t Cancel(const std::string& id);
  // Whether a task of the job runs on any machine.
  bool RunsJob(const std::string& job) const;

  // --- The cloud ---

  // Adds a machine that is up at once.
  SimulatedAgent& AddMachine(const std::string& type, const std::string& zone, bool spot);
  // Returns the name of a machine that will be up after its boot time; empty: no capacity.
  std::string RentMachine(const std::string& type, const std::string& zone, bool spot);
  void DeleteMachine(const std::string& id);
  // The list of machines, as it was the cloud's usual lag ago.
  std::vector<wire::ListedMachine> ListMachines() const;
  // The machine that is reached at the address now; null if there is none.
  SimulatedAgent* FindByAddress(const std::string& address);
  // Terminates the machine; another one is up under its address at once.
  void ReplaceMachine(const std::string& id);

  // The zone of a controller: they are spread over the zones in turn.
  std::string ZoneOf(const std::string& node) const;

  // --- Faults, each until a time of the day ---

  // Each heartbeat is delivered again later, to any controller.
  double duplicate_heartbeats_until = 0;
  // That share of the changes to the store gets no answer, and is carried out seconds later, after
  // newer ones, whatever has become of the controller that sent them.
  double late_writes_until = 0;
  double late_writes_share = 0;
  // Answers to direct commands are held up for seconds.
  double delayed_answers_until = 0;

  // --- What has happened, for scenarios that count whether their condition came about ---

  struct Observations {
    size_t late_writes = 0;            // carried out late
    size_t outdated_duplicates = 0;    // heartbeats of an earlier epoch or token
    size_t late_commands = 0;          // executed seconds after they were sent
    size_t outbound_cut_commands = 0;  // executed by machines whose heartbeats reach nobody
    size_t late_answers = 0;           // to commands, with a newer heartbeat taken in meanwhile
    std::vector<double> elections;     // when a controller was elected
    std::string last_confirmer;        // the controller that last confirmed a cancellation
  };
  Observations observed;
  // When each completed task last completed.
  std::map<wire::TaskId, double> completed_at;
  // Called when the last task of a job has completed.
  std::function<void(const std::string& job)> on_job_end;

  // --- What there is ---

  size_t capacity = 8;  // machines that can be up at once
  const config::Settings settings;
  const std::vector<wire::MachineType> types;
  SimulatedClock clock;
  Random random;
  SimulatedNetwork network;
  Decisions decisions;
  SimulatedKeyValueStore store;
  RuleChecker rule_checker;
  std::map<std::string, wire::JobSpec> specs;  // every job that was ever submitted
  std::set<std::string> faulty_jobs;           // fail on every machine
  std::map<wire::TaskId, double> run_times_s;  // in place of a draw around the job's estimate
  std::map<std::string, std::unique_ptr<SimulatedAgent>> agents;  // terminated ones stay
  std::vector<std::string> nodes;                                 // names of the controllers

  // --- How controllers take messages; called at the controller ---

  std::function<void(const std::string& node, const wire::Heartbeat&, const HeartbeatResponder&)>
      on_heartbeat;
  // By the name of the controller.
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
