#include "simulation/decisions.h"

#include <bit>
#include <boost/container_hash/hash.hpp>

namespace mosspath::simulation {

void Decisions::OnHeartbeatAnswered(double now, const std::string& machine, int http_status,
                                    uint64_t fencing_token,
                                    const std::vector<wire::Command>& commands,
                                    const std::string& redirect_to) {
  Begin(Kind::kHeartbeatAnswered, now);
  Add(machine);
  Add(static_cast<uint64_t>(http_status));
  Add(wire::HeartbeatAnswer(fencing_token, commands).dump());
  Add(redirect_to);
}

void Decisions::OnCommandsSent(double now, const std::string& machine, const std::string& address,
                               uint64_t fencing_token, uint64_t agent_epoch,
                               const std::vector<wire::Command>& commands) {
  Begin(Kind::kCommandsSent, now);
  Add(machine);
  Add(address);
  Add(wire::DirectCommands(fencing_token, agent_epoch, commands).dump());
}

void Decisions::OnCommandsReceived(double now, const std::string& machine, uint64_t fencing_token,
                                   uint64_t agent_epoch, const std::vector<wire::Command>& commands,
                                   int http_status) {
  Begin(Kind::kCommandsReceived, now);
  Add(machine);
  Add(wire::DirectCommands(fencing_token, agent_epoch, commands).dump());
  Add(static_cast<uint64_t>(http_status));
}

void Decisions::OnStoreChange(double now, const std::string& key,
                              const std::optional<wire::Json>& value, uint64_t lease) {
  Begin(Kind::kStoreChange, now);
  Add(key);
  Add(uint64_t{value.has_value()});
  if (value) Add(value->dump());
  Add(lease);
}

void Decisions::OnMachineRequested(double now, const std::string& type, const std::string& zone,
                                   bool spot, const std::string& machine) {
  Begin(Kind::kMachineRequested, now);
  Add(type);
  Add(zone);
  Add(uint64_t{spot});
  Add(machine);
}

void Decisions::OnMachineReturned(double now, const std::string& machine) {
  Begin(Kind::kMachineReturned, now);
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
