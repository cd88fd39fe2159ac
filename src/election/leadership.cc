#include "mosspath/election/leadership.h"

#include <utility>

namespace mosspath::election {
namespace {

// A revision is counted once a change, and changes are limited for all controllers together; grants
// that end count too. More than that many times as many can't have come since the last look.
constexpr double kRevisionsPerChange = 4;

}  // namespace

Leadership::Leadership(const config::Settings& settings, const config::DerivedSettings& derived,
                       double now)
    : node_(settings.name),
      derived_(derived),
      most_revisions_per_s_(kRevisionsPerChange * settings.store_writes_per_s),
      store_lease_clock_(derived.store_lease_s, derived.lapse_margin_s),
      promises_(derived.promise_s, settings.peers.size()),
      resignation_backoff_(2 * derived.store_lease_s, settings.agent_lease_s),
      staleness_(derived.max_view_age_s),
      read_at_(now) {
  for (const auto& p : settings.peers) peers_.insert(p.name);
  promises_.Promise(now);  // whatever the process before this one promised
}

void Leadership::OnStoreLeaseGranted(uint64_t grant, double sent) {
  store_lease_ = grant;
  store_lease_clock_.OnRenewed(sent);
}

Leadership::MaybeLoss Leadership::OnStoreLeaseEnded() {
  store_lease_clock_.OnLost();
  store_lease_ = 0;
  return StepDown("the grant has ended");
}

Leadership::MaybeLoss Leadership::Resign(const char* why, double now) {
  store_lease_clock_.OnLost();
  store_lease_ = 0;
  hold_back_until_ = now + 2 * derived_.store_lease_s;
  resignation_backoff_.OnResigned(now);
  return StepDown(why);
}

void Leadership::Reset() {
  loaded_ = false;
  leader_key_ = {};
}

Leadership::MaybeLoss Leadership::OnLeaderKey(const LeaderKey& key) {
  leader_key_ = key;
  had_leader_before_ = had_leader_before_ || (key.version != 0 && key.store_lease != store_lease_);
  if (token_ != 0 && token_ != key.version) return StepDown("the leader key has changed");
  return std::nullopt;
}

Leadership::MaybeLoss Leadership::OnLoaded(bool fresh) {
  loaded_ = true;
  had_leader_before_ = had_leader_before_ || !fresh;
  if (token_ != 0 && leader_key_.store_lease != store_lease_)
    return StepDown("the leader key is not ours");
  return std::nullopt;
}

void Leadership::OnReadUpTo(double as_of, uint64_t revision) {
  staleness_.AdvanceTo(as_of);
  if (revision >= read_revision_) {
    read_revision_ = revision;
    read_at_ = std::max(read_at_, as_of);
  }
}

Leadership::Step Leadership::NextStep(double now) {
  using Kind = Step::Kind;
  if (!loaded_ || store_lease_ == 0) return {};
  if (leader_key_.version != 0 && leader_key_.store_lease == store_lease_) {
    // It was read, and with it all that earlier leaders wrote.
    if (token_ == leader_key_.version) return {};
    const double left = promises_.promised_until() - now;
    if (left > 0 && had_leader_before_) return {Kind::kWait, 0, left};
    token_ = leader_key_.version;
    resignation_backoff_.OnElected(now);
    return {Kind::kElected, 0, 0};
  }
  if (now < hold_back_until_) {
    // Others go first; but somebody must lead, so it looks again soon.
    const double look = derived_.store_lease_s / 2;
    if (leader_key_.version != 0) {
      key_free_since_.reset();
      return {Kind::kWait, 0, std::min(hold_back_until_ - now, look)};
    }
    if (!key_free_since_) key_free_since_ = now;
    if (now < *key_free_since_ + look) return {Kind::kWait, 0, *key_free_since_ + look - now};
  }
  // A key of our own node under another grant is a dead predecessor's: nobody else may use it.
  if (leader_key_.version != 0 && leader_key_.node != node_) return {};
  if (campaigning_ || !store_lease_clock_.Holds(now)) return {};
  return {Kind::kCampaign, leader_key_.version, 0};
}

Leadership::MaybeLoss Leadership::StepDown(const char* why) {
  promises_.Invalidate();
  if (token_ == 0) return std::nullopt;
  return LeadershipLoss{std::exchange(token_, 0), why};
}

bool Leadership::IsPlausibleRevision(uint64_t revision, double now) const {
  const double since = std::max(0.0, now - read_at_) + 1;  // bursts of a second's worth
  return revision <= read_revision_ ||
         static_cast<double>(revision - read_revision_) <= most_revisions_per_s_ * since;
}

std::optional<uint64_t> Leadership::BeginPromiseRound(double contact, double now) {
  // While it is read anew, what has ended since is not known here, whatever the revision says.
  if (token_ == 0 || !loaded_ || !IsDisconnected(contact, now)) return std::nullopt;
  return promises_.BeginRound(now);
}

bool Leadership::OnPromiseResponse(uint64_t round, const std::string& peer,
                                   const wire::PromiseResponse& answer, double now,
                                   std::vector<wire::CancellationLogSlice::Entry>& learned) {
  const wire::CancellationLogSlice& part = answer.cancellations;
  if (!IsPlausibleRevision(std::max(part.newest, part.to_revision), now)) return false;
  learned = part.entries;
  // A cancellation that was told and that is not known here: its tasks must not go on. Only what
  // was read here is known up to a revision: a peer may learn of an earlier cancellation after a
  // later one, when the answers to its changes come in another order, so each answer lists all of
  // them.
  const bool all = part.from_revision <= read_revision_ &&
                   part.newest <= std::max(read_revision_, part.to_revision);
  if (!answer.promised || !all || !loaded_ || token_ == 0) return true;
  // What any of them had told when it was asked is known here, so all promises together are as good
  // as a look at the state service when they were asked for.
  if (const auto asked = promises_.OnPromise(round, peer)) staleness_.AdvanceTo(*asked);
  return true;
}

Leadership::PromiseDecision Leadership::OnPromiseRequest(const wire::PromiseRequest& question,
                                                         double contact, double now) {
  PromiseDecision out;
  // Before all was read it is not known what the process before this one may have told.
  if (!loaded_) return out;
  if (!peers_.contains(question.node) || question.token == 0 ||
      !IsPlausibleRevision(std::max(question.token, question.read_revision), now)) {
    out.well_formed = false;
    return out;
  }
  if (!IsDisconnected(contact, now)) return out;
  if (question.token != leader_key_.version) {
    // Of a key that was put after all that was read here, so whatever key was read is gone, ours
    // too; who asks has read it. One that is older than what was read is a leader of the past.
    if (question.token <= read_revision_ || question.token <= leader_key_.version) return out;
    leader_key_ = {question.node, 0, question.token};
    had_leader_before_ = true;
    if (token_ != 0) out.loss = StepDown("another leads, as it says");
    promises_.Invalidate();
  }
  if (token_ != 0) return out;
  promises_.Promise(now);
  out.promised = true;
  return out;
}

}  // namespace mosspath::election
