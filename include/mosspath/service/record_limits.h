// Limits of the records that a leader writes in one transaction.
#pragma once

#include <cstddef>

namespace mosspath::service {

// Maximum total size of the values in one transaction, in bytes. A request to the key-value store
// has at most 64 KiB in all.
inline constexpr size_t kMaxRecordBytes = 48u << 10;

}  // namespace mosspath::service
