// Who leads, as one controller knows it, and what it may do: campaign, lead, go on in an outage,
// promise another not to lead, step down. Events and the time come in; what is to be done comes
// out. Pure: the service (election/elector) and the simulation drive it. docs/design.md, rules 1, 2 and
// 12, "State outages longer than a grant" and "The state service refuses the leader alone" say why
// it is safe.
//
// Invariants: it leads only under the version that the leader key has, as far as the key was read;
// it acts only while nobody else can lead, and on a view that holds all that users were told until
// shortly before.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/reluctance.h"
#include "mosspath/election/view.h"
#include "mosspath/election/vouching.h"
#include "mosspath/wire/vouch_frame.h"

namespace mosspath::election {

// What the holder of a grant may assume of it. Pure.
class GrantClock {
 public:
  GrantClock(double life_s, double margin_s) : usable_s_(life_s - margin_s) {}
  void Renewed(double sent) { until_ = std::max(until_, sent + usable_s_); }
  void Lost() { until_ = -1e18; }
  // The service counts from when it got the renewal, which is after it was sent.
  bool Holds(double now) const { return now < until_; }

 private:
  double usable_s_;
  double until_ = -1e18;
};

class Leadership {
 public:
  // `settings.node` is this controller, `settings.peers` all others. All times are seconds on this
  // controller's steady clock.
  Leadership(const config::Settings& settings, const config::Derived& derived, double now);

  // The end of this controller's leadership, and why.
  struct Loss {
    uint64_t token = 0;
    const char* why = "";
  };
  using Lost = std::optional<Loss>;

  // --- Its grant; `sent`: when the request left ---
  void Granted(uint64_t grant, double sent);
  void Renewed(double sent) { clock_.Renewed(sent); }
  Lost GrantEnded();
  // Commands nothing from now on, and lets others go first.
  Lost Resign(const char* why, double now);
  uint64_t grant() const { return grant_; }
  bool GrantHolds(double now) const { return clock_.Holds(now); }

  // --- The leader key, as it is read ---
  struct Key {
    std::string node;
    uint64_t grant = 0;
    uint64_t version = 0;  // 0: there is none
  };
  void Reset();  // what was read is void, and is read anew
  Lost Read(const Key& key);
  // The key and all else was read; `fresh`: there is nothing, so nobody has ever led.
  Lost Loaded(bool fresh);
  // All that was written before `as_of` is known, which is up to that revision.
  void Seen(double as_of, uint64_t revision);

  // --- What to do now ---
  struct Step {
    enum class Kind {
      kNone,
      kCampaign,  // put the key, on condition that it has `version`
      kWait,      // look again after `wait_s`
      kElected,   // it leads from now on, under token()
    };
    Kind kind = Kind::kNone;
    uint64_t version = 0;
    double wait_s = 0;
  };
  Step Next(double now);
  // A campaign is under way, its outcome not yet read: no other begins.
  void Campaigning(bool under_way) { campaigning_ = under_way; }
  bool campaigning() const { return campaigning_; }

  // --- What it may do ---
  // Entitled to command workers at this moment.
  bool Entitled(double now) const {
    return token_ != 0 && view_.Fresh(now) && (clock_.Holds(now) || vouching_.Holds(now));
  }
  // It keeps its grant but hardly learns of changes, while others may: to resign for.
  bool OutOfDate(double now) const { return token_ != 0 && clock_.Holds(now) && view_.Aging(now); }
  bool MayResign(double now) const { return reluctance_.MayResign(now); }
  // Whether it may act on what it knows of the jobs, whoever leads.
  bool ViewFresh(double now) const { return view_.Fresh(now); }
  double view_age_s(double now) const { return view_.age_s(now); }
  // Taken over from who leads (docs/blocks.md): all that was told before then is known.
  void Heard(double as_of) { view_.Current(as_of); }
  uint64_t token() const { return token_; }  // 0: it does not lead
  // Who leads, as far as is known; 0: nobody.
  const std::string& leader() const { return key_.node; }
  uint64_t leader_token() const { return key_.version; }

  // --- While the state service is silent; `contact`: when it last answered a request, by when that
  // was sent ---
  bool OutOfTouch(double contact, double now) const {
    return now - contact > kOutOfTouch * derived_.renew_s;
  }
  // As the leader: the round of questions to send now, if any.
  std::optional<uint64_t> Ask(double contact, double now);
  wire::VouchQuestion Question() const { return {node_, token_, revision_}; }
  // A peer's answer. What it tells of must be ended here before anything else is done: from this
  // moment on the view counts it as known. False: such an answer can't be.
  bool Answered(uint64_t round, const std::string& peer, const wire::VouchAnswer& answer,
                double now, std::vector<wire::CancelledPart::Entry>& learned);
  // As a peer: whether it promises the leader of this token not to lead for a moment. A leader of
  // the past may learn here that it is one.
  struct Promise {
    bool promised = false;
    bool understood = true;  // false: such a question can't be
    Lost lost;
  };
  Promise Asked(const wire::VouchQuestion& question, double contact, double now);

 private:
  static constexpr double kOutOfTouch = 1.5;  // renewals that went unanswered

  Lost StepDown(const char* why);
  // Whether the state service can have come that far since it was read.
  bool CanBe(uint64_t revision, double now) const;

  const std::string node_;
  std::set<std::string> peers_;
  const config::Derived derived_;
  const double most_revisions_per_s_;
  GrantClock clock_;
  Vouching vouching_;
  Reluctance reluctance_;
  View view_;
  uint64_t grant_ = 0;
  uint64_t token_ = 0;
  Key key_;
  uint64_t revision_ = 0;  // up to where all was read
  double read_at_;         // when that was asked for
  bool loaded_ = false;
  bool led_before_ = false;  // somebody has, and may go on by a promise
  bool campaigning_ = false;
  double hold_back_until_ = -1e18;    // after resigning
  std::optional<double> free_since_;  // the key, while it holds back
};

}  // namespace mosspath::election
