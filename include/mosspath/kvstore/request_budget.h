// The share of the state service's request rates that this controller may use. Pure.
#pragma once

#include "mosspath/config/settings.h"
#include "mosspath/net/rate_limit.h"

namespace mosspath::kvstore {

// All times are seconds on the controller's steady clock, all amounts are requests or changes.
class RequestBudget {
 public:
  explicit RequestBudget(const config::Settings& settings);

  // Seconds until a transaction with so many changes may be sent.
  [[nodiscard]] double DelayForTransaction(double changes, double now);
  // Counts a transaction that is sent now.
  void TakeTransaction(double changes, double now);
  // Counts a request without changes, if there is room. Requests that this controller can't do
  // without (watches, lists, renewals) are sent even if there is none.
  bool TryTakeRequest(double now) { return requests_.TryTake(now); }

 private:
  net::TokenBucket requests_;
  net::TokenBucket changes_;
};

}  // namespace mosspath::kvstore
