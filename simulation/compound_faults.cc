#include "simulation/compound_faults.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "simulation/compound_fault_scenario.h"

namespace mosspath::simulation {
namespace {

using Kind = Fault::Kind;

// Users stop retrying a submission after 60 s. During a longer outage, some users would stop before
// their jobs are accepted, and these jobs could not be served.
constexpr double kMaxOutageS = 50;
// Multiples of this ratio modulo 1 cover an interval evenly.
constexpr double kGoldenRatio = 0.6180;
constexpr double kSaltStep = 0.37;
constexpr uint64_t kSelectorStep = 7919;

// ---------------------------------------------------------------------------- schedules

// Returns a value from `lower` to `upper`. Successive rounds of seeds cover the interval ever more
// densely; the salt varies the value within a seed.
double SweptValue(uint64_t seed, double lower, double upper, uint64_t salt) {
  const double step = static_cast<double>(seed / kSeededCompoundFaults + 1) * kGoldenRatio +
                      static_cast<double>(salt) * kSaltStep;
  return lower + (upper - lower) * (step - std::floor(step));
}

// Collects the faults of a schedule, and holds the offsets and durations that the schedules share.
// Times and durations are in seconds.
class Schedule {
 public:
  Schedule(uint64_t seed_number, const config::Settings& settings)
      : seed(seed_number),
        lease_s(settings.agent_lease_s),
        store_lease_s(lease_s / 8),
        cancel_within_s(settings.cancel_within_s),
        outage_s(std::min(1.3 * cancel_within_s, kMaxOutageS)),
        offset_s(Sweep(0, 1.3 * lease_s, 0)),
        short_offset_s(Sweep(0, 0.4 * lease_s, 1)),
        round(seed / kSeededCompoundFaults),
        even_round(round % 2 == 0) {}

  double Sweep(double lower, double upper, uint64_t salt) const {
    return SweptValue(seed, lower, upper, salt);
  }

  void Add(Kind kind, double at, double duration_s, bool hold = false) {
    const uint64_t selector = seed * kSelectorStep + faults_.size();
    faults_.push_back({kind, at, duration_s, hold, selector});
  }
  // Adds a fault that has no duration or ignores it.
  void AddInstant(Kind kind, double at) { Add(kind, at, 0); }

  // The rounds of a kind cycle through three forms of its schedule: without an additional fault,
  // with the additional fault of the first variant, and with the additional fault of the second
  // variant.
  bool first_variant() const { return round % 3 == 1; }
  bool second_variant() const { return round % 3 == 2; }

  const std::vector<Fault>& faults() const { return faults_; }

  const uint64_t seed;
  const double lease_s;  // the agent lease
  const double store_lease_s;
  const double cancel_within_s;
  const double outage_s;  // longer than cancel_within_s, up to kMaxOutageS
  const double offset_s;
  const double short_offset_s;
  const uint64_t round;   // the number of lower seeds that have the same kind
  const bool even_round;  // whether `round` is even

 private:
  std::vector<Fault> faults_;
};

constexpr double kStart = kFirstFaultAt;

void RefusedThenOutage(Schedule& schedule) {
  schedule.Add(Kind::kCutStore, kStart, schedule.Sweep(1, schedule.cancel_within_s, 2));
  const double outage_after_s = schedule.even_round
                                    ? std::min(schedule.offset_s, 2.5 * schedule.store_lease_s)
                                    : schedule.offset_s;
  schedule.Add(Kind::kStoreOutage, kStart + outage_after_s, schedule.outage_s);
  if (schedule.first_variant())
    schedule.Add(Kind::kRestartConfirmer, kStart + schedule.short_offset_s + 1, 0.5);
  if (schedule.second_variant())
    schedule.Add(Kind::kFreezeAny, kStart + schedule.short_offset_s, schedule.offset_s);
}

void RepeatedFailover(Schedule& schedule) {
  schedule.AddInstant(Kind::kRestartLeader, kStart);
  schedule.AddInstant(Kind::kRestartLeader,
                      kStart + schedule.Sweep(0, 2 * schedule.store_lease_s, 2));
  schedule.AddInstant(Kind::kCrashAll, kStart + schedule.short_offset_s);
  schedule.AddInstant(Kind::kRestartAfterMessages,
                      kStart + schedule.short_offset_s + 3 + schedule.Sweep(0, 2, 3));
}

void UnreachableMachines(Schedule& schedule) {
  const Kind cut = schedule.even_round ? Kind::kCutAgentsInbound : Kind::kCutZoneAgents;
  schedule.Add(cut, kStart, schedule.Sweep(2, 2 * schedule.lease_s, 2), schedule.even_round);
  schedule.Add(Kind::kCrash, kStart + schedule.short_offset_s, schedule.even_round ? 0.2 : 6);
  schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s + schedule.offset_s);
}

void SlowStore(Schedule& schedule) {
  schedule.Add(Kind::kSlowStore, kStart, 2 * schedule.lease_s);
  schedule.Add(Kind::kCutStore, kStart + schedule.short_offset_s, schedule.lease_s / 2,
               schedule.even_round);
  schedule.Add(Kind::kStoreOutage, kStart + schedule.short_offset_s + schedule.offset_s / 2,
               schedule.outage_s);
}

void OutdatedDuplicates(Schedule& schedule) {
  schedule.Add(Kind::kDuplicateHeartbeats, kStart, 3 * schedule.lease_s);
  schedule.Add(Kind::kHangMachines, kStart + schedule.short_offset_s, 1.2 * schedule.lease_s);
  schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s + schedule.offset_s);
  schedule.AddInstant(Kind::kRestartMachines, kStart + schedule.offset_s);
}

