// The machine types that the cloud offers, as last read. Does no I/O.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "mosspath/cluster/machine.h"
#include "mosspath/wire/messages.h"

namespace mosspath::cluster {

class MachineTypeCatalog {
 public:
  void Set(std::vector<wire::MachineType> types) {
    for (auto& type : types) {
      fastest_fetch_gb_per_s_ = std::max(fastest_fetch_gb_per_s_, type.fetch_gb_per_s);
      types_[type.name] = std::move(type);
    }
  }
  const wire::MachineType* Find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }
  bool empty() const { return types_.empty(); }
  const std::map<std::string, wire::MachineType>& all() const { return types_; }
  // The highest image fetch rate of all types in GB per second; 0 if unknown.
  double fastest_fetch_gb_per_s() const { return fastest_fetch_gb_per_s_; }
  // Sets the machine's resources to those of its type; no effect if the type is unknown.
  void ApplyTo(Machine& machine) const {
    const auto* type = Find(machine.type);
    if (type == nullptr) return;
    machine.cpus = type->cpus;
    machine.gpus = type->gpus;
    machine.memory_gb = type->memory_gb;
    machine.cache_gb = type->cache_gb;
    machine.fetch_gb_per_s = type->fetch_gb_per_s;
  }

 private:
  std::map<std::string, wire::MachineType> types_;
  double fastest_fetch_gb_per_s_ = 0;
};

}  // namespace mosspath::cluster
