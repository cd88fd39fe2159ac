// The client of the state service: reads, transactions, watches and leases (as an etcd client), all
// within this controller's share of the service's request rates.
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

// Lives on the thread of `io`. Callbacks run there, once each, and never before the call returns.
class Client {
 public:
  Client(asio::io_context& io, const config::Settings& settings,
         const config::DerivedSettings& derived, const std::shared_ptr<net::SocketBudget>& sockets);

  // See TransactionCommitter::Commit. `deadline_s` is in seconds from now.
  void Commit(const Transaction& transaction, double deadline_s,
              std::function<void(TransactionResult)> done);
  // Fails at once when the budget has no room.
  void Get(const std::string& key, std::function<void(GetResult)> done);
  // The page of keys under `prefix` after the key `after`; empty: the first page.
  void List(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done);
  // Changes under `prefix` after the revision `since`. If there are none, the service answers after
  // `wait_s` seconds; 0: at once, which makes this a read of all that was written before.
  void Watch(const std::string& prefix, uint64_t since, double wait_s,
             std::function<void(WatchResult)> done);

  // A new lease that lives for `life_s` seconds after each renewal; kNoLease unless done.
  void GrantLease(double life_s, std::function<void(Outcome, uint64_t lease)> done);
  void RenewLease(uint64_t lease, std::function<void(Outcome)> done);
  // Ends the lease now rather than when it runs out; nothing tells whether that worked.
  void RevokeLease(uint64_t lease);

  // Seconds until the budgets have room for a transaction with so many changes.
  [[nodiscard]] double WriteDelay(double changes);

  // When the last request was sent that the service answered (other than with 503), in seconds on
  // the steady clock; far in the past if there was none.
  [[nodiscard]] double last_contact() const { return transport_.last_contact(); }
  [[nodiscard]] uint64_t throttled_requests() const { return transport_.throttled_requests(); }

  // Called for each answer that can't be understood.
  net::OnMalformed on_malformed;

 private:
  asio::io_context& io_;
  const config::DerivedSettings derived_;
  net::HttpClient requests_;
  net::HttpClient watches_;
  net::HttpClient renewals_;  // never queue behind other requests
  RequestBudget budget_;
  Transport transport_;
  TransactionCommitter committer_;
};

}  // namespace mosspath::kvstore
