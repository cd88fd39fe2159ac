// Reserved values of the identifiers that the key-value store assigns. Identifiers are plain
// numbers on the wire and in stored data. The service never assigns zero (etcd reserves it in the
// same way).
#pragma once

#include <cstdint>

namespace mosspath::kvstore {

// The key is attached to no store lease, or the controller holds none.
inline constexpr uint64_t kNoLease = 0;
// The version of a key that does not exist. In a condition: the key must not exist.
inline constexpr uint64_t kKeyAbsent = 0;

}  // namespace mosspath::kvstore
