#include "mosspath/kvstore/transaction_committer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

#include "kvstore/codec.h"
#include "mosspath/net/rate_limit.h"
#include "mosspath/net/timer.h"

namespace mosspath::kvstore {
namespace {

constexpr double kFirstRetryS = 0.1;
constexpr double kLongestRetryS = 0.8;
// Added to the wait for the budget, so that the budget certainly has room when the wait ends.
constexpr double kBudgetSlackS = 0.002;
constexpr double kMinTimeoutS = 0.05;

// True if the key-value store certainly did not execute the request and a retry may succeed.
bool IsRepeatable(const Reply& reply) {
  if (reply.kind == Reply::Kind::kNotSent) return true;
  if (reply.kind != Reply::Kind::kAnswered) return false;
  switch (reply.status) {
    case http_status::kOk:
    case http_status::kConflict:
    case http_status::kBadRequest:
    case http_status::kUnavailable:
      return false;
    default:
      return true;
  }
}

}  // namespace

struct TransactionCommitter::Attempt {
  std::string body;
  double changes = 0;
  double deadline = 0;  // on the steady clock
  net::Timer timer;
  net::Backoff backoff;
  Done done;
};

TransactionCommitter::TransactionCommitter(asio::io_context& io,
                                           const config::DerivedSettings& derived,
                                           Transport& transport, net::HttpClient& connections,
                                           RequestBudget& budget,
                                           const net::OnMalformed& on_malformed)
    : io_(io),
      derived_(derived),
      transport_(transport),
      connections_(connections),
      budget_(budget),
      on_malformed_(on_malformed) {}

void TransactionCommitter::Commit(const Transaction& transaction, double deadline_s, Done done) {
  Try(std::make_shared<Attempt>(Attempt{.body = EncodeTransaction(transaction),
                                        .changes = static_cast<double>(transaction.changes.size()),
                                        .deadline = net::Now() + deadline_s,
                                        .timer = net::Timer(io_),
                                        .backoff = net::Backoff(kFirstRetryS, kLongestRetryS),
                                        .done = std::move(done)}));
}

void TransactionCommitter::Try(const std::shared_ptr<Attempt>& attempt) {
  const double now = net::Now();
  const double wait_s = budget_.DelayForTransaction(attempt->changes, now);
  if (wait_s <= 0) return Send(attempt, now);
  if (now + wait_s >= attempt->deadline) {
    attempt->timer.After(0, [attempt] { attempt->done({Outcome::kRefused, 0}); });
    return;
  }
  attempt->timer.After(wait_s + kBudgetSlackS, [this, attempt] { Try(attempt); });
}

void TransactionCommitter::Send(const std::shared_ptr<Attempt>& attempt, double now) {
  budget_.TakeTransaction(attempt->changes, now);
  const double left_s = std::max(kMinTimeoutS, attempt->deadline - now);
  Transport::Request request{.method = "POST",
                             .target = kTransactionTarget,
                             .body = attempt->body,
                             .timeout_s = std::min(derived_.call_timeout_s, left_s)};
  transport_.Send(connections_, std::move(request),
                  [this, attempt](const Reply& reply) { OnReply(attempt, reply); });
}

void TransactionCommitter::OnReply(const std::shared_ptr<Attempt>& attempt, const Reply& reply) {
  if (IsRepeatable(reply) && TryAgain(attempt)) return;
  attempt->done(ResultOf(reply));
}

bool TransactionCommitter::TryAgain(const std::shared_ptr<Attempt>& attempt) {
  const double pause_s = attempt->backoff.Next();
  if (net::Now() + pause_s >= attempt->deadline) return false;
  attempt->timer.After(pause_s, [this, attempt] { Try(attempt); });
  return true;
}

TransactionResult TransactionCommitter::ResultOf(const Reply& reply) const {
  TransactionResult result;
  if (reply.Has(http_status::kOk)) {
    const bool understood = net::TryRead(kMalformedSource, "multi", on_malformed_,
                                         [&] { result.revision = DecodeRevision(reply.body); });
    if (understood) result.outcome = Outcome::kDone;
  } else if (reply.Has(http_status::kConflict)) {
    result.outcome = Outcome::kConflict;
  } else if (reply.Has(http_status::kBadRequest)) {
    result.outcome = Outcome::kLeaseNotFound;
    spdlog::info("kvstore: transaction_invalid answer={}", reply.body.dump());
  } else if (reply.kind == Reply::Kind::kAnswered || reply.kind == Reply::Kind::kNotSent) {
    result.outcome = Outcome::kRefused;
  }
  return result;
}

}  // namespace mosspath::kvstore
