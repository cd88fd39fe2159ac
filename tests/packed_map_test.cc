// Tests of maps that are stored in packs of bounded size.
#include "mosspath/kvstore/packed_map.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace mosspath {
namespace {

// Packs lose no item, stay within their size limit, and can be written and loaded again.
TEST(PackedMapTest, KeepsEverythingWithinThePackSize) {
  kvstore::PackedMap map(300);
  std::map<std::string, wire::Json> stored;
  const auto flush = [&] {
    while (map.dirty()) {
      size_t bytes = 0;
      for (const auto& write : map.TakeDirty(100, 500)) {
        EXPECT_LE(write.value.dump().size(), 300u);
        bytes += write.value.dump().size();
        stored[std::to_string(write.pack)] = write.value;
      }
      EXPECT_LE(bytes, 500u);
    }
  };
  for (int i = 0; i < 60; ++i) {
    map.Set("item-" + std::to_string(i % 40), wire::Json(std::string(static_cast<size_t>(i), 'x')));
    if (i % 7 == 0) flush();
    if (i % 11 == 0) map.Erase("item-" + std::to_string(i % 40), /*lazily=*/false);
  }
  flush();
  kvstore::PackedMap reloaded(300);
  size_t items = 0;
  for (const auto& [pack, value] : stored) {
    reloaded.Load(std::stoi(pack), value, 1);
    items += value.size();
  }
  for (int i = 0; i < 40; ++i) {
    const std::string item = "item-" + std::to_string(i);
    EXPECT_EQ(reloaded.Has(item), map.Has(item)) << item;
    items -= map.Has(item) ? 1 : 0;
  }
  EXPECT_EQ(items, 0u);
}

// A write without an answer may be executed minutes later, after newer writes of the same leader.
// An old write of a machine record would then remove machines that may still run tasks. Each write
// is therefore conditional on the version of the pack on which it is based.
TEST(PackedMapTest, ALateWriteCarriesAnOldVersion) {
  kvstore::PackedMap map(300);
  map.Set("vm-1", "a");
  const auto late = map.TakeDirty(1, 300);
  map.MarkDirty(0);  // The write gets no answer.
  map.Set("vm-2", "a");
  const auto next = map.TakeDirty(1, 300);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].version, late[0].version);  // Only one of the two writes can succeed.
  map.OnPackVersion(0, 7);
  map.Set("vm-3", "a");
  EXPECT_EQ(map.TakeDirty(1, 300).at(0).version, 7u);
  map.OnPackVersion(0, 5);  // The event for version 5 arrives late.
  map.Touch("vm-3");
  EXPECT_EQ(map.TakeDirty(1, 300).at(0).version, 7u);
}

}  // namespace
}  // namespace mosspath
