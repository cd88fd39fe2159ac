// The assignment of machines to shards, and of shards to controllers.
#include "mosspath/scheduler/shard_map.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "builders.h"

namespace mosspath::scheduler {
namespace {

TEST(ShardMapTest, AllControllersComputeTheSameShardsWithinZones) {
  config::Settings settings = test::SchedulerSettings();
  settings.name = "hut-1";
  settings.zone = "a";
  settings.peers = {{"hut-0", "a", "x:1"}, {"hut-2", "b", "x:2"}};
  const ShardMap here(settings);
  settings.name = "hut-2";
  settings.zone = "b";
  settings.peers = {{"hut-1", "a", "x:1"}, {"hut-0", "a", "x:2"}};
  const ShardMap there(settings);
  std::map<size_t, int> sizes;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "vm-" + std::to_string(i);
    for (const char* zone : {"a", "b", "nobody's"}) {
      ASSERT_EQ(here.ShardOf(id, zone), there.ShardOf(id, zone));
    }
    EXPECT_EQ(here.OwnerOf(here.ShardOf(id, "b")), "hut-2");
    EXPECT_NE(here.OwnerOf(here.ShardOf(id, "a")), "hut-2");
    ++sizes[here.ShardOf(id, "nobody's")];
  }
  for (size_t shard = 0; shard < here.size(); ++shard) EXPECT_NEAR(sizes[shard], 100, 40) << shard;
}

}  // namespace
}  // namespace mosspath::scheduler