void LateWrites(Schedule& schedule) {
  schedule.Add(Kind::kLateWrites, kStart, 2 * schedule.lease_s);
  const Kind leader_fault = schedule.even_round ? Kind::kRestartLeader : Kind::kCutStore;
  schedule.Add(leader_fault, kStart + schedule.short_offset_s, schedule.lease_s / 2);
  const Kind last_fault = schedule.round % 3 == 0 ? Kind::kRestartAll : Kind::kFreeze;
  schedule.Add(last_fault, kStart + schedule.offset_s, schedule.lease_s / 2);
}

void DelayedCommands(Schedule& schedule) {
  const Kind delay = schedule.even_round ? Kind::kCutAgents : Kind::kHangMachines;
  schedule.Add(delay, kStart, schedule.Sweep(2, 0.9 * schedule.lease_s, 2), true);
  schedule.Add(Kind::kFreeze, kStart + schedule.short_offset_s / 2,
               schedule.Sweep(0.5, schedule.lease_s, 3));
  schedule.AddInstant(Kind::kRestartLeader,
                      kStart + schedule.short_offset_s + schedule.offset_s / 2);
}

void TasksEndApart(Schedule& schedule) {
  for (int i = 0; i < 4; ++i) {
    const Kind failover = i % 2 == 0 ? Kind::kRestartLeader : Kind::kCrash;
    schedule.Add(failover, kStart + i * schedule.Sweep(1, 12, 2), 2);
  }
  schedule.Add(Kind::kLateWrites, kStart - 1, schedule.lease_s);
}

void OnlyAgentsReachable(Schedule& schedule) {
  schedule.Add(Kind::kLeaderOnlyAgentsReachable, kStart,
               schedule.Sweep(1, 3 * schedule.cancel_within_s, 2), schedule.even_round);
  schedule.Add(schedule.even_round ? Kind::kCrash : Kind::kStoreOutage, kStart + schedule.offset_s,
               schedule.lease_s);
}

void ZonePartition(Schedule& schedule) {
  schedule.Add(Kind::kPartitionZone, kStart, schedule.Sweep(1.1, 2.5, 2) * schedule.lease_s,
               schedule.even_round);
  if (schedule.first_variant())
    schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s);
  if (schedule.second_variant())
    schedule.Add(Kind::kStoreOutage, kStart + schedule.short_offset_s, schedule.lease_s);
}

void SlowLinks(Schedule& schedule) {
  schedule.Add(Kind::kSlowLinks, 5, 70);
  if (schedule.first_variant())
    schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s);
  if (schedule.second_variant())
    schedule.AddInstant(Kind::kTerminateMachines, kStart + schedule.short_offset_s);
}

void DelayedHeartbeats(Schedule& schedule) {
  schedule.Add(Kind::kDelayHeartbeats, kStart, schedule.Sweep(0.4, 2, 2) * schedule.lease_s);
  schedule.AddInstant(Kind::kCancelNow, kStart + schedule.short_offset_s / 2);
  schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s);
}

void RequestsAtJobEnd(Schedule& schedule) {
  schedule.Add(Kind::kCancelAtEnd, 10, 100);
  schedule.Add(Kind::kUnusualRequests, 12, 100);
}

