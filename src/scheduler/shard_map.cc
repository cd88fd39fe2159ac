#include "mosspath/scheduler/shard_map.h"

namespace mosspath::scheduler {
namespace {

// Returns the same hash on every controller and in every build, unlike std::hash.
size_t StableHash(const std::string& name) {
  uint64_t hash = 14695981039346656037ULL;  // FNV-1a
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return static_cast<size_t>(hash ^ (hash >> 32));
}

}  // namespace

ShardMap::ShardMap(const config::Settings& settings) {
  std::map<std::string, std::string> zone_of{{settings.name, settings.zone}};
  for (const auto& peer : settings.peers) zone_of[peer.name] = peer.zone;
  for (const auto& [node, zone] : zone_of) {
    shards_by_zone_[zone].push_back(owners_.size());
    owners_.push_back(node);
  }
}

size_t ShardMap::ShardOf(const std::string& machine, const std::string& zone) const {
  const size_t hash = StableHash(machine);
  const auto it = shards_by_zone_.find(zone);
  return it == shards_by_zone_.end() ? hash % owners_.size() : it->second[hash % it->second.size()];
}

}  // namespace mosspath::scheduler
