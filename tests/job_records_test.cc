// Tests job records against a model of the key-value store. Jobs are accepted and end, and
// controllers clean up, watch and reload the records, in random order. Writes are lost or delayed.
#include "mosspath/jobs/job_records.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "builders.h"

namespace mosspath::jobs {
namespace {

const std::string kJob = "job/";
const std::string kBatch = "batch/";

wire::JobSpec Spec(const std::string& id) {
  wire::JobSpec spec = test::MakeJobSpec(id, "t", /*tasks=*/1);
  spec.job_class = "work";
  spec.memory_gb = 1;
  spec.image = "i";
  return spec;
}

// A model of the key-value store: keys with values and versions, and the change log.
struct Store {
  struct Change {
    std::string key;
    std::optional<wire::Json> value;
    uint64_t revision;
  };
  std::map<std::string, std::pair<wire::Json, uint64_t>> pairs;
  std::deque<Change> log;
  uint64_t revision = 0;

  using Conditions = std::vector<std::pair<std::string, uint64_t>>;
  using Changes = std::vector<std::pair<std::string, std::optional<wire::Json>>>;
  bool Commit(const Conditions& conditions, const Changes& changes) {
    for (const auto& [key, version] : conditions) {
      const auto it = pairs.find(key);
      if ((it == pairs.end() ? 0 : it->second.second) != version) return false;
    }
    ++revision;
    for (const auto& [key, value] : changes) {
      if (value) {
        pairs[key] = {*value, revision};
      } else {
        pairs.erase(key);
      }
      log.push_back({key, value, revision});
    }
    return true;
  }
  bool Final(const std::string& id) const { return pairs.contains("final/" + id); }
};

// A controller's copy of the records, as of a revision.
struct Controller {
  JobRecords records{kJob, kBatch};
  uint64_t revision = 0;

  void Load(const Store& store) {
    records.Clear();
    revision = store.revision;
    for (const auto& [key, pair] : store.pairs) {
      if (records.OwnsKey(key)) records.OnRecord(key, &pair.first, pair.second);
    }
  }
  // Applies at most `max_transactions` unread transactions, in order.
  void Watch(const Store& store, size_t max_transactions) {
    for (const auto& change : store.log) {
      if (change.revision <= revision) continue;
      if (max_transactions-- == 0) return;
      const uint64_t transaction = change.revision;  // Applies the whole transaction.
      for (const auto& other : store.log) {
        if (other.revision == transaction && records.OwnsKey(other.key)) {
          records.OnRecord(other.key, other.value ? &*other.value : nullptr, other.revision);
        }
      }
      revision = transaction;
    }
  }
};

// A transaction that has not been executed yet.
struct Write {
  Store::Conditions conditions;
  Store::Changes changes;
};

void Add(Write& write, const std::vector<RecordChange>& changes) {
  for (const auto& record : changes) {
    write.conditions.emplace_back(record.key, record.version);
    write.changes.emplace_back(record.key, record.value);
  }
}

// A random sequence of steps by three controllers.
struct RandomRun {
  explicit RandomRun(uint32_t seed) : random(seed) {}

  size_t Below(size_t bound) { return random() % bound; }

  void Accept(Controller& controller) {
    Write write;
    std::vector<wire::Json> entries;
    const size_t count = 1 + Below(3);
    for (size_t i = 0; i < count; ++i) {
      const std::string id =
          "req-" + std::to_string(100000 + (Below(2) == 0 ? next++ : Below(next)));
      if (controller.records.Find(id) != nullptr) continue;
      if (std::any_of(write.conditions.begin(), write.conditions.end(),
                      [&](const auto& change) { return change.first == "final/" + id; })) {
        continue;
      }
      write.conditions.emplace_back(kJob + id, 0);
      write.conditions.emplace_back("final/" + id, 0);
      entries.push_back(JobRecords::EncodeEntry(Spec(id), 1.0));
      if (Below(6) == 0) {  // A controller may still write the older format.
        write.changes.emplace_back(kJob + id, entries.back());
        in_flight.push_back(std::move(write));
        return;
      }
    }
    if (entries.empty()) return;
    const std::string key = kBatch + std::to_string(batches++);
    write.conditions.emplace_back(key, 0);
    write.changes.emplace_back(key, JobRecords::EncodeBatch(std::move(entries)));
    in_flight.push_back(std::move(write));
  }

