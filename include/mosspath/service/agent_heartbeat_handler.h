// Answers agents' heartbeats: as the leader, as the holder of a shard, or with
// a redirect to the controller that commands the machine. Not thread-safe.
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
  // Returns this controller's leader service; null while this
  // controller does not lead.
  using GetLeader = std::function<LeaderService*()>;

  // The referenced objects outlive the handler. `node`: the name of this controller.
  AgentHeartbeatHandler(std::string node, const election::Elector& elector,
                        const PeerService& peers, ShardMembership& shards, GetLeader leader,
                        net::OnMalformed on_malformed);

  void Answer(const net::HttpRequest& request, const Responder& respond);
  // Returns when this controller last processed a heartbeat as the leader or a
  // shard holder, in steady seconds; kNeverProcessedAt before the first.
  [[nodiscard]] double last_processed_at() const { return last_processed_at_; }

  static constexpr double kNeverProcessedAt = -1e18;

 private:
  // Answers and returns true if this controller as a shard holder, or another
  // controller, commands the machine. Else returns false without an answer.
  bool AnswerForShard(const wire::Heartbeat& heartbeat, const Responder& respond);
  void AnswerAsHolder(const wire::Heartbeat& heartbeat, const Responder& respond);
  void AnswerAsLeader(LeaderService& leader, const wire::Heartbeat& heartbeat,
                      const Responder& respond);
  // Redirects the agent to `controller`. If that controller is suspected to be
  // down, the redirect names no controller, and the agent tries another one.
  void Redirect(const std::string& controller, const Responder& respond) const;

  const std::string node_;
  const election::Elector& elector_;
  const PeerService& peers_;
  ShardMembership& shards_;
  const GetLeader leader_;
  const net::OnMalformed on_malformed_;
  double last_processed_at_ = kNeverProcessedAt;
};

}  // namespace mosspath::service
