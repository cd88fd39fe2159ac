// One term of leadership: its fencing token, whether this process may still act as the leader, and
// callbacks that are dropped once the term has ended. Not thread-safe.
#pragma once

#include <cstdint>
#include <utility>

#include "mosspath/election/elector.h"
#include "mosspath/net/http_client.h"
#include "mosspath/service/callback_scope.h"

namespace mosspath::service {

class LeadershipTerm {
 public:
  // The elector outlives the term.
  LeadershipTerm(const election::Elector& elector, uint64_t token)
      : elector_(elector), token_(token) {}

  [[nodiscard]] uint64_t token() const { return token_; }
  [[nodiscard]] bool ended() const { return callbacks_.closed(); }
  // Returns whether this process may act as the leader of this term at this moment.
  [[nodiscard]] bool MayAct() const;
  // Returns a predicate that evaluates MayAct(), and is false after the term. It must be checked
  // right before a request is sent: a process that stalled after a decision may no longer lead, and
  // must not carry the decision out. The predicate may outlive the term.
  [[nodiscard]] net::HttpClient::StillWanted MayStillAct() const;
  // Returns a callable that drops calls to `callback` once the term has ended; see CallbackScope.
  template <typename Callback>
  [[nodiscard]] auto Guard(Callback callback) const {
    return callbacks_.Guard(std::move(callback));
  }
  void End() { callbacks_.Close(); }

 private:
  const election::Elector& elector_;
  const uint64_t token_;
  CallbackScope callbacks_;
};

}  // namespace mosspath::service
