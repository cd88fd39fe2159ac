#include "mosspath/election/leadership.h"

#include <utility>

namespace mosspath::election {
namespace {

// A revision is counted once a change, and changes are limited for all controllers together; grants
// that end count too. More than that many times as many can't have come since the last look.
constexpr double kRevisionsPerChange = 4;

}  // namespace

Leadership::Leadership(const config::Settings& settings, const config::Derived& derived, double now)
    : node_(settings.node),
      derived_(derived),
      most_revisions_per_s_(kRevisionsPerChange * settings.state_write_rps),
      clock_(derived.grant_s, derived.lapse_margin_s),
      vouching_(derived.promise_s, settings.peers.size()),
      reluctance_(2 * derived.grant_s, settings.lease_s),
      view_(derived.view_s),
      read_at_(now) {
  for (const auto& p : settings.peers) peers_.insert(p.node);
  vouching_.Promise(now);  // whatever the process before this one promised
}

void Leadership::Granted(uint64_t grant, double sent) {
  grant_ = grant;
  clock_.Renewed(sent);
}

Leadership::Lost Leadership::GrantEnded() {
  clock_.Lost();
  grant_ = 0;
  return StepDown("the grant has ended");
}

Leadership::Lost Leadership::Resign(const char* why, double now) {
  clock_.Lost();
  grant_ = 0;
  hold_back_until_ = now + 2 * derived_.grant_s;
  reluctance_.Resigned(now);
  return StepDown(why);
}

void Leadership::Reset() {
  loaded_ = false;
  key_ = {};
}

Leadership::Lost Leadership::Read(const Key& key) {
  key_ = key;
  led_before_ = led_before_ || (key.version != 0 && key.grant != grant_);
  if (token_ != 0 && token_ != key.version) return StepDown("the leader key has changed");
  return std::nullopt;
}

Leadership::Lost Leadership::Loaded(bool fresh) {
  loaded_ = true;
  led_before_ = led_before_ || !fresh;
  if (token_ != 0 && key_.grant != grant_) return StepDown("the leader key is not ours");
  return std::nullopt;
}

void Leadership::Seen(double as_of, uint64_t revision) {
  view_.Current(as_of);
  if (revision >= revision_) {
    revision_ = revision;
    read_at_ = std::max(read_at_, as_of);
  }
}

Leadership::Step Leadership::Next(double now) {
  using Kind = Step::Kind;
  if (!loaded_ || grant_ == 0) return {};
  if (key_.version != 0 && key_.grant == grant_) {
    // It was read, and with it all that earlier leaders wrote.
    if (token_ == key_.version) return {};
    const double left = vouching_.promised_until() - now;
    if (left > 0 && led_before_) return {Kind::kWait, 0, left};
    token_ = key_.version;
    reluctance_.Elected(now);
    return {Kind::kElected, 0, 0};
  }
  if (now < hold_back_until_) {
    // Others go first; but somebody must lead, so it looks again soon.
    const double look = derived_.grant_s / 2;
    if (key_.version != 0) {
      free_since_.reset();
      return {Kind::kWait, 0, std::min(hold_back_until_ - now, look)};
    }
    if (!free_since_) free_since_ = now;
    if (now < *free_since_ + look) return {Kind::kWait, 0, *free_since_ + look - now};
  }
  // A key of our own node under another grant is a dead predecessor's: nobody else may use it.
  if (key_.version != 0 && key_.node != node_) return {};
  if (campaigning_ || !clock_.Holds(now)) return {};
  return {Kind::kCampaign, key_.version, 0};
}

Leadership::Lost Leadership::StepDown(const char* why) {
  vouching_.Lost();
  if (token_ == 0) return std::nullopt;
  return Loss{std::exchange(token_, 0), why};
}

bool Leadership::CanBe(uint64_t revision, double now) const {
  const double since = std::max(0.0, now - read_at_) + 1;  // bursts of a second's worth
  return revision <= revision_ ||
         static_cast<double>(revision - revision_) <= most_revisions_per_s_ * since;
}

std::optional<uint64_t> Leadership::Ask(double contact, double now) {
  // While it is read anew, what has ended since is not known here, whatever the revision says.
  if (token_ == 0 || !loaded_ || !OutOfTouch(contact, now)) return std::nullopt;
  return vouching_.Ask(now);
}

bool Leadership::Answered(uint64_t round, const std::string& peer, const wire::VouchAnswer& answer,
                          double now, std::vector<wire::CancelledPart::Entry>& learned) {
  const wire::CancelledPart& part = answer.cancelled;
  if (!CanBe(std::max(part.newest, part.upto), now)) return false;
  learned = part.ids;
  // A cancellation that was told and that is not known here: its tasks must not go on. Only what
  // was read here is known up to a revision: a peer may learn of an earlier cancellation after a
  // later one, when the answers to its changes come in another order, so each answer lists all of
  // them.
  const bool all = part.from <= revision_ && part.newest <= std::max(revision_, part.upto);
  if (!answer.promised || !all || !loaded_ || token_ == 0) return true;
  // What any of them had told when it was asked is known here, so all promises together are as good
  // as a look at the state service when they were asked for.
  if (const auto asked = vouching_.Promised(round, peer)) view_.Current(*asked);
  return true;
}

Leadership::Promise Leadership::Asked(const wire::VouchQuestion& question, double contact,
                                      double now) {
  Promise out;
  // Before all was read it is not known what the process before this one may have told.
  if (!loaded_) return out;
  if (!peers_.contains(question.node) || question.token == 0 ||
      !CanBe(std::max(question.token, question.seen), now)) {
    out.understood = false;
    return out;
  }
  if (!OutOfTouch(contact, now)) return out;
  if (question.token != key_.version) {
    // Of a key that was put after all that was read here, so whatever key was read is gone, ours
    // too; who asks has read it. One that is older than what was read is a leader of the past.
    if (question.token <= revision_ || question.token <= key_.version) return out;
    key_ = {question.node, 0, question.token};
    led_before_ = true;
    if (token_ != 0) out.lost = StepDown("another leads, as it says");
    vouching_.Lost();
  }
  if (token_ != 0) return out;
  vouching_.Promise(now);
  out.promised = true;
  return out;
}

}  // namespace mosspath::election
