#include "mosspath/kvstore/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::kvstore {
namespace {

using wire::Json;

constexpr const char* kState = "state";
constexpr int kTooLarge = -2;  // in place of a status

uint64_t Number(const Json& j, const char* key) {
  auto it = j.find(key);
  if (it == j.end() || !it->is_number_unsigned()) throw wire::BadMessage(key);
  return it->get<uint64_t>();
}

std::string Text(const Json& j, const char* key) {
  auto it = j.find(key);
  if (it == j.end() || !it->is_string()) throw wire::BadMessage(key);
  return it->get<std::string>();
}

const Json& List(const Json& j, const char* key) {
  auto it = j.find(key);
  if (it == j.end() || !it->is_array()) throw wire::BadMessage(key);
  return *it;
}

std::string Render(const Transaction& txn) {
  Json conditions = Json::array();
  for (const Condition& c : txn.conditions) {
    conditions.push_back({{"k", c.key}, {"mark", c.version}});
  }
  Json changes = Json::array();
  for (const Change& c : txn.changes) {
    if (!c.value) {
      changes.push_back({{"delete", c.key}});
      continue;
    }
    Json put{{"put", c.key}, {"v", *c.value}};
    if (c.lease != 0) put["berth"] = c.lease;
    changes.push_back(std::move(put));
  }
  Json body{{"if", std::move(conditions)}};
  if (!changes.empty()) body["apply"] = std::move(changes);
  return body.dump();
}

}  // namespace

struct CommitJob {
  std::string body;
  double amount = 0;
  double deadline = 0;
  net::Timer timer;
  net::Backoff backoff;
  std::function<void(TransactionResult)> done;
};

Client::Client(asio::io_context& io, const config::Settings& s, const config::DerivedSettings& d,
               const std::shared_ptr<net::SocketBudget>& sockets)
    : io_(io),
      derived_(d),
      requests_(io, s.store_address, {.max_connections = 8, .max_queue = 512, .sockets = sockets}),
      watches_(io, s.store_address, {.max_connections = 2, .max_queue = 8, .sockets = sockets}),
      renewals_(io, s.store_address, {.max_connections = 2, .max_queue = 8, .sockets = sockets}),
      reads_(s.store_requests_per_s / s.controller_count,
             std::max(2.0, s.store_requests_per_s / s.controller_count / 2)),
      writes_(s.store_writes_per_s * 0.7, std::max(2.0, s.store_writes_per_s * 0.5)) {}

void Client::Send(net::HttpClient& through, std::string method, std::string target,
                  std::string body, double timeout_s, std::function<void(int, Json)> done) {
  const double sent = net::Now();
  through.Send(std::move(method), std::move(target), std::move(body), timeout_s,
               [this, sent, done = std::move(done)](net::HttpResult r) {
                 if (r.too_large) return done(kTooLarge, {});
                 if (r.status == 0) return done(r.sent ? 0 : -1, {});
                 if (r.status != 503) last_contact_ = std::max(last_contact_, sent);
                 if (r.status == 429 || r.status == 503) ++throttled_requests_;
                 Json j;
                 if (!r.body.empty()) j = Json::parse(r.body, nullptr, false);
                 if (j.is_discarded()) {
                   net::ReportMalformed(kState, "JSON", "not JSON", on_malformed);
                   return done(0, {});
                 }
                 done(r.status, std::move(j));
               });
}

double Client::WriteDelay(double changes) {
  const double now = net::Now();
  return std::max(writes_.DelayFor(now, changes), reads_.DelayFor(now));
}

void Client::Commit(Transaction txn, double deadline_s,
                    std::function<void(TransactionResult)> done) {
  auto job = std::make_shared<CommitJob>(
      CommitJob{Render(txn), static_cast<double>(txn.changes.size()), net::Now() + deadline_s,
                net::Timer(io_), net::Backoff(0.1, 0.8), std::move(done)});
  TryCommit(std::move(job));
}

void Client::TryCommit(std::shared_ptr<CommitJob> job) {
  const double now = net::Now();
  const double wait = std::max(writes_.DelayFor(now, job->amount), reads_.DelayFor(now));
  if (wait > 0) {
    if (now + wait >= job->deadline) {
      job->timer.After(0, [job] { job->done({Outcome::kRefused, 0}); });
      return;
    }
    job->timer.After(wait + 0.002, [this, job] { TryCommit(job); });
    return;
  }
  writes_.TryTake(now, job->amount);
  reads_.TryTake(now);
  const double timeout = std::min(derived_.call_timeout_s, std::max(0.05, job->deadline - now));
  Send(requests_, "POST", "/multi", job->body, timeout, [this, job](int status, Json body) {
    TransactionResult result;
    switch (status) {
      case 200:
        if (net::TryRead(kState, "multi", on_malformed,
                         [&] { result.revision = Number(body, "epoch"); })) {
          result.outcome = Outcome::kDone;
        }
        break;
      case 409:
        result.outcome = Outcome::kConflict;
        break;
      case 400:
        result.outcome = Outcome::kLeaseNotFound;
        spdlog::info("state: transaction refused as invalid: {}", body.dump());
        break;
      case 0:
      case kTooLarge:
        break;
      case 503:  // an outage, or ours alone: given up at once, so that the user is told at once
        result.outcome = Outcome::kRefused;
        break;
      default: {
        result.outcome = Outcome::kRefused;
        const double pause = job->backoff.Next();
        if (net::Now() + pause < job->deadline) {
          job->timer.After(pause, [this, job] { TryCommit(job); });
          return;
        }
      }
    }
    job->done(result);
  });
}

