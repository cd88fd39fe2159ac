// Client of the cloud's API. Tracks the request rate, and maps each response to one outcome. Not
// thread-safe.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/net/rate_limit.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {

class CloudClient {
 public:
  enum class Outcome {
    kDone,
    kNoCapacity,   // the cloud has no machine of the requested offer left
    kRefused,      // the cloud did not execute the request
    kUndetermined  // no valid response arrived: the cloud may have executed the request
  };

  CloudClient(asio::io_context& io, const config::Settings& s, const config::DerivedSettings& d,
              std::shared_ptr<net::SocketBudget> sockets);

  // Returns when the cloud last answered with a status other than 503, in seconds on the steady
  // clock.
  double last_contact() const { return last_contact_; }
  // Returns whether the rate limit allows a request now. The request functions below send at once,
  // even above the limit, so callers that can wait must check here first.
  bool MayRequest() { return budget_.DelayFor(SteadyNow()) <= 0; }
  // The bool that ListMachineTypes and ListMachines pass to `done` is false if the request failed
  // or the response was malformed.
  void ListMachineTypes(std::function<void(bool, std::vector<wire::MachineType>)> done);
  // `still_wanted` is evaluated right before the request is sent; false drops the request.
  void Rent(const wire::RentRequest& r, std::function<void(Outcome, std::vector<std::string>)> done,
            net::HttpClient::StillWanted still_wanted);
  void Delete(const std::vector<std::string>& machines, std::function<void(Outcome)> done,
              net::HttpClient::StillWanted still_wanted);
  // Requests the page of machines that follows the id `after`; empty: the first page.
  void ListMachines(const std::string& after, std::function<void(bool, wire::MachinePage)> done);

  net::OnMalformed on_malformed;

 private:
  static double SteadyNow();
  // `done` receives the HTTP status and body. Status 0: the outcome of the request is unknown.
  // Status -1: the request was not sent.
  void Send(std::string method, std::string target, std::string body,
            std::function<void(int, wire::Json)> done,
            net::HttpClient::StillWanted still_wanted = {});

  const config::DerivedSettings derived_;
  net::HttpClient http_;
  net::TokenBucket budget_;
  double last_contact_ = -1e9;
};

}  // namespace mosspath::service
