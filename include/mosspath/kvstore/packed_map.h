// Many small items kept in few state-service values: no write per item. Pure.
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
    uint64_t version = 0;  // that the stored pack must still have: a late write of ours must fail
    wire::Json value;
    size_t size_bytes = 0;  // about, as text
  };

  explicit PackedMap(size_t pack_bytes) : pack_bytes_limit_(pack_bytes) {}

  // Takes over a pack as read from the state service.
  void Load(int pack, const wire::Json& value, uint64_t version);
  void Set(const std::string& item, wire::Json value);
  // Changes an item where it is: it never stands in two packs. What it grows by is taken from what
  // a value may hold beyond a full pack.
  void Replace(const std::string& item, wire::Json value);
  // `lazily`: the stored pack may keep the item until it is next written anyway.
  void Erase(const std::string& item, bool lazily);
  // The item's pack is to be written again as it is.
  void Touch(const std::string& item);
  bool Has(const std::string& item) const { return pack_of_item_.contains(item); }
  // The pack that holds the item, or -1.
  int PackOf(const std::string& item) const;

  bool dirty() const { return !dirty_.empty(); }
  // Packs that need writing, up to `most` and about `bytes` in all, one at least; they count as
  // clean until MarkDirty.
  std::vector<PackWrite> TakeDirty(size_t most, size_t bytes);
  void MarkDirty(int pack) { dirty_.insert(pack); }
  // The stored pack is known to have this version.
  void OnPackVersion(int pack, uint64_t version);

 private:
  struct Pack {
    std::map<std::string, wire::Json> items;
    size_t size_bytes = 2;
    uint64_t version = 0;
  };
  static size_t Cost(const std::string& item, const wire::Json& value);

  size_t pack_bytes_limit_;
  std::map<int, Pack> packs_;
  std::map<std::string, int> pack_of_item_;
  std::set<int> dirty_;
  int next_ = 0;
};

}  // namespace mosspath::kvstore
