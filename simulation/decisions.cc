#include "simulation/decisions.h"

#include <bit>
#include <boost/container_hash/hash.hpp>

namespace mosspath::simulation {

void Decisions::Answered(double now, const std::string& machine, int status, uint64_t token,
                         const std::vector<wire::Command>& commands, const std::string& to) {
  Begin(Event::kAnswered, now);
  Add(machine);
  Add(static_cast<uint64_t>(status));
  Add(wire::HeartbeatAnswer(token, commands).dump());
  Add(to);
}

void Decisions::Ordered(double now, const std::string& machine, const std::string& address,
                        uint64_t token, uint64_t session,
                        const std::vector<wire::Command>& commands) {
  Begin(Event::kOrdered, now);
  Add(machine);
  Add(address);
  Add(wire::DirectCommands(token, session, commands).dump());
}

void Decisions::Reached(double now, const std::string& machine, uint64_t token, uint64_t session,
                        const std::vector<wire::Command>& commands, int status) {
  Begin(Event::kReached, now);
  Add(machine);
  Add(wire::DirectCommands(token, session, commands).dump());
  Add(static_cast<uint64_t>(status));
}

void Decisions::Written(double now, const std::string& key, const std::optional<wire::Json>& value,
                        uint64_t grant) {
  Begin(Event::kWritten, now);
  Add(key);
  Add(uint64_t{value.has_value()});
  if (value) Add(value->dump());
  Add(grant);
}

void Decisions::Rented(double now, const std::string& type, const std::string& zone, bool spot,
                       const std::string& machine) {
  Begin(Event::kRented, now);
  Add(type);
  Add(zone);
  Add(uint64_t{spot});
  Add(machine);
}

void Decisions::Returned(double now, const std::string& machine) {
  Begin(Event::kReturned, now);
  Add(machine);
}

void Decisions::Begin(Event event, double now) {
  Add(static_cast<uint64_t>(event));
  Add(std::bit_cast<uint64_t>(now));
}

void Decisions::Add(uint64_t value) { boost::hash_combine(number_, value); }

void Decisions::Add(const std::string& text) {
  Add(text.size());
  boost::hash_combine(number_, boost::hash_range(text.begin(), text.end()));
}

}  // namespace mosspath::simulation
