// Golden bytes of every frame between controllers: the status snapshot, the peer heartbeat and the
// admission plan that answers it, the promise request and its response, and the shard frames with
// each kind of message. Controllers of different versions exchange frames during an upgrade, so the
// encoding must not change.
//
// The expected bytes are written in hexadecimal, one field per line. Numbers are unsigned LEB128
// varints, strings are preceded by their length, and amounts are in thousandths. Every field has a
// distinct value, so that a missing or swapped field fails the test.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/wire/peer_heartbeat.h"
#include "mosspath/wire/promise_frame.h"
#include "mosspath/wire/shard_frame.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

constexpr const char* kStatusSnapshot =
    "81e0b503"                      // frame kind 0x6d7001
    "02"                            // version of the layout
    "056875742d31"                  // leader
    "cb89ec8ff723"                  // token
    "01"                            // recovery_complete
    "d461"                          // leader_for_s
    "01"                            // one queue:
    "05747261696e"                  // job class or team
    "ac02"                          // jobs
    "ad02"                          // waiting
    "ae02"                          // running
    "8cc312"                        // started_ago_s
    "f4ca12"                        // finished_ago_s
    "dcd212"                        // oldest_s
    "076e6f20726f6f6d"              // waiting_reason
    "01"                            // one team:
    "06766973696f6e"                // job class or team
    "9003"                          // jobs
    "9103"                          // waiting
    "9203"                          // running
    "acd018"                        // started_ago_s
    "94d818"                        // finished_ago_s
    "fcdf18"                        // oldest_s
    "09697473206c696d6974"          // waiting_reason
    "01"                            // one group of machines:
    "026738"                        // type
    "067a6f6e652d61"                // zone
    "01"                            // spot
    "0b"                            // up
    "0c"                            // draining
    "0d"                            // booting
    "f4e509"                        // cpus
    "baab07"                        // used_cpus
    "01"                            // progress towards one objective:
    "0866696e6973686564"            // kind
    "057365727665"                  // class
    "b49e0c"                        // within_s
    "dc0b"                          // times
    "9d07"                          // share
    "0e"                            // met
    "0f"                            // of
    "01"                            // one incident:
    "b219"                          // ago_s
    "0d766d2d3120776173206c6f7374"  // description
    "02"                            // two jobs:
    "0a7265712d303030343132"        // id
    "10"                            // done
    "11"                            // running
    "057265712d37"                  // id
    "12"                            // done
    "13";                           // running

constexpr const char* kEmptyStatusSnapshot =
    "81e0b503"       // frame kind
    "02"             // version of the layout
    "00"             // leader
    "00"             // token
    "00"             // recovery_complete
    "00"             // leader_for_s
    "000000000000";  // no queues, teams, machines, progress, incidents, jobs

constexpr const char* kPeerHeartbeat =
    "82e0b503"       // frame kind 0x6d7002
    "01"             // version
    "056875742d31"   // node
    "01"             // is_leader
    "fa01"           // state_ago_s
    "80a094a58d1d"   // cloud_ago_s: never
    "dc0b"           // workers_ago_s
    "02"             // two peers:
    "056875742d30"   // node
    "f403"           // ago_s
    "056875742d32"   // node
    "80a094a58d1d";  // ago_s: never

constexpr const char* kPeerHeartbeatWithDemand =
    "82e0b503"      // frame kind 0x6d7002
    "02"            // version
    "056875742d31"  // node
    "01"            // is_leader
    "fa01"          // state_ago_s
    "80a094a58d1d"  // cloud_ago_s: never
    "dc0b"          // workers_ago_s
    "02"            // two peers:
    "056875742d30"  // node
    "f403"          // ago_s
    "056875742d32"  // node
    "80a094a58d1d"  // ago_s: never
    "dccf13";       // demand

constexpr const char* kEmptyPeerHeartbeat =
    "82e0b503"  // frame kind
    "01"        // version
    "00"        // node
    "00"        // is_leader
    "000000"    // ages
    "00";       // no peers

constexpr const char* kAdmissionPlan =
    "84e0b503"     // frame kind 0x6d7004
    "01"           // version
    "29"           // token
    "2a"           // version of the plan
    "c413"         // life_s
    "c097e8b201";  // share: 0.375 in units of 1e-9

