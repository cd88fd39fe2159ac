#include "mosspath/net/socket_budget.h"

#include <algorithm>

namespace mosspath::net {
namespace {

// Shares of all sockets.
constexpr double kOutsideShare = 0.05;
constexpr size_t kLeastOutside = 32;  // clients of the state service, the cloud and a few peers
constexpr double kPeerShare = 0.05;
constexpr double kOrderShare = 0.25;
// Of those on the public address.
constexpr double kWorkersStay = 0.7;
constexpr double kUsersStay = 0.15;
constexpr double kScarce = 0.75;  // above which users beyond their own share are sent off

size_t Share(size_t of, double share) {
  return std::max<size_t>(1, static_cast<size_t>(static_cast<double>(of) * share));
}

}  // namespace

const char* Name(ConnectionClass p) {
  switch (p) {
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
    : outside_(std::max(std::min(kLeastOutside, sockets / 2), Share(sockets, kOutsideShare))),
      peers_(Share(sockets, kPeerShare)),
      orders_(Share(sockets, kOrderShare)),
      public_(std::max<size_t>(1, sockets - std::min(sockets, outside_ + peers_ + orders_))),
      workers_stay_(Share(public_, kWorkersStay)),
      users_stay_(Share(public_, kUsersStay)) {}

size_t SocketBudget::public_used() const {
  return used(ConnectionClass::kUnidentified) + used(ConnectionClass::kUser) +
         used(ConnectionClass::kAgent);
}

size_t SocketBudget::limit(ConnectionClass p) const {
  switch (p) {
    case ConnectionClass::kPeer:
      return peers_;
    case ConnectionClass::kCommand:
      return orders_;
    case ConnectionClass::kOutbound:
      return outside_;
    default:
      return public_;
  }
}

bool SocketBudget::Acquire(ConnectionClass p) {
  if ((IsPublic(p) ? public_used() : used(p)) >= limit(p)) {
    ++refused_[Index(p)];
    return false;
  }
  ++used_[Index(p)];
  return true;
}

void SocketBudget::Release(ConnectionClass p) { used_[Index(p)] -= std::min<size_t>(1, used(p)); }

void SocketBudget::Reclassify(ConnectionClass from, ConnectionClass to) {
  if (from == to) return;
  Release(from);
  ++used_[Index(to)];
}

bool SocketBudget::MayKeepAlive(ConnectionClass p) {
  bool stays = true;
  if (p == ConnectionClass::kAgent) {
    stays = used(p) <= workers_stay_;
  } else if (IsPublic(p)) {
    stays = used(p) <= users_stay_ ||
            static_cast<double>(public_used()) <= kScarce * static_cast<double>(public_);
  }
  if (!stays) ++closed_after_answer_[Index(p)];
  return stays;
}

}  // namespace mosspath::net
