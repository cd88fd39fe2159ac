#include "mosspath/kvstore/request_budget.h"

#include <algorithm>

namespace mosspath::kvstore {
namespace {

constexpr double kMinBurst = 2;
constexpr double kRequestBurstS = 0.5;  // largest burst, in seconds of the request rate
// Share of the key-value store's write rate that this controller may use. The leader makes nearly
// all changes, so each controller may use most of the rate.
constexpr double kChangeShare = 0.7;
constexpr double kChangeBurstS = 0.5;

net::TokenBucket RequestBucket(const config::Settings& settings) {
  const double per_second = settings.store_requests_per_s / settings.controller_count;
  return {per_second, std::max(kMinBurst, per_second * kRequestBurstS)};
}

net::TokenBucket ChangeBucket(const config::Settings& settings) {
  return {settings.store_writes_per_s * kChangeShare,
          std::max(kMinBurst, settings.store_writes_per_s * kChangeBurstS)};
}

}  // namespace

RequestBudget::RequestBudget(const config::Settings& settings)
    : requests_(RequestBucket(settings)), changes_(ChangeBucket(settings)) {}

double RequestBudget::DelayForTransaction(double changes, double now) {
  return std::max(changes_.DelayFor(now, changes), requests_.DelayFor(now));
}

void RequestBudget::TakeTransaction(double changes, double now) {
  changes_.TryTake(now, changes);
  requests_.TryTake(now);
}

}  // namespace mosspath::kvstore
