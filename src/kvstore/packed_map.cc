#include "mosspath/kvstore/packed_map.h"

#include <algorithm>
#include <utility>

namespace mosspath::kvstore {

size_t PackedMap::Cost(const std::string& item, const wire::Json& value) {
  const size_t size =
      value.is_string() ? value.get_ref<const std::string&>().size() + 2 : value.dump().size();
  return item.size() + size + 4;
}

void PackedMap::Load(int pack_index, const wire::Json& value, uint64_t version) {
  Pack& pack = packs_[pack_index];
  pack.version = version;
  for (const auto& [item, item_value] : value.items()) {
    pack.items[item] = item_value;
    pack.size_bytes += Cost(item, item_value);
    pack_of_item_[item] = pack_index;
  }
}

void PackedMap::Set(const std::string& item, wire::Json value) {
  const size_t cost = Cost(item, value);
  if (auto it = pack_of_item_.find(item); it != pack_of_item_.end()) {
    Pack& pack = packs_[it->second];
    wire::Json& old = pack.items[item];
    const size_t old_cost = Cost(item, old);
    if (pack.size_bytes - old_cost + cost <= pack_bytes_limit_) {
      pack.size_bytes += cost - old_cost;
      old = std::move(value);
      dirty_.insert(it->second);
      return;
    }
    Erase(item, /*lazily=*/true);  // the item moves to a pack with room
  }
  int pack_index = 0;
  while (packs_[pack_index].size_bytes + cost > pack_bytes_limit_ &&
         !packs_[pack_index].items.empty())
    ++pack_index;
  Pack& pack = packs_[pack_index];
  pack.items[item] = std::move(value);
  pack.size_bytes += cost;
  pack_of_item_[item] = pack_index;
  dirty_.insert(pack_index);
}

void PackedMap::Replace(const std::string& item, wire::Json value) {
  const auto it = pack_of_item_.find(item);
  if (it == pack_of_item_.end()) return Set(item, std::move(value));
  Pack& pack = packs_[it->second];
  wire::Json& old = pack.items[item];
  pack.size_bytes += Cost(item, value) - Cost(item, old);
  old = std::move(value);
  dirty_.insert(it->second);
}

void PackedMap::Erase(const std::string& item, bool lazily) {
  auto it = pack_of_item_.find(item);
  if (it == pack_of_item_.end()) return;
  Pack& pack = packs_[it->second];
  pack.size_bytes -= Cost(item, pack.items[item]);
  pack.items.erase(item);
  if (!lazily) dirty_.insert(it->second);
  pack_of_item_.erase(it);
}

void PackedMap::Touch(const std::string& item) {
  if (auto it = pack_of_item_.find(item); it != pack_of_item_.end()) dirty_.insert(it->second);
}

int PackedMap::PackOf(const std::string& item) const {
  const auto it = pack_of_item_.find(item);
  return it == pack_of_item_.end() ? -1 : it->second;
}

std::vector<PackedMap::PackWrite> PackedMap::TakeDirty(size_t max_packs, size_t max_bytes) {
  std::vector<PackWrite> writes;
  size_t taken_bytes = 0;
  while (!dirty_.empty() && writes.size() < max_packs) {
    // Takes the packs round robin, so that packs that are always dirty don't starve the other
    // packs.
    auto it = dirty_.lower_bound(next_pack_);
    if (it == dirty_.end()) it = dirty_.begin();
    const Pack& pack = packs_[*it];
    if (!writes.empty() && taken_bytes + pack.size_bytes > max_bytes) break;
    taken_bytes += pack.size_bytes;
    next_pack_ = *it + 1;
    writes.push_back({*it, pack.version, wire::Json(pack.items), pack.size_bytes});
    dirty_.erase(it);
  }
  return writes;
}

void PackedMap::OnPackVersion(int pack_index, uint64_t version) {
  Pack& pack = packs_[pack_index];
  pack.version = std::max(pack.version, version);
}

}  // namespace mosspath::kvstore
