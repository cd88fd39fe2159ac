// The HTTP server when connections are scarce.
#include "mosspath/net/http_server.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/net/http_client.h"
#include "mosspath/net/socket_budget.h"

namespace mosspath::net {
namespace {

// A server that tells users from workers by their path, with so many sockets.
struct Served {
  explicit Served(size_t n)
      : sockets(std::make_shared<SocketBudget>(n)),
        server(io, "127.0.0.1:0", {.sockets = sockets},
               [](const HttpRequest& r, const auto& respond) {
                 HttpResponse a{200, "{}"};
                 a.connection_class =
                     r.path == "/user" ? ConnectionClass::kUser : ConnectionClass::kAgent;
                 respond(std::move(a));
               }),
        address("127.0.0.1:" + std::to_string(server.port())) {}
  int Ask(HttpClient& c, const char* path) {
    int status = -1;
    c.Send("GET", path, {}, 5, [&](const HttpResult& r) { status = r.status; });
    while (status < 0) io.run_one();
    return status;
  }

  asio::io_context io;
  const std::shared_ptr<SocketBudget> sockets;
  HttpServer server;
  const std::string address;
};

// Many users kept all connections, and workers found none.
TEST(HttpServer, UsersGiveTheirConnectionsUpWhenThoseAreScarce) {
  Served served(64);
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(
        std::make_unique<HttpClient>(served.io, served.address, HttpClient::Options{}));
    EXPECT_EQ(served.Ask(*clients.back(), "/user"), 200) << i;
  }
  HttpClient worker(served.io, served.address, {});
  for (int i = 0; i < 3; ++i) EXPECT_EQ(served.Ask(worker, "/worker"), 200);
  EXPECT_GT(served.sockets->closed_after_answer(ConnectionClass::kUser), 0u);
  EXPECT_EQ(served.sockets->used(ConnectionClass::kAgent), 1u);
}

// More workers than sockets, each over a connection of its own while it may keep one: all are
// served, and so is a user.
TEST(HttpServer, MoreWorkersThanSocketsAreAllServed) {
  Served served(80);
  std::vector<std::unique_ptr<HttpClient>> workers;
  for (int i = 0; i < 60; ++i) {
    workers.push_back(
        std::make_unique<HttpClient>(served.io, served.address, HttpClient::Options{}));
  }
  HttpClient user(served.io, served.address, {});
  for (int round = 0; round < 3; ++round) {
    for (auto& w : workers) EXPECT_EQ(served.Ask(*w, "/worker"), 200);
    EXPECT_EQ(served.Ask(user, "/user"), 200);
  }
  EXPECT_LT(served.sockets->used(ConnectionClass::kAgent), 60u);
  EXPECT_EQ(served.sockets->refused(ConnectionClass::kUnidentified), 0u);
}

}  // namespace
}  // namespace mosspath::net
