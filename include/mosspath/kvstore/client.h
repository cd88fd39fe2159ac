// The state service: requests within the shared budgets, transactions, grants, lists and watches.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/net/rate_limit.h"
#include "mosspath/net/timer.h"
#include "mosspath/wire/json.h"

namespace mosspath::kvstore {

struct Condition {
  std::string key;
  uint64_t version = 0;  // 0: the key must not exist
};

struct Change {
  std::string key;
  std::optional<wire::Json> value;  // none: delete
  uint64_t lease = 0;               // 0: attached to none
};

struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

enum class Outcome {
  kDone,           // 200
  kConflict,       // 409: a condition failed
  kLeaseNotFound,  // 400 or 404: the grant has ended
  kRefused,        // certainly not executed (429, 503, never sent)
  kUndetermined,   // no answer: executed, or not, or later
};

struct TransactionResult {
  Outcome outcome = Outcome::kUndetermined;
  uint64_t revision = 0;
};

struct Event {
  std::string key;
  std::optional<wire::Json> value;  // none: deleted
  uint64_t version = 0;
};

struct ListResult {
  bool ok = false;
  std::vector<Event> items;
  bool more = false;
  uint64_t revision = 0;
};

struct WatchResult {
  enum class Kind { kOk, kTooOld, kFailed } kind = Kind::kFailed;
  uint64_t revision = 0;
  std::vector<Event> events;
};

struct GetResult {
  enum class Kind { kFound, kMissing, kFailed } kind = Kind::kFailed;
  wire::Json value;
  uint64_t version = 0;
};

class Client {
 public:
  Client(asio::io_context& io, const config::Settings& settings,
         const config::DerivedSettings& derived, const std::shared_ptr<net::SocketBudget>& sockets);

  // Waits for the shared budget until the deadline; an outage and an unsure outcome are reported at
  // once.
  void Commit(Transaction txn, double deadline_s, std::function<void(TransactionResult)> done);
  void Get(const std::string& key, std::function<void(GetResult)> done);
  void List(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done);
  void Watch(const std::string& prefix, uint64_t since, double wait_s,
             std::function<void(WatchResult)> done);
  void GrantLease(double life_s, std::function<void(Outcome, uint64_t grant)> done);
  void RenewLease(uint64_t grant, std::function<void(Outcome)> done);
  void RevokeLease(uint64_t grant);

  // Seconds until the budgets have room for so many changes.
  double WriteDelay(double changes);

  // When the last request was sent that the service answered (other than 503).
  double last_contact() const { return last_contact_; }
  uint64_t throttled_requests() const { return throttled_requests_; }

  net::OnMalformed on_malformed;

 private:
  void Send(net::HttpClient& through, std::string method, std::string target, std::string body,
            double timeout_s, std::function<void(int status, wire::Json body)> done);
  void TryCommit(std::shared_ptr<struct CommitJob> job);

  asio::io_context& io_;
  const config::DerivedSettings derived_;
  net::HttpClient requests_;
  net::HttpClient watches_;
  net::HttpClient renewals_;  // never queues behind other requests
  net::TokenBucket reads_;
  net::TokenBucket writes_;
  double last_contact_ = -1e9;
  uint64_t throttled_requests_ = 0;
};

}  // namespace mosspath::kvstore
