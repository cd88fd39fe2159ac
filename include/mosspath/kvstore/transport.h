// One HTTP request to the state service and its answer, without retries.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/wire/json.h"

namespace mosspath::kvstore {

// HTTP statuses that the state service answers with.
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
    kNotSent,   // the request certainly never left
    kNoAnswer,  // none, or not JSON: the request may have been executed
    kTooLarge,  // the answer was given up for its size; the request may have been executed
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;   // of an answer
  wire::Json body;  // of an answer

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

  // `on_malformed` is called for answers that are not JSON; it must outlive this object.
  explicit Transport(const net::OnMalformed& on_malformed) : on_malformed_(on_malformed) {}

  // Sends through the given connections, which must outlive the request.
  void Send(net::HttpClient& connections, Request request, std::function<void(Reply)> done);

  // When the last request was sent that the service answered other than with 503, in seconds on the
  // steady clock; kNeverAnswered before.
  [[nodiscard]] double last_contact() const { return last_contact_; }
  // Requests that were answered with 429 or 503.
  [[nodiscard]] uint64_t throttled_requests() const { return throttled_requests_; }

 private:
  // Longer ago than any patience, so that "now - last_contact()" needs no special case.
  static constexpr double kNeverAnswered = -1e9;

  Reply Receive(net::HttpResult result, double sent);

  const net::OnMalformed& on_malformed_;
  double last_contact_ = kNeverAnswered;
  uint64_t throttled_requests_ = 0;
};

}  // namespace mosspath::kvstore
