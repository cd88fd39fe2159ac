// What the controllers of a simulated day decided, folded into one number: two builds that decide
// the same on a day have the same number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"
#include "mosspath/wire/messages.h"

namespace mosspath::simulation {

// Folds decisions in the order in which they happen, with their simulated time and in the
// protocol's own words, so that no name inside the code counts. The number is the same in every
// build with the same Boost.
class Decisions {
 public:
  // A machine's heartbeat was answered. `redirect_to`: the controller that it is sent to, or empty.
  void Answered(double now, const std::string& machine, int http_status, uint64_t fencing_token,
                const std::vector<wire::Command>& commands, const std::string& redirect_to);
  // Direct commands left for a machine, to whoever is at the address.
  void Ordered(double now, const std::string& machine, const std::string& address,
               uint64_t fencing_token, uint64_t agent_epoch,
               const std::vector<wire::Command>& commands);
  // Direct commands came to a machine, which took them or not.
  void Reached(double now, const std::string& machine, uint64_t fencing_token, uint64_t agent_epoch,
               const std::vector<wire::Command>& commands, int http_status);
  // The store carried a change out; without a value it removed the key. `lease`: with which the key
  // ends; 0: with none.
  void Written(double now, const std::string& key, const std::optional<wire::Json>& value,
               uint64_t lease);
  // The cloud was asked for a machine. `machine`: its answer, empty if it has none to give.
  void Rented(double now, const std::string& type, const std::string& zone, bool spot,
              const std::string& machine);
  // The cloud was told to take the machine back.
  void Returned(double now, const std::string& machine);

  size_t number() const { return number_; }

 private:
  // The order counts: each decision begins with its kind's number and its time.
  enum class Kind { kAnswered, kOrdered, kReached, kWritten, kRented, kReturned };

  void Begin(Kind kind, double now);
  void Add(uint64_t value);
  void Add(const std::string& text);

  size_t number_ = 0;
};

}  // namespace mosspath::simulation
