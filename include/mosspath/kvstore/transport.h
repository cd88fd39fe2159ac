// Sends single HTTP requests to the key-value store and parses the answers, without retries.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/wire/json.h"

namespace mosspath::kvstore {

// HTTP status codes of the key-value store's answers.
namespace http_status {
inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kUnavailable = 503;
}  // namespace http_status

struct Reply {
  enum class Kind {
    kAnswered,
    kNotSent,   // the request was certainly not sent
    kNoAnswer,  // no answer, or an answer that is not JSON; the request may have been executed
    kTooLarge,  // the answer exceeds the size limit; the request may have been executed
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;   // valid only if `kind` is kAnswered
  wire::Json body;  // valid only if `kind` is kAnswered

  [[nodiscard]] bool Has(int expected_status) const {
    return kind == Kind::kAnswered && status == expected_status;
  }
};

class Transport {
 public:
  struct Request {
    std::string method;
    std::string target;
    std::string body;
    double timeout_s = 0;
  };

  // `on_malformed` is called for each answer that is not JSON, and must outlive this object.
  explicit Transport(const net::OnMalformed& on_malformed) : on_malformed_(on_malformed) {}

  // Sends `request` over `connections`, which must outlive the request.
  void Send(net::HttpClient& connections, Request request, std::function<void(Reply)> done);

  // When the last request was sent that the key-value store answered other than with 503, in
  // seconds on the steady clock; kNeverAnswered before the first one.
  [[nodiscard]] double last_contact() const { return last_contact_; }
  // The number of requests that were answered with 429 or 503.
  [[nodiscard]] uint64_t throttled_requests() const { return throttled_requests_; }

 private:
  // Earlier than any timeout, so that `now - last_contact()` needs no special case.
  static constexpr double kNeverAnswered = -1e9;

  Reply Receive(net::HttpResult result, double sent);

  const net::OnMalformed& on_malformed_;
  double last_contact_ = kNeverAnswered;
  uint64_t throttled_requests_ = 0;
};

}  // namespace mosspath::kvstore
