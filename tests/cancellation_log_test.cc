// Tests of the log of the job cancellations that a controller may have confirmed to users.
#include "mosspath/election/cancellation_log.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {
namespace {

std::vector<std::string> Ids(const wire::CancellationLogSlice& slice) {
  std::vector<std::string> ids;
  for (const auto& entry : slice.entries) ids.push_back(entry.id);
  return ids;
}

TEST(CancellationLogTest, ListsWhatCameSince) {
  CancellationLog log(10);
  // The previous process may have confirmed cancellations up to revision 100.
  log.AssumeReportedUpTo(100);
  log.Add("req-1", 90);
  EXPECT_EQ(log.newest(), 100u);
  EXPECT_TRUE(log.Since(0).entries.empty());
  EXPECT_EQ(log.Since(0).from_revision, 100u);
  log.Add("req-2", 120);
  log.Add("req-2", 120);  // The write's response and the watch cache both report req-2.
  log.Add("req-3", 110);
  EXPECT_EQ(Ids(log.Since(100)), (std::vector<std::string>{"req-3", "req-2"}));
  EXPECT_EQ(Ids(log.Since(110)), std::vector<std::string>{"req-2"});
  EXPECT_EQ(log.Since(130).to_revision, 130u);
  log.AssumeReportedUpTo(115);
  EXPECT_EQ(Ids(log.Since(100)), std::vector<std::string>{"req-2"});
  EXPECT_EQ(log.Since(100).from_revision, 115u);
}

TEST(CancellationLogTest, DropsTheEarliestAndReportsIt) {
  CancellationLog log(3);
  for (uint64_t i = 1; i <= 5; ++i) log.Add("req-" + std::to_string(i), 10 * i);
  EXPECT_EQ(log.Since(0).from_revision, 20u);
  EXPECT_EQ(Ids(log.Since(0)), (std::vector<std::string>{"req-3", "req-4", "req-5"}));
}

TEST(CancellationLogTest, ASliceIsBounded) {
  CancellationLog log(4 * wire::kMaxCancelledIds);
  const uint64_t count = 2 * wire::kMaxCancelledIds + 7;
  for (uint64_t i = 1; i <= count; ++i) log.Add("req-" + std::to_string(i), (i + 2) / 2);
  std::set<std::string> seen;
  uint64_t from = 0;
  int slices = 0;
  while (from < log.newest()) {
    const auto slice =
        wire::DecodePromiseResponse(wire::Encode(wire::PromiseResponse{true, log.Since(from)}));
    EXPECT_LE(slice.cancellations.entries.size(), wire::kMaxCancelledIds);
    EXPECT_EQ(slice.cancellations.from_revision, from);
    ASSERT_GT(slice.cancellations.to_revision, from);
    for (const auto& entry : slice.cancellations.entries) EXPECT_TRUE(seen.insert(entry.id).second);
    from = slice.cancellations.to_revision;
    ++slices;
  }
  EXPECT_EQ(seen.size(), count);
  EXPECT_EQ(slices, 3);
}

}  // namespace
}  // namespace mosspath::election
