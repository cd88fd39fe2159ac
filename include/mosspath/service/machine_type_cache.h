// Caches the machine types. The types come from the cloud, or from the record that a leader
// publishes in the key-value store. The record lets controllers validate jobs while the cloud's API
// is down. Runs on every controller; not thread-safe.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/elector.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/net/timer.h"
#include "mosspath/service/cloud_client.h"

namespace mosspath::service {

class MachineTypeCache {
 public:
  using Types = std::vector<wire::MachineType>;

  // `on_types` is called whenever types arrive, even if they are unchanged.
  MachineTypeCache(asio::io_context& io, kvstore::Client& store, CloudClient& cloud,
                   const election::Elector& elector, const config::DerivedSettings& derived,
                   std::function<void(const Types&)> on_types);

  const Types& types() const { return types_; }
  bool empty() const { return types_.empty(); }
  // Requests the types from the cloud, with retries, unless types are cached already.
  void Fetch();
  // Handles an event of the published record.
  void OnKey(const kvstore::Event& e);
  // Caches the types that the cloud returned. If this controller leads, publishes the types, unless
  // they differ from the published types only in prices.
  void OnCloudTypes(const Types& types);

 private:
  void SetTypes(const Types& types);

  kvstore::Client& store_;
  CloudClient& cloud_;
  const election::Elector& elector_;
  const config::DerivedSettings derived_;
  const std::function<void(const Types&)> on_types_;
  Types types_;
  // The value of the published record, as last read or written. Empty if no record was read or
  // written, or if the last write failed or had an unknown outcome.
  std::string published_;
  net::Timer timer_;
};

}  // namespace mosspath::service
