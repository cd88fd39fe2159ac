// Counters and latency histograms, in the text form that Prometheus reads.
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

#include "mosspath/wire/status_snapshot.h"

namespace mosspath::service {

class Metrics {
 public:
  enum class Route { kSubmit, kGet, kCancel, kReport, kOther };

  Metrics();
  void OnAnswered(Route route, int status, double seconds);
  // A message of an outside system or a peer that could not be understood.
  void OnMalformed(const char* from, const char* what);
  void OnProcessStall(double seconds) { stood_still_.Increment(seconds); }
  // What the status page shows.
  void Update(const wire::Status& s);
  std::string Text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& malformed_;
  prometheus::Counter& stood_still_;
  prometheus::Family<prometheus::Gauge>& heard_;
  prometheus::Family<prometheus::Gauge>& lacks_;
  prometheus::Family<prometheus::Gauge>& waiting_;
  prometheus::Family<prometheus::Gauge>& since_;
  prometheus::Family<prometheus::Gauge>& sockets_;
  prometheus::Family<prometheus::Gauge>& admission_;
  prometheus::Family<prometheus::Gauge>& submissions_;
  prometheus::Gauge& age_;
  std::set<std::string> shown_;  // classes and teams
  // Looked up once each: there are hundreds of reports a second.
  std::map<Route, prometheus::Histogram*> latency_of_;
  std::map<std::pair<Route, int>, prometheus::Counter*> answers_of_;
};

}  // namespace mosspath::service
