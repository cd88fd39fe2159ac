#include "mosspath/net/socket_budget.h"

#include <algorithm>

namespace mosspath::net {
namespace {

// Limits of connection classes, as shares of all sockets.
constexpr double kOutboundShare = 0.05;
constexpr size_t kMinOutbound = 32;  // enough for the key-value store, the cloud and a few peers
constexpr double kPeerShare = 0.05;
constexpr double kCommandShare = 0.25;
// Keep-alive limits, as shares of the public limit (the limit of the classes of the public
// address).
constexpr double kAgentKeepAliveShare = 0.7;
constexpr double kUserKeepAliveShare = 0.15;
// If more than this share of the public limit is in use, users' connections beyond
// kUserKeepAliveShare are closed after the response.
constexpr double kScarceShare = 0.75;

size_t Share(size_t total, double share) {
  return std::max<size_t>(1, static_cast<size_t>(static_cast<double>(total) * share));
}

}  // namespace

const char* Name(ConnectionClass c) {
  switch (c) {
    case ConnectionClass::kUnidentified:
      return "new";
    case ConnectionClass::kUser:
      return "users";
    case ConnectionClass::kAgent:
      return "workers";
    case ConnectionClass::kPeer:
      return "peers";
    case ConnectionClass::kCommand:
      return "orders";
    case ConnectionClass::kOutbound:
      break;
  }
  return "outside";
}

SocketBudget::SocketBudget(size_t sockets)
    : outbound_limit_(
          std::max(std::min(kMinOutbound, sockets / 2), Share(sockets, kOutboundShare))),
      peer_limit_(Share(sockets, kPeerShare)),
      command_limit_(Share(sockets, kCommandShare)),
      public_limit_(std::max<size_t>(
          1, sockets - std::min(sockets, outbound_limit_ + peer_limit_ + command_limit_))),
      agent_keep_alive_limit_(Share(public_limit_, kAgentKeepAliveShare)),
      user_keep_alive_limit_(Share(public_limit_, kUserKeepAliveShare)) {}

size_t SocketBudget::public_used() const {
  return used(ConnectionClass::kUnidentified) + used(ConnectionClass::kUser) +
         used(ConnectionClass::kAgent);
}

size_t SocketBudget::limit(ConnectionClass c) const {
  switch (c) {
    case ConnectionClass::kPeer:
      return peer_limit_;
    case ConnectionClass::kCommand:
      return command_limit_;
    case ConnectionClass::kOutbound:
      return outbound_limit_;
    default:
      return public_limit_;
  }
}

bool SocketBudget::Acquire(ConnectionClass c) {
  if ((IsPublic(c) ? public_used() : used(c)) >= limit(c)) {
    ++refused_[Index(c)];
    return false;
  }
  ++used_[Index(c)];
  return true;
}

void SocketBudget::Release(ConnectionClass c) { used_[Index(c)] -= std::min<size_t>(1, used(c)); }

void SocketBudget::Reclassify(ConnectionClass from, ConnectionClass to) {
  if (from == to) return;
  Release(from);
  ++used_[Index(to)];
}

bool SocketBudget::MayKeepAlive(ConnectionClass c) {
  bool keep_alive = true;
  if (c == ConnectionClass::kAgent) {
    keep_alive = used(c) <= agent_keep_alive_limit_;
  } else if (IsPublic(c)) {
    keep_alive =
        used(c) <= user_keep_alive_limit_ ||
        static_cast<double>(public_used()) <= kScarceShare * static_cast<double>(public_limit_);
  }
  if (!keep_alive) ++closed_after_answer_[Index(c)];
  return keep_alive;
}

}  // namespace mosspath::net
