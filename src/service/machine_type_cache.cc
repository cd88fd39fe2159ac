#include "mosspath/service/machine_type_cache.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "mosspath/service/keys.h"

namespace mosspath::service {

using wire::Json;

MachineTypeCache::MachineTypeCache(asio::io_context& io, kvstore::Client& state, CloudClient& cloud,
                                   const election::Elector& elector,
                                   const config::DerivedSettings& derived,
                                   std::function<void(const Types&)> learned)
    : state_(state),
      cloud_(cloud),
      elector_(elector),
      derived_(derived),
      learned_(std::move(learned)),
      timer_(io) {}

void MachineTypeCache::Fetch() {
  if (!types_.empty()) return;
  cloud_.ListMachineTypes([this](bool ok, const Types& types) {
    if (ok) return OnCloudTypes(types);
    timer_.After(1.0, [this] { Fetch(); });
  });
}

void MachineTypeCache::OnKey(const kvstore::Event& e) {
  if (!e.value) return;
  try {
    published_ = e.value->dump();
    Learn(wire::ParseMachineTypes(*e.value));
  } catch (const std::exception& error) {
    spdlog::error("state: unreadable machine types: {}", error.what());
  }
}

void MachineTypeCache::Learn(const Types& types) {
  types_ = types;
  learned_(types_);
}

void MachineTypeCache::OnCloudTypes(const Types& types) {
  Learn(types);
  if (elector_.token() == 0) return;
  Json value = wire::ToJson(types);
  // Prices move all the time; only what decides whether a job can run is worth a write.
  const auto shape = [](Json j) {
    for (auto& t : j["builds"]) t.erase("low_price");
    return j;
  };
  if (!published_.empty() && shape(Json::parse(published_)) == shape(value)) return;
  published_ = value.dump();
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, elector_.token()});
  txn.changes.push_back({keys::kTypes, std::move(value)});
  state_.Commit(std::move(txn), derived_.user_deadline_s,
                [this](const kvstore::TransactionResult& r) {
                  if (r.outcome != kvstore::Outcome::kDone) published_.clear();
                });
}

}  // namespace mosspath::service
