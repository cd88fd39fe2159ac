// A fake of the key-value store's key-value store: HTTP servers on loopback, for tests that run the
// real program.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "mosspath/net/http_server.h"
#include "mosspath/net/timer.h"

namespace mosspath::fakes {

// Encodes and parses the protocol's JSON without the project's code. All members run on the
// io_context's thread.
class FakeKeyValueStore {
 public:
  // Listens on `addresses` addresses. With one address per client, a test can refuse the requests
  // of a single client.
  explicit FakeKeyValueStore(asio::io_context& io, size_t addresses = 1);

  std::string address(size_t index = 0) const;

  // Injected faults, in effect while set.
  bool down = false;          // all requests are answered with 503, and no lease expires
  std::set<size_t> refused;   // requests to the addresses with these indices are answered with 503
  bool lose_changes = false;  // transactions are committed but not answered

  size_t single_reads = 0;                   // number of reads of a single key
  std::function<void()> before_single_read;  // called once, before the next read of a single key

  // Writes the value as another client would. Returns the new revision.
  uint64_t Put(const std::string& key, const nlohmann::json& value);
  // Returns all key-value pairs by key, in the JSON form of the responses: {k, v, mark, berth},
  // which are the key, the value, its revision and its lease.
  const std::map<std::string, nlohmann::json>& pairs() const { return pairs_; }

 private:
  using Responder = net::HttpServer::Responder;

  struct Lease {
    double life_s = 0;
    std::unique_ptr<net::Timer> timer;
  };
  // A watch request that waits for the next change under a prefix.
  struct Watch {
    std::string prefix;
    uint64_t since = 0;
    Responder respond;
    std::unique_ptr<net::Timer> timer;
    bool answered = false;
    size_t address_index = 0;
  };

  bool Refuses(size_t address_index) const { return down || refused.contains(address_index); }
  void Handle(size_t address_index, const net::HttpRequest& request, const Responder& respond);
  void HandleTransaction(const nlohmann::json& body, const Responder& respond);
  void HandleWatch(size_t address_index, const net::HttpRequest& request, const Responder& respond);
  void HandleGrant(const net::HttpRequest& request, const Responder& respond);
  void HandleRenewal(const net::HttpRequest& request, const Responder& respond);
  void HandleRange(const net::HttpRequest& request, const Responder& respond);
  void HandleSingleRead(const net::HttpRequest& request, const Responder& respond);

  void StartLeaseTimer(uint64_t lease);
  void ExpireLease(uint64_t lease);
  // Sets the key, or deletes it if `value` is null. `lease`: the lease that the pair is attached
  // to; 0: none.
  void Apply(const std::string& key, const nlohmann::json* value, uint64_t lease);
  void AnswerWatches();
  // Returns all changes under the prefix that are newer than the revision `since`.
  nlohmann::json ChangesUnder(const std::string& prefix, uint64_t since) const;

  asio::io_context& io_;
  uint64_t revision_ = 0;
  uint64_t last_lease_ = 0;
  std::map<std::string, nlohmann::json> pairs_;
  std::vector<nlohmann::json> changes_;
  std::map<uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

}  // namespace mosspath::fakes
