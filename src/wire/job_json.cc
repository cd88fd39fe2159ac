// JSON encoding of jobs, in submissions of users and in stored records.
#include <utility>

#include "mosspath/wire/json.h"
#include "wire/json_fields.h"

namespace mosspath::wire {
namespace {

constexpr std::string_view kJobIdPrefix = "req-";
constexpr size_t kMaxJobIdDigits = 20;
constexpr size_t kMaxTypes = 32;  // bounds a job's record, which must fit into one stored value

std::vector<std::string> ParseTypes(const Json& list) {
  if (!list.is_array()) ThrowBadMessage(std::string(field::kMachineTypes) + " is not a list");
  if (list.size() > kMaxTypes)
    ThrowBadMessage(std::string(field::kMachineTypes) + " has too many elements");
  std::vector<std::string> types;
  for (const Json& element : list) {
    if (!element.is_string())
      ThrowBadMessage(std::string(field::kMachineTypes) + " has an element that is not a string");
    auto type = element.get<std::string>();
    if (type.size() > kMaxName)
      ThrowBadMessage(std::string(field::kMachineTypes) + " has an element that is too long");
    types.push_back(std::move(type));
  }
  return types;
}

void ParseIdentity(const Json& object, JobSpec& spec) {
  spec.id = TextField(object, field::kId);
  if (!IsJobId(spec.id)) ThrowBadMessage(std::string(field::kId) + " has an invalid form");
  spec.job_class = TextField(object, field::kJobClass);
  spec.team = TextField(object, field::kTeam);
  spec.kind = EnumField(object, field::kJobKind, kJobKinds);
  spec.priority = EnumField(object, field::kPriority, kPriorities);
}

void ParseResources(const Json& object, JobSpec& spec) {
  const uint64_t tasks = CountField(object, field::kTasks);
  if (tasks < 1 || tasks > kMaxTasks) {
    ThrowBadMessage(std::string(field::kTasks) + " is out of range");
  }
  spec.tasks = static_cast<uint32_t>(tasks);
  spec.cpus = AmountField(object, field::kCpus);
  spec.gpus = AmountField(object, field::kGpus);
  spec.memory_gb = AmountField(object, field::kMemoryGb);
  spec.image = TextField(object, field::kImage);
  spec.image_gb = AmountField(object, field::kImageGb);
}

void ParsePlacement(const Json& object, JobSpec& spec) {
  if (const Json* types = OptionalField(object, field::kMachineTypes)) {
    spec.types = ParseTypes(*types);
  }
  if (OptionalField(object, field::kZone) != nullptr) spec.zone = TextField(object, field::kZone);
  spec.single_zone = FlagField(object, field::kSingleZone);
  spec.spread_over_zones = FlagField(object, field::kSpreadOverZones);
  spec.spot_allowed = FlagField(object, field::kSpot);
}

void ParseTimes(const Json& object, JobSpec& spec) {
  spec.estimated_run_s = AmountField(object, field::kEstimatedRunS);
  spec.checkpoint_interval_s = AmountField(object, field::kCheckpointIntervalS);
  spec.checkpoint_duration_s = AmountField(object, field::kCheckpointDurationS);
  if (const Json* deadline = OptionalField(object, field::kDeadlineS)) {
    spec.deadline_s = ToAmount(*deadline, field::kDeadlineS);
  }
}

}  // namespace

bool IsJobId(std::string_view id) {
  if (!id.starts_with(kJobIdPrefix)) return false;
  const std::string_view digits = id.substr(kJobIdPrefix.size());
  if (digits.empty() || digits.size() > kMaxJobIdDigits) return false;
  return digits.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string PeekJobId(const Json& submission) {
  const auto it = submission.find(field::kId);
  if (it == submission.end() || !it->is_string()) return {};
  auto id = it->get<std::string>();
  return IsJobId(id) ? id : std::string{};
}

JobSpec ParseJob(const Json& object) {
  JobSpec spec;
  ParseIdentity(object, spec);
  ParseResources(object, spec);
  ParsePlacement(object, spec);
  ParseTimes(object, spec);
  return spec;
}

Json ToJson(const JobSpec& spec) {
  Json object{{field::kId, spec.id},
              {field::kJobClass, spec.job_class},
              {field::kTeam, spec.team},
              {field::kJobKind, NameOf(spec.kind, kJobKinds)},
              {field::kPriority, NameOf(spec.priority, kPriorities)},
              {field::kTasks, spec.tasks},
              {field::kCpus, spec.cpus},
              {field::kGpus, spec.gpus},
              {field::kMemoryGb, spec.memory_gb},
              {field::kImage, spec.image},
              {field::kImageGb, spec.image_gb},
              {field::kSingleZone, spec.single_zone},
              {field::kSpreadOverZones, spec.spread_over_zones},
              {field::kSpot, spec.spot_allowed},
              {field::kEstimatedRunS, spec.estimated_run_s},
              {field::kCheckpointIntervalS, spec.checkpoint_interval_s},
              {field::kCheckpointDurationS, spec.checkpoint_duration_s}};
  if (spec.types) object[field::kMachineTypes] = *spec.types;
  if (spec.zone) object[field::kZone] = *spec.zone;
  if (spec.deadline_s) object[field::kDeadlineS] = *spec.deadline_s;
  return object;
}

}  // namespace mosspath::wire
