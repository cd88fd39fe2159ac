// A shard holder by itself.
#include "mosspath/shard/shard_holder.h"

#include <gtest/gtest.h>

#include <string>

#include "mosspath/wire/json.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {
namespace {

using Item = wire::ShardMessage;
using Kind = wire::ShardMessage::Kind;

// Handed over a second time before its holder ever saw the record in between, a machine has the
// tasks that it is handed with. Taken for nowhere, as after the first time, they ran twice.
TEST(BlockHolder, AMachineHandedOverAgainIsNotTheOneGivenBack) {
  config::Settings s;
  s.name = "hut-1";
  s.peers = {{"hut-0", "", ""}};
  s.teams = {{"t", 0, 0, 0, 0}};
  s.heartbeat_s = 1.5;
  s.agent_lease_s = 10;
  s.cancel_within_s = 20;
  s.store_value_kb = 8;
  constexpr uint64_t kLeader = 5;
  constexpr uint64_t kLease = 9;
  wire::JobSpec spec;
  spec.id = "req-1";
  spec.team = "t";
  spec.tasks = 2;
  spec.cpus = 1;
  for (const uint64_t told : {uint64_t{20}, uint64_t{40}}) {
    ShardHolder h(s, config::DerivedSettings(s), 1, kLease, 0, [&](const std::string&) {
      return ShardHolder::LiveJob{spec, 3, 0};
    });
    h.OnLeader(kLeader);
    uint64_t sent = 0;
    const auto tell = [&](const Item& item, double now) {
      wire::ShardFrame f;
      f.leader_token = kLeader;
      f.lease = kLease;
      f.from_leader = true;
      f.first_sequence = ++sent;
      f.messages = {wire::Encode(item)};
      ASSERT_TRUE(h.OnFrame(f, now));
    };
    wire::Heartbeat r;
    r.machine = "vm-1";
    r.address = "a:1";
    r.type = "box";
    r.agent_epoch = 1;
    h.OnMachineAssigned("vm-1", "a:1", /*version=*/21, /*handed=*/20, 1);
    r.fencing_token = 21;
    r.sequence = 1;
    h.OnHeartbeat(r, 1);
    tell({.kind = Kind::kRecallMachine, .name = "vm-1"}, 1.1);
    h.Tick(1.2);
    ASSERT_TRUE(h.returned().contains("vm-1"));
    // 20: as of the first time, late; 40: the second.
    tell(
        {.kind = Kind::kHandOverTasks, .name = "vm-1", .job = "req-1", .tasks = {0}, .count = told},
        1.3);
    EXPECT_EQ(h.dispatcher().FindJob("req-1")->pending.size(), told == 20 ? 1u : 0u);
    h.OnMachineAssigned("vm-1", "a:1", 45, told, 1.4);
    EXPECT_EQ(h.dispatcher().Owns("vm-1"), told == 40);
  }
}

}  // namespace
}  // namespace mosspath::shard
