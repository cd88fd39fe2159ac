// A controller's duties while it holds a block: it commands the block's machines and talks with the
// leader. Ends with the lease, or when the controller leads; answers that come later are dropped.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "mosspath/shard/holder.h"
#include "mosspath/shard/routes.h"
#include "mosspath/election/elector.h"
#include "mosspath/net/stall_watch.h"
#include "mosspath/service/frame_links.h"
#include "mosspath/service/job_table.h"
#include "mosspath/service/order_links.h"
#include "mosspath/kvstore/mirror.h"

namespace mosspath::service {

class Holding : public std::enable_shared_from_this<Holding> {
 public:
  Holding(asio::io_context& io, const config::Settings& settings, const config::Derived& derived,
          election::Elector& elector, const kvstore::Mirror& mirror, const JobTable& jobs,
          net::StallWatch& stalls, FrameLinks& frames, std::shared_ptr<net::SocketBudget> sockets,
          uint64_t lease);

  uint64_t lease() const { return holder_.lease(); }
  shard::Holder& holder() { return holder_; }
  void Start();
  void Stop();

  // The machines that the state service shows under this lease, in one pack or in all.
  void Assigned(const shard::Routes& routes, int pack);
  void AllAssigned(const shard::Routes& routes);
  // Jobs that ended while the mirror was loaded anew left no event.
  void DropEnded();
  void LeaderIs(const std::string& node, uint64_t token);

  // May act at this moment: the view that shows its lease is fresh.
  bool MayAct() const;
  bool Commands(const std::string& machine) const { return holder_.dispatcher().Commands(machine); }
  scheduler::ReportAnswer OnReport(const wire::Report& r);
  std::optional<wire::BlockFrame> OnFrame(const wire::BlockFrame& frame);
  void Kick();

  // Most machines of the block can't be heard: others may hold it better.
  std::function<void()> on_blind;
  net::OnMalformed on_malformed;

 private:
  void Tick();
  void SendDirect();
  void SendFrame();

  asio::io_context& io_;
  const config::Settings& settings_;
  const config::Derived derived_;
  election::Elector& elector_;
  const kvstore::Mirror& mirror_;
  const JobTable& jobs_;
  net::StallWatch& stalls_;
  FrameLinks& frames_;
  shard::Holder holder_;
  net::Timer tick_timer_;
  net::Timer kick_timer_;
  OrderLinks links_;
  std::string leader_;
  bool stopped_ = false;
  bool kicked_ = false;
  double next_place_ = 0;
};

}  // namespace mosspath::service
