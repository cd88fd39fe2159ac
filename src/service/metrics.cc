#include "mosspath/service/metrics.h"

#include <prometheus/text_serializer.h>

namespace mosspath::service {
namespace {

const char* Name(Metrics::Route r) {
  switch (r) {
    case Metrics::Route::kSubmit:
      return "submit";
    case Metrics::Route::kGet:
      return "get";
    case Metrics::Route::kCancel:
      return "cancel";
    case Metrics::Route::kReport:
      return "report";
    case Metrics::Route::kOther:
      break;
  }
  return "other";
}

}  // namespace

Metrics::Metrics()
    : latency_(prometheus::BuildHistogram()
                   .Name("mosspath_answer_seconds")
                   .Help("Time to answer a request, by route")
                   .Register(registry_)),
      answers_(prometheus::BuildCounter()
                   .Name("mosspath_answers_total")
                   .Help("Answers given, by route and status")
                   .Register(registry_)),
      malformed_(prometheus::BuildCounter()
                     .Name("mosspath_malformed_total")
                     .Help("Messages that could not be understood, by sender and kind")
                     .Register(registry_)) {}

void Metrics::Answered(Route route, int status, double seconds) {
  static const prometheus::Histogram::BucketBoundaries kBounds{
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
  auto& latency = latency_of_[route];
  if (latency == nullptr) latency = &latency_.Add({{"route", Name(route)}}, kBounds);
  latency->Observe(seconds);
  auto& answers = answers_of_[{route, status}];
  if (answers == nullptr) {
    answers = &answers_.Add({{"route", Name(route)}, {"status", std::to_string(status)}});
  }
  answers->Increment();
}

void Metrics::Malformed(const char* from, const char* what) {
  malformed_.Add({{"from", from}, {"what", what}}).Increment();
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace mosspath::service