constexpr const char* kEmptyAdmissionPlan =
    "84e0b503"   // frame kind
    "01"         // version
    "00000000";  // token, version, life_s, share

constexpr const char* kPromiseRequest =
    "02"            // version
    "056875742d31"  // node
    "29"            // token
    "ac02";         // read_revision

constexpr const char* kPromiseResponse =
    "02"                      // version
    "01"                      // promised
    "b102"                    // newest
    "ac02"                    // from_revision
    "b002"                    // to_revision
    "02"                      // two cancellations:
    "0a7265712d303030343132"  // id
    "ae02"                    // revision
    "057265712d37"            // id
    "af02";                   // revision

constexpr const char* kPromiseRefusal =
    "02"      // version
    "00"      // promised
    "000000"  // newest, from_revision, to_revision
    "00";     // no cancellations

constexpr const char* kFullMessage =
    "18"                            // kind: kMachineStatus
    "04766d2d31"                    // name
    "0a7265712d303030343132"        // job
    "0203030401"                    // tasks 3-5 and 10, as runs
    "e432"                          // seconds
    "8906"                          // count
    "01"                            // has a machine:
    "0d31302e302e302e313a39303031"  // address
    "026738"                        // type
    "067a6f6e652d61"                // zone
    "1f"                            // spot, schedulable, idle, has_on_demand_work, unresponsive
    "dc0b"                          // idle_s
    "c413"                          // remaining_cpu_s
    "ac1b"                          // used_cpus
    "9423"                          // used_gpus
    "fc2a";                         // used_memory_gb

constexpr const char* kFrame =
    "83e0b503"                        // frame kind 0x6d7003
    "01"                              // version
    "056875742d31"                    // node
    "29"                              // leader_token
    "4d"                              // lease
    "01"                              // from_leader
    "ad02"                            // acknowledged
    "80c003"                          // receive_window_bytes
    "e209"                            // view_age_s
    "ae02"                            // newest_cancellation
    "af02"                            // first_sequence
    "02"                              // two messages:
    "0e01057265712d3700010001000000"  // kDelegateTasks, task 0 of req-7
    "0715000000000000";               // kSyncComplete, empty

constexpr const char* kEmptyFrame =
    "83e0b503"      // frame kind
    "01"            // version
    "00"            // node
    "0000000000"    // leader_token, lease, from_leader, acknowledged, receive_window_bytes
    "80a094a58d1d"  // view_age_s: never
    "0000"          // newest_cancellation, first_sequence
    "00";           // no messages

