// Unit tests of ShardHolder, without a leader.
#include "mosspath/shard/shard_holder.h"

#include <gtest/gtest.h>

#include <string>

#include "builders.h"
#include "mosspath/wire/json.h"
#include "mosspath/wire/shard_frame.h"

namespace mosspath::shard {
namespace {

using wire::ShardMessage;

// Guards against tasks that run twice: a holder returned a machine, and the leader handed the
// machine over again before the holder had read that the machine was returned. The holder treated
// the tasks of the second handover, which were on the machine, as tasks of a returned machine.
TEST(ShardHolderTest, AMachineHandedOverAgainIsNotTheReturnedOne) {
  config::Settings settings;
  settings.name = "hut-1";
  settings.peers = {{"hut-0", "", ""}};
  settings.teams = {{"t", 0, 0, 0, 0}};
  settings.heartbeat_s = 1.5;
  settings.agent_lease_s = 10;
  settings.cancel_within_s = 20;
  settings.store_value_kb = 8;
  constexpr uint64_t kLeader = 5;
  constexpr uint64_t kLease = 9;
  const wire::JobSpec spec = test::MakeJobSpec("req-1", "t", /*tasks=*/2);
  for (const uint64_t handover_revision : {uint64_t{20}, uint64_t{40}}) {
    ShardHolder holder(settings, config::DerivedSettings(settings), 1, kLease, 0,
                       [&](const std::string&) {
                         return ShardHolder::LiveJob{spec, 3, 0};
                       });
    holder.OnLeader(kLeader);
    uint64_t sent = 0;
    const auto receive = [&](const ShardMessage& message, double now) {
      wire::ShardFrame frame;
      frame.leader_token = kLeader;
      frame.lease = kLease;
      frame.from_leader = true;
      frame.first_sequence = ++sent;
      frame.messages = {wire::Encode(message)};
      ASSERT_TRUE(holder.OnFrame(frame, now));
    };
    holder.OnMachineAssigned("vm-1", "a:1", /*version=*/21, /*handover_revision=*/20, 1);
    wire::Heartbeat heartbeat = test::MakeHeartbeat("vm-1", /*agent_epoch=*/1, /*sequence=*/1,
                                                    /*fencing_token=*/21);
    heartbeat.address = "a:1";
    holder.OnHeartbeat(heartbeat, 1);
    receive({.kind = ShardMessage::Kind::kRecallMachine, .name = "vm-1"}, 1.1);
    holder.Tick(1.2);
    ASSERT_TRUE(holder.returned().contains("vm-1"));
    // A handover revision of 20 marks a delayed message of the first handover, 40 marks a message
    // of the second handover.
    receive({.kind = ShardMessage::Kind::kHandOverTasks,
             .name = "vm-1",
             .job = "req-1",
             .tasks = {0},
             .count = handover_revision},
            1.3);
    EXPECT_EQ(holder.dispatcher().FindJob("req-1")->pending.size(),
              handover_revision == 20 ? 1u : 0u);
    holder.OnMachineAssigned("vm-1", "a:1", 45, handover_revision, 1.4);
    EXPECT_EQ(holder.dispatcher().Owns("vm-1"), handover_revision == 40);
  }
}

// Guards against a holder that takes machines from a leader which does not know its lease: a
// revision that was read becomes a token only after a frame of the leader of that time.
TEST(ShardHolderTest, ARevisionBecomesATokenOnlyUnderALeaderThatKnowsTheLease) {
  config::Settings settings = test::SchedulerSettings();
  settings.name = "hut-1";
  settings.peers = {{"hut-0", "", ""}};
  constexpr uint64_t kLeader = 5;
  constexpr uint64_t kLease = 9;
  constexpr uint64_t kRecord = 21;
  constexpr uint64_t kRevision = 30;
  ShardHolder holder(settings, config::DerivedSettings(settings), 1, kLease, 0,
                     [](const std::string&) { return std::nullopt; });
  holder.OnLeader(kLeader);
  holder.OnMachineAssigned("vm-1", "a:1", kRecord, /*handover_revision=*/20, 1);
  uint64_t sequence = 0;
  // Returns the token of the answer to a heartbeat that lists an exited attempt of unknown origin.
  const auto token_of_answer = [&](double now) {
    wire::Heartbeat heartbeat =
        test::MakeHeartbeat("vm-1", /*agent_epoch=*/1, ++sequence, /*fencing_token=*/kRecord);
    heartbeat.address = "a:1";
    heartbeat.tasks = {
        test::Exited({.task = {"req-1", 0}, .attempt = 7}, wire::ExitReason::kFailed)};
    return holder.OnHeartbeat(heartbeat, now).token;
  };
  holder.OnRevisionRead(kRevision);
  EXPECT_EQ(token_of_answer(2), kRecord);
  wire::ShardFrame frame;
  frame.leader_token = kLeader;
  frame.lease = kLease;
  frame.from_leader = true;
  ASSERT_TRUE(holder.OnFrame(frame, 2));
  holder.OnRevisionRead(kRevision);
  EXPECT_EQ(token_of_answer(3), kRevision);
  holder.OnLeader(kLeader + 100);
  holder.OnRevisionRead(kRevision + 100);
  EXPECT_LE(token_of_answer(4), kRevision);
}

}  // namespace
}  // namespace mosspath::shard
