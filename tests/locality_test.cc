// Tests of layer locality: compares the choice of machines with a slow reference model. The model
// is Algorithm 1 of the Layer Locality paper, with the constraint and score of the paper's
// section 3.4.
#include "mosspath/scheduler/locality.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mosspath::scheduler {
namespace {

// A machine of the reference model: the sizes in GB of the image layers that it holds, by layer
// name.
struct ReferenceMachine {
  std::map<std::string, double> layers;
  bool room = true;
};

double ReferenceShare(const std::vector<ReferenceMachine>& pool, size_t m) {
  double all = 0, own = 0;
  for (size_t i = 0; i < pool.size(); ++i) {
    for (const auto& [name, gb] : pool[i].layers) {
      all += gb;
      if (i == m) own += gb;
    }
  }
  return all > 0 ? own / all : 0;
}

double ReferenceMissingGb(const ReferenceMachine& m, const std::map<std::string, double>& image) {
  double gb = 0;
  for (const auto& [name, size] : image) gb += m.layers.contains(name) ? 0 : size;
  return gb;
}

std::vector<size_t> ReferenceAlgorithm1(const std::vector<ReferenceMachine>& pool,
                                        const std::map<std::string, double>& image, size_t replicas,
                                        const LocalityPolicy& policy) {
  std::vector<size_t> eligible;
  for (size_t m = 0; m < pool.size(); ++m) {
    // The cap does not apply to a machine that holds all layers of the image; see the test
    // ALargeImageOfAnotherTeamDoesNotExcludeAMachineThatHoldsTheLayers.
    const bool adds_nothing = ReferenceMissingGb(pool[m], image) == 0;
    const double cap = policy.gamma / static_cast<double>(pool.size());
    if (pool[m].room && (adds_nothing || ReferenceShare(pool, m) <= cap)) {
      eligible.push_back(m);
    }
  }
  if (eligible.empty()) {
    for (size_t m = 0; m < pool.size(); ++m) {
      if (pool[m].room) eligible.push_back(m);
    }
  }
  const auto score = [&](size_t m) {
    return -ReferenceMissingGb(pool[m], image) - policy.epsilon * ReferenceShare(pool, m);
  };
  std::stable_sort(eligible.begin(), eligible.end(),
                   [&](size_t a, size_t b) { return score(a) > score(b); });
  std::vector<size_t> chosen;
  for (size_t r = 0; r < replicas && !eligible.empty(); ++r) {
    chosen.push_back(eligible[r % eligible.size()]);
  }
  return chosen;
}

TEST(LocalityTest, AgreesWithTheReferenceModel) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 2000; ++round) {
    const LocalityPolicy policy{1.0 + static_cast<double>(random() % 20) / 10, 1e-3};
    std::vector<ReferenceMachine> pool(1 + random() % 9);
    for (auto& m : pool) {
      for (int l = 0; l < 6; ++l) {
        if (random() % 3 == 0) m.layers["l" + std::to_string(l)] = 0.25 * (1 + l);
      }
      m.room = random() % 4 != 0;
    }
    std::map<std::string, double> image;
    for (int l = 0; l < 6; ++l) {
      if (random() % 2 == 0) image["l" + std::to_string(l)] = 0.25 * (1 + l);
    }
    double total_gb = 0;
    std::vector<Candidate> candidates;
    for (size_t m = 0; m < pool.size(); ++m) {
      double held = 0;
      for (const auto& [name, gb] : pool[m].layers) held += gb;
      total_gb += held;
      candidates.push_back({m, ReferenceMissingGb(pool[m], image), held, pool[m].room});
    }
    const size_t replicas = 1 + random() % 5;
    const auto expected = ReferenceAlgorithm1(pool, image, replicas, policy);
    EXPECT_EQ(BestDistinctMachines(candidates, replicas, total_gb, pool.size(), policy), expected);
    const size_t best = BestMachine(candidates, total_gb, pool.size(), policy);
    EXPECT_EQ(best, expected.empty() ? kNoMachine : expected.front());
  }
}

// For each task, LocalityPicker chooses the same machine as BestMachine, which scans all machines.
TEST(LocalityTest, ThePickerChoosesAsBestMachineDoes) {
  std::mt19937_64 random(8);
  for (int round = 0; round < 3000; ++round) {
    const LocalityPolicy policy{1.0 + static_cast<double>(random() % 20) / 10, 1e-3};
    std::vector<Candidate> all(1 + random() % 30);
    std::vector<int> free_tasks(all.size());
    double total_gb = 0;
    for (size_t m = 0; m < all.size(); ++m) {
      free_tasks[m] = static_cast<int>(random() % 4);
      all[m] = {m, 0.5 * static_cast<double>(random() % 3),
                0.25 * static_cast<double>(random() % 60), free_tasks[m] > 0};
      total_gb += all[m].held_gb;
    }
    LocalityPicker picker(all, total_gb, all.size(), policy);
    for (int task = 0; task < 60; ++task) {
      const size_t expected = BestMachine(all, total_gb, all.size(), policy);
      ASSERT_EQ(picker.Best(), expected) << "round " << round << " task " << task;
      if (expected == kNoMachine) break;
      Candidate& best = all[expected];
      if (random() % 5 == 0) {
        best.has_capacity = false;
        picker.DropBest();
        continue;
      }
      // The machine fetches the image and may evict other images.
      const double held =
          std::max(0.5, best.held_gb + best.missing_gb - 0.25 * static_cast<double>(random() % 4));
      total_gb += held - best.held_gb;
      best.held_gb = held;
      best.missing_gb = 0;
      best.has_capacity = --free_tasks[expected] > 0;
      picker.OnPlaced(held, best.has_capacity);
    }
  }
}

TEST(LocalityTest, AnEmptyPoolHasNoShares) {
  EXPECT_EQ(BestMachine({{0, 2, 0, true}, {1, 2, 0, true}}, 0, 2, LocalityPolicy{}), 0u);
}

// Guards against an excluded machine: a large image of another team raised a machine's share of the
// layers in the pool above the cap. The cap excluded the machine, although it held all layers that
// the task needed. The cap must still exclude a machine that would have to fetch layers.
TEST(LocalityTest, ALargeImageOfAnotherTeamDoesNotExcludeAMachineThatHoldsTheLayers) {
  const std::vector<Candidate> holds{{0, 0, 1 + 30, true}, {1, 1, 1, true}, {2, 1, 1, true}};
  EXPECT_EQ(BestMachine(holds, 33, 3, LocalityPolicy{1.5, 1e-3}), 0u);
  const std::vector<Candidate> lacks{{0, 0.5, 31, true}, {1, 1, 1, true}, {2, 1, 1, true}};
  EXPECT_EQ(BestMachine(lacks, 33, 3, LocalityPolicy{1.5, 1e-3}), 1u);
  EXPECT_EQ(BestMachine(lacks, 33, 3, LocalityPolicy{3.0, 1e-3}), 0u);
}

}  // namespace
}  // namespace mosspath::scheduler
