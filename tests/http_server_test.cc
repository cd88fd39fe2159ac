// Tests of the HTTP server when sockets are scarce.
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

// A server with a socket budget. The path of a request decides whether its client is a user or an
// agent.
struct TestServer {
  explicit TestServer(size_t limit)
      : sockets(std::make_shared<SocketBudget>(limit)),
        server(io, "127.0.0.1:0", {.sockets = sockets},
               [](const HttpRequest& request, const auto& respond) {
                 HttpResponse response{200, "{}"};
                 response.connection_class =
                     request.path == "/user" ? ConnectionClass::kUser : ConnectionClass::kAgent;
                 respond(std::move(response));
               }),
        address("127.0.0.1:" + std::to_string(server.port())) {}
  // Sends the request and returns the status of the response.
  int Get(HttpClient& client, const char* path) {
    int status = -1;
    client.Send("GET", path, {}, 5, [&](const HttpResult& result) { status = result.status; });
    while (status < 0) io.run_one();
    return status;
  }

  asio::io_context io;
  const std::shared_ptr<SocketBudget> sockets;
  HttpServer server;
  const std::string address;
};

// Guards against a lockout of agents: if many users keep all connections open, agents can't
// connect.
TEST(HttpServerTest, UserConnectionsAreClosedAfterTheAnswerWhenSocketsAreScarce) {
  TestServer test_server(64);
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(
        std::make_unique<HttpClient>(test_server.io, test_server.address, HttpClient::Options{}));
    EXPECT_EQ(test_server.Get(*clients.back(), "/user"), 200) << i;
  }
  HttpClient agent(test_server.io, test_server.address, {});
  for (int i = 0; i < 3; ++i) EXPECT_EQ(test_server.Get(agent, "/agent"), 200);
  EXPECT_GT(test_server.sockets->closed_after_answer(ConnectionClass::kUser), 0u);
  EXPECT_EQ(test_server.sockets->used(ConnectionClass::kAgent), 1u);
}

// There are more agents than sockets on the public address, and each agent keeps its connection
// open while the server allows it. All agents and a user must be served.
TEST(HttpServerTest, MoreAgentsThanSocketsAreAllServed) {
  TestServer test_server(80);
  std::vector<std::unique_ptr<HttpClient>> agents;
  for (int i = 0; i < 60; ++i) {
    agents.push_back(
        std::make_unique<HttpClient>(test_server.io, test_server.address, HttpClient::Options{}));
  }
  HttpClient user(test_server.io, test_server.address, {});
  for (int round = 0; round < 3; ++round) {
    for (auto& agent : agents) EXPECT_EQ(test_server.Get(*agent, "/agent"), 200);
    EXPECT_EQ(test_server.Get(user, "/user"), 200);
  }
  EXPECT_LT(test_server.sockets->used(ConnectionClass::kAgent), 60u);
  EXPECT_EQ(test_server.sockets->refused(ConnectionClass::kUnidentified), 0u);
}

}  // namespace
}  // namespace mosspath::net
