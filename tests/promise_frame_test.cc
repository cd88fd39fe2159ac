// Frames of promise requests and responses: encoding, decoding, hostile input.
#include "mosspath/wire/promise_frame.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::election {
namespace {

TEST(PromiseFrameTest, MalformedFramesAreRefused) {
  const std::string request = wire::Encode(wire::PromiseRequest{"hut-1", 70'000, 300});
  EXPECT_EQ(wire::DecodePromiseRequest(request).token, 70'000u);
  const std::string response =
      wire::Encode(wire::PromiseResponse{true, {300, 100, 300, {{"req-1", 200}, {"req-2", 300}}}});
  EXPECT_EQ(wire::DecodePromiseResponse(response).cancellations.entries.size(), 2u);
  for (size_t size = 0; size < request.size(); ++size) {
    EXPECT_THROW(wire::DecodePromiseRequest(request.substr(0, size)), wire::BadMessage) << size;
  }
  for (size_t size = 0; size < response.size(); ++size) {
    EXPECT_THROW(wire::DecodePromiseResponse(response.substr(0, size)), wire::BadMessage) << size;
  }
  EXPECT_THROW(wire::DecodePromiseRequest(request + '\0'), wire::BadMessage);
  EXPECT_THROW(wire::DecodePromiseResponse(response + '\0'), wire::BadMessage);
  for (const char version : {'\1', '\3'}) {
    EXPECT_THROW(wire::DecodePromiseRequest(version + request.substr(1)), wire::BadMessage);
    EXPECT_THROW(wire::DecodePromiseResponse(version + response.substr(1)), wire::BadMessage);
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
