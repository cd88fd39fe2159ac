// Answers agents' heartbeats: as the leader, as the holder of a shard, or with
// the controller to which the agent should turn.
#pragma once

#include <functional>
#include <string>

#include "mosspath/election/elector.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/service/leader_service.h"
#include "mosspath/service/peer_service.h"
#include "mosspath/service/shard_membership.h"
#include "mosspath/wire/messages.h"

namespace mosspath::service {

class AgentHeartbeatHandler {
 public:
  using Responder = net::HttpServer::Responder;
  // This controller as the leader; null while it does not lead.
  using GetLeader = std::function<LeaderService*()>;

  // All that it refers to outlives it. `node`: the name of this controller.
  AgentHeartbeatHandler(std::string node, const election::Elector& elector,
                        const PeerService& peers, ShardMembership& shards, GetLeader leader,
                        net::OnMalformed on_malformed);

  void Answer(const net::HttpRequest& request, const Responder& respond);
  // When this controller last took a heartbeat, in steady seconds;
  // kNeverTakenAt before the first.
  [[nodiscard]] double last_taken_at() const { return last_taken_at_; }

  static constexpr double kNeverTakenAt = -1e18;

 private:
  // Answers if another controller, or this one as a holder, commands the
  // machine; else false.
  bool AnswerForShard(const wire::Heartbeat& heartbeat, const Responder& respond);
  void AnswerAsHolder(const wire::Heartbeat& heartbeat, const Responder& respond);
  void AnswerAsLeader(LeaderService& leader, const wire::Heartbeat& heartbeat,
                      const Responder& respond);
  // Sends the agent to that controller, or, if its peers don't hear it, to any.
  void Redirect(const std::string& controller, const Responder& respond) const;

  const std::string node_;
  const election::Elector& elector_;
  const PeerService& peers_;
  ShardMembership& shards_;
  const GetLeader leader_;
  const net::OnMalformed on_malformed_;
  double last_taken_at_ = kNeverTakenAt;
};

}  // namespace mosspath::service
