// Acceptances that share records, against a plain state service: any order of accepting, ending,
// tidying, looking and loading anew, with writes that are lost or done late.
#include "mosspath/jobs/job_records.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

namespace mosspath::jobs {
namespace {

const std::string kJob = "job/";
const std::string kBatch = "batch/";

wire::JobSpec Spec(const std::string& id) {
  wire::JobSpec s;
  s.id = id;
  s.job_class = "work";
  s.team = "t";
  s.tasks = 1;
  s.cpus = 1;
  s.memory_gb = 1;
  s.image = "i";
  return s;
}

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

struct Node {
  JobRecords ledger{kJob, kBatch};
  uint64_t revision = 0;

  void Load(const Store& s) {
    ledger.Clear();
    revision = s.revision;
    for (const auto& [key, pair] : s.pairs) {
      if (ledger.OwnsKey(key)) ledger.OnRecord(key, &pair.first, pair.second);
    }
  }
  // Some of what it has not seen yet, in order.
  void Look(const Store& s, size_t most) {
    for (const auto& c : s.log) {
      if (c.revision <= revision) continue;
      if (most-- == 0) return;
      const uint64_t whole = c.revision;  // a transaction is seen as a whole
      for (const auto& d : s.log) {
        if (d.revision == whole && ledger.OwnsKey(d.key)) {
          ledger.OnRecord(d.key, d.value ? &*d.value : nullptr, d.revision);
        }
      }
      revision = whole;
    }
  }
};

struct Write {
  Store::Conditions conditions;
  Store::Changes changes;
};

void Add(Write& w, const std::vector<RecordChange>& records) {
  for (const auto& r : records) {
    w.conditions.emplace_back(r.key, r.version);
    w.changes.emplace_back(r.key, r.value);
  }
}

struct Day {
  explicit Day(uint32_t seed) : random(seed) {}

  size_t Below(size_t n) { return random() % n; }

  void Accept(Node& n) {
    Write w;
    std::vector<wire::Json> entries;
    const size_t count = 1 + Below(3);
    for (size_t i = 0; i < count; ++i) {
      const std::string id =
          "req-" + std::to_string(100000 + (Below(2) == 0 ? next++ : Below(next)));
      if (n.ledger.Find(id) != nullptr) continue;
      if (std::any_of(w.conditions.begin(), w.conditions.end(),
                      [&](const auto& c) { return c.first == "final/" + id; })) {
        continue;
      }
      w.conditions.emplace_back(kJob + id, 0);
      w.conditions.emplace_back("final/" + id, 0);
      entries.push_back(JobRecords::EncodeEntry(Spec(id), 1.0));
      if (Below(6) == 0) {  // a controller that writes the older form
        w.changes.emplace_back(kJob + id, entries.back());
        under_way.push_back(std::move(w));
        return;
      }
    }
    if (entries.empty()) return;
    const std::string key = kBatch + std::to_string(batches++);
    w.conditions.emplace_back(key, 0);
    w.changes.emplace_back(key, JobRecords::EncodeBatch(std::move(entries)));
    under_way.push_back(std::move(w));
  }

  void End(Node& n) {
    std::vector<std::string> ids;
    for (const auto& [id, job] : n.ledger.live()) {
      if (ids.size() < 1 + Below(2) && Below(3) == 0) ids.push_back(id);
    }
    std::vector<std::string> whole;
    for (const auto& id : ids) {
      if (!n.ledger.PlanEnd({id}, n.revision).empty()) whole.push_back(id);
    }
    if (whole.empty()) return;
    Write w;
    Add(w, n.ledger.PlanEnd(whole, n.revision));
    for (const auto& id : whole) {
      w.conditions.emplace_back("final/" + id, 0);
      w.changes.emplace_back("final/" + id, wire::Json{});
    }
    under_way.push_back(std::move(w));
  }

