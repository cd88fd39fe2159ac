// A new leader takes over the machines and tasks of the one before it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// A third of the machines has died with the leader. The successor asks all, a bounded number at
// once and the silent ones no more than every so often; it starts new jobs meanwhile, and old ones
// once no lease can hold any more.
TEST_F(DispatcherTest, ATakeoverAfterAThirdOfTheMachinesDied) {
  constexpr size_t kMachines = 900;
  const auto dead = [](const std::string& id) { return id.back() % 3 == 0; };
  wire::Json record = wire::Json::object();
  for (size_t i = 0; i < kMachines; ++i) {
    const std::string id = "vm-" + std::to_string(1000 + i);
    record[id] = id + ":1";
  }
  d_.LoadMachinesPack(0, record, 1);
  d_.AddJob(Job(1, 500, 1, wire::Priority::kNormal), 9, 0);
  size_t in_vain = 0;
  double settled = -1;
  for (double now = 0; now < 2 * settings_.agent_lease_s && settled < 0; now += 0.1) {
    const auto orders = d_.TakeCommands(now);
    EXPECT_LE(orders.size(), 128u);
    for (const auto& o : orders) {
      wire::Heartbeat r = Written(o.machine.c_str(), 1);
      const bool silent = dead(o.machine);
      in_vain += silent ? 1 : 0;
      d_.OnCommandOutcome(o, silent ? CommandOutcome::kUndetermined : CommandOutcome::kExecuted, &r,
                          now);
    }
    d_.Tick(now);
    if (d_.recovery_complete()) settled = now;
    if (settled < 0) {
      EXPECT_EQ(d_.Counts("req-1").running, 0u) << now;
    }
  }
  EXPECT_GE(settled, derived_.agent_lease_over_s);  // too many to delete: more likely a cut
  EXPECT_LE(settled, derived_.agent_lease_over_s + 0.3);
  EXPECT_LE(static_cast<double>(in_vain),
            kMachines / 2.0 * (settled / derived_.probe_answer_s + 1));
  d_.AddJob(Job(2, 5, 1, wire::Priority::kNormal), 11, settled);
  // Nobody has reported for a lease, and orders renew none: what reports now is given work at once.
  const auto reports = [&](double now) { return d_.OnHeartbeat(Written("vm-1001", 2), now); };
  reports(settled + 0.5);
  d_.Tick(settled + 0.5);
  Flush();
  EXPECT_FALSE(Only(reports(settled + 1), wire::CommandType::kStart).empty());
  EXPECT_GT(d_.Counts("req-1").running + d_.Counts("req-2").running, 0u);
}

// After a takeover some machines of many are always gone already; the successor started nothing of
// earlier jobs for up to 17 s because of them. It deletes the few it has not heard of.
TEST_F(DispatcherTest, ASuccessorDeletesTheFewMachinesThatDoNotReport) {
  wire::Json record = wire::Json::object();
  for (int i = 0; i < 100; ++i) record["vm-" + std::to_string(100 + i)] = "a";
  d_.LoadMachinesPack(0, record, 1);
  d_.AddJob(Job(1, 5000, 1, wire::Priority::kNormal), 9, 0);  // keeps all machines wanted
  for (int i = 0; i < 60; ++i) Report("vm-" + std::to_string(100 + i), 1);
  EXPECT_TRUE(d_.PlanScaling(derived_.agents_find_leader_s + 1)
                  .scale_in.empty());  // many: more likely a cut
  for (int i = 60; i < 98; ++i) Report("vm-" + std::to_string(100 + i), 2);
  EXPECT_TRUE(
      d_.PlanScaling(derived_.agents_find_leader_s - 0.1).scale_in.empty());  // may still come
  const auto plan = d_.PlanScaling(derived_.agents_find_leader_s + 0.1);
  EXPECT_EQ(plan.scale_in, (std::vector<std::string>{"vm-198", "vm-199"}));
  EXPECT_FALSE(d_.recovery_complete());
  for (const auto& id : plan.scale_in) d_.OnMachineDeleted(id, derived_.agents_find_leader_s + 0.3);
  EXPECT_TRUE(d_.recovery_complete());
}

