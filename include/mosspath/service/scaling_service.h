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
  // Brings the next plan forward, so that machines for tasks that fit nowhere are requested at
  // once.
  void PlanSoon();

 private:
  void Plan();
  void ScaleIn(const std::vector<std::string>& machines);
  void DeleteMachines(const std::vector<std::string>& machines);
  void OnDeleteOutcome(const std::vector<std::string>& machines, CloudClient::Outcome outcome);

  const LeaderContext context_;
  net::StallDetector& stalls_;
  net::Timer timer_;
  std::optional<double> next_plan_at_;  // none: no plan yet
  ScaleOutRequester scale_out_;
};

}  // namespace mosspath::service
