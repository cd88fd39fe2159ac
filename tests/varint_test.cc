// The variable-length integers of the binary frames: boundary values and malformed input.
#include "mosspath/wire/varint.h"

#include <gtest/gtest.h>

#include <string>

namespace mosspath::wire {
namespace {

TEST(VarintTest, RoundTripsTheBoundaryValues) {
  for (uint64_t value :
       {uint64_t{0}, uint64_t{127}, uint64_t{128}, uint64_t{1} << 35, ~uint64_t{0}}) {
    VarintWriter writer;
    writer.Put(value);
    const std::string bytes = writer.Take();
    VarintReader reader(bytes);
    EXPECT_EQ(reader.Get(), value);
    reader.End();
  }
  EXPECT_THROW(VarintReader(std::string(10, '\xff')).Get(), BadMessage);
  EXPECT_THROW(VarintReader(std::string(9, '\xff') + '\x02').Get(), BadMessage);
}

}  // namespace
}  // namespace mosspath::wire
