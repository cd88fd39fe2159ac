// Tests of the HTTP client against a server on loopback.
#include "mosspath/net/http_client.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/net/http_server.h"

namespace mosspath::net {
namespace {

// A queued request must not be sent if its still_wanted function returns false. For example, a
// leader must not send, after a stall, requests that it queued before the stall.
TEST(HttpClientTest, ARequestThatIsNoLongerWantedIsNotSent) {
  asio::io_context io;
  int handled = 0;
  HttpServer server(io, "127.0.0.1:0", {}, [&](const HttpRequest&, const auto& respond) {
    ++handled;
    respond({200, "{}"});
  });
  HttpClient client(io, "127.0.0.1:" + std::to_string(server.port()), {});
  std::vector<HttpResult> results;
  const auto send = [&](bool wanted) {
    client.Send(
        "GET", "/x", {}, 5, [&](HttpResult r) { results.push_back(std::move(r)); },
        [wanted] { return wanted; });
    const size_t before = results.size();
    while (results.size() == before) io.run_one();
  };
  send(true);   // Opens a connection.
  send(false);  // Would reuse the connection.
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[0].status, 200);
  EXPECT_EQ(results[1].status, 0);
  EXPECT_FALSE(results[1].sent);
  EXPECT_EQ(handled, 1);
}

// Guards against a leak: a connection retained the callbacks of its last request, the callbacks
// owned the former leader, and the leader owned the connection. The sockets of former leaders
// stayed open until no free socket was left.
TEST(HttpClientTest, ReleasesTheCallbacksOfAFinishedRequest) {
  asio::io_context io;
  HttpServer server(io, "127.0.0.1:0", {}, [&](const HttpRequest&, const auto& respond) {
    respond({200, "{}"});
  });
  struct Owner {
    std::unique_ptr<HttpClient> client;
  };
  auto owner = std::make_shared<Owner>();
  const std::weak_ptr<Owner> watched = owner;
  owner->client = std::make_unique<HttpClient>(io, "127.0.0.1:" + std::to_string(server.port()),
                                               HttpClient::Options{});
  bool done = false;
  owner->client->Send(
      "GET", "/x", {}, 5, [owner, &done](const HttpResult&) { done = true; },
      [owner] { return true; });
  while (!done) io.run_one();
  owner.reset();
  EXPECT_TRUE(watched.expired());
}

}  // namespace
}  // namespace mosspath::net
