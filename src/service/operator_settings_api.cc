#include "mosspath/service/operator_settings_api.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "mosspath/service/keys.h"
#include "mosspath/service/user_api.h"

namespace mosspath::service {

using wire::Json;

void OperatorSettingsApi::OnKey(const kvstore::Event& e) {
  version_ = e.value ? e.version : 0;
  try {
    settings_ = config::Change({}, e.value ? *e.value : Json::object());
  } catch (const std::exception& error) {
    spdlog::error("service: operator_settings_malformed fallback=defaults error={}", error.what());
    settings_ = {};
  }
  spdlog::info("service: operator_settings_applied version={}", version_);
  on_changed_();
}

void OperatorSettingsApi::Answer(const net::HttpRequest& r, net::HttpServer::Responder respond) {
  if (r.method == "PUT") return Put(r, std::move(respond));
  if (r.method != "GET") return respond(ErrorResponse(405, "method not allowed"));
  watch_cache_.CatchUp([this, respond](bool ok) {
    if (!ok) return respond(RetryLaterResponse("can't tell now"));
    respond({200, Json{{"version", version_}, {"settings", config::ToJson(settings_)}}.dump()});
  });
}

void OperatorSettingsApi::Put(const net::HttpRequest& r, net::HttpServer::Responder respond) {
  uint64_t version = 0;
  Json changes;
  try {
    const Json body = wire::ParseObject(r.body);
    const auto v = body.find("version");
    if (v == body.end() || !v->is_number_unsigned()) {
      throw wire::BadMessage("version is missing or not a count");
    }
    version = v->get<uint64_t>();
    changes = body.value("settings", Json());
    config::Change({}, changes);
  } catch (const std::exception& e) {
    return respond(ErrorResponse(400, e.what()));
  }
  watch_cache_.CatchUp([this, version, changes, respond = std::move(respond)](bool ok) {
    if (!ok) return respond(RetryLaterResponse("can't tell now"));
    if (version != version_) return respond(ErrorResponse(409, "the settings have changed"));
    const Json next = config::ToJson(config::Change(settings_, changes));
    kvstore::Transaction txn;
    txn.conditions.push_back({keys::kSettings, version});
    txn.changes.push_back({keys::kSettings, next});
    store_.Commit(txn, derived_.user_deadline_s, [respond, next](kvstore::TransactionResult t) {
      if (t.outcome == kvstore::Outcome::kConflict) {
        return respond(ErrorResponse(409, "the settings have changed"));
      }
      if (t.outcome != kvstore::Outcome::kDone)
        return respond(RetryLaterResponse("can't change them now"));
      respond({200, Json{{"version", t.revision}, {"settings", next}}.dump()});
    });
  });
}

}  // namespace mosspath::service
