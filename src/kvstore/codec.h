// The key-value store's HTTP targets and JSON bodies. Only codec.cc contains the service's field
// names.
#pragma once

#include <cstdint>
#include <string>

#include "mosspath/kvstore/types.h"

namespace mosspath::kvstore {

// The source under which malformed answers are logged and counted.
inline constexpr const char* kMalformedSource = "state";

inline constexpr const char* kTransactionTarget = "/multi";
inline constexpr const char* kLeasesTarget = "/grants";
[[nodiscard]] std::string GetTarget(const std::string& key);
// Returns the target for the page of keys under `prefix` after the key `after`; empty: the first
// page.
[[nodiscard]] std::string ListTarget(const std::string& prefix, const std::string& after);
// Returns the target for the changes after the revision `since`. The key-value store answers within
// `wait_s` seconds.
[[nodiscard]] std::string WatchTarget(const std::string& prefix, uint64_t since, double wait_s);
[[nodiscard]] std::string LeaseTarget(uint64_t lease);
[[nodiscard]] std::string RenewalTarget(uint64_t lease);

[[nodiscard]] std::string EncodeTransaction(const Transaction& transaction);
[[nodiscard]] std::string EncodeLeaseRequest(double ttl_s);

// Each function throws if `body` is not an answer of its kind.
[[nodiscard]] uint64_t DecodeRevision(const wire::Json& body);
[[nodiscard]] uint64_t DecodeLease(const wire::Json& body);
void DecodeValue(const wire::Json& body, GetResult& result);
void DecodeList(const wire::Json& body, ListResult& result);
void DecodeEvents(const wire::Json& body, WatchResult& result);

}  // namespace mosspath::kvstore
