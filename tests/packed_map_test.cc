// Maps that are stored as packs of bounded size.
#include "mosspath/kvstore/packed_map.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace mosspath {
namespace {

// Packs lose nothing, stay within their size, and survive being written and read again.
TEST(PackedMap, KeepsEverythingWithinThePackSize) {
  kvstore::PackedMap map(300);
  std::map<std::string, wire::Json> stored;
  const auto flush = [&] {
    while (map.dirty()) {
      size_t bytes = 0;
      for (const auto& w : map.TakeDirty(100, 500)) {
        EXPECT_LE(w.value.dump().size(), 300u);
        bytes += w.value.dump().size();
        stored[std::to_string(w.pack)] = w.value;
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
  kvstore::PackedMap again(300);
  size_t items = 0;
  for (const auto& [pack, v] : stored) {
    again.Load(std::stoi(pack), v, 1);
    items += v.size();
  }
  for (int i = 0; i < 40; ++i) {
    const std::string item = "item-" + std::to_string(i);
    EXPECT_EQ(again.Has(item), map.Has(item)) << item;
    items -= map.Has(item) ? 1 : 0;
  }
  EXPECT_EQ(items, 0u);
}

// A write that got no answer may be done minutes later, after newer ones of the same leader: it
// would take machines out of the record that may run tasks. It must carry the version it knew.
TEST(PackedMap, ALateWriteCarriesAnOldVersion) {
  kvstore::PackedMap map(300);
  map.Set("vm-1", "a");
  const auto late = map.TakeDirty(1, 300);
  map.MarkDirty(0);  // no answer
  map.Set("vm-2", "a");
  const auto next = map.TakeDirty(1, 300);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].version, late[0].version);  // one of the two fails
  map.OnPackVersion(0, 7);
  map.Set("vm-3", "a");
  EXPECT_EQ(map.TakeDirty(1, 300).at(0).version, 7u);
  map.OnPackVersion(0, 5);  // an old event
  map.Touch("vm-3");
  EXPECT_EQ(map.TakeDirty(1, 300).at(0).version, 7u);
}

}  // namespace
}  // namespace mosspath
