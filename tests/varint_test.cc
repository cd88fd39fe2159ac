// Variable-length integers of the binary frames.
#include "mosspath/wire/varint.h"

#include <gtest/gtest.h>

#include <string>

namespace mosspath::wire {
namespace {

TEST(Varint, RoundTripsTheEdges) {
  for (uint64_t v : {uint64_t{0}, uint64_t{127}, uint64_t{128}, uint64_t{1} << 35, ~uint64_t{0}}) {
    VarintWriter w;
    w.Put(v);
    const std::string bytes = w.Take();
    VarintReader r(bytes);
    EXPECT_EQ(r.Get(), v);
    r.End();
  }
  EXPECT_THROW(VarintReader(std::string(10, '\xff')).Get(), BadMessage);
  EXPECT_THROW(VarintReader(std::string(9, '\xff') + '\x02').Get(), BadMessage);
}

}  // namespace
}  // namespace mosspath::wire
