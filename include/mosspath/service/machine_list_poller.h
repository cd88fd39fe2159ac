// Lists the cloud's machines at an interval, page by page, and passes each complete list to the
// scheduler, which compares the list with the machines that the scheduler has. Part of the leader's
// duties; not thread-safe.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "mosspath/net/timer.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {

class MachineListPoller {
 public:
  explicit MachineListPoller(const LeaderContext& context);

  void Start() { BeginListing(); }
  void Stop() { timer_.Cancel(); }

 private:
  struct Listing {
    double requested_at = 0;
    std::vector<wire::ListedMachine> machines;  // machines of the pages received so far
  };

  void BeginListing();
  void RequestPage(const std::shared_ptr<Listing>& listing, const std::string& after);
  void OnPage(const std::shared_ptr<Listing>& listing, const wire::MachinePage& page);

  const LeaderContext context_;
  net::Timer timer_;
  std::shared_ptr<Listing> current_;  // the latest listing; pages of earlier listings are dropped
};

}  // namespace mosspath::service
