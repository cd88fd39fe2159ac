// Commits transactions: waits for the request budget, and until a deadline retries transactions
// that were certainly not executed.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "mosspath/config/settings.h"
#include "mosspath/kvstore/request_budget.h"
#include "mosspath/kvstore/transport.h"
#include "mosspath/kvstore/types.h"

namespace mosspath::kvstore {

class TransactionCommitter {
 public:
  using Done = std::function<void(TransactionResult)>;

  // All references must outlive this object and its transactions in flight.
  TransactionCommitter(asio::io_context& io, const config::DerivedSettings& derived,
                       Transport& transport, net::HttpClient& connections, RequestBudget& budget,
                       const net::OnMalformed& on_malformed);

  // Calls `done` exactly once, at most `deadline_s` seconds plus the timeout of a request later,
  // and never before this call returns. Reports an outage (503) and an undetermined outcome without
  // a retry, so that the caller can answer its user at once. For an undetermined outcome only the
  // caller can decide whether a retry is safe.
  void Commit(const Transaction& transaction, double deadline_s, Done done);

 private:
  struct Attempt;

  void Try(const std::shared_ptr<Attempt>& attempt);
  void Send(const std::shared_ptr<Attempt>& attempt, double now);
  void OnReply(const std::shared_ptr<Attempt>& attempt, const Reply& reply);
  // Schedules a retry. Returns false if the deadline leaves no time for a retry.
  bool TryAgain(const std::shared_ptr<Attempt>& attempt);
  [[nodiscard]] TransactionResult ResultOf(const Reply& reply) const;

  asio::io_context& io_;
  const config::DerivedSettings& derived_;
  Transport& transport_;
  net::HttpClient& connections_;
  RequestBudget& budget_;
  const net::OnMalformed& on_malformed_;
};

}  // namespace mosspath::kvstore
