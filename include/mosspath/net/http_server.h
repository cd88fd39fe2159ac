// An HTTP/1.1 server with limits on sizes and connections and a deadline for every request.
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
  double retry_after_s = 0;  // value of the Retry-After header; 0: no such header
  std::string content_type = "application/json";
  // The class to which the connection moves. kUnidentified: the connection keeps its class.
  ConnectionClass connection_class = ConnectionClass::kUnidentified;
  bool close = false;  // the server closes the connection after this response
  double idle_s = 0;   // the connection's keep-alive timeout; 0: Options::idle_s
};

// Accepts connections on one address and passes their requests to a handler. Runs on the thread of
// the io_context, which outlives the server. The destructor closes all connections. A responder
// that is called after the server's destruction does nothing.
class HttpServer {
 public:
  struct Options {
    std::shared_ptr<SocketBudget> sockets;  // null: the server creates a budget
    // The class of a new connection.
    ConnectionClass connection_class = ConnectionClass::kUnidentified;
    size_t max_body = 64u << 10;  // maximum size of a request's body in bytes
    size_t max_head = 8u << 10;   // maximum size of a request's head in bytes
    double idle_s = 90;           // keep-alive timeout between requests
    double request_s = 10;        // timeout for receiving a request, and for writing a response
  };
  using Responder = std::function<void(HttpResponse)>;
  // A handler must call the responder exactly once, before or after the handler returns.
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