void OutboundPartition(Schedule& schedule) {
  schedule.Add(Kind::kCutAgentsOutbound, kStart, schedule.Sweep(0.3, 3, 2) * schedule.lease_s);
  if (!schedule.even_round) schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.offset_s);
  if (schedule.first_variant())
    schedule.Add(Kind::kCutAgentsInbound, kStart + schedule.short_offset_s, schedule.lease_s / 4);
  if (schedule.second_variant())
    schedule.AddInstant(Kind::kCancelNow, kStart + schedule.short_offset_s);
}

void TeamAtQuota(Schedule& schedule) {
  const double cut_s = schedule.Sweep(0.5, 2, 2) * schedule.lease_s;
  if (schedule.even_round) {
    schedule.Add(Kind::kCutZoneAgents, kStart, cut_s);
  } else {
    schedule.Add(Kind::kCutAgentsInbound, kStart, cut_s / 6);
  }
  schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s / 2);
  schedule.AddInstant(Kind::kCancelNow,
                      kStart + schedule.short_offset_s / 2 + schedule.Sweep(0, 3, 3));
}

void TenFailovers(Schedule& schedule) {
  for (uint64_t i = 0; i < 10; ++i) {
    const double jitter_s = SweptValue(schedule.seed + i, 0, 4, 2);
    schedule.AddInstant(Kind::kRestartLeader, kStart + static_cast<double>(i * 12) + jitter_s);
  }
  if (!schedule.even_round)
    schedule.Add(Kind::kStoreOutage, kStart + schedule.offset_s, schedule.lease_s);
  if (schedule.first_variant()) schedule.Add(Kind::kDuplicateHeartbeats, kStart, 100);
}

void AllControllersDown(Schedule& schedule) {
  schedule.Add(Kind::kCancelNow, kStart - schedule.short_offset_s / 4, 0, schedule.even_round);
  schedule.Add(Kind::kStopAll, kStart,
               std::min(kMaxOutageS, schedule.Sweep(1.1, 2, 2) * schedule.lease_s));
  if (schedule.first_variant())
    schedule.Add(Kind::kCutAgentsOutbound, kStart + schedule.offset_s, schedule.lease_s / 2);
}

void DelayedAnswers(Schedule& schedule) {
  schedule.Add(Kind::kDelayAnswers, kStart - 20, 60);
  schedule.Add(Kind::kHangMachines, kStart + schedule.short_offset_s,
               schedule.Sweep(0.2, 0.9, 2) * schedule.lease_s);
  if (!schedule.even_round) {
    schedule.AddInstant(Kind::kRestartLeader,
                        kStart + schedule.short_offset_s + schedule.offset_s / 2);
  }
}

void CancellationsBeforeOutage(Schedule& schedule) {
  schedule.Add(Kind::kCutStore, kStart, schedule.Sweep(1, 15, 2));
  schedule.Add(Kind::kCancelNow, kStart, 0.2 * schedule.lease_s, !schedule.even_round);
  schedule.Add(Kind::kStoreOutage, kStart + schedule.Sweep(0.5, 1.5, 3), schedule.outage_s);
}

void CancellationsWithHang(Schedule& schedule) {
  schedule.Add(Kind::kCancelNow, kStart, schedule.Sweep(0.2, 1.2, 2) * schedule.lease_s, true);
  if (schedule.first_variant())
    schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s);
  if (schedule.second_variant())
    schedule.Add(Kind::kFreeze, kStart + schedule.short_offset_s / 4, schedule.offset_s);
}

void PlacementConstraints(Schedule& schedule) {
  schedule.AddInstant(Kind::kTerminateMachines, kStart);
  schedule.AddInstant(Kind::kReclaimSpot, kStart + schedule.short_offset_s / 4);
  const Kind last_fault = schedule.even_round ? Kind::kCutZoneAgents : Kind::kReplaceMachines;
  schedule.Add(last_fault, kStart + schedule.short_offset_s,
               schedule.Sweep(0.3, 1.5, 2) * schedule.lease_s);
  if (schedule.first_variant())
    schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s + 1);
}

// The first partition is almost as long as an agent lease, so that the answer after it renews the
// lease as late as possible. In two of three rounds the leader restarts in each partition.
void BriefContact(Schedule& schedule) {
  const double cut_s = schedule.Sweep(0.6, 0.98, 2) * schedule.lease_s;
  const double second_at = kStart + cut_s + schedule.Sweep(0, 0.2, 3) * schedule.lease_s;
  schedule.Add(Kind::kBriefContact, kStart, cut_s, schedule.even_round);
  schedule.AddInstant(Kind::kCancelNow, kStart + schedule.Sweep(0, 0.1, 4) * schedule.lease_s);
  schedule.Add(Kind::kBriefContact, second_at, cut_s, schedule.even_round);
  if (!schedule.first_variant()) {
    schedule.AddInstant(Kind::kRestartLeader, kStart + schedule.short_offset_s);
    schedule.AddInstant(Kind::kRestartLeader, second_at + schedule.short_offset_s);
  }
}

