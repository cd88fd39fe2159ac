// Settings of one of three controllers that know each other, for tests of the
// election.
#pragma once

#include <string>

#include "mosspath/config/settings.h"
#include "simulation/cluster.h"

namespace mosspath::test {

// The simulation's small cluster as controller `node` of hut-0, hut-1 and hut-2
// sees it.
inline config::Settings PeerSettings(const std::string& node = "hut-0") {
  config::Settings settings = simulation::SmallSettings();
  settings.name = node;
  for (const std::string other : {"hut-0", "hut-1", "hut-2"}) {
    if (other != node) settings.peers.push_back({other, "east", other});
  }
  return settings;
}

}  // namespace mosspath::test