  void Check() {
    // Whoever loads now finds live what is accepted and not over, and nothing else.
    Node fresh;
    fresh.Load(store);
    for (const auto& [id, job] : fresh.ledger.live()) {
      EXPECT_FALSE(store.Final(id)) << id << " is live after its end";
    }
    for (const auto& id : accepted) {
      if (!store.Final(id)) {
        EXPECT_NE(fresh.ledger.Find(id), nullptr) << id << " is forgotten";
      }
    }
    // What was accepted first counts, whatever was rewritten since.
    for (const auto& [id, job] : fresh.ledger.live()) EXPECT_EQ(job.version, first[id]) << id;
  }

  void Deliver() {
    if (under_way.empty()) return;
    const size_t i = Below(under_way.size());
    const Write w = under_way[i];
    under_way.erase(under_way.begin() + static_cast<std::ptrdiff_t>(i));
    if (Below(10) == 0) return;  // lost
    if (!store.Commit(w.conditions, w.changes)) return;
    for (const auto& [key, value] : w.changes) {
      if (!value || value->contains("born")) continue;
      std::vector<wire::Json> entries;
      if (key.starts_with(kJob)) entries.push_back(*value);
      if (key.starts_with(kBatch)) {
        for (const auto& e : value->at("jobs")) entries.push_back(e);
      }
      for (const auto& e : entries) {
        const std::string id = wire::ParseJob(e.at("spec")).id;
        accepted.insert(id);
        first.try_emplace(id, store.revision);
      }
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Node& n = nodes[Below(nodes.size())];
      switch (Below(8)) {
        case 0:
          Accept(n);
          break;
        case 1:
          End(n);
          break;
        case 2: {
          Write w;
          Add(w, n.ledger.PlanCleanup(n.revision, 3));
          if (!w.changes.empty()) under_way.push_back(std::move(w));
          break;
        }
        case 3:
          if (Below(8) == 0) n.Load(store);
          break;
        case 4:
        case 5:
          n.Look(store, 1 + Below(4));
          break;
        default:
          Deliver();
      }
      Check();
    }
  }

  std::mt19937 random;
  Store store;
  std::vector<Node> nodes{3};
  std::vector<Write> under_way;
  std::set<std::string> accepted;
  std::map<std::string, uint64_t> first;
  size_t next = 1;
  size_t batches = 0;
};

TEST(Ledger, NothingIsForgottenOrLiveAfterItsEndInAnyOrder) {
  for (uint32_t seed = 0; seed < 60; ++seed) {
    Day day(seed);
    day.Run(400);
    ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
    EXPECT_GT(day.accepted.size(), 10u);
    // Everything ends and is tidied away in the end: only final records are kept for ever.
    day.under_way.clear();
    Node n;
    for (int i = 0; i < 400; ++i) {
      n.Load(day.store);
      std::vector<std::string> ids;
      for (const auto& [id, job] : n.ledger.live()) ids.push_back(id);
      Write w;
      if (ids.empty()) {
        Add(w, n.ledger.PlanCleanup(n.revision, 4));
        if (w.changes.empty()) break;
      } else {
        Add(w, n.ledger.PlanEnd({ids[0]}, n.revision));
        w.conditions.emplace_back("final/" + ids[0], 0);
        w.changes.emplace_back("final/" + ids[0], wire::Json{});
      }
      ASSERT_TRUE(day.store.Commit(w.conditions, w.changes));
    }
    for (const auto& [key, pair] : day.store.pairs) EXPECT_TRUE(key.starts_with("final/")) << key;
  }
}

TEST(Ledger, WhatItCannotReadChangesNothing) {
  JobRecords l(kJob, kBatch);
  const auto value = JobRecords::EncodeBatch({JobRecords::EncodeEntry(Spec("req-000001"), 1)});
  EXPECT_EQ(l.OnRecord("batch/1", &value, 5).accepted.size(), 1u);
  const wire::Json broken = {{"jobs", {{{"spec", {}}}}}};
  EXPECT_THROW(l.OnRecord("batch/1", &broken, 6), std::exception);
  ASSERT_NE(l.Find("req-000001"), nullptr);
  EXPECT_EQ(l.VersionOf("batch/1"), 5u);
}

}  // namespace
}  // namespace mosspath::jobs
