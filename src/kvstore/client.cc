#include "mosspath/kvstore/client.h"

#include <asio/post.hpp>
#include <utility>

#include "kvstore/codec.h"

namespace mosspath::kvstore {
namespace {

// A page of a list may take this many times the timeout of other requests.
constexpr double kListTimeouts = 2;

// The outcome of a request that did not succeed. Without a usable answer the request may have been
// executed. An answer with a status other than success is a refusal.
Outcome FailureOf(const Reply& reply) {
  return reply.kind == Reply::Kind::kAnswered ? Outcome::kRefused : Outcome::kUndetermined;
}

}  // namespace

Client::Client(asio::io_context& io, const config::Settings& settings,
               const config::DerivedSettings& derived,
               const std::shared_ptr<net::SocketBudget>& sockets)
    : io_(io),
      derived_(derived),
      requests_(io, settings.store_address,
                {.max_connections = 8, .max_queue = 512, .sockets = sockets}),
      watches_(io, settings.store_address,
               {.max_connections = 2, .max_queue = 8, .sockets = sockets}),
      renewals_(io, settings.store_address,
                {.max_connections = 2, .max_queue = 8, .sockets = sockets}),
      budget_(settings),
      transport_(on_malformed),
      committer_(io, derived_, transport_, requests_, budget_, on_malformed) {}

double Client::WriteDelay(double changes) {
  return budget_.DelayForTransaction(changes, net::Now());
}

void Client::Commit(const Transaction& transaction, double deadline_s,
                    std::function<void(TransactionResult)> done) {
  committer_.Commit(transaction, deadline_s, std::move(done));
}

void Client::Get(const std::string& key, std::function<void(GetResult)> done) {
  if (!budget_.TryTakeRequest(net::Now())) {
    asio::post(io_, [done = std::move(done)] { done({}); });
    return;
  }
  Transport::Request request{
      .method = "GET", .target = GetTarget(key), .body = {}, .timeout_s = derived_.call_timeout_s};
  transport_.Send(
      requests_, std::move(request), [this, done = std::move(done)](const Reply& reply) {
        GetResult result;
        if (reply.Has(http_status::kNotFound)) result.kind = GetResult::Kind::kMissing;
        if (reply.Has(http_status::kOk) && net::TryRead(kMalformedSource, "get", on_malformed,
                                                        [&] { DecodeValue(reply.body, result); })) {
          result.kind = GetResult::Kind::kFound;
        }
        done(std::move(result));
      });
}

void Client::List(const std::string& prefix, const std::string& after,
                  std::function<void(ListResult)> done) {
  budget_.TryTakeRequest(net::Now());
  Transport::Request request{.method = "GET",
                             .target = ListTarget(prefix, after),
                             .body = {},
                             .timeout_s = kListTimeouts * derived_.call_timeout_s};
  transport_.Send(requests_, std::move(request),
                  [this, done = std::move(done)](const Reply& reply) {
                    ListResult result;
                    if (reply.Has(http_status::kOk)) {
                      result.ok = net::TryRead(kMalformedSource, "list", on_malformed,
                                               [&] { DecodeList(reply.body, result); });
                    }
                    done(std::move(result));
                  });
}

void Client::Watch(const std::string& prefix, uint64_t since, double wait_s,
                   std::function<void(WatchResult)> done) {
  budget_.TryTakeRequest(net::Now());
  net::HttpClient& connections = wait_s > 0 ? watches_ : requests_;
  Transport::Request request{.method = "GET",
                             .target = WatchTarget(prefix, since, wait_s),
                             .body = {},
                             .timeout_s = wait_s + derived_.call_timeout_s};
  transport_.Send(connections, std::move(request),
                  [this, done = std::move(done)](const Reply& reply) {
                    WatchResult result;
                    // The changes since a revision only grow. Once they exceed the size limit
                    // of an answer, a retry can't succeed, so all keys must be listed again.
                    // (Otherwise a controller that was partitioned for minutes never catches up.)
                    if (reply.Has(http_status::kGone) || reply.kind == Reply::Kind::kTooLarge) {
                      result.kind = WatchResult::Kind::kTooOld;
                    }
                    if (reply.Has(http_status::kOk) &&
                        net::TryRead(kMalformedSource, "follow", on_malformed,
                                     [&] { DecodeEvents(reply.body, result); })) {
                      result.kind = WatchResult::Kind::kOk;
                    }
                    done(std::move(result));
                  });
}

void Client::GrantLease(double ttl_s, std::function<void(Outcome, uint64_t)> done) {
  budget_.TryTakeRequest(net::Now());
  Transport::Request request{.method = "POST",
                             .target = kLeasesTarget,
                             .body = EncodeLeaseRequest(ttl_s),
                             .timeout_s = derived_.renew_timeout_s};
  transport_.Send(
      renewals_, std::move(request), [this, done = std::move(done)](const Reply& reply) {
        uint64_t lease = kNoLease;
        if (reply.Has(http_status::kOk) && net::TryRead(kMalformedSource, "grants", on_malformed,
                                                        [&] { lease = DecodeLease(reply.body); })) {
          return done(Outcome::kDone, lease);
        }
        done(FailureOf(reply), kNoLease);
      });
}

void Client::RenewLease(uint64_t lease, std::function<void(Outcome)> done) {
  budget_.TryTakeRequest(net::Now());
  Transport::Request request{.method = "POST",
                             .target = RenewalTarget(lease),
                             .body = {},
                             .timeout_s = derived_.renew_timeout_s};
  transport_.Send(renewals_, std::move(request), [done = std::move(done)](const Reply& reply) {
    if (reply.Has(http_status::kOk)) return done(Outcome::kDone);
    if (reply.Has(http_status::kNotFound)) return done(Outcome::kLeaseNotFound);
    done(FailureOf(reply));
  });
}

void Client::RevokeLease(uint64_t lease) {
  Transport::Request request{.method = "DELETE",
                             .target = LeaseTarget(lease),
                             .body = {},
                             .timeout_s = derived_.renew_timeout_s};
  transport_.Send(renewals_, std::move(request), [](const Reply&) {});
}

}  // namespace mosspath::kvstore
