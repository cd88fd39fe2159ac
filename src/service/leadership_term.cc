#include "mosspath/service/leadership_term.h"

#include "mosspath/net/timer.h"
#include "mosspath/service/keys.h"
#include "mosspath/service/leader_context.h"

namespace mosspath::service {

bool LeadershipTerm::MayAct() const {
  return !ended() && elector_.token() == token_ && elector_.MayAct(net::Now());
}

net::HttpClient::StillWanted LeadershipTerm::MayStillAct() const {
  return callbacks_.GuardCondition([this] { return MayAct(); });
}

kvstore::Transaction LeaderTransaction(const LeadershipTerm& term) {
  kvstore::Transaction transaction;
  transaction.conditions.push_back({keys::kLeader, term.token()});
  return transaction;
}

}  // namespace mosspath::service
