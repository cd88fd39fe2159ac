#include "mosspath/autoscaler/scaling_planner.h"

#include <utility>

#include "mosspath/autoscaler/offer_catalog.h"
#include "mosspath/autoscaler/scale_in.h"
#include "mosspath/autoscaler/scale_out.h"

namespace mosspath::autoscaler {

ScalingPlan PlanScaling(const ScalingInput& input, const ScalingTuning& tuning) {
  const OfferCatalog catalog(input.types);
  ScaleOutPlan out = ScaleOutPlanner(input, tuning, catalog).Plan();
  ScaleInPlan in = ScaleInPlanner(input, tuning, catalog, out.allotted_machines).Plan();
  ScalingPlan plan;
  plan.scale_out = std::move(out.requests);
  plan.scale_in = std::move(in.scale_in);
  plan.drain = std::move(in.drain);
  plan.cordon = std::move(in.cordon);
  plan.demand = out.demand;
  return plan;
}

}  // namespace mosspath::autoscaler
