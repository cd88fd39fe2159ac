// The codec of frames between controllers: unsigned LEB128 varints and length-prefixed strings,
// without field numbers. The layout of each frame is fixed by its version.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "mosspath/wire/json.h"

namespace mosspath::wire {

namespace varint {
inline constexpr unsigned kPayloadBits = 7;  // in each byte
inline constexpr uint64_t kContinuation = 0x80;
inline constexpr uint64_t kPayloadMask = 0x7f;
inline constexpr unsigned kValueBits = 64;
inline constexpr unsigned kLastShift = 63;    // shift of the tenth byte, which holds only one bit
inline constexpr double kAmountUnits = 1000;  // amounts are encoded in thousandths
}  // namespace varint

class VarintWriter {
 public:
  void Put(uint64_t value) {
    while (value >= varint::kContinuation) {
      out_.push_back(static_cast<char>(value | varint::kContinuation));
      value >>= varint::kPayloadBits;
    }
    out_.push_back(static_cast<char>(value));
  }
  void Put(std::string_view text) {
    Put(static_cast<uint64_t>(text.size()));
    out_.append(text);
  }
  // Writes the amount in thousandths, and a negative amount as zero.
  void PutAmount(double amount) {
    Put(static_cast<uint64_t>(std::llround(std::max(0.0, amount) * varint::kAmountUnits)));
  }
  // Returns the bytes written so far, and leaves the writer empty.
  [[nodiscard]] std::string Take() { return std::move(out_); }
  [[nodiscard]] size_t size() const { return out_.size(); }

 private:
  std::string out_;
};

// Reads a frame. Does not own the bytes, which must outlive the reader. Throws BadMessage on input
// that VarintWriter can't have written.
class VarintReader {
 public:
  explicit VarintReader(std::string_view in) : in_(in) {}

  uint64_t Get() {
    uint64_t value = 0;
    for (unsigned shift = 0; shift < varint::kValueBits; shift += varint::kPayloadBits) {
      if (in_.empty()) throw BadMessage("frame: cut short");
      const auto byte = static_cast<uint8_t>(in_.front());
      in_.remove_prefix(1);
      if (shift == varint::kLastShift && byte > 1) break;
      value |= (byte & varint::kPayloadMask) << shift;
      if (byte < varint::kContinuation) return value;
    }
    throw BadMessage("frame: a number is too long");
  }
  std::string GetString(size_t max_bytes) {
    const uint64_t size = Get();
    if (size > max_bytes || size > in_.size()) throw BadMessage("frame: a string is too long");
    std::string text(in_.substr(0, size));
    in_.remove_prefix(size);
    return text;
  }
  // Reads the number of elements of a list, at most `max_count`. An element takes at least one
  // byte, so a list with more elements than remaining bytes is invalid.
  uint64_t GetCount(uint64_t max_count) {
    const uint64_t count = Get();
    if (count > max_count || count > in_.size()) throw BadMessage("frame: a list is too long");
    return count;
  }
  double GetAmount() { return static_cast<double>(Get()) / varint::kAmountUnits; }
  // Throws BadMessage if bytes remain. Must be called after the last read.
  void End() const {
    if (!in_.empty()) throw BadMessage("frame: has more than it should");
  }

 private:
  std::string_view in_;
};

}  // namespace mosspath::wire
