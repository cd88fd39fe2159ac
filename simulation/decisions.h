// A hash of all decisions that the controllers make on a simulated day. Two builds whose
// controllers decide the same on a day compute the same hash.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"
#include "mosspath/wire/messages.h"

namespace mosspath::simulation {

// Hashes decisions in the order in which they happen, together with their simulated time. Commands
// are hashed in their wire encoding, so renaming identifiers in the code does not change the hash.
// The hash is the same in every build with the same version of Boost.
class Decisions {
 public:
  // A controller answered a heartbeat. `redirect_to`: the controller to which the answer redirects
  // the machine; empty: the answer does not redirect the machine.
  void OnHeartbeatAnswered(double now, const std::string& machine, int http_status,
                           uint64_t fencing_token, const std::vector<wire::Command>& commands,
                           const std::string& redirect_to);
  // A controller sent direct commands for a machine to an address, which may belong to another
  // machine by now.
  void OnCommandsSent(double now, const std::string& machine, const std::string& address,
                      uint64_t fencing_token, uint64_t agent_epoch,
                      const std::vector<wire::Command>& commands);
  // Direct commands arrived at a machine, which accepted or rejected them.
  void OnCommandsReceived(double now, const std::string& machine, uint64_t fencing_token,
                          uint64_t agent_epoch, const std::vector<wire::Command>& commands,
                          int http_status);
  // The store applied a change. If `value` is empty, the change removed the key. `lease`: the lease
  // that the key is attached to; 0: no lease.
  void OnStoreChange(double now, const std::string& key, const std::optional<wire::Json>& value,
                     uint64_t lease);
  // A controller requested a machine from the cloud. `machine`: the name of the new machine; empty
  // if the cloud has no capacity.
  void OnMachineRequested(double now, const std::string& type, const std::string& zone, bool spot,
                          const std::string& machine);
  // A controller requested the deletion of the machine from the cloud.
  void OnMachineReturned(double now, const std::string& machine);

  // Returns the hash of all decisions so far.
  size_t number() const { return number_; }

 private:
  // The numeric values are part of the hash: the hashed data of each decision begins with its kind
  // and its time.
  enum class Kind {
    kHeartbeatAnswered,
    kCommandsSent,
    kCommandsReceived,
    kStoreChange,
    kMachineRequested,
    kMachineReturned
  };

  void Begin(Kind kind, double now);
  void Add(uint64_t value);
  void Add(const std::string& text);

  size_t number_ = 0;
};

}  // namespace mosspath::simulation