// Workers took 4 to 9 s to find a successor, as their reports to the one that was gone had to time
// out first. It asks them instead, and goes by the answers.
TEST_F(DispatcherTest, ASuccessorAsksTheMachinesItTookOver) {
  d_.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "east"}}, 1);
  d_.AddJob(Job(1, 2, 1, wire::Priority::kHigh), 9, 0);
  const auto orders = d_.TakeCommands(0);
  ASSERT_EQ(orders.size(), 2u);  // the third one's entry has no address
  EXPECT_TRUE(d_.TakeCommands(0).empty());
  const auto answer = [&](const CommandBatch& o, uint64_t session, CommandOutcome outcome) {
    wire::Heartbeat r = Written(o.machine, session);
    r.tasks = {{{"req-1", 0}, 77, wire::TaskState::kRunning, wire::ExitReason::kNone, false}};
    d_.OnCommandOutcome(o, outcome, &r, 0.1);
  };
  EXPECT_EQ(orders[0].address, "vm-1:1");
  answer(orders[0], 1, CommandOutcome::kExecuted);
  EXPECT_EQ(d_.Counts("req-1").running, 1u);
  EXPECT_FALSE(d_.recovery_complete());
  // The second is in a later session: asked once more, for that.
  answer(orders[1], 4, CommandOutcome::kRefused);
  const auto again = d_.TakeCommands(settings_.heartbeat_s);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].agent_epoch, 4u);
  d_.OnCommandOutcome(again[0], CommandOutcome::kUndetermined, nullptr, 3);  // proves nothing
  for (const auto& o : d_.TakeCommands(3)) EXPECT_NE(o.machine, "vm-2");
  Report("vm-2", 4);
  EXPECT_FALSE(d_.recovery_complete());
  Report("vm-3", 4);
  EXPECT_TRUE(d_.recovery_complete());
}

// With two of three controllers standing still, workers took 10 s to find the one that was left; it
// took them for out of reach and resigned, again and again, with nobody to follow.
TEST_F(DispatcherTest, ASuccessorResignsOnlyWhenItAsksInVain) {
  d_.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "vm-3:1"}}, 1);
  for (const auto& o : d_.TakeCommands(0)) {
    const wire::Heartbeat r = Written(o.machine, 1);
    d_.OnCommandOutcome(o, CommandOutcome::kExecuted, &r, 0.1);
  }
  EXPECT_TRUE(d_.recovery_complete());
  EXPECT_FALSE(d_.IsPartitionedFromAgents(8));
  EXPECT_FALSE(d_.IsPartitionedFromAgents(8 + settings_.heartbeat_s));
  EXPECT_EQ(d_.TakeCommands(8).size(), 3u);  // asked again: they still run what they had

  Scheduler cut(settings_, derived_, 20, 0);
  cut.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "vm-3:1"}},
                       1);
  for (const double now : {0.0, 1.0, 2.0}) {
    for (const auto& o : cut.TakeCommands(now)) {
      cut.OnCommandOutcome(o, CommandOutcome::kRefused, nullptr, now + derived_.probe_answer_s);
    }
  }
  EXPECT_FALSE(cut.IsPartitionedFromAgents(3));  // unless it lasts
  EXPECT_TRUE(cut.IsPartitionedFromAgents(3.1 + settings_.heartbeat_s / 2));
}

// A new leader deleted machines that had not found it yet: it took them for rentals that never
// came up, by the age the cloud gave.
TEST_F(DispatcherTest, InheritedMachinesAreNotTakenForFailedRentals) {
  Scheduler fresh(settings_, derived_, 20, 100);
  fresh.SetMachineTypes({});
  fresh.LoadMachinesPack(0, wire::Json{{"vm-1", "a"}, {"vm-2", "a"}, {"vm-3", "a"}, {"vm-4", "a"}},
                         1);
  std::vector<wire::ListedMachine> listed;
  for (const char* id : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
    listed.push_back({id, "a:1", "box", "a", false, wire::MachineState::kRunning, 500});
  }
  fresh.OnMachineList(listed, 100.5, 101);
  EXPECT_TRUE(fresh.PlanScaling(102).scale_in.empty());
  fresh.Tick(112);
  EXPECT_TRUE(fresh.PlanScaling(112).scale_in.empty());
  EXPECT_FALSE(fresh.recovery_complete());
  fresh.Tick(100 + derived_.agent_lease_over_s + 0.1);  // nobody's answer can be younger than that
  EXPECT_TRUE(fresh.recovery_complete());
}

TEST_F(DispatcherTest, OldJobsWaitForTheTakeoverButNewOnesDoNot) {
  d_.LoadMachinesPack(0, wire::Json{{"vm-1", "a"}, {"vm-2", "a"}}, 1);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 9, 0);
  d_.AddJob(Job(2, 1, 1, wire::Priority::kLow), 11, 0);
  Report("vm-1", 1);
  const auto starts = Only(Report("vm-1", 1.5), wire::CommandType::kStart);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, "req-2");
  EXPECT_FALSE(d_.recovery_complete());
  Report("vm-2", 2);  // the last one is known
  EXPECT_TRUE(d_.recovery_complete());
  d_.Tick(3);
  EXPECT_EQ(d_.Counts("req-1").running, 1u);
}

