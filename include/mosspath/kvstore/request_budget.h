// The share of the key-value store's request rates that this controller may use. Does no I/O.
#pragma once

#include "mosspath/config/settings.h"
#include "mosspath/net/rate_limit.h"

namespace mosspath::kvstore {

// All times are seconds on this controller's steady clock; all amounts are requests or changes.
class RequestBudget {
 public:
  explicit RequestBudget(const config::Settings& settings);

  // Returns the seconds until a transaction with `changes` changes may be sent.
  [[nodiscard]] double DelayForTransaction(double changes, double now);
  // Charges a transaction that is sent now.
  void TakeTransaction(double changes, double now);
  // Charges a request without changes. Returns false if the budget is exhausted. Callers send
  // requests that this controller depends on (watches, lists, lease requests) regardless of the
  // result.
  bool TryTakeRequest(double now) { return requests_.TryTake(now); }

 private:
  net::TokenBucket requests_;
  net::TokenBucket changes_;
};

}  // namespace mosspath::kvstore
