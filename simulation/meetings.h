// The simulation of meetings: two or three troubles tied in time and in whom they hit, beside the
// users of the addition and users who cancel just then. Each seed plays one meeting, its offsets
// swept from none to above a lease; whether its condition really came about is counted.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation/addition.h"

namespace mosspath::simulation {

class CompoundFaultScenario : public AvailabilityScenario {
 public:
  enum class CompoundFault {
    kRefusedThenOutage,  // the leader is refused alone, others confirm cancellations, then all are
    kBackAndForth,       // the lead goes back and forth, all end, and one is back at once
    kUnreached,     // a leader ends while machines can't be reached or don't hear its successor
    kSlowCancels,   // the state service is slow while users cancel, then refuses the leader
    kOldCopies,     // copies of reports of earlier sessions and tokens
    kLateWrites,    // changes without an answer are carried out after newer ones
    kHeldCommands,  // commands are held up, and the machine goes on
    kEndsApart,     // jobs of two or three tasks end far apart, across changes of leader
    kOnlyWorkers,   // a leader has only workers and users, jobs are cancelled through another
    kZoneWhole,     // a zone with workers and a controller is cut off for longer than a lease
    kSlowLinks,     // more work than room, urgent and not, over slow links
    kHeldReports,   // reports are held back until a new leader has acted, and arrive there
    kJobEnds,       // a cancellation, a question, a repeated submission as a job's last task ends
    kMute,          // workers reach no controller, while direct orders reach them
    kLimit,        // a team at its limit, a new leader, machines that can't be asked, cancellations
    kTenLeaders,   // ten changes of leader in two minutes, also inside an outage
    kAllAway,      // all controllers are away for longer than a lease
    kHeldAnswers,  // answers to orders are held up, and the machine goes on
    kCancelNow,    // jobs are cancelled as the leader is refused alone, and then everybody is
    kCancelHang,   // jobs are cancelled, and some of their machines hang
    kBound,        // jobs bound to a zone, together or apart lose machines
    kMeetings
  };
  static const char* Name(CompoundFault m);
  static CompoundFault Of(uint64_t seed) {
    return static_cast<CompoundFault>(seed % static_cast<uint64_t>(CompoundFault::kMeetings));
  }
  static std::vector<Fault> Faults(uint64_t seed);

  CompoundFaultScenario(uint64_t seed, const std::vector<Fault>& faults, bool blocks);
  // With "meeting" and "reached" among its figures: how often the condition came about.
  Outcome Run();

 private:
  // Its user; the job can be changed until it is asked for.
  wire::JobSpec& Ask(uint64_t n, double asked, double cancelled, uint32_t tasks, double run_s);
  void Bound();
  // What users do in the middle of a trouble.
  void UsersDo(const Fault& f);
  void JobEnded(const std::string& id);
  void Odd();
  size_t Reached() const;
  size_t CancelledBetween(double from, double to) const;

  const uint64_t seed_;
  const std::vector<Fault> faults_;
  SimulatedUsers more_;
  size_t busy_unreached_ = 0;  // machines with work that could not be reached as the leader ended
  size_t busy_cut_ = 0;        // cut off with a controller
  size_t called_off_ = 0;      // jobs, by their users at a trouble or as they ended
  size_t hung_ = 0;            // machines with tasks that are called off
  size_t bound_lost_ = 0;      // machines that ended while jobs were bound to zones
  uint64_t odd_ = 0;           // submissions that can't run
  std::map<std::string, size_t> busy_before_;  // tasks of each machine just before a trouble
  double end_until_ = -1e18;                   // users call off jobs as they end
};

}  // namespace mosspath::simulation
