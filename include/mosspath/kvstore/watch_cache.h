// A node's copy of the live keys: loaded once, then followed, and caught up on demand. What else is
// under the wider prefix is told as it changes, but never loaded.
#pragma once

#include <functional>
#include <vector>

#include "mosspath/kvstore/client.h"

namespace mosspath::kvstore {

class WatchCache {
 public:
  struct Handlers {
    std::function<void()> reset;  // everything known is void; a full load follows
    std::function<void(const Event&)> changed;
    std::function<void()> loaded;
    std::function<void()> advanced;  // after each batch of events
    // Everything that was written before this moment has been told.
    std::function<void(double as_of)> current;
  };

  WatchCache(asio::io_context& io, Client& client, const config::DerivedSettings& derived,
             std::string loaded, std::string followed, Handlers handlers);

  void Start();
  bool loaded() const { return loaded_; }
  uint64_t revision() const { return revision_; }

  // Calls back with true once the mirror holds all that was written before this call; requests
  // that come while a read is in flight share the next one. False: it can't be known now.
  void CatchUp(std::function<void(bool)> done);

 private:
  void Load();
  void LoadPage(const std::string& after);
  void Follow();
  // `asked`: when the log was asked for.
  bool ApplyEvents(const WatchResult& log, double asked);
  void ReadNow();

  Client& client_;
  const config::DerivedSettings derived_;
  const std::string loaded_prefix_;
  const std::string followed_prefix_;
  Handlers handlers_;
  net::Timer retry_;
  net::Timer follow_gap_;
  net::Timer read_gap_;
  net::Backoff backoff_;
  uint64_t revision_ = 0;
  uint64_t generation_ = 0;
  bool loaded_ = false;
  bool reading_ = false;
  bool read_planned_ = false;
  double last_read_ = -1e9;
  double load_began_ = 0;
  std::vector<std::function<void(bool)>> waiting_;
};

}  // namespace mosspath::kvstore
