// Validation of the operator settings.
#include "mosspath/config/operator_settings.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::wire {
namespace {

TEST(OperatorSettingsTest, EachIsValidated) {
  const config::OperatorSettings base;
  EXPECT_EQ(config::Change(base, config::ToJson(base)), base);
  EXPECT_EQ(config::Change(base, Json{{"gamma", 2.5}}).gamma, 2.5);
  const std::vector<std::pair<const char*, Json>> bad = {
      {"gamma", 0.5},        {"gamma", "2"},       {"epsilon", -0.1},    {"epsilon", 2},
      {"max_machines", 1.5}, {"max_machines", -1}, {"horizon_boots", 0}, {"keep_idle_boots", -1},
      {"reserve", 11},       {"preemption", 1},    {"unheard_of", 1}};
  for (const auto& [key, value] : bad) {
    try {
      config::Change(base, Json{{key, value}});
      ADD_FAILURE() << key << " = " << value << " was accepted";
    } catch (const BadMessage& e) {
      EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
    }
  }
}

}  // namespace
}  // namespace mosspath::wire
