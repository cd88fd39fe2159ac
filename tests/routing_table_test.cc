// Tests of the routing of a machine's heartbeats to the holder of the machine's shard.
#include "mosspath/shard/routing_table.h"

#include <gtest/gtest.h>

#include "mosspath/wire/json.h"

namespace mosspath::shard {
namespace {

TEST(RoutingTableTest, RoutesFollowTheMachineRecords) {
  RoutingTable routes;
  const wire::Json pack{{"vm-1", "a:1"}, {"vm-2", "b:1/7"}, {"vm-3", "c:1/8"}, {"vm-4", 5}};
  routes.OnPack(0, &pack, 20);
  EXPECT_EQ(routes.HolderOf("vm-2"), "");
  routes.OnLease("hut-1", 7);
  EXPECT_EQ(routes.HolderOf("vm-2"), "hut-1");
  EXPECT_EQ(routes.HolderOf("vm-1"), "");
  EXPECT_EQ(routes.HolderOf("vm-3"), "");  // Lease 8 has no holder.
  EXPECT_EQ(routes.MachinesUnder(7).at("vm-2").address, "b:1");
  EXPECT_EQ(routes.MachinesUnder(7).at("vm-2").version, 20u);
  routes.OnLease("hut-1", 8);
  EXPECT_EQ(routes.HolderOf("vm-2"), "");
  EXPECT_EQ(routes.HolderOf("vm-3"), "hut-1");
  routes.OnPack(0, nullptr, 30);
  EXPECT_EQ(routes.HolderOf("vm-3"), "");
}

}  // namespace
}  // namespace mosspath::shard
