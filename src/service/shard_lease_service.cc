#include "mosspath/service/shard_lease_service.h"

#include <algorithm>
#include <utility>

#include "mosspath/net/timer.h"
#include "mosspath/service/keys.h"

namespace mosspath::service {

ShardLeaseService::ShardLeaseService(const LeaderContext& context, const election::Elector& elector,
                                     PeerFrameSender& frames, net::OnMalformed on_malformed,
                                     std::function<void()> on_answered)
    : context_(context),
      elector_(elector),
      frames_(frames),
      on_malformed_(std::move(on_malformed)),
      on_answered_(std::move(on_answered)),
      manager_(context.settings, context.derived, context.scheduler, context.term.token()) {}

void ShardLeaseService::WriteLeaseChanges() {
  for (const auto& change : manager_.PendingChanges(net::Now())) WriteLeaseChange(change);
}

// The transaction is conditional on the version of the leader key, so that a former leader can't
// grant or revoke a lease.
void ShardLeaseService::WriteLeaseChange(const shard::ShardLeaseManager::LeaseChange& change) {
  kvstore::Transaction transaction = LeaderTransaction(context_.term);
  const std::string key = keys::kShardLeases + change.node;
  transaction.conditions.push_back({key, change.lease});
  const bool is_revocation = change.lease != 0;
  if (is_revocation) {
    transaction.changes.push_back({key, std::nullopt});
  } else {
    transaction.conditions.push_back({keys::kShardOffers + change.node, change.offer});
    transaction.changes.push_back(
        {key, wire::Json{{"grant", change.store_lease}}, change.store_lease});
  }
  context_.store.Commit(
      transaction, context_.derived.call_timeout_s,
      context_.term.Guard([this, node = change.node](const kvstore::TransactionResult& result) {
        manager_.OnChangeWritten(node, result.outcome == kvstore::Outcome::kDone, net::Now());
      }));
}

void ShardLeaseService::SendFrames() {
  for (auto& [node, frame] : manager_.NextFrames()) {
    if (frames_.IsBusy(node)) {
      manager_.OnFrameLost(node);
    } else {
      SendFrame(node, std::move(frame));
    }
  }
}

void ShardLeaseService::SendFrame(const std::string& node, wire::ShardFrame frame) {
  frames_.Send(node, std::move(frame), context_.settings.heartbeat_s / 2,
               context_.term.Guard([this, node](const std::optional<wire::ShardFrame>& answer) {
                 OnFrameAnswered(node, answer);
               }));
}

void ShardLeaseService::OnFrameAnswered(const std::string& node,
                                        const std::optional<wire::ShardFrame>& answer) {
  if (!answer || !context_.term.MayAct()) {
    manager_.OnFrameLost(node);
    return;
  }
  net::TryRead("peer", "block", on_malformed_, [&] { manager_.OnFrame(*answer, net::Now()); });
  on_answered_();
}

bool ShardLeaseService::OnFrame(const wire::ShardFrame& frame) {
  return context_.term.MayAct() && manager_.OnFrame(frame, net::Now());
}

std::optional<wire::ShardFrame> ShardLeaseService::MakeAnswer(const std::string& node) {
  auto answer = manager_.MakeAnswer(node);
  if (answer) {
    answer->view_age_s = std::max(0.0, elector_.view_age_s(net::Now()));
    answer->newest_cancellation = context_.jobs.cancellations().newest();
  }
  return answer;
}

}  // namespace mosspath::service
