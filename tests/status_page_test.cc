// The status page and status.json.
#include <gtest/gtest.h>

#include <string>

#include "builders.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

// For each controller, the page shows when and by which controller its last heartbeat was received,
// and which services that controller cannot reach.
TEST(StatusPageTest, ShowsWhichControllersAreUpAndTheAgeOfTheFigures) {
  Status status;
  status.snapshot = test::SampleStatusSnapshot();
  status.served_by = "hut-0";
  status.snapshot_age_s = 7;
  status.controllers = {{"hut-0", "a", false, 0, "hut-0", {}},
                        {"hut-1", "b", true, 65, "hut-2", {"word from it here"}}};
  const std::string page = StatusPage(status);
  for (const char* part : {"figures are 7 s old", "heard 65 s ago by hut-2", "lacks nothing",
                           "all machines are in use", "finished never", "the team's limit"}) {
    EXPECT_NE(page.find(part), std::string::npos) << part << "\n" << page;
  }
  const Json json = StatusJson(status);
  EXPECT_EQ(json["controllers"][1]["heard_by"], "hut-2");
  EXPECT_TRUE(json["queues"][0]["finished_ago_s"].is_null());
  EXPECT_EQ(json["teams"][0]["waits_for"], "the team's limit");
}

}  // namespace
}  // namespace mosspath::wire
