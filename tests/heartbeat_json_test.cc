// Tests of agent heartbeats as JSON: compares the fast parser (ReadHeartbeat) with the reference
// parser (ParseHeartbeat).
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::wire {
namespace {

// Both parsers must accept the same texts with the same result, and reject the same texts. Inputs
// include wrong types and random damage.
TEST(HeartbeatJsonTest, TheFastReaderAgreesWithTheReferenceReader) {
  Heartbeat heartbeat;
  heartbeat.machine = "vm-1";
  heartbeat.address = "10.1.0.1:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = 2;
  heartbeat.sequence = 88;
  heartbeat.fencing_token = 41;
  for (uint32_t i = 0; i < 5; ++i) {
    TaskStatus status;
    status.task = {"req-000412", i};
    status.attempt = (uint64_t{41} << 16) | i;
    status.state = static_cast<TaskState>(i);
    status.exit_reason = i == 4 ? ExitReason::kSucceeded : ExitReason::kNone;
    status.checkpointed = i % 2 == 0;
    heartbeat.tasks.push_back(status);
  }
  const std::string good = ToJson(heartbeat).dump();
  const auto result_of = [](auto parse) -> std::string {
    try {
      return ToJson(parse()).dump();
    } catch (const BadMessage&) {
      return "refused";
    }
  };
  std::mt19937 random(7);
  std::vector<std::string> texts{good, "", "[]", "{}", "{\"rig\":null}", good + "x"};
  for (const char* field :
       {"rig", "loaners", "shift", "baton", "warning_s", "crates", "endpoint"}) {
    for (const Json& value : {Json(), Json(""), Json(-1), Json(1.5), Json(true), Json::array({1}),
                              Json(std::string(200, 'x')), Json(7)}) {
      Json json = Json::parse(good);
      json[field] = value;
      texts.push_back(json.dump());
      json.erase(field);
      texts.push_back(json.dump());
    }
  }
  for (const char* field : {"crate", "try", "stage", "cause", "saved"}) {
    for (const Json& value : {Json(), Json("req-1/2"), Json(-1), Json("ended"), Json(false)}) {
      Json json = Json::parse(good);
      json["crates"][4][field] = value;
      texts.push_back(json.dump());
    }
  }
  for (int i = 0; i < 400; ++i) {  // Changes a byte; truncates every third text.
    std::string text = good;
    text[random() % text.size()] = static_cast<char>(random() % 128);
    if (i % 3 == 0) text.resize(random() % text.size());
    texts.push_back(text);
  }
  size_t accepted = 0;
  for (const auto& text : texts) {
    const auto reference = result_of([&] { return ParseHeartbeat(ParseObject(text)); });
    EXPECT_EQ(result_of([&] { return ReadHeartbeat(text); }), reference) << text;
    accepted += reference == "refused" ? 0 : 1;
  }
  EXPECT_GT(accepted, 20u);
}

}  // namespace
}  // namespace mosspath::wire
