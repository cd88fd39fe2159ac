// An HTTP/1.1 client for one server: a small pool of connections, a bounded queue, and a
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
  int status = 0;          // 0: no answer; the request may have been executed
  bool sent = true;        // false: the request certainly never left
  bool too_large = false;  // the answer was given up for its size
  std::string body;
};

class HttpClient {
 public:
  struct Options {
    size_t max_connections = 4;
    size_t max_queue = 256;
    size_t max_answer = 8u << 20;
    std::shared_ptr<SocketBudget> sockets = {};  // none: not counted
    ConnectionClass connection_class = ConnectionClass::kOutbound;
  };
  using Callback = std::function<void(HttpResult)>;
  // Asked right before a request leaves; false: it is not sent after all.
  using StillWanted = std::function<bool()>;

  HttpClient(asio::io_context& io, const std::string& address, Options options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The callback is never called from within Send.
  void Send(std::string method, std::string target, std::string body, double timeout_s,
            Callback done, StillWanted still_wanted = {});
  // Nothing is under way or waits.
  bool idle() const { return busy_.empty() && queue_.empty(); }
  bool connected() const { return !idle_.empty() || !busy_.empty(); }
  // Ends the connections that carry nothing.
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

asio::ip::tcp::endpoint ParseAddress(const std::string& address);

}  // namespace mosspath::net
