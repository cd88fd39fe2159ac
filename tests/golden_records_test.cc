// Golden values of the key-value store: the keys and the exact JSON text of every value stored
// under mosspath/. A running cluster holds values that earlier versions wrote, so the keys and the
// text must not change. Each test encodes a value in which every field has a distinct value other
// than its default, compares the text, then decodes the text and checks each field.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/jobs/job.h"
#include "mosspath/jobs/job_index.h"
#include "mosspath/jobs/job_records.h"
#include "mosspath/scheduler/durable_state.h"
#include "mosspath/service/keys.h"
#include "mosspath/wire/json.h"

namespace mosspath {
namespace {

using wire::Json;

constexpr const char* kFullSpec =
    R"({"apart":true,"builds":["g8","c4"],"cards":1.25,"catch":"group","crates":600,)"
    R"("dawn_s":900.5,"guess_s":240.5,"house":"vision","id":"req-000412","kit":"img-07",)"
    R"("loaners":true,"lot":"train","mem_gb":64.5,"rank":"critical","shore":"zone-a",)"
    R"("size_gb":6.25,"stow_s":4.5,"tally_s":30.5,"together":true,"vcpus":8.5})";
// A job without any optional field.
constexpr const char* kSmallSpec =
    R"({"apart":false,"cards":0.0,"catch":"daemon","crates":3,"guess_s":0.0,"house":"desk",)"
    R"("id":"req-7","kit":"img-01","loaners":false,"lot":"serve","mem_gb":2.0,"rank":"low",)"
    R"("size_gb":0.5,"stow_s":0.0,"tally_s":0.0,"together":false,"vcpus":1.0})";
constexpr double kFullSubmitted = 1700000000.25;
constexpr double kSmallSubmitted = 1700000001.5;

wire::JobSpec FullSpec() {
  wire::JobSpec spec;
  spec.id = "req-000412";
  spec.job_class = "train";
  spec.team = "vision";
  spec.kind = wire::JobKind::kGang;
  spec.priority = wire::Priority::kCritical;
  spec.tasks = 600;
  spec.cpus = 8.5;
  spec.gpus = 1.25;
  spec.memory_gb = 64.5;
  spec.image = "img-07";
  spec.image_gb = 6.25;
  spec.types = {"g8", "c4"};
  spec.zone = "zone-a";
  spec.single_zone = true;
  spec.spread_over_zones = true;
  spec.spot_allowed = true;
  spec.estimated_run_s = 240.5;
  spec.checkpoint_interval_s = 30.5;
  spec.checkpoint_duration_s = 4.5;
  spec.deadline_s = 900.5;
  return spec;
}

wire::JobSpec SmallSpec() {
  wire::JobSpec spec;
  spec.id = "req-7";
  spec.job_class = "serve";
  spec.team = "desk";
  spec.kind = wire::JobKind::kService;
  spec.priority = wire::Priority::kLow;
  spec.tasks = 3;
  spec.cpus = 1;
  spec.memory_gb = 2;
  spec.image = "img-01";
  spec.image_gb = 0.5;
  return spec;
}

void ExpectFullSpec(const wire::JobSpec& spec) {
  EXPECT_EQ(spec.id, "req-000412");
  EXPECT_EQ(spec.job_class, "train");
  EXPECT_EQ(spec.team, "vision");
  EXPECT_EQ(spec.kind, wire::JobKind::kGang);
  EXPECT_EQ(spec.priority, wire::Priority::kCritical);
  EXPECT_EQ(spec.tasks, 600u);
  EXPECT_EQ(spec.cpus, 8.5);
  EXPECT_EQ(spec.gpus, 1.25);
  EXPECT_EQ(spec.memory_gb, 64.5);
  EXPECT_EQ(spec.image, "img-07");
  EXPECT_EQ(spec.image_gb, 6.25);
  EXPECT_EQ(spec.types, (std::vector<std::string>{"g8", "c4"}));
  EXPECT_EQ(spec.zone, "zone-a");
  EXPECT_TRUE(spec.single_zone);
  EXPECT_TRUE(spec.spread_over_zones);
  EXPECT_TRUE(spec.spot_allowed);
  EXPECT_EQ(spec.estimated_run_s, 240.5);
  EXPECT_EQ(spec.checkpoint_interval_s, 30.5);
  EXPECT_EQ(spec.checkpoint_duration_s, 4.5);
  EXPECT_EQ(spec.deadline_s, 900.5);
}

void ExpectSmallSpec(const wire::JobSpec& spec) {
  EXPECT_EQ(spec.id, "req-7");
  EXPECT_EQ(spec.job_class, "serve");
  EXPECT_EQ(spec.team, "desk");
  EXPECT_EQ(spec.kind, wire::JobKind::kService);
  EXPECT_EQ(spec.priority, wire::Priority::kLow);
  EXPECT_EQ(spec.tasks, 3u);
  EXPECT_EQ(spec.cpus, 1);
  EXPECT_EQ(spec.gpus, 0);
  EXPECT_EQ(spec.memory_gb, 2);
  EXPECT_EQ(spec.image, "img-01");
  EXPECT_EQ(spec.image_gb, 0.5);
  EXPECT_FALSE(spec.types);
  EXPECT_FALSE(spec.zone);
  EXPECT_FALSE(spec.single_zone);
  EXPECT_FALSE(spec.spread_over_zones);
  EXPECT_FALSE(spec.spot_allowed);
  EXPECT_EQ(spec.estimated_run_s, 0);
  EXPECT_EQ(spec.checkpoint_interval_s, 0);
  EXPECT_EQ(spec.checkpoint_duration_s, 0);
  EXPECT_FALSE(spec.deadline_s);
}

std::string FullEntry() { return R"({"at":1700000000.25,"spec":)" + std::string(kFullSpec) + "}"; }

std::string SmallEntry() { return R"({"at":1700000001.5,"spec":)" + std::string(kSmallSpec) + "}"; }

TEST(GoldenKeys, EachKeyAndPrefix) {
  EXPECT_EQ(service::keys::kAll, "mosspath/");
  EXPECT_EQ(service::keys::kLive, "mosspath/live/");
  EXPECT_EQ(service::keys::kLeader, "mosspath/live/leader");
  EXPECT_EQ(service::keys::kTypes, "mosspath/live/types");
  EXPECT_EQ(service::keys::kSettings, "mosspath/live/settings");
  EXPECT_EQ(service::keys::kJobs, "mosspath/live/job/");
  EXPECT_EQ(service::keys::kBatches, "mosspath/live/batch/");
  EXPECT_EQ(service::keys::kRecordFormats, "mosspath/live/speaks/");
  EXPECT_EQ(service::keys::kProgress, "mosspath/live/progress/");
  EXPECT_EQ(service::keys::kMachines, "mosspath/live/machines/");
  EXPECT_EQ(service::keys::kShardOffers, "mosspath/live/holders/");
  EXPECT_EQ(service::keys::kShardLeases, "mosspath/live/blocks/");
  EXPECT_EQ(service::keys::kFinal, "mosspath/final/");
  EXPECT_EQ(service::keys::Job("req-1"), "mosspath/live/job/req-1");
  EXPECT_EQ(service::keys::Final("req-1"), "mosspath/final/req-1");
  EXPECT_EQ(service::keys::Progress(1'000'002), "mosspath/live/progress/1000002");
  EXPECT_EQ(service::keys::Machines(3), "mosspath/live/machines/3");
}

TEST(GoldenRecords, JobSpec) {
  EXPECT_EQ(wire::ToJson(FullSpec()).dump(), kFullSpec);
  ExpectFullSpec(wire::ParseJob(wire::ParseObject(kFullSpec)));
  EXPECT_EQ(wire::ToJson(SmallSpec()).dump(), kSmallSpec);
  ExpectSmallSpec(wire::ParseJob(wire::ParseObject(kSmallSpec)));
}

TEST(GoldenRecords, NamesOfKindsAndPriorities) {
  const std::vector<std::pair<wire::JobKind, const char*>> kinds{
      {wire::JobKind::kArray, "array"},
      {wire::JobKind::kGang, "group"},
      {wire::JobKind::kService, "daemon"}};
  for (const auto& [kind, name] : kinds) {
    wire::JobSpec spec = SmallSpec();
    spec.kind = kind;
    const Json json = wire::ToJson(spec);
    EXPECT_EQ(json.at("catch"), name);
    EXPECT_EQ(wire::ParseJob(json).kind, kind);
  }
  const std::vector<std::pair<wire::Priority, const char*>> priorities{
      {wire::Priority::kLow, "low"},
      {wire::Priority::kNormal, "standard"},
      {wire::Priority::kHigh, "high"},
      {wire::Priority::kCritical, "critical"}};
  for (const auto& [priority, name] : priorities) {
    wire::JobSpec spec = SmallSpec();
    spec.priority = priority;
    const Json json = wire::ToJson(spec);
    EXPECT_EQ(json.at("rank"), name);
    EXPECT_EQ(wire::ParseJob(json).priority, priority);
  }
}

// Tests the older record format: one job per record, under job/.
TEST(GoldenRecords, Job) {
  constexpr uint64_t kVersion = 17;
  EXPECT_EQ(jobs::JobRecords::EncodeEntry(FullSpec(), kFullSubmitted).dump(), FullEntry());
  jobs::JobRecords records(service::keys::kJobs, service::keys::kBatches);
  const Json value = Json::parse(FullEntry());
  const auto change = records.OnRecord("mosspath/live/job/req-000412", &value, kVersion);
  EXPECT_EQ(change.accepted, std::vector<std::string>{"req-000412"});
  const jobs::AcceptedJob* accepted = records.Find("req-000412");
  ASSERT_NE(accepted, nullptr);
  ExpectFullSpec(accepted->spec);
  EXPECT_EQ(accepted->version, kVersion);
  EXPECT_EQ(accepted->submitted_wall_s, kFullSubmitted);
}

// Tests the batch format: several jobs per record, under batch/. The test first checks the record
// of the accepted jobs, and then the record after one of its jobs has ended.
TEST(GoldenRecords, Batch) {
  constexpr uint64_t kAcceptedVersion = 17;
  constexpr uint64_t kEndedVersion = 23;
  const std::string key = "mosspath/live/batch/hut-0.16.1";
  const std::string as_accepted = R"({"jobs":[)" + FullEntry() + "," + SmallEntry() + "]}";
  EXPECT_EQ(
      jobs::JobRecords::EncodeBatch({jobs::JobRecords::EncodeEntry(FullSpec(), kFullSubmitted),
                                     jobs::JobRecords::EncodeEntry(SmallSpec(), kSmallSubmitted)})
          .dump(),
      as_accepted);
  jobs::JobRecords records(service::keys::kJobs, service::keys::kBatches);
  Json value = Json::parse(as_accepted);
  records.OnRecord(key, &value, kAcceptedVersion);
  const jobs::AcceptedJob* full = records.Find("req-000412");
  ASSERT_NE(full, nullptr);
  ExpectFullSpec(full->spec);
  EXPECT_EQ(full->version, kAcceptedVersion);
  EXPECT_EQ(full->submitted_wall_s, kFullSubmitted);

  const std::string one_ended =
      R"({"born":17,"jobs":[)" + SmallEntry() + R"(],"over":["req-000412"]})";
  const auto changes = records.PlanEnd({"req-000412"}, kAcceptedVersion);
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].key, key);
  EXPECT_EQ(changes[0].version, kAcceptedVersion);
  ASSERT_TRUE(changes[0].value);
  EXPECT_EQ(changes[0].value->dump(), one_ended);

