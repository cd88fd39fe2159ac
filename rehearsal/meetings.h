// The rehearsal of meetings: two or three troubles tied in time and in whom they hit, beside the
// users of the addition and users who cancel just then. Each seed plays one meeting, its offsets
// swept from none to above a lease; whether its condition really came about is counted.
#pragma once

#include <string>
#include <vector>

#include "rehearsal/addition.h"

namespace mosspath::rehearsal {

class MeetingDay : public AdditionDay {
 public:
  enum class Meeting {
    kRefusedThenOutage,  // the leader is refused alone, others confirm cancellations, then all are
    kBackAndForth,       // the lead goes back and forth, all end, and one is back at once
    kUnreached,     // a leader ends while machines can't be reached or don't hear its successor
    kSlowCancels,   // the state service is slow while users cancel, then refuses the leader
    kOldCopies,     // copies of reports of earlier sessions and tokens
    kLateWrites,    // changes without an answer are carried out after newer ones
    kHeldCommands,  // commands are held up, and the machine goes on
    kEndsApart,     // jobs of two or three tasks end far apart, across changes of leader
    kOnlyWorkers,   // a leader has only workers and users, jobs are cancelled through another
    kMeetings
  };
  static const char* Name(Meeting m);
  static Meeting Of(uint64_t seed) {
    return static_cast<Meeting>(seed % static_cast<uint64_t>(Meeting::kMeetings));
  }
  static std::vector<Fault> Faults(uint64_t seed);

  MeetingDay(uint64_t seed, const std::vector<Fault>& faults, bool blocks);
  // With "meeting" and "reached" among its figures: how often the condition came about.
  Outcome Run();

 private:
  void Ask(uint64_t n, double asked, double cancelled, uint32_t tasks, double run_s);
  size_t Reached() const;
  size_t CancelledBetween(double from, double to) const;

  const uint64_t seed_;
  const std::vector<Fault> faults_;
  Users more_;
  size_t busy_unreached_ = 0;  // machines with work that could not be reached as the leader ended
};

}  // namespace mosspath::rehearsal
