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
inline constexpr size_t kMaxCancelledIds = 512;

struct PromiseRequest {
  std::string node;            // who asks
  uint64_t token = 0;          // the asking leader's
  uint64_t read_revision = 0;  // it has read all up to this revision
};

// A part of the cancellations that a controller may have told of.
struct CancellationLogSlice {
  struct Entry {
    std::string id;
    uint64_t revision = 0;
  };
  uint64_t newest = 0;         // it may have told of none after this revision
  uint64_t from_revision = 0;  // of those after this one ...
  uint64_t to_revision = 0;    // ... up to this one, all are listed
  std::vector<Entry> entries;  // by revision
};

struct PromiseResponse {
  bool promised = false;
  CancellationLogSlice cancellations;
};

std::string Encode(const PromiseRequest& q);
std::string Encode(const PromiseResponse& a);
// Throw BadMessage on what no writer of this version can have written: cut short, longer than it
// should be, another version, ids out of order or beyond the bound. A peer of another version is
// answered with an error, which is no promise.
PromiseRequest DecodePromiseRequest(std::string_view in);
PromiseResponse DecodePromiseResponse(std::string_view in);

}  // namespace mosspath::wire
