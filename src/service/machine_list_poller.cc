#include "mosspath/service/machine_list_poller.h"

namespace mosspath::service {

MachineListPoller::MachineListPoller(const LeaderContext& context)
    : context_(context), timer_(context.io) {}

void MachineListPoller::BeginListing() {
  timer_.After(context_.derived.machine_list_interval_s, [this] { BeginListing(); });
  if (!context_.term.MayAct() || !context_.cloud.MayRequest()) return;
  current_ = std::make_shared<Listing>(Listing{.requested_at = net::Now(), .machines = {}});
  RequestPage(current_, "");
}

void MachineListPoller::RequestPage(const std::shared_ptr<Listing>& listing,
                                    const std::string& after) {
  context_.cloud.ListMachines(
      after, context_.term.Guard([this, listing](bool ok, const wire::MachinePage& page) {
        if (ok && listing == current_) OnPage(listing, page);
      }));
}

void MachineListPoller::OnPage(const std::shared_ptr<Listing>& listing,
                               const wire::MachinePage& page) {
  listing->machines.insert(listing->machines.end(), page.machines.begin(), page.machines.end());
  if (page.more && !page.machines.empty()) {
    RequestPage(listing, page.machines.back().id);
    return;
  }
  context_.scheduler.OnMachineList(listing->machines, listing->requested_at, net::Now());
}

}  // namespace mosspath::service
