#include "mosspath/kvstore/watch_cache.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mosspath::kvstore {

WatchCache::WatchCache(asio::io_context& io, Client& client, const config::DerivedSettings& derived,
                       std::string loaded, std::string followed, Handlers handlers)
    : client_(client),
      derived_(derived),
      loaded_prefix_(std::move(loaded)),
      followed_prefix_(std::move(followed)),
      handlers_(std::move(handlers)),
      retry_(io),
      follow_gap_(io),
      read_gap_(io),
      backoff_(0.1, 1.0) {}

void WatchCache::Start() { Load(); }

void WatchCache::Load() {
  ++generation_;
  loaded_ = false;
  read_gap_.Cancel();
  read_planned_ = false;
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& done : waiting) done(false);
  revision_ = 0;
  handlers_.reset();
  load_began_ = net::Now();
  LoadPage("");
}

void WatchCache::LoadPage(const std::string& after) {
  client_.List(loaded_prefix_, after, [this, after](ListResult page) {
    if (!page.ok) {
      retry_.After(backoff_.Next(), [this, after] { LoadPage(after); });
      return;
    }
    // Changes made while the pages are read are replayed from the first page's revision.
    if (revision_ == 0) revision_ = page.revision;
    for (const Event& e : page.items) handlers_.changed(e);
    if (page.more && !page.items.empty()) return LoadPage(page.items.back().key);
    backoff_.Reset();
    loaded_ = true;
    spdlog::info("state: loaded {} at revision {}", loaded_prefix_, revision_);
    handlers_.loaded();
    handlers_.current(load_began_);
    handlers_.advanced();
    Follow();
  });
}

bool WatchCache::ApplyEvents(const WatchResult& log, double asked) {
  if (log.kind == WatchResult::Kind::kTooOld) {
    if (loaded_) {
      spdlog::info("state: fell too far behind, loading again");
      Load();
    }
    return false;
  }
  if (log.kind != WatchResult::Kind::kOk) return false;
  // The watch and the catch-up reads overlap: what was applied already is passed over.
  const uint64_t known = revision_;
  bool any = false;
  for (const Event& e : log.events) {
    if (e.version <= known) continue;
    handlers_.changed(e);
    any = true;
  }
  revision_ = std::max(revision_, log.revision);
  handlers_.current(asked);
  if (any) handlers_.advanced();
  return true;
}

void WatchCache::Follow() {
  const uint64_t generation = generation_;
  const double asked = net::Now();
  client_.Watch(followed_prefix_, revision_, derived_.watch_s,
                [this, generation, asked](const WatchResult& log) {
                  if (generation != generation_) return;
                  double pause = derived_.catch_up_interval_s;
                  if (ApplyEvents(log, asked)) {
                    backoff_.Reset();
                  } else {
                    pause = backoff_.Next();
                  }
                  if (generation != generation_) return;
                  follow_gap_.After(pause, [this] { Follow(); });
                });
}

void WatchCache::CatchUp(std::function<void(bool)> done) {
  if (!loaded_) return done(false);
  waiting_.push_back(std::move(done));
  if (!reading_ && !read_planned_) ReadNow();
}

void WatchCache::ReadNow() {
  const double wait = last_read_ + derived_.catch_up_interval_s - net::Now();
  if (wait > 0) {
    read_planned_ = true;
    read_gap_.After(wait, [this] { ReadNow(); });
    return;
  }
  read_planned_ = false;
  reading_ = true;
  last_read_ = net::Now();
  auto waiting = std::move(waiting_);
  waiting_.clear();
  client_.Watch(followed_prefix_, revision_, 0,
                [this, asked = last_read_, waiting = std::move(waiting)](const WatchResult& log) {
                  reading_ = false;
                  const bool ok = loaded_ && ApplyEvents(log, asked);
                  for (const auto& done : waiting) done(ok);
                  if (!waiting_.empty() && loaded_ && !reading_ && !read_planned_) ReadNow();
                });
}

}  // namespace mosspath::kvstore
