// The operators' settings: caches the settings record of the key-value store, and serves the
// administration API that reads the record and changes it by compare-and-set. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>

#include "mosspath/config/operator_settings.h"
#include "mosspath/config/settings.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/kvstore/watch_cache.h"
#include "mosspath/net/http_server.h"

namespace mosspath::service {

class OperatorSettingsApi {
 public:
  // `on_changed` is called after each event of the record.
  OperatorSettingsApi(kvstore::Client& store, kvstore::WatchCache& watch_cache,
                      const config::DerivedSettings& derived, std::function<void()> on_changed)
      : store_(store),
        watch_cache_(watch_cache),
        derived_(derived),
        on_changed_(std::move(on_changed)) {}

  const config::OperatorSettings& settings() const { return settings_; }
  // Handles an event of the settings record. If the record is malformed, the defaults apply.
  void OnKey(const kvstore::Event& e);
  void Answer(const net::HttpRequest& r, net::HttpServer::Responder respond);

 private:
  void Put(const net::HttpRequest& r, net::HttpServer::Responder respond);

  kvstore::Client& store_;
  kvstore::WatchCache& watch_cache_;
  const config::DerivedSettings derived_;
  const std::function<void()> on_changed_;
  config::OperatorSettings settings_;
  uint64_t version_ = 0;
};

}  // namespace mosspath::service
