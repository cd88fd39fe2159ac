// A map of many small items, stored in a few values ("packs") of the key-value store, so that a
// change of many items takes few writes. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::kvstore {

class PackedMap {
 public:
  struct PackWrite {
    int pack = 0;
    // The version that the stored pack must still have, so that a delayed earlier write fails.
    uint64_t version = 0;
    wire::Json value;
    size_t size_bytes = 0;  // approximate size as JSON text
  };

  explicit PackedMap(size_t pack_bytes) : pack_bytes_limit_(pack_bytes) {}

  // Loads a pack as read from the key-value store.
  void Load(int pack, const wire::Json& value, uint64_t version);
  void Set(const std::string& item, wire::Json value);
  // Replaces the value of an item within its pack, so that the item is never stored in two packs.
  // The pack may then exceed its size limit by the growth of the item, as the key-value store
  // accepts values larger than a full pack.
  void Replace(const std::string& item, wire::Json value);
  // `lazily`: does not mark the pack dirty; the stored pack keeps the item until its next write.
  void Erase(const std::string& item, bool lazily);
  // Marks the item's pack dirty, so that it is written again.
  void Touch(const std::string& item);
  bool Has(const std::string& item) const { return pack_of_item_.contains(item); }
  // Returns the pack that holds the item, or -1.
  int PackOf(const std::string& item) const;

  bool dirty() const { return !dirty_.empty(); }
  // Returns dirty packs to write: at least one if any is dirty, at most `max_packs`, and about
  // `max_bytes` together. The returned packs are no longer dirty; the caller calls MarkDirty for
  // each pack whose write fails.
  std::vector<PackWrite> TakeDirty(size_t max_packs, size_t max_bytes);
  void MarkDirty(int pack) { dirty_.insert(pack); }
  // Records `version` as the version of the stored pack, unless a later version is recorded.
  void OnPackVersion(int pack, uint64_t version);

 private:
  struct Pack {
    std::map<std::string, wire::Json> items;
    size_t size_bytes = 2;
    uint64_t version = 0;
  };
  // The approximate size in bytes that the item takes in a pack.
  static size_t Cost(const std::string& item, const wire::Json& value);

  size_t pack_bytes_limit_;
  std::map<int, Pack> packs_;
  std::map<std::string, int> pack_of_item_;
  std::set<int> dirty_;
  int next_pack_ = 0;  // the pack at which the next TakeDirty begins
};

}  // namespace mosspath::kvstore
