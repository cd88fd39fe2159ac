// Commits transactions: waits for the request budget, and repeats what was certainly not executed,
// until a deadline.
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

  // All references must outlive this object and the transactions under way.
  TransactionCommitter(asio::io_context& io, const config::DerivedSettings& derived,
                       Transport& transport, net::HttpClient& connections, RequestBudget& budget,
                       const net::OnMalformed& on_malformed);

  // Calls `done` once, within `deadline_s` seconds and the timeout of a request, and never before
  // this call returns. An outage (503) and an undetermined outcome are reported at once, so that
  // users are answered at once; only the caller can know whether a repetition is safe.
  void Commit(const Transaction& transaction, double deadline_s, Done done);

 private:
  struct Attempt;

  void Try(const std::shared_ptr<Attempt>& attempt);
  void Send(const std::shared_ptr<Attempt>& attempt, double now);
  void OnReply(const std::shared_ptr<Attempt>& attempt, const Reply& reply);
  // False: no time is left for another try.
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
