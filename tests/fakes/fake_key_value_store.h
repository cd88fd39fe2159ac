// The key-value store as HTTP servers on loopback, for runs of the real program.
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

// Speaks the protocol's JSON itself, and shares no message code with the project. All members run
// on the io_context's thread.
class FakeKeyValueStore {
 public:
  // Listens on that many addresses, so that each client can be refused alone.
  explicit FakeKeyValueStore(asio::io_context& io, size_t addresses = 1);

  std::string address(size_t index = 0) const;

  // Faults, from now on.
  bool down = false;          // answers 503, and no lease expires
  std::set<size_t> refused;   // who comes by the address of that index gets 503
  bool lose_changes = false;  // changes are carried out but not answered

  size_t single_reads = 0;                   // how often one key was read
  std::function<void()> before_single_read;  // called once, ahead of the next of them

  // Writes the value as somebody else would. Returns the new revision.
  uint64_t Put(const std::string& key, const nlohmann::json& value);
  // By key, in the form in which they are answered: {k, v, mark, berth}.
  const std::map<std::string, nlohmann::json>& pairs() const { return pairs_; }

 private:
  using Responder = net::HttpServer::Responder;

  struct Lease {
    double life_s = 0;
    std::unique_ptr<net::Timer> timer;
  };
  // A request that waits for the next change under a prefix.
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
  // Without a value the key is removed. `lease`: with which it ends; 0: with none.
  void Apply(const std::string& key, const nlohmann::json* value, uint64_t lease);
  void AnswerWatches();
  // All changes under the prefix that are newer than that revision.
  nlohmann::json LogOf(const std::string& prefix, uint64_t since) const;

  asio::io_context& io_;
  uint64_t revision_ = 0;
  uint64_t last_lease_ = 0;
  std::map<std::string, nlohmann::json> pairs_;
  std::vector<nlohmann::json> log_;
  std::map<uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

}  // namespace mosspath::fakes
