// The log of cancellations that a controller has reported.
#include "mosspath/election/cancellation_log.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "mosspath/wire/promise_frame.h"

namespace mosspath::election {
namespace {

std::vector<std::string> Ids(const wire::CancellationLogSlice& part) {
  std::vector<std::string> ids;
  for (const auto& e : part.entries) ids.push_back(e.id);
  return ids;
}

TEST(Cancelled, ListsWhatCameSince) {
  CancellationLog c(10);
  c.AssumeReportedUpTo(100);  // by the process before
  c.Add("req-1", 90);
  EXPECT_EQ(c.newest(), 100u);
  EXPECT_TRUE(c.Since(0).entries.empty());
  EXPECT_EQ(c.Since(0).from_revision, 100u);
  c.Add("req-2", 120);
  c.Add("req-2", 120);  // its own answer, and the mirror
  c.Add("req-3", 110);
  EXPECT_EQ(Ids(c.Since(100)), (std::vector<std::string>{"req-3", "req-2"}));
  EXPECT_EQ(Ids(c.Since(110)), std::vector<std::string>{"req-2"});
  EXPECT_EQ(c.Since(130).to_revision, 130u);
  c.AssumeReportedUpTo(115);
  EXPECT_EQ(Ids(c.Since(100)), std::vector<std::string>{"req-2"});
  EXPECT_EQ(c.Since(100).from_revision, 115u);
}

TEST(Cancelled, ForgetsTheEarliestAndSaysSo) {
  CancellationLog c(3);
  for (uint64_t i = 1; i <= 5; ++i) c.Add("req-" + std::to_string(i), 10 * i);
  EXPECT_EQ(c.Since(0).from_revision, 20u);
  EXPECT_EQ(Ids(c.Since(0)), (std::vector<std::string>{"req-3", "req-4", "req-5"}));
}

TEST(Cancelled, AnAnswerHoldsSoMany) {
  CancellationLog c(4 * wire::kMaxCancelledIds);
  const uint64_t n = 2 * wire::kMaxCancelledIds + 7;
  for (uint64_t i = 1; i <= n; ++i) c.Add("req-" + std::to_string(i), (i + 2) / 2);
  std::set<std::string> seen;
  uint64_t from = 0;
  int parts = 0;
  while (from < c.newest()) {
    const auto part =
        wire::DecodePromiseResponse(wire::Encode(wire::PromiseResponse{true, c.Since(from)}));
    EXPECT_LE(part.cancellations.entries.size(), wire::kMaxCancelledIds);
    EXPECT_EQ(part.cancellations.from_revision, from);
    ASSERT_GT(part.cancellations.to_revision, from);
    for (const auto& e : part.cancellations.entries) EXPECT_TRUE(seen.insert(e.id).second);
    from = part.cancellations.to_revision;
    ++parts;
  }
  EXPECT_EQ(seen.size(), n);
  EXPECT_EQ(parts, 3);
}

}  // namespace
}  // namespace mosspath::election
