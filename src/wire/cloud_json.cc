// JSON encoding of the cloud's API: machine types, requests to rent and delete machines, and
// machine lists.
#include <utility>

#include "mosspath/wire/json.h"
#include "wire/json_fields.h"

namespace mosspath::wire {
namespace {

MachineType ParseMachineType(const Json& object) {
  if (!object.is_object()) ThrowBadMessage("a machine type is not an object");
  MachineType type;
  type.name = TextField(object, field::kName);
  type.cpus = AmountField(object, field::kCpus);
  type.gpus = AmountField(object, field::kGpus);
  type.memory_gb = AmountField(object, field::kMemoryGb);
  type.cache_gb = AmountField(object, field::kCacheGb);
  type.fetch_gb_per_s = AmountField(object, field::kFetchGbPerS);
  type.price = AmountField(object, field::kPrice);
  type.spot_price = AmountField(object, field::kSpotPrice);
  type.boot_s = AmountField(object, field::kBootS);
  for (const Json& zone : ListField(object, field::kZones)) {
    if (!zone.is_string()) ThrowBadMessage("a zone is not a string");
    type.zones.push_back(zone.get<std::string>());
  }
  return type;
}

ListedMachine ParseListedMachine(const Json& object) {
  if (!object.is_object()) ThrowBadMessage("a machine is not an object");
  ListedMachine machine;
  machine.id = TextField(object, field::kId);
  // The address is optional: the cloud's list may omit the address of a machine that already has
  // one.
  const Json* address = OptionalField(object, field::kAddress);
  if (address != nullptr && address->is_string()) machine.address = address->get<std::string>();
  machine.type = TextField(object, field::kMachineType);
  machine.zone = TextField(object, field::kZone);
  machine.spot = FlagField(object, field::kSpot);
  machine.state = EnumField(object, field::kState, kMachineStates);
  machine.age_s = AmountField(object, field::kAgeS);
  return machine;
}

}  // namespace

std::vector<MachineType> ParseMachineTypes(const Json& object) {
  std::vector<MachineType> types;
  for (const Json& type : ListField(object, field::kMachineTypes)) {
    types.push_back(ParseMachineType(type));
  }
  if (types.empty()) ThrowBadMessage("no machine types");
  return types;
}

Json ToJson(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const MachineType& type : types) {
    list.push_back({{field::kName, type.name},
                    {field::kCpus, type.cpus},
                    {field::kGpus, type.gpus},
                    {field::kMemoryGb, type.memory_gb},
                    {field::kCacheGb, type.cache_gb},
                    {field::kFetchGbPerS, type.fetch_gb_per_s},
                    {field::kPrice, type.price},
                    {field::kSpotPrice, type.spot_price},
                    {field::kBootS, type.boot_s},
                    {field::kZones, type.zones}});
  }
  return Json{{field::kMachineTypes, std::move(list)}};
}

Json ToJson(const RentRequest& request) {
  return Json{{field::kRentRequest, request.request},
              {field::kMachineType, request.type},
              {field::kZone, request.zone},
              {field::kSpot, request.spot},
              {field::kCount, request.count}};
}

std::vector<std::string> ParseRented(const Json& object) {
  std::vector<std::string> machines;
  for (const Json& machine : ListField(object, field::kMachines)) {
    if (!machine.is_string()) ThrowBadMessage("a machine's name is not a string");
    machines.push_back(machine.get<std::string>());
  }
  return machines;
}

Json DeleteRequest(const std::vector<std::string>& machines) {
  return Json{{field::kMachines, machines}};
}

MachinePage ParseMachinePage(const Json& object) {
  MachinePage page;
  for (const Json& machine : ListField(object, field::kMachines)) {
    page.machines.push_back(ParseListedMachine(machine));
  }
  const Json* more = OptionalField(object, field::kMore);
  if (more != nullptr && more->is_boolean()) page.more = more->get<bool>();
  return page;
}

std::string MachineListTarget(const std::string& after, int limit) {
  return "/hosts?since=" + after + "&most=" + std::to_string(limit);
}

}  // namespace mosspath::wire
