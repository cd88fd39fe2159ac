// Tests of job specifications and task names as JSON, with hostile and incomplete input.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::wire {
namespace {

TEST(JobJsonTest, RoundTrip) {
  const Json json = ParseObject(
      R"({"id":"req-000412","lot":"train","house":"vision","catch":"array","rank":"high",
          "crates":16,"vcpus":8.0,"cards":1.0,"mem_gb":64.0,"kit":"img-07","size_gb":6.2,
          "builds":["g8"],"shore":null,"together":true,"apart":false,"loaners":true,
          "guess_s":240.0,"tally_s":30.0,"stow_s":4.0,"dawn_s":900.0,"unheard_of":[1]})");
  const JobSpec spec = ParseJob(json);
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_EQ(spec.priority, Priority::kHigh);
  EXPECT_FALSE(spec.zone);
  EXPECT_EQ(spec.deadline_s, 900.0);
  EXPECT_EQ(ToJson(ParseJob(ToJson(spec))), ToJson(spec));
}

TEST(JobJsonTest, RefusesHostileInput) {
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
    Json json = good;
    json[key] = value;
    EXPECT_THROW(ParseJob(json), BadMessage) << key << " = " << value;
  }
  for (const char* text : {"", "[]", "{", "nul", "\"\xff\xfe\"", "{\"id\":\"\xc3\x28\"}"}) {
    EXPECT_THROW(ParseObject(text), BadMessage) << text;
  }
}

// The error names the missing field, so that a user can correct the submission.
TEST(JobJsonTest, EachFieldMustBeThere) {
  JobSpec spec;
  spec.id = "req-1";
  spec.job_class = spec.team = spec.image = "x";
  spec.tasks = 1;
  spec.types = {"g8"};
  spec.zone = "a";
  spec.deadline_s = 10;
  const Json good = ToJson(spec);
  const std::set<std::string> optional_fields{"builds", "shore", "dawn_s"};
  EXPECT_EQ(good.size(), 20u);  // the number of fields in PROTOCOL's table
  for (const auto& [key, value] : good.items()) {
    for (const bool null : {false, true}) {
      Json json = good;
      if (null) {
        json[key] = nullptr;
      } else {
        json.erase(key);
      }
      if (optional_fields.contains(key)) {
        EXPECT_NO_THROW(ParseJob(json)) << key;
        continue;
      }
      try {
        ParseJob(json);
        ADD_FAILURE() << key << " may be missing";
      } catch (const BadMessage& e) {
        EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
      }
    }
  }
}

TEST(TaskNameTest, RefusesWhatIsNotATask) {
  EXPECT_EQ(ParseTaskName("req-7/12"), (TaskId{"req-7", 12}));
  for (const char* name : {"req-7", "req-7/", "req-7/x", "req-7/-1", "x/1", "req-7/99999999999"}) {
    EXPECT_THROW(ParseTaskName(name), BadMessage) << name;
  }
}

}  // namespace
}  // namespace mosspath::wire
