#include "mosspath/service/agent_heartbeat_handler.h"

#include <utility>

#include "mosspath/net/timer.h"
#include "mosspath/service/user_api.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {
namespace {

constexpr int kMisdirected = 421;  // HTTP status

net::HttpResponse ToResponse(const scheduler::HeartbeatAnswer& answer) {
  if (!answer.accepted) return RetryLaterResponse("late report");
  return {200, wire::HeartbeatAnswer(answer.token, answer.commands).dump()};
}

}  // namespace

AgentHeartbeatHandler::AgentHeartbeatHandler(std::string node, const election::Elector& elector,
                                             const PeerService& peers, ShardMembership& shards,
                                             GetLeader leader, net::OnMalformed on_malformed)
    : node_(std::move(node)),
      elector_(elector),
      peers_(peers),
      shards_(shards),
      leader_(std::move(leader)),
      on_malformed_(std::move(on_malformed)) {}

void AgentHeartbeatHandler::Answer(const net::HttpRequest& request, const Responder& respond) {
  wire::Heartbeat heartbeat;
  const bool understood = net::TryRead("worker", "report", on_malformed_,
                                       [&] { heartbeat = wire::ReadHeartbeat(request.body); });
  if (!understood) return respond(ErrorResponse(400, "malformed report"));
  if (AnswerForShard(heartbeat, respond)) return;
  LeaderService* leader = leader_();
  if (leader != nullptr && elector_.MayAct(net::Now())) {
    AnswerAsLeader(*leader, heartbeat, respond);
  } else if (leader != nullptr || elector_.leader() == node_) {
    respond(RetryLaterResponse("not entitled now"));
  } else {
    Redirect(elector_.leader(), respond);
  }
}

void AgentHeartbeatHandler::AnswerAsLeader(LeaderService& leader, const wire::Heartbeat& heartbeat,
                                           const Responder& respond) {
  last_processed_at_ = net::Now();
  const scheduler::HeartbeatAnswer answer =
      leader.scheduler().OnHeartbeat(heartbeat, last_processed_at_);
  if (answer.accepted) leader.ScheduleTick();
  respond(ToResponse(answer));
}

bool AgentHeartbeatHandler::AnswerForShard(const wire::Heartbeat& heartbeat,
                                           const Responder& respond) {
  const ShardHolderService* own = shards_.holder();
  if (own != nullptr && own->Owns(heartbeat.machine)) {
    AnswerAsHolder(heartbeat, respond);
    return true;
  }
  LeaderService* leader = leader_();
  const shard::ShardLeaseManager* manager = leader != nullptr ? leader->shard_leases() : nullptr;
  const std::string holder = manager != nullptr ? manager->HolderOf(heartbeat.machine)
                                                : shards_.routes().HolderOf(heartbeat.machine);
  if (holder.empty() || holder == node_) return false;
  Redirect(holder, respond);
  return true;
}

void AgentHeartbeatHandler::AnswerAsHolder(const wire::Heartbeat& heartbeat,
                                           const Responder& respond) {
  ShardHolderService& holder = *shards_.holder();
  if (!holder.MayAct()) return respond(RetryLaterResponse("not entitled now"));
  last_processed_at_ = net::Now();
  respond(ToResponse(holder.OnHeartbeat(heartbeat)));
}

// A suspected controller may be down. An agent that is redirected to that
// controller waits until the agent's request times out. If the redirect names
// no controller, the agent tries another controller, which may lead by then.
void AgentHeartbeatHandler::Redirect(const std::string& controller,
                                     const Responder& respond) const {
  const std::string target = peers_.IsSuspected(controller) ? "" : controller;
  respond({kMisdirected, wire::MisdirectedAnswer(target).dump()});
}

}  // namespace mosspath::service
