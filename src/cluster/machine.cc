#include "mosspath/cluster/machine.h"

namespace mosspath::cluster {

ImageCache::ImageCache(const ImageCache& other) : order_(other.order_), total_(other.total_) {
  for (auto it = order_.begin(); it != order_.end(); ++it) index_[it->first] = it;
}

ImageCache& ImageCache::operator=(const ImageCache& other) {
  if (this != &other) *this = ImageCache(other);
  return *this;
}

void ImageCache::MarkUsed(const std::string& image, double gb, double capacity_gb) {
  if (auto it = index_.find(image); it != index_.end()) {
    order_.splice(order_.begin(), order_, it->second);
    return;
  }
  order_.emplace_front(image, gb);
  index_[image] = order_.begin();
  total_ += gb;
  while (total_ > capacity_gb && order_.size() > 1) {
    total_ -= order_.back().second;
    index_.erase(order_.back().first);
    order_.pop_back();
  }
}

void ImageCache::Clear() {
  order_.clear();
  index_.clear();
  total_ = 0;
}

}  // namespace mosspath::cluster
