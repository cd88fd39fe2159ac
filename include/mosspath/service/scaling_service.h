// Plans at an interval which machines to add and which to delete, and executes the plan. Part of
// the leader's duties; not thread-safe.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mosspath/net/stall_detector.h"
#include "mosspath/net/timer.h"
#include "mosspath/service/cloud_client.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/service/scale_out_requester.h"

namespace mosspath::service {

class ScalingService {
 public:
  // The stall detector outlives the service.
  ScalingService(const LeaderContext& context, net::StallDetector& stalls);

  void Start() { Plan(); }
  void Stop();
  // Brings the next plan forward, so that machines for tasks that fit on no present machine are
  // requested soon. No effect while scale-out requests are in flight or pending.
  void PlanSoon();

 private:
  void Plan();
  void ScaleIn(const std::vector<std::string>& machines);
  void DeleteMachines(const std::vector<std::string>& machines);
  void OnDeleteOutcome(const std::vector<std::string>& machines, CloudClient::Outcome outcome);

  const LeaderContext context_;
  net::StallDetector& stalls_;
  net::Timer timer_;
  // Earliest time of a plan that PlanSoon brings forward; nullopt: no plan has been made yet.
  std::optional<double> next_plan_at_;
  ScaleOutRequester scale_out_;
};

}  // namespace mosspath::service
