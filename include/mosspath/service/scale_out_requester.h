// Sends the planned scale-out requests to the cloud, and retries each request whose outcome is
// unknown. An offer is a machine type in a zone, as a spot or an on-demand machine. Part of the
// leader's duties; not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/net/rate_limit.h"
#include "mosspath/net/timer.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {

class ScaleOutRequester {
 public:
  explicit ScaleOutRequester(const LeaderContext& context);

  // Returns whether no request is in flight or pending.
  [[nodiscard]] bool idle() const { return requests_.empty(); }
  // Queues the requests, split into parts of the maximum number of machines per request. Each part
  // gets a unique name, which makes the retries of the part idempotent.
  void Enqueue(const std::vector<autoscaler::ScaleOutRequest>& planned);
  // Sends the pending requests that the cloud's rate limit allows now, and schedules the rest.
  void Send();
  void Stop() { timer_.Cancel(); }

 private:
  struct PendingRequest {
    wire::RentRequest request;
    net::Backoff backoff;
    std::optional<double> retry_at;  // set once an attempt had an unknown outcome
    bool in_flight = false;
  };

  void SendOne(PendingRequest& pending);
  void OnOutcome(const wire::RentRequest& request, CloudClient::Outcome outcome,
                 const std::vector<std::string>& machines);
  void OnProvisioned(const wire::RentRequest& request, const std::vector<std::string>& machines);
  // Called when the offer is sold out: pauses the planning of requests for the offer, and drops the
  // offer's requests that were not sent.
  void CloseOffer(const autoscaler::ScaleOutRequest& offer);
  void DropUnsent(const autoscaler::ScaleOutRequest& offer);

  const LeaderContext context_;
  net::Timer timer_;
  std::vector<PendingRequest> requests_;
  uint64_t request_count_ = 0;  // requests in this term; part of the requests' names
};

}  // namespace mosspath::service
