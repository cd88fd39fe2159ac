// The partition of machines into shards. Each controller owns one shard. A machine belongs to a
// shard of a controller in the machine's zone, or to any shard if the zone has no controller. Each
// controller computes the shard from the machine's name and zone, so the shard is not stored. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

class ShardMap {
 public:
  explicit ShardMap(const config::Settings& settings);

  size_t size() const { return owners_.size(); }
  size_t ShardOf(const std::string& machine, const std::string& zone) const;
  // Returns the controller that owns the shard.
  const std::string& OwnerOf(size_t block) const { return owners_[block]; }

 private:
  std::vector<std::string> owners_;  // sorted by name, so all controllers use the same indexes
  std::map<std::string, std::vector<size_t>> shards_by_zone_;  // shard indexes, by the owner's zone
};

}  // namespace mosspath::scheduler
