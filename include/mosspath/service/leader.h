// The leader's duties while it holds the leader key: it feeds the dispatcher, writes its records
// and carries out its wishes. Ends with the leadership; answers that come later are dropped.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mosspath/shard/desk.h"
#include "mosspath/election/elector.h"
#include "mosspath/net/stall_watch.h"
#include "mosspath/scheduler/dispatcher.h"
#include "mosspath/service/cloud.h"
#include "mosspath/service/frame_links.h"
#include "mosspath/service/job_table.h"
#include "mosspath/service/keys.h"
#include "mosspath/service/order_links.h"
#include "mosspath/kvstore/client.h"

namespace mosspath::service {

class Leader : public std::enable_shared_from_this<Leader> {
 public:
  Leader(asio::io_context& io, const config::Settings& settings, const config::Derived& derived,
         kvstore::Client& state, CloudClient& cloud, election::Elector& elector, net::StallWatch& stalls,
         const JobTable& jobs, FrameLinks& frames, std::shared_ptr<net::SocketBudget> sockets,
         uint64_t token);

  scheduler::Dispatcher& dispatcher() { return dispatcher_; }
  // Null where blocks are not leased.
  shard::Desk* desk() { return desk_.get(); }
  // A frame of a holder; none: refused.
  std::optional<wire::BlockFrame> OnFrame(const wire::BlockFrame& frame);
  void Start();
  void Stop();
  // Something changed that may let tasks start or stop: acts on it soon.
  void Kick();

  // Called with the ids of jobs whose completion is durable.
  std::function<void(const std::string& id)> on_completed;
  std::function<void(const std::vector<wire::MachineType>&)> on_types;
  net::OnMalformed on_malformed;

 private:
  struct PendingRent {
    wire::RentRequest request;
    net::Backoff backoff{1.0, 8.0};
    double not_before = 0;
    bool in_flight = false;
  };

  bool Entitled() const;
  net::HttpClient::StillWanted StillEntitled();
  void Tick();
  void SendDirect();
  void ChangeLeases();
  void SendFrames();
  // Orders that may leave now.
  size_t OrderRoom() const;
  void Prune();
  void Flush();
  void FlushSoon();
  void WriteCompletions();
  void WriteEnds(const std::vector<std::string>& ids,
                 const std::vector<jobs::RecordChange>& records);
  // A write of it is under way, or not in our view yet.
  bool Ending(const jobs::RecordChange& record) const;
  void TidyRecords();
  void PlanFleet();
  void PlanSoon();
  void SendRents();
  // Nothing more of this offer is asked for after a refusal.
  void DropRents(const autoscaler::Wish& offer);
  void RefreshTypes();
  void ListMachines();
  void ListPage(const std::string& after);

  asio::io_context& io_;
  const config::Settings& settings_;
  const config::Derived derived_;
  kvstore::Client& state_;
  CloudClient& cloud_;
  election::Elector& elector_;
  net::StallWatch& stalls_;
  const JobTable& jobs_;
  const uint64_t token_;
  scheduler::Dispatcher dispatcher_;
  std::unique_ptr<shard::Desk> desk_;
  FrameLinks& frames_;
  net::Timer tick_timer_;
  net::Timer kick_timer_;
  net::Timer rent_timer_;
  net::Timer flush_timer_;
  net::Timer fleet_timer_;
  net::Timer list_timer_;
  net::Timer types_timer_;
  bool stopped_ = false;
  std::vector<wire::ListedMachine> listed_;  // pages so far
  double list_asked_ = 0;
  double flush_not_before_ = 0;
  double last_flush_ = 0;
  uint64_t rent_count_ = 0;
  bool kicked_ = false;
  double next_place_ = 0;
  double next_plan_ = 0;
  double next_tidy_ = 0;
  double tick_due_ = 0;
  double late_ = 0;  // the last tick was, by so much
  OrderLinks links_;
  std::map<std::string, uint64_t> ending_;  // records being written: the version they replace
  std::vector<PendingRent> rents_;
};

}  // namespace mosspath::service
