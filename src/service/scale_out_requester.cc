#include "mosspath/service/scale_out_requester.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::service {
namespace {

constexpr int kMaxMachinesPerRequest = 50;
constexpr double kMinBackoffS = 1.0;
constexpr double kMaxBackoffS = 8.0;
constexpr double kRefusedPauseS = 2.0;  // pause after a refusal before the offer is planned again

autoscaler::ScaleOutRequest OfferOf(const wire::RentRequest& request) {
  return {request.type, request.zone, request.spot, request.count};
}

}  // namespace

ScaleOutRequester::ScaleOutRequester(const LeaderContext& context)
    : context_(context), timer_(context.io) {}

void ScaleOutRequester::Enqueue(const std::vector<autoscaler::ScaleOutRequest>& planned) {
  const std::string prefix =
      context_.settings.name + "-" + std::to_string(context_.term.token()) + "-";
  for (const autoscaler::ScaleOutRequest& planned_request : planned) {
    for (int left = planned_request.count; left > 0; left -= kMaxMachinesPerRequest) {
      const std::string name = prefix + std::to_string(++request_count_);
      const int count = std::min(left, kMaxMachinesPerRequest);
      requests_.push_back({.request = {name, planned_request.type, planned_request.zone,
                                       planned_request.spot, count},
                           .backoff = net::Backoff(kMinBackoffS, kMaxBackoffS),
                           .retry_at = std::nullopt});
    }
  }
}

void ScaleOutRequester::Send() {
  const double now = net::Now();
  if (!requests_.empty()) {
    timer_.After(1 / context_.settings.cloud_requests_per_s, [this] {
      if (context_.term.MayAct()) Send();
    });
  }
  for (PendingRequest& pending : requests_) {
    const bool is_backing_off = pending.retry_at && now < *pending.retry_at;
    if (pending.in_flight || is_backing_off || !context_.cloud.MayRequest()) continue;
    SendOne(pending);
  }
}

void ScaleOutRequester::SendOne(PendingRequest& pending) {
  pending.in_flight = true;
  const wire::RentRequest& request = pending.request;
  spdlog::info("autoscaler: scale_out_request request={} count={} type={} zone={} spot={}",
               request.request, request.count, request.type, request.zone, request.spot);
  context_.cloud.Rent(
      request,
      context_.term.Guard(
          [this, request](CloudClient::Outcome outcome, const std::vector<std::string>& machines) {
            OnOutcome(request, outcome, machines);
          }),
      context_.term.MayStillAct());
}

void ScaleOutRequester::OnOutcome(const wire::RentRequest& request, CloudClient::Outcome outcome,
                                  const std::vector<std::string>& machines) {
  const auto pending = std::find_if(
      requests_.begin(), requests_.end(),
      [&](const PendingRequest& other) { return other.request.request == request.request; });
  if (pending == requests_.end()) return;
  switch (outcome) {
    case CloudClient::Outcome::kDone:
      requests_.erase(pending);
      OnProvisioned(request, machines);
      break;
    case CloudClient::Outcome::kNoCapacity:
      spdlog::info("autoscaler: scale_out_no_capacity request={}", request.request);
      requests_.erase(pending);
      CloseOffer(OfferOf(request));
      break;
    case CloudClient::Outcome::kRefused:  // the scheduler plans the request again after a pause
      requests_.erase(pending);
      context_.scheduler.OnProvisioningRefused(OfferOf(request), net::Now() + kRefusedPauseS);
      break;
    case CloudClient::Outcome::kUndetermined:  // if the cloud executed the request, a retry under
                                               // the same name returns the same machines
      pending->in_flight = false;
      pending->retry_at = net::Now() + pending->backoff.Next();
      break;
  }
}

void ScaleOutRequester::OnProvisioned(const wire::RentRequest& request,
                                      const std::vector<std::string>& machines) {
  context_.scheduler.OnProvisioned(machines, OfferOf(request), net::Now());
  spdlog::info("autoscaler: scale_out_done request={} machines={}", request.request,
               machines.size());
  if (static_cast<int>(machines.size()) < request.count) CloseOffer(OfferOf(request));
}

void ScaleOutRequester::CloseOffer(const autoscaler::ScaleOutRequest& offer) {
  context_.scheduler.OnProvisioningRefused(offer, net::Now() + context_.settings.agent_lease_s);
  DropUnsent(offer);
}

// A plan is split into requests of 50 machines. If the unsent requests for a sold-out offer were
// kept, they would use up the cloud's request rate, which listings and deletions need as well: idle
// machines were then paid for minutes before they were deleted.
void ScaleOutRequester::DropUnsent(const autoscaler::ScaleOutRequest& offer) {
  std::erase_if(requests_, [&](const PendingRequest& pending) {
    return !pending.in_flight && !pending.retry_at && pending.request.type == offer.type &&
           pending.request.zone == offer.zone && pending.request.spot == offer.spot;
  });
}

}  // namespace mosspath::service
