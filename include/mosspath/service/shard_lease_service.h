// The leader's I/O for shards: writes the lease changes that ShardLeaseManager decides on, and
// exchanges frames with the holders.
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
  // The elector and the frame sender outlive the service. `on_answered` is called after the answer
  // to a frame was handled.
  ShardLeaseService(const LeaderContext& context, const election::Elector& elector,
                    PeerFrameSender& frames, net::OnMalformed on_malformed,
                    std::function<void()> on_answered);

  [[nodiscard]] shard::ShardLeaseManager& manager() { return manager_; }
  // Writes pending lease changes, each in a transaction under the leader key.
  void WriteLeaseChanges();
  // Sends each holder the frame that is due, if any.
  void SendFrames();
  // Handles a holder's frame. Returns whether the frame belongs to this term and to a valid lease.
  [[nodiscard]] bool OnFrame(const wire::ShardFrame& frame);
  // Returns the answer to a frame of the controller; nothing if the controller holds no lease.
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