std::string ToHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (size_t i = 0; i < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

StatusSnapshot FullStatusSnapshot() {
  StatusSnapshot snapshot;
  snapshot.leader = "hut-1";
  snapshot.token = 1234567890123;
  snapshot.recovery_complete = true;
  snapshot.leader_for_s = 12.5;
  snapshot.queues = {{"train", 300, 301, 302, 303.5, 304.5, 305.5, "no room"}};
  snapshot.teams = {{"vision", 400, 401, 402, 403.5, 404.5, 405.5, "its limit"}};
  snapshot.machines = {{"g8", "zone-a", true, 11, 12, 13, 160.5, 120.25}};
  snapshot.progress = {{"finished", "serve", 200.5, 1.5, 0.925, 14, 15}};
  snapshot.incidents = {{3.25, "vm-1 was lost"}};
  snapshot.jobs = {{"req-000412", 16, 17}, {"req-7", 18, 19}};
  return snapshot;
}

TEST(GoldenFrames, StatusSnapshot) {
  EXPECT_EQ(ToHex(Encode(FullStatusSnapshot())), kStatusSnapshot);
  const wire::StatusSnapshot decoded = DecodeStatusSnapshot(FromHex(kStatusSnapshot));
  EXPECT_EQ(decoded.leader, "hut-1");
  EXPECT_EQ(decoded.token, 1234567890123u);
  EXPECT_TRUE(decoded.recovery_complete);
  EXPECT_EQ(decoded.leader_for_s, 12.5);
  ASSERT_EQ(decoded.queues.size(), 1u);
  EXPECT_EQ(decoded.queues[0].job_class, "train");
  EXPECT_EQ(decoded.queues[0].jobs, 300u);
  EXPECT_EQ(decoded.queues[0].waiting, 301u);
  EXPECT_EQ(decoded.queues[0].running, 302u);
  EXPECT_EQ(decoded.queues[0].started_ago_s, 303.5);
  EXPECT_EQ(decoded.queues[0].finished_ago_s, 304.5);
  EXPECT_EQ(decoded.queues[0].oldest_s, 305.5);
  EXPECT_EQ(decoded.queues[0].waiting_reason, "no room");
  ASSERT_EQ(decoded.teams.size(), 1u);
  EXPECT_EQ(decoded.teams[0].job_class, "vision");
  EXPECT_EQ(decoded.teams[0].jobs, 400u);
  EXPECT_EQ(decoded.teams[0].waiting, 401u);
  EXPECT_EQ(decoded.teams[0].running, 402u);
  EXPECT_EQ(decoded.teams[0].started_ago_s, 403.5);
  EXPECT_EQ(decoded.teams[0].finished_ago_s, 404.5);
  EXPECT_EQ(decoded.teams[0].oldest_s, 405.5);
  EXPECT_EQ(decoded.teams[0].waiting_reason, "its limit");
  ASSERT_EQ(decoded.machines.size(), 1u);
  EXPECT_EQ(decoded.machines[0].type, "g8");
  EXPECT_EQ(decoded.machines[0].zone, "zone-a");
  EXPECT_TRUE(decoded.machines[0].spot);
  EXPECT_EQ(decoded.machines[0].up, 11u);
  EXPECT_EQ(decoded.machines[0].draining, 12u);
  EXPECT_EQ(decoded.machines[0].booting, 13u);
  EXPECT_EQ(decoded.machines[0].cpus, 160.5);
  EXPECT_EQ(decoded.machines[0].used_cpus, 120.25);
  ASSERT_EQ(decoded.progress.size(), 1u);
  EXPECT_EQ(decoded.progress[0].kind, "finished");
  EXPECT_EQ(decoded.progress[0].job_class, "serve");
  EXPECT_EQ(decoded.progress[0].within_s, 200.5);
  EXPECT_EQ(decoded.progress[0].times, 1.5);
  EXPECT_EQ(decoded.progress[0].share, 0.925);
  EXPECT_EQ(decoded.progress[0].met, 14u);
  EXPECT_EQ(decoded.progress[0].of, 15u);
  ASSERT_EQ(decoded.incidents.size(), 1u);
  EXPECT_EQ(decoded.incidents[0].ago_s, 3.25);
  EXPECT_EQ(decoded.incidents[0].description, "vm-1 was lost");
  ASSERT_EQ(decoded.jobs.size(), 2u);
  EXPECT_EQ(decoded.jobs[0].id, "req-000412");
  EXPECT_EQ(decoded.jobs[0].done, 16u);
  EXPECT_EQ(decoded.jobs[0].running, 17u);
  EXPECT_EQ(decoded.jobs[1].id, "req-7");
  EXPECT_EQ(decoded.jobs[1].done, 18u);
  EXPECT_EQ(decoded.jobs[1].running, 19u);
}

TEST(GoldenFrames, EmptyStatusSnapshot) {
  EXPECT_EQ(ToHex(Encode(wire::StatusSnapshot())), kEmptyStatusSnapshot);
  EXPECT_EQ(DecodeStatusSnapshot(FromHex(kEmptyStatusSnapshot)), wire::StatusSnapshot());
}

PeerHeartbeat FullPeerHeartbeat() {
  PeerHeartbeat heartbeat;
  heartbeat.node = "hut-1";
  heartbeat.is_leader = true;
  heartbeat.state_ago_s = 0.25;
  heartbeat.cloud_ago_s = kNeverS;
  heartbeat.workers_ago_s = 1.5;
  heartbeat.peers = {{"hut-0", 0.5}, {"hut-2", kNeverS}};
  return heartbeat;
}

void ExpectFullPeerHeartbeat(const PeerHeartbeat& heartbeat) {
  EXPECT_EQ(heartbeat.node, "hut-1");
  EXPECT_TRUE(heartbeat.is_leader);
  EXPECT_EQ(heartbeat.state_ago_s, 0.25);
  EXPECT_EQ(heartbeat.cloud_ago_s, kNeverS);
  EXPECT_EQ(heartbeat.workers_ago_s, 1.5);
  ASSERT_EQ(heartbeat.peers.size(), 2u);
  EXPECT_EQ(heartbeat.peers[0].node, "hut-0");
  EXPECT_EQ(heartbeat.peers[0].ago_s, 0.5);
  EXPECT_EQ(heartbeat.peers[1].node, "hut-2");
  EXPECT_EQ(heartbeat.peers[1].ago_s, kNeverS);
}

TEST(GoldenFrames, PeerHeartbeat) {
  EXPECT_EQ(ToHex(Encode(FullPeerHeartbeat())), kPeerHeartbeat);
  const wire::PeerHeartbeat decoded = DecodePeerHeartbeat(FromHex(kPeerHeartbeat));
  ExpectFullPeerHeartbeat(decoded);
  EXPECT_FALSE(decoded.demand);
}

TEST(GoldenFrames, PeerHeartbeatWithDemand) {
  wire::PeerHeartbeat full = FullPeerHeartbeat();
  full.demand = 321.5;
  EXPECT_EQ(ToHex(Encode(full)), kPeerHeartbeatWithDemand);
  const wire::PeerHeartbeat decoded = DecodePeerHeartbeat(FromHex(kPeerHeartbeatWithDemand));
  ExpectFullPeerHeartbeat(decoded);
  EXPECT_EQ(decoded.demand, 321.5);
}

TEST(GoldenFrames, EmptyPeerHeartbeat) {
  EXPECT_EQ(ToHex(Encode(wire::PeerHeartbeat())), kEmptyPeerHeartbeat);
  EXPECT_EQ(DecodePeerHeartbeat(FromHex(kEmptyPeerHeartbeat)), wire::PeerHeartbeat());
}

TEST(GoldenFrames, AdmissionPlan) {
  EXPECT_EQ(ToHex(Encode(admission::AdmissionPlan{41, 42, 2.5, 0.375})), kAdmissionPlan);
  const admission::AdmissionPlan decoded = DecodeAdmissionPlan(FromHex(kAdmissionPlan));
  EXPECT_EQ(decoded.token, 41u);
  EXPECT_EQ(decoded.version, 42u);
  EXPECT_EQ(decoded.life_s, 2.5);
  EXPECT_EQ(decoded.share, 0.375);
}

// A controller that is not the leader responds with an empty plan.
TEST(GoldenFrames, EmptyAdmissionPlan) {
  EXPECT_EQ(ToHex(Encode(admission::AdmissionPlan())), kEmptyAdmissionPlan);
  EXPECT_EQ(DecodeAdmissionPlan(FromHex(kEmptyAdmissionPlan)), admission::AdmissionPlan());
}

TEST(GoldenFrames, PromiseRequest) {
  EXPECT_EQ(ToHex(Encode(wire::PromiseRequest{"hut-1", 41, 300})), kPromiseRequest);
  const wire::PromiseRequest request = DecodePromiseRequest(FromHex(kPromiseRequest));
  EXPECT_EQ(request.node, "hut-1");
  EXPECT_EQ(request.token, 41u);
  EXPECT_EQ(request.read_revision, 300u);
}

TEST(GoldenFrames, PromiseResponse) {
  wire::PromiseResponse response;
  response.promised = true;
  response.cancellations = {305, 300, 304, {{"req-000412", 302}, {"req-7", 303}}};
  EXPECT_EQ(ToHex(Encode(response)), kPromiseResponse);
  const wire::PromiseResponse decoded = DecodePromiseResponse(FromHex(kPromiseResponse));
  EXPECT_TRUE(decoded.promised);
  EXPECT_EQ(decoded.cancellations.newest, 305u);
  EXPECT_EQ(decoded.cancellations.from_revision, 300u);
  EXPECT_EQ(decoded.cancellations.to_revision, 304u);
  ASSERT_EQ(decoded.cancellations.entries.size(), 2u);
  EXPECT_EQ(decoded.cancellations.entries[0].id, "req-000412");
  EXPECT_EQ(decoded.cancellations.entries[0].revision, 302u);
  EXPECT_EQ(decoded.cancellations.entries[1].id, "req-7");
  EXPECT_EQ(decoded.cancellations.entries[1].revision, 303u);
}

TEST(GoldenFrames, PromiseRefusal) {
  EXPECT_EQ(ToHex(Encode(wire::PromiseResponse())), kPromiseRefusal);
  const wire::PromiseResponse response = DecodePromiseResponse(FromHex(kPromiseRefusal));
  EXPECT_FALSE(response.promised);
  EXPECT_EQ(response.cancellations.newest, 0u);
  EXPECT_EQ(response.cancellations.from_revision, 0u);
  EXPECT_EQ(response.cancellations.to_revision, 0u);
  EXPECT_TRUE(response.cancellations.entries.empty());
}

TEST(GoldenFrames, ShardMessageWithAllFields) {
  ShardMessage message;
  message.kind = ShardMessage::Kind::kMachineStatus;
  message.name = "vm-1";
  message.job = "req-000412";
  message.tasks = {3, 4, 5, 10};
  message.seconds = 6.5;
  message.count = 777;
  message.machine = ShardMessage::MachineStatus{.address = "10.0.0.1:9001",
                                                .type = "g8",
                                                .zone = "zone-a",
                                                .spot = true,
                                                .schedulable = true,
                                                .idle = true,
                                                .has_on_demand_work = true,
                                                .unresponsive = true,
                                                .idle_s = 1.5,
                                                .remaining_cpu_s = 2.5,
                                                .used_cpus = 3.5,
                                                .used_gpus = 4.5,
                                                .used_memory_gb = 5.5};
  EXPECT_EQ(ToHex(Encode(message)), kFullMessage);
  const ShardMessage read = DecodeShardMessage(FromHex(kFullMessage));
  EXPECT_EQ(read.kind, ShardMessage::Kind::kMachineStatus);
  EXPECT_EQ(read.name, "vm-1");
  EXPECT_EQ(read.job, "req-000412");
  EXPECT_EQ(read.tasks, (std::vector<uint32_t>{3, 4, 5, 10}));
  EXPECT_EQ(read.seconds, 6.5);
  EXPECT_EQ(read.count, 777u);
  ASSERT_TRUE(read.machine);
  EXPECT_EQ(read.machine->address, "10.0.0.1:9001");
  EXPECT_EQ(read.machine->type, "g8");
  EXPECT_EQ(read.machine->zone, "zone-a");
  EXPECT_TRUE(read.machine->spot);
  EXPECT_TRUE(read.machine->schedulable);
  EXPECT_TRUE(read.machine->idle);
  EXPECT_TRUE(read.machine->has_on_demand_work);
  EXPECT_TRUE(read.machine->unresponsive);
  EXPECT_EQ(read.machine->idle_s, 1.5);
  EXPECT_EQ(read.machine->remaining_cpu_s, 2.5);
  EXPECT_EQ(read.machine->used_cpus, 3.5);
  EXPECT_EQ(read.machine->used_gpus, 4.5);
  EXPECT_EQ(read.machine->used_memory_gb, 5.5);
}

// Each kind of message has its fixed number. The messages of this test have no other content.
TEST(GoldenFrames, KindsOfShardMessages) {
  using Kind = ShardMessage::Kind;
  const std::vector<std::pair<Kind, const char*>> kinds{
      {Kind::kDelegateTasks, "01"},      {Kind::kHandOverTasks, "02"},
      {Kind::kCompletionsDurable, "03"}, {Kind::kStopTasks, "04"},
      {Kind::kRecallMachine, "05"},      {Kind::kSetDraining, "06"},
      {Kind::kMachineDeleted, "07"},     {Kind::kClaimTasks, "14"},
      {Kind::kSyncComplete, "15"},       {Kind::kTasksDone, "16"},
      {Kind::kReturnTasks, "17"},        {Kind::kMachineStatus, "18"},
      {Kind::kMachineReturned, "19"},    {Kind::kLoad, "1a"},
      {Kind::kCrashLoop, "1b"}};
  // The encoding of a message without a name, job, tasks, seconds, count and machine.
  constexpr const char* kNothingElse = "000000000000";
  for (const auto& [kind, number] : kinds) {
    ShardMessage message;
    message.kind = kind;
    const std::string hex = std::string(number) + kNothingElse;
    EXPECT_EQ(ToHex(Encode(message)), hex);
    EXPECT_EQ(DecodeShardMessage(FromHex(hex)), message) << hex;
  }
}

// Each flag of a machine status is a separate bit.
TEST(GoldenFrames, FlagsOfMachineStatus) {
  using Machine = ShardMessage::MachineStatus;
  const std::vector<std::pair<bool Machine::*, const char*>> flags{
      {&Machine::spot, "01"},
      {&Machine::schedulable, "02"},
      {&Machine::idle, "04"},
      {&Machine::has_on_demand_work, "08"},
      {&Machine::unresponsive, "10"}};
  // The encoding of a kMachineStatus message up to the flags: no name, job, tasks, seconds or
  // count, and a machine without address, type and zone.
  const std::string before = "18000000000001000000";
  const std::string after = "0000000000";  // All amounts are 0.
  for (const auto& [flag, bits] : flags) {
    ShardMessage message;
    message.kind = ShardMessage::Kind::kMachineStatus;
    message.machine = Machine();
    (*message.machine).*flag = true;
    const std::string hex = before + bits + after;
    EXPECT_EQ(ToHex(Encode(message)), hex);
    EXPECT_EQ(DecodeShardMessage(FromHex(hex)), message) << hex;
  }
}

TEST(GoldenFrames, ShardFrame) {
  EXPECT_STREQ(service::kShardFramePath, "/peer/v1/block");
  ShardMessage delegation;
  delegation.kind = ShardMessage::Kind::kDelegateTasks;
  delegation.name = "req-7";
  delegation.tasks = {0};
  ShardMessage sync_complete;
  sync_complete.kind = ShardMessage::Kind::kSyncComplete;
  wire::ShardFrame frame;
  frame.node = "hut-1";
  frame.leader_token = 41;
  frame.lease = 77;
  frame.from_leader = true;
  frame.acknowledged = 301;
  frame.receive_window_bytes = kMaxShardFrameBytes;
  frame.view_age_s = 1.25;
  frame.newest_cancellation = 302;
  frame.first_sequence = 303;
  frame.messages = {Encode(delegation), Encode(sync_complete)};
  EXPECT_EQ(ToHex(Encode(frame)), kFrame);
  const wire::ShardFrame read = DecodeShardFrame(FromHex(kFrame));
  EXPECT_EQ(read.node, "hut-1");
  EXPECT_EQ(read.leader_token, 41u);
  EXPECT_EQ(read.lease, 77u);
  EXPECT_TRUE(read.from_leader);
  EXPECT_EQ(read.acknowledged, 301u);
  EXPECT_EQ(read.receive_window_bytes, 57344u);
  EXPECT_EQ(read.view_age_s, 1.25);
  EXPECT_EQ(read.newest_cancellation, 302u);
  EXPECT_EQ(read.first_sequence, 303u);
  ASSERT_EQ(read.messages.size(), 2u);
  EXPECT_EQ(DecodeShardMessage(read.messages[0]), delegation);
  EXPECT_EQ(DecodeShardMessage(read.messages[1]), sync_complete);
}

TEST(GoldenFrames, EmptyShardFrame) {
  EXPECT_EQ(ToHex(Encode(wire::ShardFrame())), kEmptyFrame);
  const wire::ShardFrame read = DecodeShardFrame(FromHex(kEmptyFrame));
  EXPECT_EQ(read.node, "");
  EXPECT_EQ(read.leader_token, 0u);
  EXPECT_EQ(read.lease, 0u);
  EXPECT_FALSE(read.from_leader);
  EXPECT_EQ(read.acknowledged, 0u);
  EXPECT_EQ(read.receive_window_bytes, 0u);
  EXPECT_EQ(read.view_age_s, kNeverS);
  EXPECT_EQ(read.newest_cancellation, 0u);
  EXPECT_EQ(read.first_sequence, 0u);
  EXPECT_TRUE(read.messages.empty());
}

}  // namespace
}  // namespace mosspath::wire
