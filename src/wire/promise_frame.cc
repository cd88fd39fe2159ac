#include "mosspath/wire/promise_frame.h"

#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

constexpr uint64_t kVersion = 2;
constexpr size_t kMostName = 64;

void ReadVersion(VarintReader& r) {
  if (r.Get() != kVersion) throw BadMessage("vouch: another version");
}

}  // namespace

std::string Encode(const PromiseRequest& q) {
  VarintWriter w;
  w.Put(kVersion);
  w.Put(q.node);
  w.Put(q.token);
  w.Put(q.read_revision);
  return w.Take();
}

PromiseRequest DecodePromiseRequest(std::string_view in) {
  VarintReader r(in);
  ReadVersion(r);
  PromiseRequest q;
  q.node = r.GetString(kMostName);
  q.token = r.Get();
  q.read_revision = r.Get();
  r.End();
  return q;
}

std::string Encode(const PromiseResponse& a) {
  VarintWriter w;
  w.Put(kVersion);
  w.Put(uint64_t{a.promised});
  w.Put(a.cancellations.newest);
  w.Put(a.cancellations.from_revision);
  w.Put(a.cancellations.to_revision);
  w.Put(static_cast<uint64_t>(a.cancellations.entries.size()));
  for (const auto& e : a.cancellations.entries) {
    w.Put(e.id);
    w.Put(e.revision);
  }
  return w.Take();
}

PromiseResponse DecodePromiseResponse(std::string_view in) {
  VarintReader r(in);
  ReadVersion(r);
  PromiseResponse a;
  const uint64_t promised = r.Get();
  if (promised > 1) throw BadMessage("vouch: neither a promise nor none");
  a.promised = promised == 1;
  CancellationLogSlice& c = a.cancellations;
  c.newest = r.Get();
  c.from_revision = r.Get();
  c.to_revision = r.Get();
  if (c.to_revision < c.from_revision) throw BadMessage("vouch: a list that ends before it begins");
  const uint64_t n = r.GetCount(kMaxCancelledIds);
  uint64_t last = c.from_revision + 1;
  for (uint64_t i = 0; i < n; ++i) {
    CancellationLogSlice::Entry e;
    e.id = r.GetString(kMostName);
    e.revision = r.Get();
    if (!IsJobId(e.id) || e.revision < last || e.revision > c.to_revision ||
        e.revision > c.newest) {
      throw BadMessage("vouch: a cancellation that can't be");
    }
    last = e.revision;
    c.entries.push_back(std::move(e));
  }
  r.End();
  return a;
}

}  // namespace mosspath::wire
