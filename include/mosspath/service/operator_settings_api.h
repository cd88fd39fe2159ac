// The operators' settings: mirrored, shown and changed by compare-and-set over the administration
// API.
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
  OperatorSettingsApi(kvstore::Client& state, kvstore::WatchCache& mirror,
                      const config::DerivedSettings& derived, std::function<void()> changed)
      : state_(state), mirror_(mirror), derived_(derived), changed_(std::move(changed)) {}

  const config::OperatorSettings& settings() const { return settings_; }
  // The record as the state service has it now.
  void OnKey(const kvstore::Event& e);
  void Answer(const net::HttpRequest& r, net::HttpServer::Responder respond);

 private:
  void Put(const net::HttpRequest& r, net::HttpServer::Responder respond);

  kvstore::Client& state_;
  kvstore::WatchCache& mirror_;
  const config::DerivedSettings derived_;
  const std::function<void()> changed_;
  config::OperatorSettings settings_;
  uint64_t version_ = 0;
};

}  // namespace mosspath::service