// With a zone out of reach a successor started nothing of earlier jobs for a whole lease, though
// most of what waited had never been started.
TEST_F(DispatcherTest, WhatNobodyHasMarkedStartsBeforeTheTakeoverHasSettled) {
  d_.SetMarkersSince(5);
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 2, 1, wire::Priority::kNormal), 11, 0);                  // by us
  EXPECT_TRUE(Only(Report("vm-1", 1), wire::CommandType::kStart).empty());  // its mark comes first
  auto records = d_.TakeRecords(100, 48u << 10);
  ASSERT_FALSE(records.progress.empty());
  d_.OnRecordsFailed();
  EXPECT_TRUE(Only(Report("vm-1", 2), wire::CommandType::kStart).empty());
  records = d_.TakeRecords(100, 48u << 10);
  d_.OnRecordsWritten(20, 0);
  d_.Place(3);
  EXPECT_EQ(Only(Report("vm-1", 3), wire::CommandType::kStart).size(), 2u);
  // Its view of who marks is empty while it is loaded anew; it goes on marking.
  d_.SetMarkersSince(TaskPlacer::kNever);
  d_.AddJob(Job(9, 1, 1, wire::Priority::kNormal), 15, 3);
  d_.Place(3.5);
  EXPECT_TRUE(Only(Report("vm-1", 4), wire::CommandType::kStart).empty());
  d_.SetMarkersSince(5);

  Scheduler next(settings_, derived_, 30, 100);
  next.SetMarkersSince(5);
  next.SetMachineTypes({d_type_});
  for (const auto& w : records.progress) next.LoadProgressPack(w.pack, w.value, 1);
  next.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-9", "vm-9:1"}},
                        1);                                   // vm-9 is silent
  next.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);  // marked: some may be on vm-9
  next.AddJob(Job(2, 1, 1, wire::Priority::kHigh), 12, 0);    // urgent jobs carry no marks
  next.AddJob(Job(3, 1, 1, wire::Priority::kNormal), 4, 0);   // accepted before all marked
  next.AddJob(Job(4, 1, 1, wire::Priority::kNormal), 13, 0);  // never started
  wire::Heartbeat r = Written("vm-1", 1);
  r.fencing_token = 30;
  next.OnHeartbeat(r, 101);
  next.Place(101);
  next.TakeRecords(100, 48u << 10);
  next.OnRecordsWritten(31, 0);
  next.Place(102);
  EXPECT_FALSE(next.recovery_complete());
  EXPECT_EQ(next.Counts("req-4").running, 1u);
  for (const char* id : {"req-1", "req-2", "req-3"}) EXPECT_EQ(next.Counts(id).running, 0u) << id;
}

// Made under the old leader, and held back until the new one had asked the machine, found the task
// gone and started it elsewhere.
TEST_F(DispatcherTest, AReportThatWasHeldBackForANewLeaderChangesNothing) {
  d_.LoadMachinesPack(0, {{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}}, 1);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 9, 0);
  wire::Heartbeat held = Written("vm-1", 1);
  held.fencing_token = 3;
  held.tasks = {{{"req-1", 0}, 77, wire::TaskState::kRunning, wire::ExitReason::kNone, false}};
  for (const auto& o : d_.TakeCommands(0.1)) {
    const wire::Heartbeat r = Written(o.machine, 1);
    d_.OnCommandOutcome(o, CommandOutcome::kExecuted, &r, 0.2);
  }
  ASSERT_TRUE(d_.recovery_complete());
  d_.Place(0.3);
  Report("vm-2", 0.5);
  ASSERT_EQ(d_.Counts("req-1").running, 1u);
  const double heard = d_.machines().at("vm-1").last_contact_at;
  EXPECT_FALSE(d_.OnHeartbeat(held, 1).accepted);
  EXPECT_EQ(d_.machines().at("vm-1").last_contact_at, heard);
  EXPECT_EQ(d_.Counts("req-1").running, 1u);
  for (const auto& [key, slot] : d_.machines().at("vm-1").allocations) EXPECT_NE(key.second, 77u);
}

// A machine asked in a new session took starts; they were counted as gone by the last answer that
// anybody gave it, while the new session's lease still ran, and ran twice.
TEST_F(DispatcherTest, ANewSessionHasAWholeLeaseThoughNobodyAnswersIt) {
  d_.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}}, 1);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  const auto answer = [&](uint64_t session, double now, std::vector<wire::TaskStatus> tasks) {
    for (const auto& o : d_.TakeCommands(now)) {
      wire::Heartbeat r = Written("vm-1", session);
      r.tasks = tasks;
      const bool same = o.agent_epoch == session;
      d_.OnCommandOutcome(o, same ? CommandOutcome::kExecuted : CommandOutcome::kRefused, &r, now);
    }
  };
  answer(1, 0.5, {});
  Flush();
  const double later = derived_.agents_try_all_s - 4;
  answer(2, later, {});      // its lease ended meanwhile
  answer(2, later + 3, {});  // asked for the new session, and given the task
  ASSERT_GE(d_.machines().at("vm-1").agent_epoch, 2u);
  const double expired = derived_.agent_lease_over_s + 0.1;  // since anybody could have answered it
  d_.Tick(expired);
  EXPECT_FALSE(d_.machines().at("vm-1").lost);
  d_.Tick(later + 3 + derived_.agent_lease_over_s + 0.1);
  EXPECT_TRUE(d_.machines().at("vm-1").lost);
}

}  // namespace
}  // namespace mosspath::scheduler
