// The leader's status snapshot: encoding, decoding, hostile input, size.
#include "mosspath/wire/status_snapshot.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace mosspath::wire {
namespace {

StatusSnapshot Sample() {
  StatusSnapshot d;
  d.leader = "hut-1";
  d.token = 1234567890123;
  d.recovery_complete = true;
  d.leader_for_s = 12.5;
  d.queues = {{"tally", 3, 40, 12, 1.5, kNeverS, 60.25, "all machines are in use"}};
  d.teams = {{"desk", 3, 40, 12, 1.5, 2, 60.25, "the team's limit"}};
  d.machines = {{"box", "a", true, 5, 1, 2, 160, 120.5}};
  d.progress = {{"finished", "tally", 200, 1, 0.92, 11, 12}, {"deadline", "x", 0, 1.5, 0.9, 0, 0}};
  d.incidents = {{3.25, "machine vm-1 was lost"}};
  d.jobs = {{"req-000001", 3, 4}, {"req-000002", 0, 1}};
  return d;
}

TEST(Digest, RoundTrip) { EXPECT_EQ(DecodeStatusSnapshot(Encode(Sample())), Sample()); }

TEST(Digest, HostileFramesAreRefused) {
  const std::string good = Encode(Sample());
  for (size_t n = 0; n < good.size(); ++n) {
    EXPECT_THROW(DecodeStatusSnapshot(good.substr(0, n)), BadMessage) << n;
  }
  EXPECT_THROW(DecodeStatusSnapshot(good + "x"), BadMessage);
  EXPECT_THROW(DecodeStatusSnapshot(std::string(kMaxStatusSnapshotBytes + 1, 'x')), BadMessage);
  std::string other_version = good;
  other_version[4] = 3;  // after the four bytes of the kind
  EXPECT_THROW(DecodeStatusSnapshot(other_version), BadMessage);
  // Random damage may go unnoticed but never does harm.
  std::mt19937_64 random(3);
  for (int i = 0; i < 20000; ++i) {
    std::string bad = good;
    for (int k = 0; k < 3; ++k) bad[random() % bad.size()] = static_cast<char>(random());
    try {
      DecodeStatusSnapshot(bad);
    } catch (const BadMessage&) {
    }
  }
}

TEST(Digest, IsBoundedHoweverManyJobs) {
  StatusSnapshot d = Sample();
  for (uint32_t i = 0; i < 20000; ++i) d.jobs.push_back({"req-" + std::to_string(i), i, i});
  const std::string frame = Encode(d);
  EXPECT_LE(frame.size(), kMaxStatusSnapshotBytes);
  EXPECT_GT(DecodeStatusSnapshot(frame).jobs.size(), 1000u);
}

}  // namespace
}  // namespace mosspath::wire
