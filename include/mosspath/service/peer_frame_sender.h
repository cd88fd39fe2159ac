// Sends frames about shards to the other controllers. At most one frame to each controller is in
// flight. Owns the connections. Not thread-safe.
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

  // Returns whether a frame to the controller is in flight, or there is no such controller.
  bool IsBusy(const std::string& node) const;
  // Receives the frame in the answer; nothing if the request was refused or lost, or if the answer
  // is malformed.
  using Done = std::function<void(std::optional<wire::ShardFrame>)>;
  void Send(const std::string& node, wire::ShardFrame frame, double timeout_s, Done done);

  // These functions return the totals of frames and bytes sent.
  uint64_t frames() const { return frames_; }
  uint64_t bytes() const { return bytes_; }

 private:
  const std::string node_;
  const net::OnMalformed on_malformed_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> connections_;
  uint64_t frames_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace mosspath::service
