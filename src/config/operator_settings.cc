#include "mosspath/config/operator_settings.h"

#include <cmath>

namespace mosspath::config {
namespace {

using wire::BadMessage;
using wire::Json;

constexpr uint64_t kMaxMachines = 1'000'000;
constexpr size_t kMaxWeights = 1000;
constexpr double kMaxWeight = 1000;

double ToNumber(const std::string& key, const Json& value, double min, double max) {
  if (!value.is_number()) throw BadMessage(key + " is not a number");
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < min || number > max) {
    throw BadMessage(key + " is out of range");
  }
  return number;
}

bool ToSwitch(const std::string& key, const Json& value) {
  if (!value.is_boolean()) throw BadMessage(key + " is not a boolean");
  return value.get<bool>();
}

uint64_t ToMachineCount(const std::string& key, const Json& value) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > kMaxMachines) {
    throw BadMessage(key + " is not a count up to 1000000");
  }
  return value.get<uint64_t>();
}

std::map<std::string, double> ToWeights(const std::string& key, const Json& value) {
  if (!value.is_object() || value.size() > kMaxWeights) {
    throw BadMessage(key + " is not an object of up to 1000 numbers");
  }
  std::map<std::string, double> weights;
  for (const auto& [name, weight] : value.items()) {
    weights[name] = ToNumber(key, weight, 0, kMaxWeight);
  }
  return weights;
}

// A numeric setting and its range.
struct NumberSetting {
  const char* key;
  double OperatorSettings::*member;
  double min;
  double max;
};
constexpr NumberSetting kNumberSettings[] = {
    {"gamma", &OperatorSettings::gamma, 1.0, 1e6},
    {"epsilon", &OperatorSettings::epsilon, 0.0, 1.0},
    {"horizon_boots", &OperatorSettings::horizon_boots, 0.1, 1000},
    {"keep_idle_boots", &OperatorSettings::keep_idle_boots, 0.0, 1000},
    {"reserve", &OperatorSettings::reserve, 0.0, 10},
    {"ordinary_boots", &OperatorSettings::ordinary_boots, 0.0, 100},
    {"begin_share", &OperatorSettings::begin_share, 0.0, 1.0},
    {"give_ahead", &OperatorSettings::give_ahead, 0.0, 10},
    {"turn_share", &OperatorSettings::turn_share, 0.0, 0.5},
};

// A boolean setting.
struct SwitchSetting {
  const char* key;
  bool OperatorSettings::*member;
};
constexpr SwitchSetting kSwitchSettings[] = {
    {"preemption", &OperatorSettings::preemption},
    {"lease_blocks", &OperatorSettings::lease_blocks},
    {"share_acceptances", &OperatorSettings::share_acceptances},
};

constexpr const char* kMaxMachinesKey = "max_machines";
constexpr const char* kWeightsKey = "weights";

void ChangeOne(const std::string& key, const Json& value, OperatorSettings& settings) {
  for (const NumberSetting& setting : kNumberSettings) {
    if (key != setting.key) continue;
    settings.*setting.member = ToNumber(key, value, setting.min, setting.max);
    return;
  }
  for (const SwitchSetting& setting : kSwitchSettings) {
    if (key != setting.key) continue;
    settings.*setting.member = ToSwitch(key, value);
    return;
  }
  if (key == kMaxMachinesKey) {
    settings.max_machines = ToMachineCount(key, value);
  } else if (key == kWeightsKey) {
    settings.weights = ToWeights(key, value);
  } else {
    throw BadMessage(key + " is not a setting");
  }
}

}  // namespace

OperatorSettings Change(const OperatorSettings& from, const Json& changes) {
  if (!changes.is_object()) throw BadMessage("settings is not an object");
  OperatorSettings changed = from;
  for (const auto& [key, value] : changes.items()) ChangeOne(key, value, changed);
  return changed;
}

Json ToJson(const OperatorSettings& settings) {
  Json object{{kMaxMachinesKey, settings.max_machines}, {kWeightsKey, settings.weights}};
  for (const NumberSetting& setting : kNumberSettings) {
    object[setting.key] = settings.*setting.member;
  }
  for (const SwitchSetting& setting : kSwitchSettings) {
    object[setting.key] = settings.*setting.member;
  }
  return object;
}

}  // namespace mosspath::config
