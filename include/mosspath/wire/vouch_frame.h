// What a leader asks its peers while the state service is silent, and what they answer: whether
// they promise not to lead for a moment, and the cancellations that they may have told of and that
// the leader has not read. In the controllers' varint codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mosspath::wire {

// Ids in one answer; about 20 bytes each.
inline constexpr size_t kMostCancelledIds = 512;

struct VouchQuestion {
  std::string node;    // who asks
  uint64_t token = 0;  // the asking leader's
  uint64_t seen = 0;   // it has read all up to this revision
};

// A part of the cancellations that a controller may have told of.
struct CancelledPart {
  struct Entry {
    std::string id;
    uint64_t revision = 0;
  };
  uint64_t newest = 0;     // it may have told of none after this revision
  uint64_t from = 0;       // of those after this one ...
  uint64_t upto = 0;       // ... up to this one, all are listed
  std::vector<Entry> ids;  // by revision
};

struct VouchAnswer {
  bool promised = false;
  CancelledPart cancelled;
};

std::string Encode(const VouchQuestion& q);
std::string Encode(const VouchAnswer& a);
// Throw BadMessage on what no writer of this version can have written: cut short, longer than it
// should be, another version, ids out of order or beyond the bound. A peer of another version is
// answered with an error, which is no promise.
VouchQuestion DecodeVouchQuestion(std::string_view in);
VouchAnswer DecodeVouchAnswer(std::string_view in);

}  // namespace mosspath::wire
