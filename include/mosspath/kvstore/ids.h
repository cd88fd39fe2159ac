// Reserved values of the identifiers that the state service gives out. They travel and are stored
// as plain numbers, and the service never gives out zero (etcd reserves it in the same way).
#pragma once

#include <cstdint>

namespace mosspath::kvstore {

// A key is attached to no store lease, or a controller has none.
inline constexpr uint64_t kNoLease = 0;
// The version of a key that does not exist; as a condition: the key must not exist.
inline constexpr uint64_t kKeyAbsent = 0;

}  // namespace mosspath::kvstore
