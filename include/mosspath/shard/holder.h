// The holder of a block: it commands the block's machines, places there what the leader gives it,
// and tells the leader what became of it. It has no records of its own: what is done becomes
// durable through the leader, and until then the workers keep it (rule 8 of docs/design.md). Pure.
//
// Who uses it may let it act only while the block's record shows this lease and the view of the
// state service is fresh (docs/blocks.md, "How long a holder may act").
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "mosspath/shard/channel.h"
#include "mosspath/config/settings.h"
#include "mosspath/scheduler/dispatcher.h"

namespace mosspath::shard {

class Holder {
 public:
  struct Known {
    wire::JobSpec spec;
    uint64_t version = 0;
    double submitted = 0;  // on this node's steady clock
  };
  // A live job as the mirror has it.
  using FindJob = std::function<std::optional<Known>(const std::string& id)>;

  Holder(const config::Settings& settings, const config::Derived& derived, size_t own_block,
         uint64_t lease, double now, FindJob find_job);

  uint64_t lease() const { return lease_; }
  scheduler::Dispatcher& dispatcher() { return dispatcher_; }
  const scheduler::Dispatcher& dispatcher() const { return dispatcher_; }

  // --- What the state service shows ---
  // The machine is the block's; `version` of the record that says so is its token, `handed` which
  // time it was handed over.
  void Assigned(const std::string& machine, const std::string& address, uint64_t version,
                uint64_t handed, double now);
  // It no longer says so.
  void NotAssigned(const std::string& machine) { given_back_.erase(machine); }
  struct GivenBack {
    uint64_t lost = 0;    // 1: it was
    uint64_t handed = 0;  // as of when it was held
  };
  const std::map<std::string, GivenBack>& given_back() const { return given_back_; }
  // Whoever leads now is told everything anew.
  void LeaderIs(uint64_t token);
  void JobOver(const std::string& id, double now) { dispatcher_.RemoveJob(id, now); }

  // --- Workers ---
  scheduler::ReportAnswer OnReport(const wire::Report& r, double now);
  void OnDirect(const scheduler::DirectOrder& order, scheduler::DirectOutcome outcome,
                const wire::Report* report, double now);

  // --- The leader ---
  uint64_t leader() const { return leader_; }
  // False: not from the present leader, or for another lease. Nothing is done then.
  bool OnFrame(const wire::BlockFrame& frame, double now);
  // What is to be told now, if anything is; `revision`: up to where the mirror has come.
  std::optional<wire::BlockFrame> NextFrame(uint64_t revision, double now);
  // Left unanswered or refused: to be sent again.
  void FrameLost() { next_frame_ = -1e18; }
  // The frame that acknowledges what came, with what waits.
  wire::BlockFrame Answer();

  void Tick(double now);
  // Most of its machines are silent, all at once.
  bool Blind(double now) { return dispatcher_.Blind(now); }

 private:
  void Know(const std::string& job);
  void Know(const wire::Report& r);
  void Absorb();
  void Collect(uint64_t revision, double now);

  const config::Settings settings_;
  const config::Derived derived_;
  const uint64_t lease_;
  const FindJob find_job_;
  scheduler::Dispatcher dispatcher_;
  Channel channel_;
  uint64_t leader_ = 0;
  bool told_all_ = false;  // this leader has been sent all that is held
  bool synced_ = false;    // and that it is all
  uint64_t applied_ = 0;   // the last batch of gives
  double heard_leader_ = -1e18;
  double next_frame_ = -1e18;
  double next_news_ = -1e18;
  std::map<std::string, wire::BlockItem> told_;  // of machines
  std::map<std::string, uint64_t> handed_;       // of machines that were taken
  std::map<std::string, GivenBack> given_back_;  // though the record still has them here
};

}  // namespace mosspath::shard
