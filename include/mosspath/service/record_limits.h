// Limits of the records that a leader writes in one transaction.
#pragma once

#include <cstddef>

namespace mosspath::service {

// Bytes of values in one transaction. A request has at most 64 KiB in all.
inline constexpr size_t kMaxRecordBytes = 48u << 10;

}  // namespace mosspath::service
