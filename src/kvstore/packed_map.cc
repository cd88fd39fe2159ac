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
    p.bytes += Cost(item, v);
    where_[item] = pack;
  }
}

void PackedMap::Set(const std::string& item, wire::Json value) {
  const size_t cost = Cost(item, value);
  if (auto it = where_.find(item); it != where_.end()) {
    Pack& p = packs_[it->second];
    wire::Json& old = p.items[item];
    const size_t old_cost = Cost(item, old);
    if (p.bytes - old_cost + cost <= limit_) {
      p.bytes += cost - old_cost;
      old = std::move(value);
      dirty_.insert(it->second);
      return;
    }
    Erase(item, /*lazily=*/true);  // moves to a pack with room
  }
  int pack = 0;
  while (packs_[pack].bytes + cost > limit_ && !packs_[pack].items.empty()) ++pack;
  Pack& p = packs_[pack];
  p.items[item] = std::move(value);
  p.bytes += cost;
  where_[item] = pack;
  dirty_.insert(pack);
}

void PackedMap::Replace(const std::string& item, wire::Json value) {
  const auto it = where_.find(item);
  if (it == where_.end()) return Set(item, std::move(value));
  Pack& p = packs_[it->second];
  wire::Json& old = p.items[item];
  p.bytes += Cost(item, value) - Cost(item, old);
  old = std::move(value);
  dirty_.insert(it->second);
}

void PackedMap::Erase(const std::string& item, bool lazily) {
  auto it = where_.find(item);
  if (it == where_.end()) return;
  Pack& p = packs_[it->second];
  p.bytes -= Cost(item, p.items[item]);
  p.items.erase(item);
  if (!lazily) dirty_.insert(it->second);
  where_.erase(it);
}

void PackedMap::Touch(const std::string& item) {
  if (auto it = where_.find(item); it != where_.end()) dirty_.insert(it->second);
}

int PackedMap::PackOf(const std::string& item) const {
  const auto it = where_.find(item);
  return it == where_.end() ? -1 : it->second;
}

std::vector<PackedMap::Written> PackedMap::TakeDirty(size_t most, size_t bytes) {
  std::vector<Written> out;
  size_t taken = 0;
  while (!dirty_.empty() && out.size() < most) {
    // In turn, so that packs that are always dirty don't hold up the others.
    auto it = dirty_.lower_bound(next_);
    if (it == dirty_.end()) it = dirty_.begin();
    const Pack& p = packs_[*it];
    if (!out.empty() && taken + p.bytes > bytes) break;
    taken += p.bytes;
    next_ = *it + 1;
    out.push_back({*it, p.version, wire::Json(p.items), p.bytes});
    dirty_.erase(it);
  }
  return out;
}

void PackedMap::Seen(int pack, uint64_t version) {
  Pack& p = packs_[pack];
  p.version = std::max(p.version, version);
}

}  // namespace mosspath::kvstore