// ---------------------------------------------------------------------------- occurrences

using Scenario = CompoundFaultScenario;

// Returns the first fault of that kind, or null if there is none. A schedule from which faults were
// removed may have none.
const Fault* FindFault(const Scenario& scenario, Kind kind) {
  const auto& faults = scenario.faults();
  const auto found = std::find_if(faults.begin(), faults.end(),
                                  [&](const Fault& fault) { return fault.kind == kind; });
  return found == faults.end() ? nullptr : &*found;
}

// Returns the number of elements of `times` that lie strictly between `from` and `to`.
size_t CountBetween(const std::vector<double>& times, double from, double to) {
  return static_cast<size_t>(std::count_if(times.begin(), times.end(),
                                           [&](double time) { return time > from && time < to; }));
}

size_t CancellationsDuring(const Scenario& scenario, Kind kind) {
  const Fault* fault = FindFault(scenario, kind);
  if (fault == nullptr) return 0;
  return CountBetween(scenario.world.rule_checker.cancellations(), fault->at,
                      fault->at + fault->duration_s);
}

size_t CancellationsBetweenCutAndOutage(const Scenario& scenario) {
  const Fault* cut = FindFault(scenario, Kind::kCutStore);
  const Fault* outage = FindFault(scenario, Kind::kStoreOutage);
  if (cut == nullptr || outage == nullptr) return 0;
  return CountBetween(scenario.world.rule_checker.cancellations(), cut->at, outage->at);
}

size_t EarlyElections(const Scenario& scenario) {
  return CountBetween(scenario.world.observed.elections, kStart, kStart + 15);
}

size_t EightElectionsOrMore(const Scenario& scenario) {
  const size_t elections = CountBetween(scenario.world.observed.elections, kStart, kStart + 125);
  return elections >= 8 ? elections : 0;
}

size_t BusyUnreachable(const Scenario& scenario) { return scenario.counts().busy_unreachable; }

size_t CancellationsDuringSlowStore(const Scenario& scenario) {
  return CancellationsDuring(scenario, Kind::kSlowStore);
}

size_t CancellationsDuringIsolation(const Scenario& scenario) {
  return CancellationsDuring(scenario, Kind::kLeaderOnlyAgentsReachable);
}

size_t OutdatedDuplicatesSeen(const Scenario& scenario) {
  return scenario.world.observed.outdated_duplicates;
}

size_t LateWritesSeen(const Scenario& scenario) { return scenario.world.observed.late_writes; }

size_t LateCommandsSeen(const Scenario& scenario) { return scenario.world.observed.late_commands; }

// Counts elections between the completions of two tasks of a job with preset run times.
size_t ElectionsBetweenEnds(const Scenario& scenario) {
  const auto& completed_at = scenario.world.completed_at;
  size_t elections = 0;
  for (const auto& [task, at] : completed_at) {
    if (task.index == 0 || !scenario.world.run_times_s.contains(task)) continue;
    const auto first = completed_at.find({task.job, 0});
    if (first == completed_at.end()) continue;
    const auto [from, to] = std::minmax(first->second, at);
    elections += CountBetween(scenario.world.observed.elections, from, to);
  }
  return elections;
}

size_t BusyCutOff(const Scenario& scenario) { return scenario.counts().busy_cut_off; }

size_t CancelledWithBusyUnreachable(const Scenario& scenario) {
  return std::min(scenario.counts().busy_unreachable, scenario.counts().cancelled);
}

size_t CancelledWithInvalidRefused(const Scenario& scenario) {
  return scenario.invalid_refused() > 0 ? scenario.counts().cancelled : 0;
}

size_t OutboundCutCommands(const Scenario& scenario) {
  return scenario.world.observed.outbound_cut_commands;
}

size_t CancelledBeforeLongStop(const Scenario& scenario) {
  const Fault* stop = FindFault(scenario, Kind::kStopAll);
  const bool long_enough =
      stop != nullptr && stop->duration_s > scenario.world.settings.agent_lease_s;
  return long_enough ? scenario.counts().cancelled : 0;
}

size_t LateAnswersSeen(const Scenario& scenario) { return scenario.world.observed.late_answers; }

size_t CancelledWithHungMachines(const Scenario& scenario) {
  return std::min(scenario.counts().hung, scenario.counts().cancelled);
}