  jobs::JobRecords reader(service::keys::kJobs, service::keys::kBatches);
  value = Json::parse(one_ended);
  reader.OnRecord(key, &value, kEndedVersion);
  EXPECT_EQ(reader.Find("req-000412"), nullptr);
  const jobs::AcceptedJob* small = reader.Find("req-7");
  ASSERT_NE(small, nullptr);
  ExpectSmallSpec(small->spec);
  // The job's version is `born`, not the current version of the record.
  EXPECT_EQ(small->version, kAcceptedVersion);
  EXPECT_EQ(small->submitted_wall_s, kSmallSubmitted);
  EXPECT_EQ(reader.VersionOf(key), kEndedVersion);
  // `over` marks the job as ended, so another record of the same job does not add the
  // job to the live jobs again.
  value = Json::parse(FullEntry());
  reader.OnRecord("mosspath/live/job/req-000412", &value, kEndedVersion + 1);
  EXPECT_EQ(reader.Find("req-000412"), nullptr);
}

TEST(GoldenRecords, Final) {
  constexpr const char* kDone = R"({"stage":"done"})";
  constexpr const char* kCancelled = R"({"stage":"aborted"})";
  EXPECT_EQ(jobs::EncodeFinalRecord(jobs::JobStatus::kDone).dump(), kDone);
  EXPECT_EQ(jobs::EncodeFinalRecord(jobs::JobStatus::kCancelled).dump(), kCancelled);
  jobs::JobIndex index(service::keys::kJobs, service::keys::kBatches,
                       {.finals = 8, .cancellations = 8});
  index.OnFinalRecord("req-1", Json::parse(kDone), 31);
  index.OnFinalRecord("req-2", Json::parse(kCancelled), 32);
  EXPECT_EQ(index.FindEnded("req-1"), jobs::JobStatus::kDone);
  EXPECT_EQ(index.FindEnded("req-2"), jobs::JobStatus::kCancelled);
  EXPECT_EQ(index.cancellations().newest(), 32u);
}

