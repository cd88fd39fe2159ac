#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>

#include "mosspath/wire/json.h"

namespace mosspath::wire {
namespace {

TEST(JobJson, RoundTrip) {
  const Json j = ParseObject(
      R"({"id":"req-000412","lot":"train","house":"vision","catch":"array","rank":"high",
          "crates":16,"vcpus":8.0,"cards":1.0,"mem_gb":64.0,"kit":"img-07","size_gb":6.2,
          "builds":["g8"],"shore":null,"together":true,"apart":false,"loaners":true,
          "guess_s":240.0,"tally_s":30.0,"stow_s":4.0,"dawn_s":900.0,"unheard_of":[1]})");
  const JobSpec s = ParseJob(j);
  EXPECT_EQ(s.tasks, 16u);
  EXPECT_EQ(s.priority, Priority::kHigh);
  EXPECT_FALSE(s.zone);
  EXPECT_EQ(s.deadline_s, 900.0);
  EXPECT_EQ(ToJson(ParseJob(ToJson(s))), ToJson(s));
}

TEST(JobJson, RefusesHostileInput) {
  JobSpec spec;
  spec.id = "req-1";
  spec.job_class = spec.team = spec.image = "x";
  spec.tasks = 1;
  const Json good = ToJson(spec);
  EXPECT_NO_THROW(ParseJob(good));
  const std::vector<std::pair<const char*, Json>> bad = {
      {"crates", 0},
      {"crates", 100001},
      {"crates", -1},
      {"crates", 1.5},
      {"vcpus", -1},
      {"vcpus", "8"},
      {"mem_gb", 1e300},
      {"id", "job-1"},
      {"id", "req-"},
      {"id", "req-1/../x"},
      {"catch", "herd"},
      {"rank", 3},
      {"together", "true"},
      {"builds", "g8"},
      {"builds", {1, 2}},
      {"builds", std::vector<std::string>(33, "x")},
      {"builds", {std::string(200, 'x')}},
      {"kit", ""},
      {"dawn_s", "soon"},
      {"house", nullptr}};
  for (const auto& [key, value] : bad) {
    Json j = good;
    j[key] = value;
    EXPECT_THROW(ParseJob(j), BadMessage) << key << " = " << value;
  }
  for (const char* text : {"", "[]", "{", "nul", "\"\xff\xfe\"", "{\"id\":\"\xc3\x28\"}"}) {
    EXPECT_THROW(ParseObject(text), BadMessage) << text;
  }
}

// By its name, so that its user knows.
TEST(JobJson, EachFieldMustBeThere) {
  JobSpec spec;
  spec.id = "req-1";
  spec.job_class = spec.team = spec.image = "x";
  spec.tasks = 1;
  spec.types = {"g8"};
  spec.zone = "a";
  spec.deadline_s = 10;
  const Json good = ToJson(spec);
  const std::set<std::string> may_be_null{"builds", "shore", "dawn_s"};
  EXPECT_EQ(good.size(), 20u);  // PROTOCOL's table
  for (const auto& [key, value] : good.items()) {
    for (const bool null : {false, true}) {
      Json j = good;
      if (null) {
        j[key] = nullptr;
      } else {
        j.erase(key);
      }
      if (may_be_null.contains(key)) {
        EXPECT_NO_THROW(ParseJob(j)) << key;
        continue;
      }
      try {
        ParseJob(j);
        ADD_FAILURE() << key << " is missed by nobody";
      } catch (const BadMessage& e) {
        EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
      }
    }
  }
}

TEST(TaskName, RefusesWhatIsNotATask) {
  EXPECT_EQ(ParseTaskName("req-7/12"), (TaskId{"req-7", 12}));
  for (const char* name : {"req-7", "req-7/", "req-7/x", "req-7/-1", "x/1", "req-7/99999999999"}) {
    EXPECT_THROW(ParseTaskName(name), BadMessage) << name;
  }
}

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
