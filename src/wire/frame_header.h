// The header of frames between controllers: the kind of the frame and the version of its layout.
// Promise frames have a version but no kind.
#pragma once

#include <cstdint>

#include "mosspath/wire/varint.h"

namespace mosspath::wire {

enum class FrameKind : uint64_t {
  kStatusSnapshot = 0x6d70'01,
  kPeerHeartbeat = 0x6d70'02,
  kShardFrame = 0x6d70'03,
  kAdmissionPlan = 0x6d70'04,
};

inline void PutHeader(VarintWriter& writer, FrameKind kind, uint64_t version) {
  writer.Put(static_cast<uint64_t>(kind));
  writer.Put(version);
}

// Reads the header and returns the version of the frame. Throws BadMessage if the frame is of
// another kind or its version is outside [min_version, max_version].
inline uint64_t GetHeader(VarintReader& reader, FrameKind kind, uint64_t min_version,
                          uint64_t max_version) {
  if (reader.Get() != static_cast<uint64_t>(kind)) throw BadMessage("frame: of another kind");
  const uint64_t version = reader.Get();
  if (version < min_version || version > max_version) {
    throw BadMessage("frame: an unsupported version");
  }
  return version;
}

}  // namespace mosspath::wire
