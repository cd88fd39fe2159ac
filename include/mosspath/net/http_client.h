// An HTTP/1.1 client for one server, with a bounded pool of connections, a bounded queue and a
// deadline for every request.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mosspath/net/socket_budget.h"

namespace mosspath::net {

struct HttpResult {
  int status = 0;    // 0: no response; the server may still have executed a request that was sent
  bool sent = true;  // false: no part of the request was written
  bool too_large = false;  // the response was discarded: its body exceeds max_answer
  std::string body;
};

// Sends requests to one server, one at a time over each connection. Runs on the thread of the
// io_context, which outlives the client. The destructor closes the connections and drops unfinished
// requests without calling their callbacks.
class HttpClient {
 public:
  struct Options {
    size_t max_connections = 4;
    size_t max_queue = 256;        // maximum number of queued requests; any further request fails
    size_t max_answer = 8u << 20;  // maximum size of a response's body in bytes
    std::shared_ptr<SocketBudget> sockets = {};  // null: connections are not counted
    ConnectionClass connection_class = ConnectionClass::kOutbound;
  };
  using Callback = std::function<void(HttpResult)>;
  // Called right before a request is written. If the function returns false, the request fails
  // and is not sent.
  using StillWanted = std::function<bool()>;

  HttpClient(asio::io_context& io, const std::string& address, Options options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Queues the request and sends it once a connection is free. `timeout_s` includes the time in the
  // queue. The callback is never called from within Send.
  void Send(std::string method, std::string target, std::string body, double timeout_s,
            Callback done, StillWanted still_wanted = {});
  // Returns whether no request is in flight or queued.
  bool idle() const { return busy_.empty() && queue_.empty(); }
  // Returns whether a connection is open or a request is in flight.
  bool connected() const { return !idle_.empty() || !busy_.empty(); }
  // Closes the connections that carry no request.
  void CloseIdle();

 private:
  class Connection;
  struct Pending {
    std::string text;
    double deadline;
    Callback done;
    StillWanted still_wanted;
  };

  void Pump();
  void Released(const std::shared_ptr<Connection>& c, bool reusable);

  asio::io_context& io_;
  asio::ip::tcp::endpoint endpoint_;
  std::string host_;
  Options options_;
  std::deque<Pending> queue_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::vector<std::shared_ptr<Connection>> busy_;
};

// Parses an address of the form ADDRESS:PORT; throws if it has another form.
asio::ip::tcp::endpoint ParseAddress(const std::string& address);

}  // namespace mosspath::net
