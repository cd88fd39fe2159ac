// Counters and latency histograms, in the text form that Prometheus reads.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <utility>

namespace mosspath::service {

class Metrics {
 public:
  enum class Route { kSubmit, kGet, kCancel, kReport, kOther };

  Metrics();
  void Answered(Route route, int status, double seconds);
  // A message of an outside system or a peer that could not be understood.
  void Malformed(const char* from, const char* what);
  std::string Text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& malformed_;
  // Looked up once each: there are hundreds of reports a second.
  std::map<Route, prometheus::Histogram*> latency_of_;
  std::map<std::pair<Route, int>, prometheus::Counter*> answers_of_;
};

}  // namespace mosspath::service
