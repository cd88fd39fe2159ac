#include "simulation/decisions.h"

#include <bit>
#include <boost/container_hash/hash.hpp>

namespace mosspath::simulation {

void Decisions::Answered(double now, const std::string& machine, int http_status,
                         uint64_t fencing_token, const std::vector<wire::Command>& commands,
                         const std::string& redirect_to) {
  Begin(Kind::kAnswered, now);
  Add(machine);
  Add(static_cast<uint64_t>(http_status));
  Add(wire::HeartbeatAnswer(fencing_token, commands).dump());
  Add(redirect_to);
}

void Decisions::Ordered(double now, const std::string& machine, const std::string& address,
                        uint64_t fencing_token, uint64_t agent_epoch,
                        const std::vector<wire::Command>& commands) {
  Begin(Kind::kOrdered, now);
  Add(machine);
  Add(address);
  Add(wire::DirectCommands(fencing_token, agent_epoch, commands).dump());
}

void Decisions::Reached(double now, const std::string& machine, uint64_t fencing_token,
                        uint64_t agent_epoch, const std::vector<wire::Command>& commands,
                        int http_status) {
  Begin(Kind::kReached, now);
  Add(machine);
  Add(wire::DirectCommands(fencing_token, agent_epoch, commands).dump());
  Add(static_cast<uint64_t>(http_status));
}

void Decisions::Written(double now, const std::string& key, const std::optional<wire::Json>& value,
                        uint64_t lease) {
  Begin(Kind::kWritten, now);
  Add(key);
  Add(uint64_t{value.has_value()});
  if (value) Add(value->dump());
  Add(lease);
}

void Decisions::Rented(double now, const std::string& type, const std::string& zone, bool spot,
                       const std::string& machine) {
  Begin(Kind::kRented, now);
  Add(type);
  Add(zone);
  Add(uint64_t{spot});
  Add(machine);
}

void Decisions::Returned(double now, const std::string& machine) {
  Begin(Kind::kReturned, now);
  Add(machine);
}

void Decisions::Begin(Kind kind, double now) {
  Add(static_cast<uint64_t>(kind));
  Add(std::bit_cast<uint64_t>(now));
}

void Decisions::Add(uint64_t value) { boost::hash_combine(number_, value); }

void Decisions::Add(const std::string& text) {
  Add(text.size());
  boost::hash_combine(number_, boost::hash_range(text.begin(), text.end()));
}

}  // namespace mosspath::simulation
