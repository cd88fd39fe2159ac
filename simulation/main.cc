// simulate WHAT: many days of several controllers under seeds, in simulated time, each in a thread.
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

#include "simulation/meetings.h"

namespace {

using mosspath::simulation::AvailabilityScenario;
using mosspath::simulation::CompoundFaultScenario;
using mosspath::simulation::Fault;
using mosspath::simulation::Outcome;
using mosspath::simulation::OverloadScenario;

// What is simulated.
struct Matter {
  std::function<std::vector<Fault>(uint64_t seed)> faults;
  std::function<Outcome(uint64_t seed, const std::vector<Fault>& faults)> play;
};

template <typename Day>
Matter Of(bool blocks) {
  return {[](uint64_t seed) { return Day::Faults(seed); },
          [blocks](uint64_t seed, const std::vector<Fault>& faults) {
            return Day(seed, faults, blocks).Run();
          }};
}

// No event of what is left can be left out without the breach going away.
std::vector<Fault> Shorten(const Matter& matter, uint64_t seed, std::vector<Fault> faults) {
  for (size_t i = 0; i < faults.size();) {
    std::vector<Fault> fewer = faults;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    if (matter.play(seed, fewer).breaches.empty()) {
      ++i;
    } else {
      faults = std::move(fewer);
      i = 0;
    }
  }
  return faults;
}

struct Totals {
  std::mutex mutex;
  size_t broken = 0;
  std::vector<Outcome> outcomes;  // in the order of the seeds
};

// Prints what the controllers decided on each day, as one number: the same as long as every
// decision is.
void PrintDecisions(uint64_t first_seed, const std::vector<Outcome>& outcomes) {
  for (size_t i = 0; i < outcomes.size(); ++i) {
    std::cout << fmt::format("seed {}: decisions {:016x}\n", first_seed + i, outcomes[i].decisions);
  }
}

// Prints how often each meeting came about; false if one was played and never did.
bool AllMet(const std::vector<Outcome>& outcomes) {
  bool met = true;
  for (size_t m = 0; m < static_cast<size_t>(CompoundFaultScenario::CompoundFault::kMeetings);
       ++m) {
    size_t days = 0;
    size_t reached = 0;
    double times = 0;
    for (const auto& o : outcomes) {
      const auto meeting = o.figures.end() - 2;  // and then how often
      if (meeting->second != static_cast<double>(m)) continue;
      ++days;
      reached += o.figures.back().second > 0 ? 1 : 0;
      times += o.figures.back().second;
    }
    if (days == 0) continue;
    std::cout << "meeting "
              << CompoundFaultScenario::Name(static_cast<CompoundFaultScenario::CompoundFault>(m))
              << " days " << days << " reached " << reached << " times " << times << '\n';
    met = met && reached > 0;
  }
  return met;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Rehearses failures of several controllers in simulated time."};
  app.require_subcommand(1);
  uint64_t seeds = 20;
  uint64_t first = 1;
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
  std::string csv;
  auto* overload = app.add_subcommand("overload", "Floods beside what others ask for");
  bool blocks = false;
  bool log = false;
  bool decisions = false;
  auto* addition =
      app.add_subcommand("addition", "Troubles of every kind: who is forgotten, starved, late");
  auto* meetings = app.add_subcommand("meetings", "Two or three troubles that meet");
  for (auto* what : {overload, addition, meetings}) {
    what->add_option("--seeds", seeds, "days to play")->check(CLI::Range(1, 1'000'000));
    what->add_option("--first-seed", first, "of the first day");
    what->add_option("--jobs", jobs, "days at once")->check(CLI::Range(1, 256));
    what->add_option("--csv", csv, "writes each day's figures there");
    what->add_flag("--blocks", blocks, "controllers hold blocks");
    what->add_flag("--decisions", decisions, "prints each day's decisions as one number");
    what->add_flag("--log", log, "prints what the controllers log; for one day");
  }
  CLI11_PARSE(app, argc, argv);
  const Matter matter = addition->parsed()   ? Of<AvailabilityScenario>(blocks)
                        : meetings->parsed() ? Of<CompoundFaultScenario>(blocks)
                                             : Of<OverloadScenario>(blocks);
  spdlog::set_level(log ? spdlog::level::debug : spdlog::level::off);

  Totals totals;
  totals.outcomes.resize(seeds);
  std::atomic<uint64_t> next{0};
  const auto work = [&] {
    for (uint64_t i = next++; i < seeds; i = next++) {
      const uint64_t seed = first + i;
      const std::vector<Fault> faults = matter.faults(seed);
      Outcome outcome = matter.play(seed, faults);
      std::vector<Fault> least;
      if (!outcome.breaches.empty()) least = Shorten(matter, seed, faults);
      const std::lock_guard lock(totals.mutex);
      if (!outcome.breaches.empty()) {
        ++totals.broken;
        std::cout << "broken seed " << seed << '\n';
        for (const auto& b : outcome.breaches) std::cout << "  " << b << '\n';
        for (const Fault& f : least) std::cout << "  with " << ToText(f) << '\n';
      }
      totals.outcomes[i] = std::move(outcome);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (auto& t : threads) t.join();

  if (decisions) PrintDecisions(first, totals.outcomes);
  std::ofstream file;
  if (!csv.empty()) file.open(csv);
  for (size_t i = 0; i < totals.outcomes.size(); ++i) {
    const auto& figures = totals.outcomes[i].figures;
    for (size_t k = 0; i == 0 && k < figures.size(); ++k) {
      file << (k > 0 ? "," : "") << figures[k].first;
    }
    for (size_t k = 0; k < figures.size(); ++k) file << (k > 0 ? "," : "\n") << figures[k].second;
  }
  file << '\n';
  std::cout << "days " << totals.outcomes.size() << "\nbroken " << totals.broken << '\n';
  for (size_t k = 3; k < totals.outcomes.front().figures.size(); ++k) {
    double least = 1e18;
    double most = -1e18;
    double sum = 0;
    for (const auto& o : totals.outcomes) {
      least = std::min(least, o.figures[k].second);
      most = std::max(most, o.figures[k].second);
      sum += o.figures[k].second;
    }
    const std::string& name = totals.outcomes.front().figures[k].first;
    std::cout << name << "_least " << least << '\n'
              << name << "_mean " << sum / static_cast<double>(totals.outcomes.size()) << '\n'
              << name << "_most " << most << '\n';
  }
  const bool met = !meetings->parsed() || AllMet(totals.outcomes);
  return totals.broken == 0 && met ? 0 : 1;
}
