#include "mosspath/wire/promise_frame.h"

#include <utility>

#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

constexpr uint64_t kVersion = 2;
constexpr size_t kMaxNameBytes = 64;

void CheckVersion(VarintReader& reader) {
  if (reader.Get() != kVersion) throw BadMessage("promise: another version");
}

CancellationLogSlice GetSlice(VarintReader& reader) {
  CancellationLogSlice slice;
  slice.newest = reader.Get();
  slice.from_revision = reader.Get();
  slice.to_revision = reader.Get();
  if (slice.to_revision < slice.from_revision) {
    throw BadMessage("promise: a list that ends before it begins");
  }
  const uint64_t count = reader.GetCount(kMaxCancelledIds);
  uint64_t min_revision = slice.from_revision + 1;
  for (uint64_t i = 0; i < count; ++i) {
    CancellationLogSlice::Entry entry;
    entry.id = reader.GetString(kMaxNameBytes);
    entry.revision = reader.Get();
    const bool in_range = entry.revision >= min_revision && entry.revision <= slice.to_revision &&
                          entry.revision <= slice.newest;
    if (!IsJobId(entry.id) || !in_range) {
      throw BadMessage("promise: an impossible cancellation");
    }
    min_revision = entry.revision;
    slice.entries.push_back(std::move(entry));
  }
  return slice;
}

}  // namespace

std::string Encode(const PromiseRequest& request) {
  VarintWriter writer;
  writer.Put(kVersion);
  writer.Put(request.node);
  writer.Put(request.token);
  writer.Put(request.read_revision);
  return writer.Take();
}

PromiseRequest DecodePromiseRequest(std::string_view frame) {
  VarintReader reader(frame);
  CheckVersion(reader);
  PromiseRequest request;
  request.node = reader.GetString(kMaxNameBytes);
  request.token = reader.Get();
  request.read_revision = reader.Get();
  reader.End();
  return request;
}

std::string Encode(const PromiseResponse& response) {
  const CancellationLogSlice& slice = response.cancellations;
  VarintWriter writer;
  writer.Put(kVersion);
  writer.Put(uint64_t{response.promised});
  writer.Put(slice.newest);
  writer.Put(slice.from_revision);
  writer.Put(slice.to_revision);
  writer.Put(static_cast<uint64_t>(slice.entries.size()));
  for (const auto& entry : slice.entries) {
    writer.Put(entry.id);
    writer.Put(entry.revision);
  }
  return writer.Take();
}

PromiseResponse DecodePromiseResponse(std::string_view frame) {
  VarintReader reader(frame);
  CheckVersion(reader);
  PromiseResponse response;
  const uint64_t promised = reader.Get();
  if (promised > 1) throw BadMessage("promise: neither given nor refused");
  response.promised = promised == 1;
  response.cancellations = GetSlice(reader);
  reader.End();
  return response;
}

}  // namespace mosspath::wire
