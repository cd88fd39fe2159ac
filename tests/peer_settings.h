// Settings for tests of the election: three controllers that are peers of each other.
#pragma once

#include <string>

#include "mosspath/config/settings.h"
#include "simulation/cluster.h"

namespace mosspath::test {

// Returns the settings of the simulation's small cluster for the controller `node`: hut-0, hut-1 or
// hut-2. The other two controllers are its peers.
inline config::Settings PeerSettings(const std::string& node = "hut-0") {
  config::Settings settings = simulation::SmallSettings();
  settings.name = node;
  for (const std::string other : {"hut-0", "hut-1", "hut-2"}) {
    if (other != node) settings.peers.push_back({other, "east", other});
  }
  return settings;
}

}  // namespace mosspath::test
