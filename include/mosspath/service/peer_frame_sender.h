// Frames about blocks to the other controllers, one at a time to each.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "mosspath/config/settings.h"
#include "mosspath/net/http_client.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::service {

inline constexpr const char* kShardFramePath = "/peer/v1/block";

class PeerFrameSender {
 public:
  PeerFrameSender(asio::io_context& io, const config::Settings& settings,
                  const std::shared_ptr<net::SocketBudget>& sockets, net::OnMalformed on_malformed);

  // A frame to it is under way, or there is no such controller.
  bool IsBusy(const std::string& node) const;
  // `done` gets the frame that answers; none if it was refused, lost or malformed.
  using Done = std::function<void(std::optional<wire::ShardFrame>)>;
  void Send(const std::string& node, wire::ShardFrame frame, double timeout_s, Done done);

  uint64_t frames() const { return frames_; }
  uint64_t bytes() const { return bytes_; }

 private:
  const std::string own_;
  const net::OnMalformed on_malformed_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> links_;
  uint64_t frames_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace mosspath::service
