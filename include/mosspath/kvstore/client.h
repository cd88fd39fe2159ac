// The client of the key-value store: reads, transactions, watches and leases (as an etcd client).
// The client keeps this controller within its share of the key-value store's request rates.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/kvstore/request_budget.h"
#include "mosspath/kvstore/transaction_committer.h"
#include "mosspath/kvstore/transport.h"
#include "mosspath/kvstore/types.h"
#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/net/timer.h"

namespace mosspath::kvstore {

// Runs on the thread of `io`. Each callback runs there exactly once, and never before the call
// returns.
class Client {
 public:
  Client(asio::io_context& io, const config::Settings& settings,
         const config::DerivedSettings& derived, const std::shared_ptr<net::SocketBudget>& sockets);

  // See TransactionCommitter::Commit. `deadline_s` is in seconds from now.
  void Commit(const Transaction& transaction, double deadline_s,
              std::function<void(TransactionResult)> done);
  // Fails without a request if the request budget is exhausted.
  void Get(const std::string& key, std::function<void(GetResult)> done);
  // Lists the page of keys under `prefix` that follows the key `after`; empty: the first page.
  void List(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done);
  // Reads the changes under `prefix` after the revision `since`. Without changes, the key-value
  // store answers after `wait_s` seconds. With `wait_s` 0 it answers at once; the result then
  // includes everything that was written before the call.
  void Watch(const std::string& prefix, uint64_t since, double wait_s,
             std::function<void(WatchResult)> done);

  // Grants a lease that expires `ttl_s` seconds after its last renewal. The lease is kNoLease
  // unless the outcome is kDone.
  void GrantLease(double ttl_s, std::function<void(Outcome, uint64_t lease)> done);
  void RenewLease(uint64_t lease, std::function<void(Outcome)> done);
  // Ends the lease before it expires. The result is not reported.
  void RevokeLease(uint64_t lease);

  // Returns the seconds until the request budget has room for a transaction with `changes` changes.
  [[nodiscard]] double WriteDelay(double changes);

  // When the last request was sent that the key-value store answered other than with 503, in
  // seconds on the steady clock; far in the past if there was none.
  [[nodiscard]] double last_contact() const { return transport_.last_contact(); }
  [[nodiscard]] uint64_t throttled_requests() const { return transport_.throttled_requests(); }

  // Called for each malformed answer.
  net::OnMalformed on_malformed;

 private:
  asio::io_context& io_;
  const config::DerivedSettings derived_;
  net::HttpClient requests_;
  net::HttpClient watches_;
  net::HttpClient renewals_;  // separate, so that renewals never queue behind other requests
  RequestBudget budget_;
  Transport transport_;
  TransactionCommitter committer_;
};

}  // namespace mosspath::kvstore
