// Frames that ask a peer for a promise not to lead, and answer it.
#include "mosspath/wire/promise_frame.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mosspath::election {
namespace {

TEST(VouchFrame, WhatNoWriterWritesIsRefused) {
  const std::string question = wire::Encode(wire::PromiseRequest{"hut-1", 70'000, 300});
  EXPECT_EQ(wire::DecodePromiseRequest(question).token, 70'000u);
  const std::string answer =
      wire::Encode(wire::PromiseResponse{true, {300, 100, 300, {{"req-1", 200}, {"req-2", 300}}}});
  EXPECT_EQ(wire::DecodePromiseResponse(answer).cancellations.entries.size(), 2u);
  for (size_t n = 0; n < question.size(); ++n) {
    EXPECT_THROW(wire::DecodePromiseRequest(question.substr(0, n)), wire::BadMessage) << n;
  }
  for (size_t n = 0; n < answer.size(); ++n) {
    EXPECT_THROW(wire::DecodePromiseResponse(answer.substr(0, n)), wire::BadMessage) << n;
  }
  EXPECT_THROW(wire::DecodePromiseRequest(question + '\0'), wire::BadMessage);
  EXPECT_THROW(wire::DecodePromiseResponse(answer + '\0'), wire::BadMessage);
  for (const char version : {'\1', '\3'}) {
    EXPECT_THROW(wire::DecodePromiseRequest(version + question.substr(1)), wire::BadMessage);
    EXPECT_THROW(wire::DecodePromiseResponse(version + answer.substr(1)), wire::BadMessage);
  }
  using Ids = std::vector<wire::CancellationLogSlice::Entry>;
  for (const Ids& ids : {Ids{{"req-2", 300}, {"req-1", 200}}, Ids{{"req-1", 100}},
                         Ids{{"req-1", 301}}, Ids{{"vm-1", 200}}}) {
    EXPECT_THROW(wire::DecodePromiseResponse(
                     wire::Encode(wire::PromiseResponse{true, {300, 100, 300, ids}})),
                 wire::BadMessage);
  }
  Ids many;
  for (uint64_t i = 0; i <= wire::kMaxCancelledIds; ++i) many.push_back({"req-1", 200});
  EXPECT_THROW(
      wire::DecodePromiseResponse(wire::Encode(wire::PromiseResponse{true, {300, 100, 300, many}})),
      wire::BadMessage);
}

}  // namespace
}  // namespace mosspath::election
