#include "mosspath/kvstore/packed_map.h"

#include <algorithm>
#include <utility>

namespace mosspath::kvstore {

size_t PackedMap::Cost(const std::string& item, const wire::Json& value) {
  const size_t size =
      value.is_string() ? value.get_ref<const std::string&>().size() + 2 : value.dump().size();
  return item.size() + size + 4;
}

void PackedMap::Load(int pack, const wire::Json& value, uint64_t version) {
  Pack& p = packs_[pack];
  p.version = version;
  for (const auto& [item, v] : value.items()) {
    p.items[item] = v;
    p.size_bytes += Cost(item, v);
    pack_of_item_[item] = pack;
  }
}

void PackedMap::Set(const std::string& item, wire::Json value) {
  const size_t cost = Cost(item, value);
  if (auto it = pack_of_item_.find(item); it != pack_of_item_.end()) {
    Pack& p = packs_[it->second];
    wire::Json& old = p.items[item];
    const size_t old_cost = Cost(item, old);
    if (p.size_bytes - old_cost + cost <= pack_bytes_limit_) {
      p.size_bytes += cost - old_cost;
      old = std::move(value);
      dirty_.insert(it->second);
      return;
    }
    Erase(item, /*lazily=*/true);  // moves to a pack with room
  }
  int pack = 0;
  while (packs_[pack].size_bytes + cost > pack_bytes_limit_ && !packs_[pack].items.empty()) ++pack;
  Pack& p = packs_[pack];
  p.items[item] = std::move(value);
  p.size_bytes += cost;
  pack_of_item_[item] = pack;
  dirty_.insert(pack);
}

void PackedMap::Replace(const std::string& item, wire::Json value) {
  const auto it = pack_of_item_.find(item);
  if (it == pack_of_item_.end()) return Set(item, std::move(value));
  Pack& p = packs_[it->second];
  wire::Json& old = p.items[item];
  p.size_bytes += Cost(item, value) - Cost(item, old);
  old = std::move(value);
  dirty_.insert(it->second);
}

void PackedMap::Erase(const std::string& item, bool lazily) {
  auto it = pack_of_item_.find(item);
  if (it == pack_of_item_.end()) return;
  Pack& p = packs_[it->second];
  p.size_bytes -= Cost(item, p.items[item]);
  p.items.erase(item);
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

std::vector<PackedMap::PackWrite> PackedMap::TakeDirty(size_t most, size_t bytes) {
  std::vector<PackWrite> out;
  size_t taken = 0;
  while (!dirty_.empty() && out.size() < most) {
    // In turn, so that packs that are always dirty don't hold up the others.
    auto it = dirty_.lower_bound(next_);
    if (it == dirty_.end()) it = dirty_.begin();
    const Pack& p = packs_[*it];
    if (!out.empty() && taken + p.size_bytes > bytes) break;
    taken += p.size_bytes;
    next_ = *it + 1;
    out.push_back({*it, p.version, wire::Json(p.items), p.size_bytes});
    dirty_.erase(it);
  }
  return out;
}

void PackedMap::OnPackVersion(int pack, uint64_t version) {
  Pack& p = packs_[pack];
  p.version = std::max(p.version, version);
}

}  // namespace mosspath::kvstore
