// The cloud's interface as the leader uses it: within the rate, one clear outcome per request.
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
  enum class Outcome { kDone, kNoCapacity, kRefused, kUndetermined };

  CloudClient(asio::io_context& io, const config::Settings& s, const config::DerivedSettings& d,
              std::shared_ptr<net::SocketBudget> sockets);

  // When a request was last answered.
  double last_contact() const { return last_contact_; }
  bool MayRequest() { return budget_.DelayFor(net_now()) <= 0; }
  void ListMachineTypes(std::function<void(bool, std::vector<wire::MachineType>)> done);
  void Rent(const wire::RentRequest& r, std::function<void(Outcome, std::vector<std::string>)> done,
            net::HttpClient::StillWanted still_wanted);
  void Delete(const std::vector<std::string>& machines, std::function<void(Outcome)> done,
              net::HttpClient::StillWanted still_wanted);
  void ListMachines(const std::string& after, std::function<void(bool, wire::MachinePage)> done);

  net::OnMalformed on_malformed;

 private:
  static double net_now();
  void Send(std::string method, std::string target, std::string body,
            std::function<void(int, wire::Json)> done,
            net::HttpClient::StillWanted still_wanted = {});

  const config::DerivedSettings derived_;
  net::HttpClient http_;
  net::TokenBucket budget_;
  double last_contact_ = -1e9;
};

}  // namespace mosspath::service
