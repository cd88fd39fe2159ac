// A process's sockets as a budget with one owner: who may have how many, who may keep one between
// requests, and who gives way. Pure counts; what opens and closes sockets asks here first.
//
// Sockets give out before anything else as the number of machines grows. Without shares, workers'
// connections took them all, and users, probes and the state service's own requests found none: a
// leader then kept its grant over the connection that it had, and learned of nothing.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace mosspath::net {

enum class ConnectionClass {
  kUnidentified,  // accepted, and has not said yet who it is
  kUser,          // users, probes, readers of the status page
  kAgent,         // reports
  kPeer,          // other controllers and operators
  kCommand,       // straight to workers
  kOutbound,      // to the state service, the cloud and other controllers
};
inline constexpr size_t kConnectionClasses = 6;
const char* Name(ConnectionClass p);

class SocketBudget {
 public:
  // `sockets`: all that the process may have open.
  explicit SocketBudget(size_t sockets);

  // One more for this party; false: it has its share, which is counted.
  bool Acquire(ConnectionClass p);
  void Release(ConnectionClass p);
  // A connection that was accepted has said who it is.
  void Reclassify(ConnectionClass from, ConnectionClass to);
  // Whether a connection of this party may stay open between requests. Asked once it was answered;
  // if not, the other side is told so with the answer and comes back at its own pace.
  bool MayKeepAlive(ConnectionClass p);

  size_t used(ConnectionClass p) const { return used_[Index(p)]; }
  // How many the party may have; those who are accepted on the public address share one limit.
  size_t limit(ConnectionClass p) const;
  uint64_t refused(ConnectionClass p) const { return refused_[Index(p)]; }
  uint64_t closed_after_answer(ConnectionClass p) const { return closed_after_answer_[Index(p)]; }

 private:
  static constexpr size_t Index(ConnectionClass p) { return static_cast<size_t>(p); }
  static bool IsPublic(ConnectionClass p) {
    return p == ConnectionClass::kUnidentified || p == ConnectionClass::kUser ||
           p == ConnectionClass::kAgent;
  }
  size_t public_used() const;

  const size_t outside_;
  const size_t peers_;
  const size_t orders_;
  const size_t public_;
  const size_t workers_stay_;
  const size_t users_stay_;
  std::array<size_t, kConnectionClasses> used_{};
  std::array<uint64_t, kConnectionClasses> refused_{};
  std::array<uint64_t, kConnectionClasses> closed_after_answer_{};
};

}  // namespace mosspath::net
