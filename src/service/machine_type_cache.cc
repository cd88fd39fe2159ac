#include "mosspath/service/machine_type_cache.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "mosspath/service/keys.h"

namespace mosspath::service {

using wire::Json;

MachineTypeCache::MachineTypeCache(asio::io_context& io, kvstore::Client& store, CloudClient& cloud,
                                   const election::Elector& elector,
                                   const config::DerivedSettings& derived,
                                   std::function<void(const Types&)> on_types)
    : store_(store),
      cloud_(cloud),
      elector_(elector),
      derived_(derived),
      on_types_(std::move(on_types)),
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
    SetTypes(wire::ParseMachineTypes(*e.value));
  } catch (const std::exception& error) {
    spdlog::error("service: machine_types_malformed error={}", error.what());
  }
}

void MachineTypeCache::SetTypes(const Types& types) {
  types_ = types;
  on_types_(types_);
}

void MachineTypeCache::OnCloudTypes(const Types& types) {
  SetTypes(types);
  if (elector_.token() == 0) return;
  Json value = wire::ToJson(types);
  // Prices change often and don't affect whether a job can run, so a change of prices alone is not
  // written.
  const auto without_prices = [](Json j) {
    for (auto& t : j["builds"]) t.erase("low_price");
    return j;
  };
  if (!published_.empty() && without_prices(Json::parse(published_)) == without_prices(value))
    return;
  published_ = value.dump();
  kvstore::Transaction txn;
  txn.conditions.push_back({keys::kLeader, elector_.token()});
  txn.changes.push_back({keys::kTypes, std::move(value)});
  store_.Commit(txn, derived_.user_deadline_s, [this](const kvstore::TransactionResult& r) {
    if (r.outcome != kvstore::Outcome::kDone) published_.clear();
  });
}

}  // namespace mosspath::service
