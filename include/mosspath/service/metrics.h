// Metrics of this process, in the Prometheus text format. Not thread-safe.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "mosspath/scheduler/command_monitor.h"
#include "mosspath/scheduler/stop_monitor.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::service {

// Figures of the commands to the machines that a controller commands. A controller that commands no
// machines has none.
struct CommandFigures {
  scheduler::StopSummary stops;  // of ended jobs
  scheduler::CommandCounts commands;
};

class Metrics {
 public:
  enum class Route { kSubmit, kGet, kCancel, kReport, kOther };

  Metrics();
  // Records that a request was answered with the HTTP status after `seconds`.
  void OnAnswered(Route route, int status, double seconds);
  // Records that a message of the kind `what` from a sender of the kind `from` was malformed.
  void OnMalformed(const char* from, const char* what);
  void OnProcessStall(double seconds) { process_stall_seconds_.Increment(seconds); }
  // Sets the gauges to the figures of the status page.
  void Update(const wire::Status& s);
  void Update(const CommandFigures& figures);
  std::string Text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& malformed_;
  prometheus::Counter& process_stall_seconds_;
  prometheus::Family<prometheus::Gauge>& heartbeat_age_;
  prometheus::Family<prometheus::Gauge>& unreachable_count_;
  prometheus::Family<prometheus::Gauge>& waiting_;
  prometheus::Family<prometheus::Gauge>& since_;
  prometheus::Family<prometheus::Gauge>& sockets_;
  prometheus::Family<prometheus::Gauge>& admission_;
  prometheus::Family<prometheus::Gauge>& submissions_;
  prometheus::Gauge& status_age_;
  prometheus::Family<prometheus::Gauge>& stops_;
  prometheus::Gauge& oldest_stop_;
  prometheus::Gauge& renewals_with_stops_;
  prometheus::Family<prometheus::Gauge>& commands_;
  prometheus::Family<prometheus::Gauge>& tokens_raised_;
  std::set<std::string> exported_groups_;  // classes and teams with metrics
  // Caches of metrics by their labels. They save a look-up in the registry for each request; there
  // are hundreds of agent heartbeats a second.
  std::map<Route, prometheus::Histogram*> latency_by_route_;
  std::map<std::pair<Route, int>, prometheus::Counter*> answers_by_route_;
};

}  // namespace mosspath::service
