#include "mosspath/kvstore/transport.h"

#include <algorithm>
#include <utility>

#include "kvstore/codec.h"
#include "mosspath/net/timer.h"

namespace mosspath::kvstore {

void Transport::Send(net::HttpClient& connections, Request request,
                     std::function<void(Reply)> done) {
  const double sent = net::Now();
  connections.Send(std::move(request.method), std::move(request.target), std::move(request.body),
                   request.timeout_s, [this, sent, done = std::move(done)](net::HttpResult result) {
                     done(Receive(std::move(result), sent));
                   });
}

Reply Transport::Receive(net::HttpResult result, double sent) {
  Reply reply;
  if (result.too_large) {
    reply.kind = Reply::Kind::kTooLarge;
    return reply;
  }
  if (result.status == 0) {
    reply.kind = result.sent ? Reply::Kind::kNoAnswer : Reply::Kind::kNotSent;
    return reply;
  }
  const bool unavailable = result.status == http_status::kUnavailable;
  if (!unavailable) last_contact_ = std::max(last_contact_, sent);
  if (unavailable || result.status == http_status::kTooManyRequests) ++throttled_requests_;
  if (!result.body.empty()) reply.body = wire::Json::parse(result.body, nullptr, false);
  if (reply.body.is_discarded()) {
    net::ReportMalformed(kMalformedSource, "JSON", "not JSON", on_malformed_);
    return {};
  }
  reply.kind = Reply::Kind::kAnswered;
  reply.status = result.status;
  return reply;
}

}  // namespace mosspath::kvstore
