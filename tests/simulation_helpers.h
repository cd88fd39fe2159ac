// Helpers for tests that run simulated days.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath::test {

// Returns success if the rule checker has recorded no breach. The failure message lists one breach
// per line.
inline ::testing::AssertionResult NoBreaches(const simulation::SimulatedEnvironment& world) {
  const std::vector<std::string>& breaches = world.rule_checker.breaches();
  if (breaches.empty()) return ::testing::AssertionSuccess();
  ::testing::AssertionResult failure = ::testing::AssertionFailure();
  for (const std::string& breach : breaches) failure << breach << "\n";
  return failure;
}

}  // namespace mosspath::test
