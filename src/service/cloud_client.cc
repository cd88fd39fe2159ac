#include "mosspath/service/cloud_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/net/timer.h"
#include "mosspath/service/http_paths.h"
namespace mosspath::service {
namespace {

constexpr const char* kCloud = "cloud";

}  // namespace

CloudClient::CloudClient(asio::io_context& io, const config::Settings& s,
                         const config::DerivedSettings& d,
                         std::shared_ptr<net::SocketBudget> sockets)
    : derived_(d),
      http_(io, s.cloud_address,
            {.max_connections = 8, .max_queue = 32, .sockets = std::move(sockets)}),
      budget_(s.cloud_requests_per_s * 0.9, std::max(1.0, s.cloud_requests_per_s * 1.5)) {}

double CloudClient::SteadyNow() { return net::Now(); }

void CloudClient::Send(std::string method, std::string target, std::string body,
                       std::function<void(int, wire::Json)> done,
                       net::HttpClient::StillWanted still_wanted) {
  budget_.TryTake(SteadyNow());
  http_.Send(
      std::move(method), std::move(target), std::move(body), derived_.cloud_timeout_s,
      [this, done = std::move(done)](const net::HttpResult& r) {
        if (r.status != 0 && r.status != 503) last_contact_ = SteadyNow();
        wire::Json j;
        if (!r.body.empty()) j = wire::Json::parse(r.body, nullptr, false);
        if (j.is_discarded()) {
          net::ReportMalformed(kCloud, "JSON", "not JSON", on_malformed);
          return done(0, {});
        }
        if (r.status != 200)
          spdlog::debug("cloud: request_failed status={} answer={}", r.status, j.dump());
        done(r.status == 0 && !r.sent ? -1 : r.status, std::move(j));
      },
      std::move(still_wanted));
}

void CloudClient::ListMachineTypes(std::function<void(bool, std::vector<wire::MachineType>)> done) {
  Send("GET", std::string(paths::kCloudMachineTypes), {},
       [this, done = std::move(done)](int status, const wire::Json& j) {
         std::vector<wire::MachineType> types;
         const bool ok = status == 200 && net::TryRead(kCloud, "flavors", on_malformed,
                                                       [&] { types = wire::ParseMachineTypes(j); });
         done(ok, std::move(types));
       });
}

void CloudClient::Rent(const wire::RentRequest& r,
                       std::function<void(Outcome, std::vector<std::string>)> done,
                       net::HttpClient::StillWanted still_wanted) {
  Send(
      "POST", std::string(paths::kCloudMachines), wire::ToJson(r).dump(),
      [this, done = std::move(done)](int status, const wire::Json& j) {
        std::vector<std::string> machines;
        if (status == 200) {
          const bool ok =
              net::TryRead(kCloud, "hosts", on_malformed, [&] { machines = wire::ParseRented(j); });
          return done(ok ? Outcome::kDone : Outcome::kUndetermined, std::move(machines));
        }
        if (status == 0) return done(Outcome::kUndetermined, {});
        const bool is_sold_out =
            status == 503 && j.is_object() && j.value("error", "") == "no capacity";
        done(is_sold_out ? Outcome::kNoCapacity : Outcome::kRefused, {});
      },
      std::move(still_wanted));
}

void CloudClient::Delete(const std::vector<std::string>& machines,
                         std::function<void(Outcome)> done,
                         net::HttpClient::StillWanted still_wanted) {
  Send(
      "POST", std::string(paths::kCloudDeleteMachines), wire::DeleteRequest(machines).dump(),
      [done = std::move(done)](int status, const wire::Json&) {
        done(status == 200 ? Outcome::kDone
                           : (status == 0 ? Outcome::kUndetermined : Outcome::kRefused));
      },
      std::move(still_wanted));
}

void CloudClient::ListMachines(const std::string& after,
                               std::function<void(bool, wire::MachinePage)> done) {
  Send("GET", wire::MachineListTarget(after, 500), {},
       [this, done = std::move(done)](int status, const wire::Json& j) {
         wire::MachinePage page;
         const bool ok = status == 200 && net::TryRead(kCloud, "hosts", on_malformed,
                                                       [&] { page = wire::ParseMachinePage(j); });
         done(ok, std::move(page));
       });
}

}  // namespace mosspath::service
