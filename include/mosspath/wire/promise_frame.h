// The promise requests that a leader sends its peers while the state service is silent, and their
// answers: whether they promise not to lead for a short time, and the cancellations that they may
// have confirmed and that the leader has not read (election/leadership). In the varint codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mosspath::wire {

// Job ids in one answer; about 20 bytes each.
inline constexpr size_t kMaxCancelledIds = 512;

struct PromiseRequest {
  std::string node;            // the leader that asks
  uint64_t token = 0;          // of its term
  uint64_t read_revision = 0;  // it has read everything up to this revision
};

// A part of the cancellations that a controller may have confirmed to users.
struct CancellationLogSlice {
  struct Entry {
    std::string id;         // of the job
    uint64_t revision = 0;  // at which the cancellation is durable
  };
  uint64_t newest = 0;  // none after this revision can have been confirmed
  // The entries are complete for the revisions after from_revision up to to_revision.
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  std::vector<Entry> entries;  // by revision
};

struct PromiseResponse {
  bool promised = false;
  CancellationLogSlice cancellations;
};

[[nodiscard]] std::string Encode(const PromiseRequest& request);
[[nodiscard]] std::string Encode(const PromiseResponse& response);
// Throw BadMessage on what no writer of this version can have written: cut short, longer than it
// should be, another version, ids out of order or beyond the bound. A peer of another version is
// answered with an error, which is no promise.
PromiseRequest DecodePromiseRequest(std::string_view frame);
PromiseResponse DecodePromiseResponse(std::string_view frame);

}  // namespace mosspath::wire
