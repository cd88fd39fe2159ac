// A set of task indices of a job, stored as a Roaring bitmap. The pending tasks of an array job
// that has not started take a few bytes together, whatever the size of the array. Does no I/O.
#pragma once

#include <cstdint>
#include <roaring/roaring.hh>
#include <vector>

namespace mosspath::jobs {

class TaskSet {
 public:
  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  // The lowest index; the set must not be empty.
  uint32_t first() const { return bits_.minimum(); }
  void insert(uint32_t index) { size_ += bits_.addChecked(index) ? 1 : 0; }
  void erase(uint32_t index) { size_ -= bits_.removeChecked(index) ? 1 : 0; }
  // Makes this the set of all indices below `n`.
  void FillUpTo(uint32_t n) {
    bits_.addRange(0, n);
    bits_.runOptimize();
    size_ = n;
  }
  void clear() { *this = {}; }
  std::vector<uint32_t> ToVector() const {
    std::vector<uint32_t> indices(size_);
    bits_.toUint32Array(indices.data());
    return indices;
  }
  size_t bytes() const { return bits_.getSizeInBytes(); }
  friend bool operator==(const TaskSet& a, const TaskSet& b) { return a.bits_ == b.bits_; }

 private:
  Roaring bits_;
  uint32_t size_ = 0;
};

}  // namespace mosspath::jobs
