#include "mosspath/wire/vouch_frame.h"

#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

constexpr uint64_t kVersion = 2;
constexpr size_t kMostName = 64;

void ReadVersion(VarintReader& r) {
  if (r.Get() != kVersion) throw BadMessage("vouch: another version");
}

}  // namespace

std::string Encode(const VouchQuestion& q) {
  VarintWriter w;
  w.Put(kVersion);
  w.Put(q.node);
  w.Put(q.token);
  w.Put(q.seen);
  return w.Take();
}

VouchQuestion DecodeVouchQuestion(std::string_view in) {
  VarintReader r(in);
  ReadVersion(r);
  VouchQuestion q;
  q.node = r.GetString(kMostName);
  q.token = r.Get();
  q.seen = r.Get();
  r.End();
  return q;
}

std::string Encode(const VouchAnswer& a) {
  VarintWriter w;
  w.Put(kVersion);
  w.Put(uint64_t{a.promised});
  w.Put(a.cancelled.newest);
  w.Put(a.cancelled.from);
  w.Put(a.cancelled.upto);
  w.Put(static_cast<uint64_t>(a.cancelled.ids.size()));
  for (const auto& e : a.cancelled.ids) {
    w.Put(e.id);
    w.Put(e.revision);
  }
  return w.Take();
}

VouchAnswer DecodeVouchAnswer(std::string_view in) {
  VarintReader r(in);
  ReadVersion(r);
  VouchAnswer a;
  const uint64_t promised = r.Get();
  if (promised > 1) throw BadMessage("vouch: neither a promise nor none");
  a.promised = promised == 1;
  CancelledPart& c = a.cancelled;
  c.newest = r.Get();
  c.from = r.Get();
  c.upto = r.Get();
  if (c.upto < c.from) throw BadMessage("vouch: a list that ends before it begins");
  const uint64_t n = r.GetCount(kMostCancelledIds);
  uint64_t last = c.from + 1;
  for (uint64_t i = 0; i < n; ++i) {
    CancelledPart::Entry e;
    e.id = r.GetString(kMostName);
    e.revision = r.Get();
    if (!IsJobId(e.id) || e.revision < last || e.revision > c.upto || e.revision > c.newest) {
      throw BadMessage("vouch: a cancellation that can't be");
    }
    last = e.revision;
    c.ids.push_back(std::move(e));
  }
  r.End();
  return a;
}

}  // namespace mosspath::wire
