// This controller's copy of the live keys of the state service: listed once, then followed by a
// watch, and caught up on demand (as a Kubernetes informer: list, then watch from the list's
// revision).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/kvstore/client.h"

namespace mosspath::kvstore {

// Holds no values itself: the handlers apply the events. Lives on the thread of its io_context, as
// `client` does, which must outlive it.
class WatchCache {
 public:
  struct Handlers {
    std::function<void()> reset;                // what is known is void; a full load follows
    std::function<void(const Event&)> changed;  // in the order of the revisions after the load
    std::function<void()> loaded;               // all live keys were passed to `changed`
    std::function<void()> advanced;             // after the load and each batch of events
    std::function<void(double as_of)> current;  // all that was written before `as_of` was passed
  };

  // Lists the keys under `loaded_prefix`, and follows those under the wider `followed_prefix`.
  WatchCache(asio::io_context& io, Client& client, const config::DerivedSettings& derived,
             std::string loaded_prefix, std::string followed_prefix, Handlers handlers);

  // To be called once.
  void Start();
  [[nodiscard]] bool loaded() const { return loaded_; }
  // Up to which all changes were passed on; 0 before the first page is read.
  [[nodiscard]] uint64_t revision() const { return revision_.value_or(0); }

  // Calls `done` with true once the cache holds all that was written before this call; requests
  // that come while a read is in flight share the next one. False: that can't be known now.
  void CatchUp(std::function<void(bool caught_up)> done);

 private:
  using Waiters = std::vector<std::function<void(bool caught_up)>>;

  void Load();
  void LoadPage(const std::string& after);
  void OnPage(const ListResult& page, const std::string& after);
  void OnLoaded();
  void Follow();
  void OnFollowed(const WatchResult& result, uint64_t generation, double asked_at);
  // `asked_at`: when the request was sent. False: nothing was applied.
  bool Apply(const WatchResult& result, double asked_at);
  void ReloadIfLoaded();
  void ReadNow();
  void OnRead(const WatchResult& result, const Waiters& waiters, double asked_at);
  [[nodiscard]] bool MayRead() const { return !reading_ && !read_planned_; }

  Client& client_;
  const config::DerivedSettings derived_;
  const std::string loaded_prefix_;
  const std::string followed_prefix_;
  Handlers handlers_;
  net::Timer retry_timer_;
  net::Timer follow_timer_;
  net::Timer read_timer_;
  net::Backoff backoff_;
  std::optional<uint64_t> revision_;
  uint64_t generation_ = 0;  // counts loads: answers to watches of an earlier one are void
  bool loaded_ = false;
  bool reading_ = false;
  bool read_planned_ = false;
  std::optional<double> last_read_at_;
  double load_began_at_ = 0;
  Waiters waiting_;
};

}  // namespace mosspath::kvstore
