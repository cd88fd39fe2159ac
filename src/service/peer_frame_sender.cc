#include "mosspath/service/peer_frame_sender.h"

#include <utility>

namespace mosspath::service {

PeerFrameSender::PeerFrameSender(asio::io_context& io, const config::Settings& settings,
                                 const std::shared_ptr<net::SocketBudget>& sockets,
                                 net::OnMalformed on_malformed)
    : node_(settings.name), on_malformed_(std::move(on_malformed)) {
  const net::HttpClient::Options options{.max_connections = 1, .max_queue = 1, .sockets = sockets};
  for (const auto& p : settings.peers) {
    connections_[p.name] = std::make_unique<net::HttpClient>(io, p.address, options);
  }
}

bool PeerFrameSender::IsBusy(const std::string& node) const {
  const auto it = connections_.find(node);
  return it == connections_.end() || !it->second->idle();
}

void PeerFrameSender::Send(const std::string& node, wire::ShardFrame frame, double timeout_s,
                           Done done) {
  const auto it = connections_.find(node);
  if (it == connections_.end()) return;
  frame.node = node_;
  std::string text = wire::Encode(frame);
  ++frames_;
  bytes_ += text.size();
  it->second->Send("POST", kShardFramePath, std::move(text), timeout_s,
                   [this, done = std::move(done)](const net::HttpResult& r) {
                     if (r.status != 200) return done(std::nullopt);
                     wire::ShardFrame answer;
                     const bool understood = net::TryRead("peer", "block", on_malformed_, [&] {
                       answer = wire::DecodeShardFrame(r.body);
                     });
                     if (!understood) return done(std::nullopt);
                     done(std::move(answer));
                   });
}

}  // namespace mosspath::service