  void End(Controller& controller) {
    std::vector<std::string> ids;
    for (const auto& [id, job] : controller.records.live()) {
      if (ids.size() < 1 + Below(2) && Below(3) == 0) ids.push_back(id);
    }
    std::vector<std::string> plannable;
    for (const auto& id : ids) {
      if (!controller.records.PlanEnd({id}, controller.revision).empty()) plannable.push_back(id);
    }
    if (plannable.empty()) return;
    Write write;
    Add(write, controller.records.PlanEnd(plannable, controller.revision));
    for (const auto& id : plannable) {
      write.conditions.emplace_back("final/" + id, 0);
      write.changes.emplace_back("final/" + id, wire::Json{});
    }
    in_flight.push_back(std::move(write));
  }

  void Check() {
    // The live jobs of a controller that loads the records now are exactly the accepted jobs that
    // have not ended.
    Controller fresh;
    fresh.Load(store);
    for (const auto& [id, job] : fresh.records.live()) {
      EXPECT_FALSE(store.Final(id)) << id << " is live after its end";
    }
    for (const auto& id : accepted) {
      if (!store.Final(id)) {
        EXPECT_NE(fresh.records.Find(id), nullptr) << id << " is lost";
      }
    }
    // A job's version is the revision of its first acceptance, even after its record was rewritten.
    for (const auto& [id, job] : fresh.records.live())
      EXPECT_EQ(job.version, first_version[id]) << id;
  }

  void Deliver() {
    if (in_flight.empty()) return;
    const size_t i = Below(in_flight.size());
    const Write write = in_flight[i];
    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
    if (Below(10) == 0) return;  // The write is lost.
    if (!store.Commit(write.conditions, write.changes)) return;
    for (const auto& [key, value] : write.changes) {
      if (!value || value->contains("born")) continue;
      std::vector<wire::Json> entries;
      if (key.starts_with(kJob)) entries.push_back(*value);
      if (key.starts_with(kBatch)) {
        for (const auto& entry : value->at("jobs")) entries.push_back(entry);
      }
      for (const auto& entry : entries) {
        const std::string id = wire::ParseJob(entry.at("spec")).id;
        accepted.insert(id);
        first_version.try_emplace(id, store.revision);
      }
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Controller& controller = controllers[Below(controllers.size())];
      switch (Below(8)) {
        case 0:
          Accept(controller);
          break;
        case 1:
          End(controller);
          break;
        case 2: {
          Write write;
          Add(write, controller.records.PlanCleanup(controller.revision, 3));
          if (!write.changes.empty()) in_flight.push_back(std::move(write));
          break;
        }
        case 3:
          if (Below(8) == 0) controller.Load(store);
          break;
        case 4:
        case 5:
          controller.Watch(store, 1 + Below(4));
          break;
        default:
          Deliver();
      }
      Check();
    }
  }

  std::mt19937 random;
  Store store;
  std::vector<Controller> controllers{3};
  std::vector<Write> in_flight;
  std::set<std::string> accepted;
  std::map<std::string, uint64_t> first_version;
  size_t next = 1;
  size_t batches = 0;
};

TEST(JobRecordsTest, NoJobIsLostOrLiveAfterItsEndInAnyOrder) {
  for (uint32_t seed = 0; seed < 60; ++seed) {
    RandomRun run(seed);
    run.Run(400);
    ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
    EXPECT_GT(run.accepted.size(), 10u);
    // After all jobs have ended and their records were cleaned up, only final records are left.
    run.in_flight.clear();
    Controller controller;
    for (int i = 0; i < 400; ++i) {
      controller.Load(run.store);
      std::vector<std::string> ids;
      for (const auto& [id, job] : controller.records.live()) ids.push_back(id);
      Write write;
      if (ids.empty()) {
        Add(write, controller.records.PlanCleanup(controller.revision, 4));
        if (write.changes.empty()) break;
      } else {
        Add(write, controller.records.PlanEnd({ids[0]}, controller.revision));
        write.conditions.emplace_back("final/" + ids[0], 0);
        write.changes.emplace_back("final/" + ids[0], wire::Json{});
      }
      ASSERT_TRUE(run.store.Commit(write.conditions, write.changes));
    }
    for (const auto& [key, pair] : run.store.pairs) EXPECT_TRUE(key.starts_with("final/")) << key;
  }
}

TEST(JobRecordsTest, AMalformedRecordChangesNothing) {
  JobRecords records(kJob, kBatch);
  const auto value = JobRecords::EncodeBatch({JobRecords::EncodeEntry(Spec("req-000001"), 1)});
  EXPECT_EQ(records.OnRecord("batch/1", &value, 5).accepted.size(), 1u);
  const wire::Json broken = {{"jobs", {{{"spec", {}}}}}};
  EXPECT_THROW(records.OnRecord("batch/1", &broken, 6), std::exception);
  ASSERT_NE(records.Find("req-000001"), nullptr);
  EXPECT_EQ(records.VersionOf("batch/1"), 5u);
}

}  // namespace
}  // namespace mosspath::jobs
