#include "mosspath/scheduler/blocks.h"

namespace mosspath::scheduler {
namespace {

// The same on every controller and in every build, unlike std::hash.
size_t Spread(const std::string& name) {
  uint64_t h = 14695981039346656037ULL;  // FNV-1a
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return static_cast<size_t>(h ^ (h >> 32));
}

}  // namespace

Blocks::Blocks(const config::Settings& settings) {
  std::map<std::string, std::string> zone_of{{settings.node, settings.zone}};
  for (const auto& p : settings.peers) zone_of[p.node] = p.zone;
  for (const auto& [node, zone] : zone_of) {
    zones_[zone].push_back(controllers_.size());
    controllers_.push_back(node);
  }
}

size_t Blocks::Of(const std::string& machine, const std::string& zone) const {
  const size_t h = Spread(machine);
  const auto it = zones_.find(zone);
  return it == zones_.end() ? h % controllers_.size() : it->second[h % it->second.size()];
}

}  // namespace mosspath::scheduler
