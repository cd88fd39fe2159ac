// Promise requests and responses (election/leadership). A leader sends promise requests to its
// peers while the key-value store does not answer. A response states whether the peer promises not
// to become the leader for a short time. It also lists the cancellations that the peer may have
// confirmed to users and that the leader has not read. Both frames are encoded by the varint codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mosspath::wire {

// Maximum number of job ids in one response. An id takes about 20 bytes.
inline constexpr size_t kMaxCancelledIds = 512;

struct PromiseRequest {
  std::string node;            // the leader that sends the request
  uint64_t token = 0;          // fencing token of the leader's term
  uint64_t read_revision = 0;  // the leader has read all changes up to this revision
};

// The cancellations in a range of store revisions that a controller may have confirmed to users.
struct CancellationLogSlice {
  struct Entry {
    std::string id;         // the id of the cancelled job
    uint64_t revision = 0;  // the store revision at which the cancellation is durable
  };
  uint64_t newest = 0;  // the controller has confirmed no cancellation after this revision
  // `entries` is complete for the revisions after from_revision, up to and including to_revision.
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  std::vector<Entry> entries;  // in order of revision
};

struct PromiseResponse {
  bool promised = false;
  CancellationLogSlice cancellations;
};

[[nodiscard]] std::string Encode(const PromiseRequest& request);
[[nodiscard]] std::string Encode(const PromiseResponse& response);
// The decoders throw BadMessage on a frame that no encoder of this version writes: truncated, with
// trailing bytes, of another version, with revisions out of order or out of range, or with too many
// ids. A peer that receives a request of another version answers with an error, which is not a
// promise.
PromiseRequest DecodePromiseRequest(std::string_view frame);
PromiseResponse DecodePromiseResponse(std::string_view frame);

}  // namespace mosspath::wire