void Client::Get(const std::string& key, std::function<void(GetResult)> done) {
  if (!reads_.TryTake(net::Now())) {
    asio::post(io_, [done = std::move(done)] { done({}); });
    return;
  }
  Send(requests_, "GET", "/kv/" + key, {}, derived_.call_timeout_s,
       [this, done = std::move(done)](int status, Json body) {
         GetResult v;
         if (status == 404) v.kind = GetResult::Kind::kMissing;
         if (status == 200 && net::TryRead(kState, "get", on_malformed, [&] {
               v.value = body.at("v");
               v.version = Number(body, "mark");
             })) {
           v.kind = GetResult::Kind::kFound;
         }
         done(std::move(v));
       });
}

void Client::List(const std::string& prefix, const std::string& after,
                  std::function<void(ListResult)> done) {
  std::string target = "/kv?under=" + prefix + "&most=500";
  if (!after.empty()) target += "&since=" + after;
  reads_.TryTake(net::Now());
  Send(requests_, "GET", std::move(target), {}, 2 * derived_.call_timeout_s,
       [this, done = std::move(done)](int status, Json body) {
         ListResult pairs;
         if (status == 200) {
           pairs.ok = net::TryRead(kState, "list", on_malformed, [&] {
             pairs.revision = Number(body, "epoch");
             pairs.more = body.value("truncated", false);
             for (const Json& item : kvstore::List(body, "pairs")) {
               pairs.items.push_back({Text(item, "k"), item.at("v"), Number(item, "mark")});
             }
           });
         }
         done(std::move(pairs));
       });
}

void Client::Watch(const std::string& prefix, uint64_t since, double wait_s,
                   std::function<void(WatchResult)> done) {
  const std::string target = "/follow?under=" + prefix + "&since=" + std::to_string(since) +
                             "&wait_ms=" + std::to_string(std::lround(wait_s * 1000));
  reads_.TryTake(net::Now());
  net::HttpClient& through = wait_s > 0 ? watches_ : requests_;
  Send(through, "GET", target, {}, wait_s + derived_.call_timeout_s,
       [this, done = std::move(done)](int status, Json body) {
         WatchResult log;
         // What has grown beyond an answer's bound only grows further: reading all keys again is
         // the way out. (A node that had been cut off for minutes never caught up.)
         if (status == 410 || status == kTooLarge) log.kind = WatchResult::Kind::kTooOld;
         if (status == 200 && net::TryRead(kState, "follow", on_malformed, [&] {
               log.revision = Number(body, "epoch");
               for (const Json& item : kvstore::List(body, "log")) {
                 const bool put = item.contains("put");
                 Event e{Text(item, put ? "put" : "delete"), std::nullopt, Number(item, "mark")};
                 if (put) e.value = item.at("v");
                 log.events.push_back(std::move(e));
               }
             })) {
           log.kind = WatchResult::Kind::kOk;
         }
         done(std::move(log));
       });
}

void Client::GrantLease(double life_s, std::function<void(Outcome, uint64_t)> done) {
  const Json body{{"life_ms", static_cast<uint64_t>(life_s * 1000)}};
  reads_.TryTake(net::Now());
  Send(renewals_, "POST", "/grants", body.dump(), derived_.renew_timeout_s,
       [this, done = std::move(done)](int status, Json answer) {
         uint64_t grant = 0;
         if (status == 200 && net::TryRead(kState, "grants", on_malformed,
                                           [&] { grant = Number(answer, "berth"); })) {
           return done(Outcome::kDone, grant);
         }
         done(status > 0 ? Outcome::kRefused : Outcome::kUndetermined, 0);
       });
}

void Client::RenewLease(uint64_t grant, std::function<void(Outcome)> done) {
  reads_.TryTake(net::Now());
  Send(renewals_, "POST", "/grants/" + std::to_string(grant) + "/touch", {},
       derived_.renew_timeout_s, [done = std::move(done)](int status, const Json&) {
         if (status == 200) return done(Outcome::kDone);
         if (status == 404) return done(Outcome::kLeaseNotFound);
         done(status > 0 ? Outcome::kRefused : Outcome::kUndetermined);
       });
}

void Client::RevokeLease(uint64_t grant) {
  Send(renewals_, "DELETE", "/grants/" + std::to_string(grant), {}, derived_.renew_timeout_s,
       [](int, const Json&) {});
}

}  // namespace mosspath::kvstore