// Fixture for packs of progress and machine entries. A leader writes the packs, and the next leader
// reads them.
class GoldenPacks : public ::testing::Test {
 protected:
  static constexpr uint64_t kToken = 41;
  static constexpr uint32_t kRetries = 7;
  static constexpr uint64_t kLease = 77;
  static constexpr int kMarksPack = 1'000'000;
  static constexpr size_t kMaxPacks = 10;
  static constexpr size_t kMaxBytes = 48u << 10;

  // The done tasks are 0, 3 and 9 in the first segment, and 513 and 599 (the job's last task) in
  // the second segment.
  static constexpr const char* kProgress =
      R"({"req-000412!":7,"req-000412#0":"904","req-000412#1":"4000000000000000000001"})";
  static constexpr const char* kMarks = R"({"req-000412+":1})";
  static constexpr const char* kMachines =
      R"({"vm-1":"10.0.0.1:9001","vm-2":"10.0.0.2:9002/77/41"})";
  static constexpr uint32_t kDoneTasks[] = {0, 3, 9, 513, 599};

  static config::Settings Settings() {
    config::Settings settings;
    settings.name = "hut-0";
    settings.heartbeat_s = 1;
    settings.agent_lease_s = 24;
    settings.cancel_within_s = 50;
    settings.store_value_kb = 8;
    return settings;
  }
  static std::unique_ptr<jobs::Job> NewJob() {
    return std::make_unique<jobs::Job>(FullSpec(), /*v=*/17, /*at=*/0.0);
  }

