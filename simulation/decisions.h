// What the controllers of a simulated day decided, folded into one number: two builds that decide
// the same on a day have the same number.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"
#include "mosspath/wire/messages.h"

namespace mosspath::simulation {

// Folded in the order in which it happens, with its simulated time and in the protocol's own words,
// so that no name inside the code counts. The number is the same in every build with the same
// Boost.
class Decisions {
 public:
  // A machine's report was answered; `to`: where it is told to report.
  void Answered(double now, const std::string& machine, int status, uint64_t token,
                const std::vector<wire::Command>& commands, const std::string& to);
  // A direct order left for a machine, to whoever is at the address.
  void Ordered(double now, const std::string& machine, const std::string& address, uint64_t token,
               uint64_t session, const std::vector<wire::Command>& commands);
  // A direct order came to a machine, which took it or not.
  void Reached(double now, const std::string& machine, uint64_t token, uint64_t session,
               const std::vector<wire::Command>& commands, int status);
  // The state service carried a change out; no value: the key was removed. `grant`: with which the
  // key ends, 0: none.
  void Written(double now, const std::string& key, const std::optional<wire::Json>& value,
               uint64_t grant);
  // The cloud was asked for a machine; `machine`: its answer, empty if it has none to give.
  void Rented(double now, const std::string& type, const std::string& zone, bool spot,
              const std::string& machine);
  // The cloud was told to take the machine back.
  void Returned(double now, const std::string& machine);

  size_t number() const { return number_; }

 private:
  // What is folded in: each begins with its kind and its time.
  enum class Event { kAnswered, kOrdered, kReached, kWritten, kRented, kReturned };
  void Begin(Event event, double now);
  void Add(uint64_t value);
  void Add(const std::string& text);

  size_t number_ = 0;
};

}  // namespace mosspath::simulation
