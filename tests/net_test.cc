#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/rate_limit.h"
#include "mosspath/net/stall_detector.h"
#include "mosspath/net/timer.h"

namespace mosspath::net {
namespace {

TEST(TurnClock, TellsAPauseFromALateTurn) {
  LoopClock c(0.5, 10);
  EXPECT_FALSE(c.OnTurn(10.5));
  EXPECT_FALSE(c.OnTurn(11.9));  // busy
  EXPECT_EQ(c.OnTurn(25), 11.9);
  EXPECT_FALSE(c.OnTurn(25.5));
}

// What was queued before a leader stood still must not leave after it.
TEST(HttpClient, ARequestThatIsNoLongerWantedIsNotSent) {
  asio::io_context io;
  int handled = 0;
  HttpServer server(io, "127.0.0.1:0", {}, [&](const HttpRequest&, const auto& respond) {
    ++handled;
    respond({200, "{}"});
  });
  HttpClient client(io, "127.0.0.1:" + std::to_string(server.port()), {});
  std::vector<HttpResult> results;
  const auto ask = [&](bool wanted) {
    client.Send(
        "GET", "/x", {}, 5, [&](HttpResult r) { results.push_back(std::move(r)); },
        [wanted] { return wanted; });
    const size_t before = results.size();
    while (results.size() == before) io.run_one();
  };
  ask(true);   // over a new connection, and then
  ask(false);  // over the same
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[0].status, 200);
  EXPECT_EQ(results[1].status, 0);
  EXPECT_FALSE(results[1].sent);
  EXPECT_EQ(handled, 1);
}

// Leaders of the past were kept alive by what their own connections remembered of the last request,
// and their sockets with them, until none were left.
TEST(HttpClient, KeepsNothingOfARequestThatIsOver) {
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

TEST(SocketBudget, EachPartyHasItsOwnAndNobodyElses) {
  SocketBudget b(1000);
  size_t workers = 0;
  while (b.Acquire(ConnectionClass::kUnidentified)) {
    b.Reclassify(ConnectionClass::kUnidentified, ConnectionClass::kAgent);
    ++workers;
  }
  EXPECT_EQ(workers, b.limit(ConnectionClass::kAgent));
  EXPECT_EQ(b.refused(ConnectionClass::kUnidentified), 1u);
  // All on the public address are taken; the others still have theirs.
  EXPECT_TRUE(b.Acquire(ConnectionClass::kOutbound));
  EXPECT_TRUE(b.Acquire(ConnectionClass::kPeer));
  size_t orders = 0;
  while (b.Acquire(ConnectionClass::kCommand)) ++orders;
  EXPECT_EQ(orders, b.limit(ConnectionClass::kCommand));
  EXPECT_LE(b.limit(ConnectionClass::kAgent) + b.limit(ConnectionClass::kCommand) +
                b.limit(ConnectionClass::kPeer) + b.limit(ConnectionClass::kOutbound),
            1000u);
  // Workers that were answered give way until users have room again.
  while (!b.MayKeepAlive(ConnectionClass::kAgent)) b.Release(ConnectionClass::kAgent);
  EXPECT_GT(b.closed_after_answer(ConnectionClass::kAgent), 0u);
  EXPECT_LE(b.used(ConnectionClass::kAgent) * 10, b.limit(ConnectionClass::kAgent) * 7);
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(b.Acquire(ConnectionClass::kUnidentified));
    b.Reclassify(ConnectionClass::kUnidentified, ConnectionClass::kUser);
    EXPECT_TRUE(b.MayKeepAlive(ConnectionClass::kUser));
  }
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

// A deadline that expired in the same round as the answer came ended the request a second time.
TEST(Timer, CancelStopsAnExpiryThatIsAlreadyQueued) {
  asio::io_context io;
  Timer first(io), second(io);
  int fired = 0;
  first.After(0, [&] {
    ++fired;
    second.Cancel();
  });
  second.After(0, [&] {
    ++fired;
    first.Cancel();
  });
  io.run();
  EXPECT_EQ(fired, 1);
}

TEST(RateBudget, AllowsTheBurstThenTheRate) {
  TokenBucket b(10, 5);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(b.TryTake(1.0));
  EXPECT_FALSE(b.TryTake(1.0));
  EXPECT_NEAR(b.DelayFor(1.0), 0.1, 1e-9);
  EXPECT_TRUE(b.TryTake(1.11));
  EXPECT_FALSE(b.TryTake(1.11));
}

TEST(Backoff, DoublesUpToItsBound) {
  Backoff b(1, 5);
  EXPECT_EQ(b.Next(), 1);
  EXPECT_EQ(b.Next(), 2);
  EXPECT_EQ(b.Next(), 4);
  EXPECT_EQ(b.Next(), 5);
  b.Reset();
  EXPECT_EQ(b.Next(), 1);
}

}  // namespace
}  // namespace mosspath::net