  const config::Settings settings_ = Settings();
  const config::DerivedSettings derived_{settings_};
};

TEST_F(GoldenPacks, Written) {
  cluster::ClusterState state(settings_, derived_);
  scheduler::DurableState records(settings_, kToken);
  jobs::Job& job = *(state.jobs["req-000412"] = NewJob());
  for (const uint32_t index : kDoneTasks) {
    job.MarkDone(index);
    records.OnTaskDone(job, index);
  }
  records.RecordCrashLoop("req-000412", kRetries);
  records.RequestStartMarker(job);
  records.AddMachine("vm-1", "10.0.0.1:9001");
  cluster::Machine leased;
  leased.id = "vm-2";
  records.AssignMachine(leased, "10.0.0.2:9002", kLease);

  const auto batch = records.TakeBatch(kMaxPacks, kMaxBytes, state);
  ASSERT_EQ(batch.machines.size(), 1u);
  EXPECT_EQ(batch.machines[0].pack, 0);
  EXPECT_EQ(batch.machines[0].value.dump(), kMachines);
  ASSERT_EQ(batch.progress.size(), 2u);
  EXPECT_EQ(batch.progress[0].pack, kMarksPack);
  EXPECT_EQ(batch.progress[0].value.dump(), kMarks);
  EXPECT_EQ(batch.progress[1].pack, 0);
  EXPECT_EQ(batch.progress[1].value.dump(), kProgress);
}

TEST_F(GoldenPacks, ProgressAfterFailover) {
  scheduler::DurableState records(settings_, kToken);
  records.LoadProgressPack(0, Json::parse(kProgress), 51);
  records.LoadProgressPack(kMarksPack, Json::parse(kMarks), 52);
  const auto job = NewJob();
  EXPECT_EQ(records.RestoreJob(*job), kRetries);
  EXPECT_EQ(job->start_marker, jobs::Job::StartMarker::kDurable);
  EXPECT_TRUE(job->inherited_start_marker);
  EXPECT_EQ(job->done, std::size(kDoneTasks));
  for (const uint32_t index : kDoneTasks) {
    EXPECT_EQ(job->tasks[index].phase, jobs::TaskPhase::kDone) << index;
    EXPECT_TRUE(job->tasks[index].durable) << index;
  }
}

TEST_F(GoldenPacks, MachineEntries) {
  const Json machines = Json::parse(kMachines);
  const scheduler::MachineRecord own = scheduler::DecodeMachineRecord(machines.at("vm-1"));
  EXPECT_EQ(own.address, "10.0.0.1:9001");
  EXPECT_EQ(own.lease, 0u);
  EXPECT_EQ(own.handover_revision, 0u);
  EXPECT_EQ(scheduler::EncodeMachineRecord(own), "10.0.0.1:9001");
  const scheduler::MachineRecord leased = scheduler::DecodeMachineRecord(machines.at("vm-2"));
  EXPECT_EQ(leased.address, "10.0.0.2:9002");
  EXPECT_EQ(leased.lease, kLease);
  EXPECT_EQ(leased.handover_revision, kToken);
  EXPECT_EQ(scheduler::EncodeMachineRecord(leased), "10.0.0.2:9002/77/41");
  // An earlier version of the program wrote entries without the revision of the handover.
  const scheduler::MachineRecord older = scheduler::DecodeMachineRecord("10.0.0.3:9003/78");
  EXPECT_EQ(older.address, "10.0.0.3:9003");
  EXPECT_EQ(older.lease, 78u);
  EXPECT_EQ(older.handover_revision, 0u);
}

