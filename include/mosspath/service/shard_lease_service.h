// The leader's side of shards: writes the leases that the manager decides on, and exchanges frames
// with the holders.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "mosspath/election/elector.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/service/leader_context.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/shard/shard_lease_manager.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::service {

class ShardLeaseService {
 public:
  // The elector and the sender outlive the service. `on_answered` is called after the answer to a
  // frame was taken.
  ShardLeaseService(const LeaderContext& context, const election::Elector& elector,
                    PeerFrameSender& frames, net::OnMalformed on_malformed,
                    std::function<void()> on_answered);

  [[nodiscard]] shard::ShardLeaseManager& manager() { return manager_; }
  // Writes pending lease changes, each in a transaction under the leader key.
  void WriteLeaseChanges();
  // Sends each holder what is due to it.
  void SendFrames();
  // Takes a holder's frame. Returns whether it was of this leadership and a valid lease.
  [[nodiscard]] bool OnFrame(const wire::ShardFrame& frame);
  // The answer to a frame of that controller; none if nothing is to be said.
  [[nodiscard]] std::optional<wire::ShardFrame> MakeAnswer(const std::string& node);

 private:
  void WriteLeaseChange(const shard::ShardLeaseManager::LeaseChange& change);
  void SendFrame(const std::string& node, wire::ShardFrame frame);
  void OnFrameAnswered(const std::string& node, const std::optional<wire::ShardFrame>& answer);

  const LeaderContext context_;
  const election::Elector& elector_;
  PeerFrameSender& frames_;
  const net::OnMalformed on_malformed_;
  const std::function<void()> on_answered_;
  shard::ShardLeaseManager manager_;
};

}  // namespace mosspath::service
