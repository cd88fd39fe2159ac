// An HTTP/1.1 server: one routine per connection, everything bounded and with deadlines.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "mosspath/net/socket_budget.h"
#include "mosspath/net/timer.h"

namespace mosspath::net {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  double retry_after_s = 0;  // 0: none
  std::string content_type = "application/json";
  ConnectionClass connection_class = ConnectionClass::kUnidentified;  // whom it is for
  bool close = false;  // nothing more is expected over this connection
  double idle_s = 0;   // closed when nothing comes for so long; 0: as the options say
};

class HttpServer {
 public:
  struct Options {
    std::shared_ptr<SocketBudget> sockets;  // none: one of its own
    ConnectionClass connection_class =
        ConnectionClass::kUnidentified;  // who connects here, as far as the address tells
    size_t max_body = 64u << 10;
    size_t max_head = 8u << 10;
    double idle_s = 90;     // between requests
    double request_s = 10;  // for a request to arrive, and for an answer to leave
  };
  using Responder = std::function<void(HttpResponse)>;
  // Must call the responder once, at once or later.
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(asio::io_context& io, const std::string& address, Options options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  unsigned short port() const;

 private:
  class Connection;
  void Accept();

  asio::io_context& io_;
  Options options_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  Timer accept_pause_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}  // namespace mosspath::net