size_t CancelledWithBriefContacts(const Scenario& scenario) {
  return std::min(scenario.world.observed.busy_brief_contacts, scenario.counts().cancelled);
}

size_t BusyTerminated(const Scenario& scenario) { return scenario.counts().busy_terminated; }

// ---------------------------------------------------------------------------- table

struct CompoundFaultType {
  CompoundFault kind;
  const char* name;
  void (*schedule)(Schedule& schedule);
  size_t (*occurrences)(const Scenario& scenario);
};

constexpr CompoundFaultType kTypes[] = {
    {CompoundFault::kRefusedThenOutage, "refused-then-outage", RefusedThenOutage,
     CancellationsBetweenCutAndOutage},
    {CompoundFault::kRepeatedFailover, "back-and-forth", RepeatedFailover, EarlyElections},
    {CompoundFault::kUnreachableMachines, "unreached", UnreachableMachines, BusyUnreachable},
    {CompoundFault::kSlowStore, "slow-cancels", SlowStore, CancellationsDuringSlowStore},
    {CompoundFault::kOutdatedDuplicates, "old-copies", OutdatedDuplicates, OutdatedDuplicatesSeen},
    {CompoundFault::kLateWrites, "late-writes", LateWrites, LateWritesSeen},
    {CompoundFault::kDelayedCommands, "held-commands", DelayedCommands, LateCommandsSeen},
    {CompoundFault::kTasksEndApart, "ends-apart", TasksEndApart, ElectionsBetweenEnds},
    {CompoundFault::kOnlyAgentsReachable, "only-workers", OnlyAgentsReachable,
     CancellationsDuringIsolation},
    {CompoundFault::kZonePartition, "zone-whole", ZonePartition, BusyCutOff},
    {CompoundFault::kSlowLinks, "slow-links", SlowLinks, LateCommandsSeen},
    {CompoundFault::kDelayedHeartbeats, "held-reports", DelayedHeartbeats,
     CancelledWithBusyUnreachable},
    {CompoundFault::kRequestsAtJobEnd, "job-ends", RequestsAtJobEnd, CancelledWithInvalidRefused},
    {CompoundFault::kOutboundPartition, "mute", OutboundPartition, OutboundCutCommands},
    {CompoundFault::kTeamAtQuota, "limit", TeamAtQuota, CancelledWithBusyUnreachable},
    {CompoundFault::kTenFailovers, "ten-leaders", TenFailovers, EightElectionsOrMore},
    {CompoundFault::kAllControllersDown, "all-away", AllControllersDown, CancelledBeforeLongStop},
    {CompoundFault::kDelayedAnswers, "held-answers", DelayedAnswers, LateAnswersSeen},
    {CompoundFault::kCancellationsBeforeOutage, "cancel-now", CancellationsBeforeOutage,
     CancellationsBetweenCutAndOutage},
    {CompoundFault::kCancellationsWithHang, "cancel-hang", CancellationsWithHang,
     CancelledWithHungMachines},
    {CompoundFault::kPlacementConstraints, "bound", PlacementConstraints, BusyTerminated},
    {CompoundFault::kBriefContact, "brief-contact", BriefContact, CancelledWithBriefContacts},
};

constexpr bool TableMatchesEnumOrder() {
  for (size_t i = 0; i < std::size(kTypes); ++i) {
    if (kTypes[i].kind != static_cast<CompoundFault>(i)) return false;
  }
  return std::size(kTypes) == kCompoundFaultKinds;
}
static_assert(TableMatchesEnumOrder());

const CompoundFaultType& CompoundFaultTypeOf(CompoundFault kind) {
  return kTypes[static_cast<size_t>(kind)];
}

}  // namespace

CompoundFault CompoundFaultOf(uint64_t seed) {
  return static_cast<CompoundFault>(seed % kSeededCompoundFaults);
}

const char* CompoundFaultName(CompoundFault kind) { return CompoundFaultTypeOf(kind).name; }

std::vector<Fault> CompoundFaultSchedule(CompoundFault kind, uint64_t seed,
                                         const config::Settings& settings) {
  Schedule schedule(seed, settings);
  CompoundFaultTypeOf(kind).schedule(schedule);
  std::vector<Fault> faults = schedule.faults();
  SortByTime(faults);
  return faults;
}

size_t CountOccurrences(CompoundFault kind, const CompoundFaultScenario& scenario) {
  return CompoundFaultTypeOf(kind).occurrences(scenario);
}

}  // namespace mosspath::simulation
