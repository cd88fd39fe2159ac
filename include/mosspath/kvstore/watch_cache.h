// Passes the keys of the key-value store, and their changes, to this controller: lists the keys
// under one prefix once, then watches a wider prefix from the list's revision (as a Kubernetes
// informer does), and catches up on demand.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/kvstore/client.h"

namespace mosspath::kvstore {

// Stores no values: the handlers apply the events. Runs on the thread of its io_context, as
// `client` does. `client` must outlive the cache.
class WatchCache {
 public:
  struct Handlers {
    std::function<void()> reset;                // discard all state; a full load follows
    std::function<void(const Event&)> changed;  // after the load in the order of revisions
    std::function<void()> loaded;               // all listed keys were passed to `changed`
    std::function<void()> advanced;             // after the load and each batch of events
    // Everything that was written before `as_of` was passed to `changed`.
    std::function<void(double as_of)> current;
  };

  // Lists the keys under `loaded_prefix`, and watches those under the wider `watched_prefix`.
  WatchCache(asio::io_context& io, Client& client, const config::DerivedSettings& derived,
             std::string loaded_prefix, std::string watched_prefix, Handlers handlers);

  // Begins the load. Must be called once.
  void Start();
  [[nodiscard]] bool loaded() const { return loaded_; }
  // The revision up to which all changes were passed to the handlers; 0 before the first page is
  // read.
  [[nodiscard]] uint64_t revision() const { return revision_.value_or(0); }

  // Calls `done` with true once the handlers have received everything that was written before this
  // call, or with false if that can't be established now. Calls made while a read is in flight
  // share the next read.
  void CatchUp(std::function<void(bool caught_up)> done);

 private:
  using Waiters = std::vector<std::function<void(bool caught_up)>>;

  void Load();
  void LoadPage(const std::string& after);
  void OnPage(const ListResult& page, const std::string& after);
  void OnLoaded();
  void StartWatch();
  void OnWatchResult(const WatchResult& result, uint64_t generation, double sent_at);
  // Applies the events of `result`, whose request was sent at `sent_at`. Returns false if there is
  // no usable result.
  bool Apply(const WatchResult& result, double sent_at);
  void ReloadIfLoaded();
  void StartRead();
  void OnReadResult(const WatchResult& result, const Waiters& waiters, double sent_at);
  [[nodiscard]] bool CanStartRead() const { return !read_in_flight_ && !read_scheduled_; }

  Client& client_;
  const config::DerivedSettings derived_;
  const std::string loaded_prefix_;
  const std::string watched_prefix_;
  Handlers handlers_;
  net::Timer retry_timer_;
  net::Timer watch_timer_;
  net::Timer read_timer_;
  net::Backoff backoff_;
  std::optional<uint64_t> revision_;
  uint64_t generation_ = 0;  // number of loads; watch results of an earlier load are ignored
  bool loaded_ = false;
  bool read_in_flight_ = false;
  bool read_scheduled_ = false;
  std::optional<double> last_read_at_;
  double load_began_at_ = 0;
  Waiters waiters_;
};

}  // namespace mosspath::kvstore
