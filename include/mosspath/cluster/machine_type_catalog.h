// The machine types that the cloud offers, as it last told. Pure.
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
    for (auto& t : types) {
      fastest_fetch_gb_per_s_ = std::max(fastest_fetch_gb_per_s_, t.fetch_gb_per_s);
      types_[t.name] = std::move(t);
    }
  }
  const wire::MachineType* Find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }
  bool empty() const { return types_.empty(); }
  const std::map<std::string, wire::MachineType>& all() const { return types_; }
  // GB a second of the type that fetches fastest; 0: not known.
  double fastest_fetch_gb_per_s() const { return fastest_fetch_gb_per_s_; }
  // The machine has what its type says, if that is known.
  void ApplyTo(Machine& m) const {
    const auto* t = Find(m.type);
    if (t == nullptr) return;
    m.cpus = t->cpus;
    m.gpus = t->gpus;
    m.memory_gb = t->memory_gb;
    m.cache_gb = t->cache_gb;
    m.fetch_gb_per_s = t->fetch_gb_per_s;
  }

 private:
  std::map<std::string, wire::MachineType> types_;
  double fastest_fetch_gb_per_s_ = 0;
};

}  // namespace mosspath::cluster
