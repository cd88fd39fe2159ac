// Agents' heartbeats as JSON: the fast reader against the plain one.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::wire {
namespace {

// The fast reader takes and refuses what the plain one does.
TEST(Report, TheFastReaderAgreesWithThePlainOne) {
  Heartbeat r;
  r.machine = "vm-1";
  r.address = "10.1.0.1:9000";
  r.type = "g8";
  r.zone = "a";
  r.agent_epoch = 2;
  r.sequence = 88;
  r.fencing_token = 41;
  for (uint32_t i = 0; i < 5; ++i) {
    TaskStatus t;
    t.task = {"req-000412", i};
    t.attempt = (uint64_t{41} << 16) | i;
    t.state = static_cast<TaskState>(i);
    t.exit_reason = i == 4 ? ExitReason::kSucceeded : ExitReason::kNone;
    t.checkpointed = i % 2 == 0;
    r.tasks.push_back(t);
  }
  const std::string good = ToJson(r).dump();
  const auto told = [](auto parse) -> std::string {
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
    for (const Json& v : {Json(), Json(""), Json(-1), Json(1.5), Json(true), Json::array({1}),
                          Json(std::string(200, 'x')), Json(7)}) {
      Json j = Json::parse(good);
      j[field] = v;
      texts.push_back(j.dump());
      j.erase(field);
      texts.push_back(j.dump());
    }
  }
  for (const char* field : {"crate", "try", "stage", "cause", "saved"}) {
    for (const Json& v : {Json(), Json("req-1/2"), Json(-1), Json("ended"), Json(false)}) {
      Json j = Json::parse(good);
      j["crates"][4][field] = v;
      texts.push_back(j.dump());
    }
  }
  for (int i = 0; i < 400; ++i) {  // damaged at any place
    std::string s = good;
    s[random() % s.size()] = static_cast<char>(random() % 128);
    if (i % 3 == 0) s.resize(random() % s.size());
    texts.push_back(s);
  }
  size_t taken = 0;
  for (const auto& text : texts) {
    const auto plain = told([&] { return ParseHeartbeat(ParseObject(text)); });
    EXPECT_EQ(told([&] { return ReadHeartbeat(text); }), plain) << text;
    taken += plain == "refused" ? 0 : 1;
  }
  EXPECT_GT(taken, 20u);
}

}  // namespace
}  // namespace mosspath::wire
