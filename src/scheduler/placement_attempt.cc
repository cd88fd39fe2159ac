#include "mosspath/scheduler/placement_attempt.h"

#include <algorithm>
#include <array>
#include <map>

#include "mosspath/cluster/resources.h"
#include "mosspath/scheduler/array_placement.h"
#include "mosspath/scheduler/gang_placement.h"
#include "mosspath/scheduler/image_fetch.h"
#include "mosspath/scheduler/service_placement.h"

namespace mosspath::scheduler {

using cluster::Machine;

namespace {

using PlacementScopes = std::array<PlacementScope, 3>;

constexpr PlacementScopes kScopesInOrder = {{
    {.shards = ShardScope::kHomeShard, .tier = MachineTier::kInService},
    {.shards = ShardScope::kOtherShards, .tier = MachineTier::kInService},
    {.shards = ShardScope::kAllShards, .tier = MachineTier::kCordoned},
}};
// A gang is placed whole, so each scope after its home shard has the room of the scopes before it
// too. A gang would otherwise wait forever while its room is divided between scopes.
constexpr PlacementScopes kGangScopesInOrder = {{
    {.shards = ShardScope::kHomeShard, .tier = MachineTier::kInService},
    {.shards = ShardScope::kAllShards, .tier = MachineTier::kInService},
    {.shards = ShardScope::kAllShards, .tier = MachineTier::kInServiceOrCordoned},
}};

const PlacementScopes& ScopesInOrder(wire::JobKind kind) {
  return kind == wire::JobKind::kGang ? kGangScopesInOrder : kScopesInOrder;
}

}  // namespace

PlacementAttempt::PlacementAttempt(const PlacementStages& stages, jobs::Job& job,
                                   const MachinePool& pool, size_t max_tasks, double now)
    : stages_(stages),
      job_(job),
      pool_(pool),
      now_(now),
      delegable_(IsDelegable(job)),
      remaining_(std::min(max_tasks, stages.start_gate.PlaceableTasks(job))) {}

PlacementOutcome PlacementAttempt::Run() {
  if (remaining_ == 0) return PlacementOutcome::kSettled;
  if (job_.spec.single_zone && !ChooseSingleZone()) return PlacementOutcome::kNoCapacity;
  if (!job_.home_shard) job_.home_shard = ChooseHomeShard();
  for (const PlacementScope& scope : ScopesInOrder(job_.spec.kind)) {
    if (scope.tier != MachineTier::kInService && !IsUrgent()) break;
    if (PlaceInScope(scope) == PlacementOutcome::kSettled) return PlacementOutcome::kSettled;
  }
  return PlacementOutcome::kNoCapacity;
}

PlacementOutcome PlacementAttempt::PlaceInScope(const PlacementScope& scope) {
  CandidateSet set = CollectCandidates(scope);
  switch (job_.spec.kind) {
    case wire::JobKind::kGang:
      return PlaceGang(*this, set, scope.tier);
    case wire::JobKind::kService:
      return PlaceService(*this, set, scope.tier);
    case wire::JobKind::kArray:
      return PlaceArray(*this, set, scope.tier);
  }
  return PlacementOutcome::kNoCapacity;
}

bool PlacementAttempt::IsUrgent() const { return job_.spec.priority >= wire::Priority::kHigh; }

bool PlacementAttempt::FitsInTier(const Machine& machine, MachineTier tier) const {
  return scheduler::FitsInTier(job_.spec, machine, tier);
}

bool PlacementAttempt::IsZoneFull(const Machine& machine) const {
  if (!job_.spec.spread_over_zones) return false;
  const uint32_t max_per_zone = (job_.spec.tasks + 1) / 2;
  const auto placed = job_.placed_by_zone.find(machine.zone);
  return placed != job_.placed_by_zone.end() && placed->second >= max_per_zone;
}

bool PlacementAttempt::ChooseSingleZone() {
  single_zone_ = ZoneOfPlacedTasks();
  if (single_zone_.empty()) single_zone_ = ZoneWithMostRoom();
  return !single_zone_.empty();
}

std::string PlacementAttempt::ZoneOfPlacedTasks() const {
  std::string placed_zone;
  for (const auto& [zone, tasks] : job_.placed_by_zone) {
    if (tasks > 0) placed_zone = zone;
  }
  return placed_zone;
}

std::string PlacementAttempt::ZoneWithMostRoom() const {
  struct Room {
    double tasks = 0;
    double cpus = 0;
    auto operator<=>(const Room&) const = default;
  };
  const cluster::Resources task = cluster::TaskResources(job_.spec);
  std::map<std::string, Room> room_by_zone;
  for (const Machine* machine : pool_) {
    // A job whose tasks must share a zone is not delegated to shard holders.
    if (machine->shard_lease != 0) continue;
    const MachineTier tier =
        IsUrgent() ? MachineTier::kInServiceOrCordoned : MachineTier::kInService;
    if (stages_.filter.Check(job_, *machine, tier, now_)) continue;
    Room& room = room_by_zone[machine->zone];
    room.tasks += cluster::TasksThatFit(task, machine->free());
    room.cpus += machine->free().cpus;
  }
  // Zones with room for all pending tasks are equal but for their free CPUs.
  const double pending_tasks = static_cast<double>(job_.pending.size());
  for (auto& [zone, room] : room_by_zone) room.tasks = std::min(room.tasks, pending_tasks);
  const auto most_room =
      std::max_element(room_by_zone.begin(), room_by_zone.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  return most_room == room_by_zone.end() ? std::string() : most_room->first;
}

size_t PlacementAttempt::ChooseHomeShard() const {
  std::vector<double> free_cpus(stages_.shard_map.size());
  for (const Machine* machine : pool_) {
    if (machine->shard_lease != 0 && !delegable_) continue;
    if (!machine->draining && stages_.filter.IsAllowedOn(job_, *machine, now_)) {
      free_cpus[machine->shard] += machine->cpus - machine->used_cpus;
    }
  }
  const auto most_free = std::max_element(free_cpus.begin(), free_cpus.end());
  return static_cast<size_t>(most_free - free_cpus.begin());
}

bool PlacementAttempt::IsInScope(const Machine& machine, const PlacementScope& scope) const {
  if (machine.shard_lease != 0 && !delegable_) return false;
  const bool at_home = machine.shard == *job_.home_shard;
  switch (scope.shards) {
    case ShardScope::kHomeShard:
      return at_home;
    case ShardScope::kOtherShards:
      return !at_home;
    case ShardScope::kAllShards:
      return true;
  }
  return false;
}

// Also sums the machines and layers of the whole scope, because the cap of layer locality and each
// machine's share of the layers are relative to the scope.
CandidateSet PlacementAttempt::CollectCandidates(const PlacementScope& scope) {
  CandidateSet set;
  for (size_t i = 0; i < pool_.size(); ++i) {
    const Machine& machine = *pool_[i];
    if (!IsInScope(machine, scope)) continue;
    set.scope_gb += machine.image_cache.size_gb();
    ++set.scope_size;
    ++machines_filtered_;
    if (stages_.filter.Check(job_, machine, scope.tier, now_)) continue;
    if (!single_zone_.empty() && machine.zone != single_zone_) continue;
    set.candidates.push_back({i, MissingImageGb(job_, machine, stages_.cluster.machine_types),
                              machine.image_cache.size_gb(), true});
  }
  return set;
}

bool PlacementAttempt::Bind(Machine& machine) {
  if (!stages_.binder.Bind(job_, machine, now_)) return false;
  --remaining_;
  return true;
}

PlacementOutcome PlacementAttempt::PlaceOneByOne(const CandidateSet& set, MachineTier tier) {
  // A gang is placed whole or not at all. Its machines were filtered by the reservation as it stood
  // before the gang was placed. Applying the reservation to each task again could leave only a part
  // of the gang placed.
  const bool respects_reservation = job_.spec.kind != wire::JobKind::kGang;
  LocalityPicker picker(set.candidates, set.scope_gb, set.scope_size, stages_.policy);
  while (remaining_ > 0) {
    const size_t best = picker.Best();
    if (best == kNoMachine) return PlacementOutcome::kNoCapacity;
    Machine& machine = MachineAt(best);
    const bool reserved = respects_reservation && !stages_.reservation.MayTake(job_.spec, machine);
    if (IsZoneFull(machine) || reserved) {
      picker.DropBest();
      continue;
    }
    if (!Bind(machine)) return PlacementOutcome::kSettled;
    picker.OnPlaced(machine.image_cache.size_gb(), FitsInTier(machine, tier));
  }
  return PlacementOutcome::kSettled;
}

}  // namespace mosspath::scheduler
