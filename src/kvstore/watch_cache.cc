#include "mosspath/kvstore/watch_cache.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::kvstore {
namespace {

constexpr double kFirstRetryS = 0.1;
constexpr double kLongestRetryS = 1.0;
constexpr double kNoWait = 0;

}  // namespace

WatchCache::WatchCache(asio::io_context& io, Client& client, const config::DerivedSettings& derived,
                       std::string loaded_prefix, std::string watched_prefix, Handlers handlers)
    : client_(client),
      derived_(derived),
      loaded_prefix_(std::move(loaded_prefix)),
      watched_prefix_(std::move(watched_prefix)),
      handlers_(std::move(handlers)),
      retry_timer_(io),
      watch_timer_(io),
      read_timer_(io),
      backoff_(kFirstRetryS, kLongestRetryS) {}

void WatchCache::Start() { Load(); }

void WatchCache::Load() {
  ++generation_;
  loaded_ = false;
  read_timer_.Cancel();
  read_scheduled_ = false;
  const Waiters waiters = std::exchange(waiters_, {});
  for (const auto& done : waiters) done(false);
  revision_.reset();
  handlers_.reset();
  load_began_at_ = net::Now();
  LoadPage("");
}

void WatchCache::LoadPage(const std::string& after) {
  client_.List(loaded_prefix_, after,
               [this, after](const ListResult& page) { OnPage(page, after); });
}

void WatchCache::OnPage(const ListResult& page, const std::string& after) {
  if (!page.ok) {
    retry_timer_.After(backoff_.Next(), [this, after] { LoadPage(after); });
    return;
  }
  // The watch replays changes made during the load, since the watch begins at the revision of the
  // first page.
  if (!revision_) revision_ = page.revision;
  for (const Event& event : page.items) handlers_.changed(event);
  if (page.more && !page.items.empty()) return LoadPage(page.items.back().key);
  OnLoaded();
}

void WatchCache::OnLoaded() {
  backoff_.Reset();
  loaded_ = true;
  spdlog::info("kvstore: cache_loaded prefix={} revision={}", loaded_prefix_, revision());
  handlers_.loaded();
  handlers_.current(load_began_at_);
  handlers_.advanced();
  StartWatch();
}

void WatchCache::ReloadIfLoaded() {
  if (!loaded_) return;
  spdlog::info("kvstore: cache_reload reason=revision_too_old revision={}", revision());
  Load();
}

bool WatchCache::Apply(const WatchResult& result, double sent_at) {
  if (result.kind == WatchResult::Kind::kTooOld) ReloadIfLoaded();
  if (result.kind != WatchResult::Kind::kOk) return false;
  // The watch and the reads on demand overlap, so events that were already applied are skipped.
  const uint64_t applied_revision = revision();
  bool any_applied = false;
  for (const Event& event : result.events) {
    if (event.version <= applied_revision) continue;
    handlers_.changed(event);
    any_applied = true;
  }
  revision_ = std::max(revision(), result.revision);
  handlers_.current(sent_at);
  if (any_applied) handlers_.advanced();
  return true;
}

void WatchCache::StartWatch() {
  const uint64_t generation = generation_;
  const double sent_at = net::Now();
  client_.Watch(watched_prefix_, revision(), derived_.watch_s,
                [this, generation, sent_at](const WatchResult& result) {
                  OnWatchResult(result, generation, sent_at);
                });
}

void WatchCache::OnWatchResult(const WatchResult& result, uint64_t generation, double sent_at) {
  if (generation != generation_) return;
  double pause_s = derived_.catch_up_interval_s;
  if (Apply(result, sent_at)) {
    backoff_.Reset();
  } else {
    pause_s = backoff_.Next();
  }
  if (generation != generation_) return;  // a new load has begun, which starts its own watch
  watch_timer_.After(pause_s, [this] { StartWatch(); });
}

void WatchCache::CatchUp(std::function<void(bool caught_up)> done) {
  if (!loaded_) return done(false);
  waiters_.push_back(std::move(done));
  if (CanStartRead()) StartRead();
}

void WatchCache::StartRead() {
  const double now = net::Now();
  if (last_read_at_ && *last_read_at_ + derived_.catch_up_interval_s > now) {
    read_scheduled_ = true;
    read_timer_.After(*last_read_at_ + derived_.catch_up_interval_s - now, [this] { StartRead(); });
    return;
  }
  read_scheduled_ = false;
  read_in_flight_ = true;
  last_read_at_ = now;
  client_.Watch(watched_prefix_, revision(), kNoWait,
                [this, sent_at = now, waiters = std::exchange(waiters_, {})](
                    const WatchResult& result) { OnReadResult(result, waiters, sent_at); });
}

void WatchCache::OnReadResult(const WatchResult& result, const Waiters& waiters, double sent_at) {
  read_in_flight_ = false;
  const bool caught_up = loaded_ && Apply(result, sent_at);
  for (const auto& done : waiters) done(caught_up);
  if (!waiters_.empty() && loaded_ && CanStartRead()) StartRead();
}

}  // namespace mosspath::kvstore