TEST(GoldenRecords, OperatorSettings) {
  constexpr const char* kText =
      R"({"begin_share":0.125,"epsilon":0.25,"gamma":2.5,"give_ahead":0.375,"horizon_boots":3.5,)"
      R"("keep_idle_boots":0.75,"lease_blocks":false,"max_machines":1234,"ordinary_boots":4.5,)"
      R"("preemption":false,"reserve":0.625,"share_acceptances":false,"turn_share":0.4375,)"
      R"("weights":{"desk":5.5,"vision/train":6.5}})";
  config::OperatorSettings settings;
  settings.gamma = 2.5;
  settings.epsilon = 0.25;
  settings.max_machines = 1234;
  settings.horizon_boots = 3.5;
  settings.keep_idle_boots = 0.75;
  settings.reserve = 0.625;
  settings.ordinary_boots = 4.5;
  settings.begin_share = 0.125;
  settings.preemption = false;
  settings.give_ahead = 0.375;
  settings.turn_share = 0.4375;
  settings.weights = {{"desk", 5.5}, {"vision/train", 6.5}};
  settings.lease_blocks = false;
  settings.share_acceptances = false;
  EXPECT_EQ(config::ToJson(settings).dump(), kText);
  const config::OperatorSettings read = config::Change({}, Json::parse(kText));
  EXPECT_EQ(read.gamma, 2.5);
  EXPECT_EQ(read.epsilon, 0.25);
  EXPECT_EQ(read.max_machines, 1234u);
  EXPECT_EQ(read.horizon_boots, 3.5);
  EXPECT_EQ(read.keep_idle_boots, 0.75);
  EXPECT_EQ(read.reserve, 0.625);
  EXPECT_EQ(read.ordinary_boots, 4.5);
  EXPECT_EQ(read.begin_share, 0.125);
  EXPECT_FALSE(read.preemption);
  EXPECT_EQ(read.give_ahead, 0.375);
  EXPECT_EQ(read.turn_share, 0.4375);
  EXPECT_EQ(read.weights, (std::map<std::string, double>{{"desk", 5.5}, {"vision/train", 6.5}}));
  EXPECT_FALSE(read.lease_blocks);
  EXPECT_FALSE(read.share_acceptances);
}

TEST(GoldenRecords, MachineTypes) {
  constexpr const char* kText =
      R"({"builds":[{"cards":2.5,"hourly":7.5,"local_gb":500.5,"low_price":1.75,"mem_gb":256.5,)"
      R"("name":"g8","pull_gb_per_s":0.5,"shores":["zone-a","zone-b"],"startup_s":95.5,)"
      R"("vcpus":32.5}]})";
  wire::MachineType type;
  type.name = "g8";
  type.cpus = 32.5;
  type.gpus = 2.5;
  type.memory_gb = 256.5;
  type.cache_gb = 500.5;
  type.fetch_gb_per_s = 0.5;
  type.price = 7.5;
  type.spot_price = 1.75;
  type.boot_s = 95.5;
  type.zones = {"zone-a", "zone-b"};
  EXPECT_EQ(wire::ToJson(std::vector<wire::MachineType>{type}).dump(), kText);
  const auto types = wire::ParseMachineTypes(Json::parse(kText));
  ASSERT_EQ(types.size(), 1u);
  EXPECT_EQ(types[0].name, "g8");
  EXPECT_EQ(types[0].cpus, 32.5);
  EXPECT_EQ(types[0].gpus, 2.5);
  EXPECT_EQ(types[0].memory_gb, 256.5);
  EXPECT_EQ(types[0].cache_gb, 500.5);
  EXPECT_EQ(types[0].fetch_gb_per_s, 0.5);
  EXPECT_EQ(types[0].price, 7.5);
  EXPECT_EQ(types[0].spot_price, 1.75);
  EXPECT_EQ(types[0].boot_s, 95.5);
  EXPECT_EQ(types[0].zones, (std::vector<std::string>{"zone-a", "zone-b"}));
}

}  // namespace
}  // namespace mosspath
