#include "kvstore/codec.h"

#include <cmath>
#include <optional>
#include <utility>

namespace mosspath::kvstore {
namespace {

using wire::Json;

constexpr int kPageSize = 500;
constexpr double kMsPerS = 1000;

// The key-value store's field names. The constants are named by the usual terms for the fields.
namespace field {
constexpr const char* kKey = "k";
constexpr const char* kValue = "v";
constexpr const char* kVersion = "mark";
constexpr const char* kRevision = "epoch";
constexpr const char* kLease = "berth";
constexpr const char* kTtlMs = "life_ms";
constexpr const char* kConditions = "if";
constexpr const char* kChanges = "apply";
constexpr const char* kPut = "put";
constexpr const char* kDelete = "delete";
constexpr const char* kItems = "pairs";
constexpr const char* kEvents = "log";
constexpr const char* kMore = "truncated";
}  // namespace field

uint64_t Number(const Json& body, const char* key) {
  const auto it = body.find(key);
  if (it == body.end() || !it->is_number_unsigned()) throw wire::BadMessage(key);
  return it->get<uint64_t>();
}

std::string Text(const Json& body, const char* key) {
  const auto it = body.find(key);
  if (it == body.end() || !it->is_string()) throw wire::BadMessage(key);
  return it->get<std::string>();
}

const Json& Array(const Json& body, const char* key) {
  const auto it = body.find(key);
  if (it == body.end() || !it->is_array()) throw wire::BadMessage(key);
  return *it;
}

Json EncodeChange(const Change& change) {
  if (!change.value) return Json{{field::kDelete, change.key}};
  Json put{{field::kPut, change.key}, {field::kValue, *change.value}};
  if (change.lease != kNoLease) put[field::kLease] = change.lease;
  return put;
}

}  // namespace

std::string GetTarget(const std::string& key) { return "/kv/" + key; }

std::string ListTarget(const std::string& prefix, const std::string& after) {
  std::string target = "/kv?under=" + prefix + "&most=" + std::to_string(kPageSize);
  if (!after.empty()) target += "&since=" + after;
  return target;
}

std::string WatchTarget(const std::string& prefix, uint64_t since, double wait_s) {
  return "/follow?under=" + prefix + "&since=" + std::to_string(since) +
         "&wait_ms=" + std::to_string(std::lround(wait_s * kMsPerS));
}

std::string LeaseTarget(uint64_t lease) {
  return std::string(kLeasesTarget) + "/" + std::to_string(lease);
}

std::string RenewalTarget(uint64_t lease) { return LeaseTarget(lease) + "/touch"; }

std::string EncodeTransaction(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions) {
    conditions.push_back({{field::kKey, condition.key}, {field::kVersion, condition.version}});
  }
  Json changes = Json::array();
  for (const Change& change : transaction.changes) changes.push_back(EncodeChange(change));
  Json body{{field::kConditions, std::move(conditions)}};
  if (!changes.empty()) body[field::kChanges] = std::move(changes);
  return body.dump();
}

std::string EncodeLeaseRequest(double ttl_s) {
  return Json{{field::kTtlMs, static_cast<uint64_t>(ttl_s * kMsPerS)}}.dump();
}

uint64_t DecodeRevision(const Json& body) { return Number(body, field::kRevision); }

uint64_t DecodeLease(const Json& body) { return Number(body, field::kLease); }

void DecodeValue(const Json& body, GetResult& result) {
  result.value = body.at(field::kValue);
  result.version = Number(body, field::kVersion);
}

void DecodeList(const Json& body, ListResult& result) {
  result.revision = Number(body, field::kRevision);
  result.more = body.value(field::kMore, false);
  for (const Json& item : Array(body, field::kItems)) {
    result.items.push_back(
        {Text(item, field::kKey), item.at(field::kValue), Number(item, field::kVersion)});
  }
}

void DecodeEvents(const Json& body, WatchResult& result) {
  result.revision = Number(body, field::kRevision);
  for (const Json& item : Array(body, field::kEvents)) {
    const bool is_put = item.contains(field::kPut);
    Event event;
    event.key = Text(item, is_put ? field::kPut : field::kDelete);
    event.version = Number(item, field::kVersion);
    if (is_put) event.value = item.at(field::kValue);
    result.events.push_back(std::move(event));
  }
}

}  // namespace mosspath::kvstore
