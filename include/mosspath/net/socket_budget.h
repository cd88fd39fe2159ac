// Divides a process's sockets among classes of connections: how many sockets each class may have,
// and which connections stay open between requests. The budget only counts: the code that opens
// and closes sockets must report each socket to the budget.
//
// Sockets are the first resource to run out as the number of machines grows. Without limits by
// class, agents' connections took all sockets, and none were left for users, probes and the
// requests to the key-value store. A leader then kept renewing its store lease over its open
// connection, but received no updates from the key-value store.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace mosspath::net {

enum class ConnectionClass {
  kUnidentified,  // an accepted connection whose client no request has identified yet
  kUser,          // users, probes and readers of the status page
  kAgent,         // agents' heartbeats
  kPeer,          // requests from other controllers and operators
  kCommand,       // direct commands to agents
  kOutbound,      // requests to the key-value store, the cloud and other controllers
};
inline constexpr size_t kConnectionClasses = 6;
// Returns the name of the class in metrics and on the status page.
const char* Name(ConnectionClass c);

class SocketBudget {
 public:
  // `sockets`: the number of sockets that the process may have open in all.
  explicit SocketBudget(size_t sockets);

  // Counts one more socket of the class. If the class is at its limit, returns false and counts the
  // refusal instead.
  bool Acquire(ConnectionClass c);
  void Release(ConnectionClass c);
  // Moves an accepted connection to the class that its request identified.
  void Reclassify(ConnectionClass from, ConnectionClass to);
  // Returns whether a connection of the class may stay open after the response that is about to be
  // sent. If not, the caller closes it after the response, and the client reconnects for its next
  // request.
  bool MayKeepAlive(ConnectionClass c);

  size_t used(ConnectionClass c) const { return used_[Index(c)]; }
  // Returns the number of sockets that the class may have. The classes of the public address
  // (unidentified, users and agents) share one limit.
  size_t limit(ConnectionClass c) const;
  uint64_t refused(ConnectionClass c) const { return refused_[Index(c)]; }
  uint64_t closed_after_answer(ConnectionClass c) const { return closed_after_answer_[Index(c)]; }

 private:
  static constexpr size_t Index(ConnectionClass c) { return static_cast<size_t>(c); }
  static bool IsPublic(ConnectionClass c) {
    return c == ConnectionClass::kUnidentified || c == ConnectionClass::kUser ||
           c == ConnectionClass::kAgent;
  }
  size_t public_used() const;

  const size_t outbound_limit_;
  const size_t peer_limit_;
  const size_t command_limit_;
  const size_t public_limit_;
  const size_t agent_keep_alive_limit_;
  const size_t user_keep_alive_limit_;
  std::array<size_t, kConnectionClasses> used_{};
  std::array<uint64_t, kConnectionClasses> refused_{};
  std::array<uint64_t, kConnectionClasses> closed_after_answer_{};
};

}  // namespace mosspath::net
