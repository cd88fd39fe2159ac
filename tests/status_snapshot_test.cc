// The leader's status snapshot: encoding, decoding, hostile input, size.
#include "mosspath/wire/status_snapshot.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "builders.h"

namespace mosspath::wire {
namespace {

TEST(StatusSnapshotTest, RoundTrip) {
  EXPECT_EQ(DecodeStatusSnapshot(Encode(test::SampleStatusSnapshot())),
            test::SampleStatusSnapshot());
}

TEST(StatusSnapshotTest, ACopyOfAnOlderSnapshotDoesNotReplaceANewerOne) {
  const StatusSnapshot older = test::SampleStatusSnapshot();
  StatusSnapshot newer = older;
  newer.leader_for_s += 1;
  EXPECT_TRUE(IsNewer(newer, older));
  EXPECT_FALSE(IsNewer(older, newer));
  EXPECT_FALSE(IsNewer(older, older));
  StatusSnapshot of_later_leader = older;
  ++of_later_leader.token;
  of_later_leader.leader_for_s = 0;
  EXPECT_TRUE(IsNewer(of_later_leader, newer));
  EXPECT_FALSE(IsNewer(newer, of_later_leader));
}

TEST(StatusSnapshotTest, MalformedFramesAreRefused) {
  const std::string good = Encode(test::SampleStatusSnapshot());
  for (size_t size = 0; size < good.size(); ++size) {
    EXPECT_THROW(DecodeStatusSnapshot(good.substr(0, size)), BadMessage) << size;
  }
  EXPECT_THROW(DecodeStatusSnapshot(good + "x"), BadMessage);
  EXPECT_THROW(DecodeStatusSnapshot(std::string(kMaxStatusSnapshotBytes + 1, 'x')), BadMessage);
  std::string other_version = good;
  other_version[4] = 3;  // The version follows the four bytes of the kind.
  EXPECT_THROW(DecodeStatusSnapshot(other_version), BadMessage);
  // A randomly damaged frame may decode without an error, but decoding never crashes.
  std::mt19937_64 random(3);
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = good;
    for (int k = 0; k < 3; ++k) damaged[random() % damaged.size()] = static_cast<char>(random());
    try {
      DecodeStatusSnapshot(damaged);
    } catch (const BadMessage&) {
    }
  }
}

TEST(StatusSnapshotTest, ItsSizeIsBoundedForAnyNumberOfJobs) {
  StatusSnapshot snapshot = test::SampleStatusSnapshot();
  for (uint32_t i = 0; i < 20000; ++i) snapshot.jobs.push_back({"req-" + std::to_string(i), i, i});
  const std::string frame = Encode(snapshot);
  EXPECT_LE(frame.size(), kMaxStatusSnapshotBytes);
  EXPECT_GT(DecodeStatusSnapshot(frame).jobs.size(), 1000u);
}

}  // namespace
}  // namespace mosspath::wire
