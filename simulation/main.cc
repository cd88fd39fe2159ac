// simulate SCENARIO: runs many simulated days of a cluster with several controllers, one day for
// each seed and several days in parallel. The exit code is 0 if no rule was violated and the
// condition of every compound fault that was injected occurred at least once.
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

#include "simulation/availability.h"
#include "simulation/compound_fault_scenario.h"
#include "simulation/overload.h"

namespace {

using mosspath::simulation::AvailabilityScenario;
using mosspath::simulation::BriefContactScenario;
using mosspath::simulation::CompoundFault;
using mosspath::simulation::CompoundFaultName;
using mosspath::simulation::CompoundFaultScenario;
using mosspath::simulation::Fault;
using mosspath::simulation::Figure;
using mosspath::simulation::kCompoundFaultKinds;
using mosspath::simulation::Outcome;
using mosspath::simulation::OverloadScenario;

// The first figures of an outcome identify the day, so the summary leaves these figures out.
constexpr size_t kIdentifyingFigures = 3;
constexpr int kMaxSeeds = 1'000'000;
constexpr int kMaxJobs = 256;

struct Options {
  uint64_t seeds = 20;
  uint64_t first_seed = 1;
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
  std::string csv;
  bool lease_shards = false;
  bool repeat_requests = false;
  bool decisions = false;
  bool log = false;
};

// Draws the faults of a day and runs the day with them.
struct Scenario {
  std::function<std::vector<Fault>(uint64_t seed)> faults;
  std::function<Outcome(uint64_t seed, const std::vector<Fault>& faults)> run;
};

// From this time on, for the rest of the day, requests are repeated if the options say so.
constexpr double kRepeatsFromS = 5;
constexpr double kDayS = 3600;

std::vector<Fault> WithRepeatedRequests(std::vector<Fault> faults) {
  faults.push_back(
      {.kind = Fault::Kind::kRepeatRequests, .at = kRepeatsFromS, .duration_s = kDayS});
  SortByTime(faults);
  return faults;
}

template <typename Day>
Scenario ScenarioOf(const Options& options) {
  return {[repeat_requests = options.repeat_requests](uint64_t seed) {
            std::vector<Fault> faults = Day::Faults(seed);
            return repeat_requests ? WithRepeatedRequests(std::move(faults)) : faults;
          },
          [lease_shards = options.lease_shards](uint64_t seed, const std::vector<Fault>& faults) {
            return Day(seed, faults, lease_shards).Run();
          }};
}

// Removes faults one by one as long as the day still violates a rule. Returns the remaining
// faults: if any one of the remaining faults is removed, the day violates no rule.
std::vector<Fault> MinimizeFaults(const Scenario& scenario, uint64_t seed,
                                  std::vector<Fault> faults) {
  for (size_t i = 0; i < faults.size();) {
    std::vector<Fault> fewer = faults;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    if (scenario.run(seed, fewer).breaches.empty()) {
      ++i;
    } else {
      faults = std::move(fewer);
      i = 0;
    }
  }
  return faults;
}

void PrintFailedDay(uint64_t seed, const Outcome& outcome, const std::vector<Fault>& faults) {
  std::cout << "broken seed " << seed << '\n';
  for (const auto& breach : outcome.breaches) std::cout << "  " << breach << '\n';
  for (const Fault& fault : faults) std::cout << "  with " << ToText(fault) << '\n';
}

// Runs all days in parallel and prints the failed days as they end. Returns the outcomes in the
// order of the seeds.
std::vector<Outcome> RunDays(const Scenario& scenario, const Options& options) {
  std::vector<Outcome> outcomes(options.seeds);
  std::atomic<uint64_t> next{0};
  std::mutex printing;
  const auto run_days = [&] {
    for (uint64_t i = next++; i < options.seeds; i = next++) {
      const uint64_t seed = options.first_seed + i;
      const std::vector<Fault> faults = scenario.faults(seed);
      outcomes[i] = scenario.run(seed, faults);
      if (outcomes[i].breaches.empty()) continue;
      const std::vector<Fault> minimal = MinimizeFaults(scenario, seed, faults);
      const std::lock_guard lock(printing);
      PrintFailedDay(seed, outcomes[i], minimal);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(options.jobs);
  for (unsigned i = 0; i < options.jobs; ++i) threads.emplace_back(run_days);
  for (auto& thread : threads) thread.join();
  return outcomes;
}

// Prints the hash of the controllers' decisions for each day. Days with equal decisions have equal
// hashes.
void PrintDecisions(uint64_t first_seed, const std::vector<Outcome>& outcomes) {
  for (size_t i = 0; i < outcomes.size(); ++i) {
    std::cout << fmt::format("seed {}: decisions {:016x}\n", first_seed + i, outcomes[i].decisions);
  }
}

// Writes the figures of each day, one row for each day. Does nothing if the path is empty.
void WriteCsv(const std::string& path, const std::vector<Outcome>& outcomes) {
  if (path.empty()) return;
  std::ofstream file(path);
  const auto& columns = outcomes.front().figures;
  for (size_t i = 0; i < columns.size(); ++i) file << (i > 0 ? "," : "") << columns[i].name;
  for (const auto& outcome : outcomes) {
    for (size_t i = 0; i < outcome.figures.size(); ++i) {
      file << (i > 0 ? "," : "\n") << outcome.figures[i].value;
    }
  }
  file << '\n';
}

// Prints the minimum, mean and maximum of each figure.
void PrintSummary(const std::vector<Outcome>& outcomes, size_t broken) {
  std::cout << "days " << outcomes.size() << "\nbroken " << broken << '\n';
  const auto& columns = outcomes.front().figures;
  for (size_t i = kIdentifyingFigures; i < columns.size(); ++i) {
    double minimum = columns[i].value;
    double maximum = columns[i].value;
    double sum = 0;
    for (const auto& outcome : outcomes) {
      const double value = outcome.figures[i].value;
      minimum = std::min(minimum, value);
      maximum = std::max(maximum, value);
      sum += value;
    }
    const std::string& name = columns[i].name;
    std::cout << name << "_least " << minimum << '\n'
              << name << "_mean " << sum / static_cast<double>(outcomes.size()) << '\n'
              << name << "_most " << maximum << '\n';
  }
}

double FigureOf(const Outcome& outcome, const std::string& name) {
  const auto found = std::find_if(outcome.figures.begin(), outcome.figures.end(),
                                  [&](const Figure& figure) { return figure.name == name; });
  return found == outcome.figures.end() ? 0 : found->value;
}

// Prints how often the condition of each compound fault occurred. Returns false if a compound fault
// was injected but its condition never occurred.
bool PrintCompoundFaults(const std::vector<Outcome>& outcomes) {
  bool all_occurred = true;
  for (uint64_t kind = 0; kind < kCompoundFaultKinds; ++kind) {
    size_t days = 0;
    size_t reached = 0;
    double times = 0;
    for (const auto& outcome : outcomes) {
      if (FigureOf(outcome, "meeting") != static_cast<double>(kind)) continue;
      const double occurrences = FigureOf(outcome, "reached");
      ++days;
      reached += occurrences > 0 ? 1 : 0;
      times += occurrences;
    }
    if (days == 0) continue;
    std::cout << "meeting " << CompoundFaultName(static_cast<CompoundFault>(kind)) << " days "
              << days << " reached " << reached << " times " << times << '\n';
    all_occurred = all_occurred && reached > 0;
  }
  return all_occurred;
}

// Returns whether a start was repeated on any of the days.
bool AnyStartRepeated(const std::vector<Outcome>& outcomes) {
  return std::any_of(outcomes.begin(), outcomes.end(), [](const Outcome& outcome) {
    return FigureOf(outcome, "repeated_starts") > 0;
  });
}

void AddOptions(CLI::App& scenario, Options& options) {
  scenario.add_option("--seeds", options.seeds, "number of days to simulate")
      ->check(CLI::Range(1, kMaxSeeds));
  scenario.add_option("--first-seed", options.first_seed, "seed of the first day");
  scenario.add_option("--jobs", options.jobs, "days to simulate in parallel")
      ->check(CLI::Range(1, kMaxJobs));
  scenario.add_option("--csv", options.csv, "write the figures of each day to this CSV file");
  scenario.add_flag("--blocks", options.lease_shards,
                    "lease shards of the machines to controllers");
  scenario.add_flag("--decisions", options.decisions, "print a hash of each day's decisions");
  scenario.add_flag("--log", options.log, "print the controllers' log; use with a single day");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Simulates failures of a cluster with several controllers in simulated time."};
  app.require_subcommand(1);
  Options options;
  auto* overload =
      app.add_subcommand("overload", "Floods of jobs beside the regular load of other teams");
  auto* availability = app.add_subcommand(
      "addition", "Faults of every kind; checks for lost, starved and late jobs");
  auto* compound =
      app.add_subcommand("meetings", "Compound faults: two or three faults at the same time");
  auto* brief_contact = app.add_subcommand(
      "contact", "Machines that receive one answer between two partitions, around cancellations");
  for (auto* scenario : {overload, availability, compound, brief_contact}) {
    AddOptions(*scenario, options);
  }
  for (auto* scenario : {availability, compound, brief_contact}) {
    scenario->add_flag("--repeats", options.repeat_requests,
                       "repeat requests that were carried out, throughout each day");
  }
  CLI11_PARSE(app, argc, argv);
  const Scenario scenario = availability->parsed()    ? ScenarioOf<AvailabilityScenario>(options)
                            : compound->parsed()      ? ScenarioOf<CompoundFaultScenario>(options)
                            : brief_contact->parsed() ? ScenarioOf<BriefContactScenario>(options)
                                                      : ScenarioOf<OverloadScenario>(options);
  spdlog::set_level(options.log ? spdlog::level::debug : spdlog::level::off);

  const std::vector<Outcome> outcomes = RunDays(scenario, options);
  if (options.decisions) PrintDecisions(options.first_seed, outcomes);
  WriteCsv(options.csv, outcomes);
  const auto broken = static_cast<size_t>(
      std::count_if(outcomes.begin(), outcomes.end(),
                    [](const Outcome& outcome) { return !outcome.breaches.empty(); }));
  PrintSummary(outcomes, broken);
  const bool has_compound_faults = compound->parsed() || brief_contact->parsed();
  const bool all_occurred = !has_compound_faults || PrintCompoundFaults(outcomes);
  const bool repeated = !options.repeat_requests || AnyStartRepeated(outcomes);
  return broken == 0 && all_occurred && repeated ? 0 : 1;
}
