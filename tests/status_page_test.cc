// The status page and status.json.
#include <gtest/gtest.h>

#include <string>

#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

StatusSnapshot Sample() {
  StatusSnapshot d;
  d.leader = "hut-1";
  d.token = 1234567890123;
  d.recovery_complete = true;
  d.leader_for_s = 12.5;
  d.queues = {{"tally", 3, 40, 12, 1.5, kNeverS, 60.25, "all machines are in use"}};
  d.teams = {{"desk", 3, 40, 12, 1.5, 2, 60.25, "the team's limit"}};
  d.machines = {{"box", "a", true, 5, 1, 2, 160, 120.5}};
  d.progress = {{"finished", "tally", 200, 1, 0.92, 11, 12}, {"deadline", "x", 0, 1.5, 0.9, 0, 0}};
  d.incidents = {{3.25, "machine vm-1 was lost"}};
  d.jobs = {{"req-000001", 3, 4}, {"req-000002", 0, 1}};
  return d;
}

// The page says of each controller when it was heard, by whom, and what it lacks.
TEST(Status, TellsWhoIsThereAndHowOldItIs) {
  Status s;
  s.snapshot = Sample();
  s.served_by = "hut-0";
  s.snapshot_age_s = 7;
  s.controllers = {{"hut-0", "a", false, 0, "hut-0", {}},
                   {"hut-1", "b", true, 65, "hut-2", {"word from it here"}}};
  const std::string page = StatusPage(s);
  for (const char* part : {"figures are 7 s old", "heard 65 s ago by hut-2", "lacks nothing",
                           "all machines are in use", "finished never", "the team's limit"}) {
    EXPECT_NE(page.find(part), std::string::npos) << part << "\n" << page;
  }
  const Json j = StatusJson(s);
  EXPECT_EQ(j["controllers"][1]["heard_by"], "hut-2");
  EXPECT_TRUE(j["queues"][0]["finished_ago_s"].is_null());
  EXPECT_EQ(j["teams"][0]["waits_for"], "the team's limit");
}

}  // namespace
}  // namespace mosspath::wire
