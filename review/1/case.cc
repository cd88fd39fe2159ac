// A cheap machine is taken back while all machines are full by their cards. See claim.txt.
#include <iostream>

#include "world.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string record = argv[1], program = argv[2], folder = argv[3];
  const bool trouble = std::string(argv[4]) != "0";
  const double begin = Now();
  Facts facts;  // bahir-auction
  facts.zones = {"a", "b"};
  facts.teams =
      "[[facts.teams]]\nname = \"vision\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
      "gpus_max = 0.0\n";
  // The machine type of the protocol's example.
  World w(facts, {{"g8", 96, 768, 200, 1.0, 12.0, 4.5, 45, {"a", "b"}, 8}}, record, program, folder,
          1);
  // "At times machines are up within a second or two": so the first ones, to save time.
  w.cloud->boot_factor = 0.03;
  w.cloud->max_machines = 4;  // what the cloud can give is not published, and changes
  for (int i = 0; i < facts.nodes; ++i) w.StartNode(i);
  if (!w.AllHealthy(15)) return 2;

  // The job of the protocol's example, as a service: 8 CPUs, 1 card and 64 GB a task.
  const int kJobs = 4, kTasks = 8;
  const auto id_of = [](int i) { return "req-00041" + std::to_string(i); };
  for (int i = 1; i <= kJobs; ++i) {
    json spec = w.Spec(id_of(i), kTasks);
    spec["lot"] = "train";
    spec["house"] = "vision";
    spec["catch"] = "daemon";
    spec["rank"] = "critical";
    spec["vcpus"] = 8.0;
    spec["cards"] = 1.0;
    spec["mem_gb"] = 64.0;
    spec["kit"] = "img-07";
    spec["size_gb"] = 2.0;
    spec["guess_s"] = 0.0;
    w.Submit(spec, 1e9);
  }
  const auto running = [&] {
    int count = 0;
    for (int i = 1; i <= kJobs; ++i) count += w.running(id_of(i));
    return count;
  };
  if (!w.RunUntil([&] { return running() == kJobs * kTasks; }, 20)) {
    w.record.Line("only " + std::to_string(running()) + " tasks run");
    return 2;
  }
  w.KeepPolling(5);
  double steady_since = Now();
  const auto steady = [&] {
    if (w.cloud->agents.size() != 4 || running() != kJobs * kTasks) steady_since = Now();
    return Now() - steady_since > 2;
  };
  if (!w.RunUntil(steady, 14)) {
    w.record.Line(std::to_string(w.cloud->agents.size()) + " machines are up");
    return 2;
  }
  w.cloud->boot_factor = 1;
  w.cloud->max_machines = 20;
  const size_t hires = w.cloud->hires();
  w.record.Line(std::to_string(w.cloud->agents.size()) + " machines, " + std::to_string(running()) +
                " tasks run");
  if (trouble) {
    const std::string machine = w.cloud->agents.begin()->first;
    w.record.Line("TROUBLE the cloud takes cheap machine " + machine + " back, without notice");
    if (!w.cloud->agents.begin()->second->spot) return 2;
    w.cloud->Take(machine);
  }
  const double stopped_at = Now();
  w.record.Line(std::to_string(running()) + " tasks run");
  w.RunUntil([&] { return running() == kJobs * kTasks && Now() - stopped_at > 60; },
             std::min(95.0, 114 - (Now() - begin)));
  const int missing = kJobs * kTasks - running();
  w.record.Line(std::to_string(missing) + " tasks of accepted jobs do not run, " +
                std::to_string(Now() - stopped_at) + " s after; requests to rent since then: " +
                std::to_string(w.cloud->hires() - hires));
  if (missing > 0 && Now() - stopped_at >= 90 && w.cloud->hires() == hires) {
    w.Broken("must_run", std::to_string(missing) + " tasks of accepted jobs wait, and no machine " +
                             "has been asked for");
  }
  std::cout << (w.broken.empty() ? "held" : "BROKEN") << ", missing " << missing << ", hires "
            << w.cloud->hires() - hires << std::endl;
  return w.broken.empty() ? 0 : 1;
}
