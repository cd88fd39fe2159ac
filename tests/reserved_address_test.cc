// Tests that a reserved loopback address belongs to one server only.
#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <list>
#include <set>

#include "fakes/loopback.h"

namespace mosspath::fakes {
namespace {

using asio::ip::tcp;

constexpr int kReserved = 100;

class ReservedAddressTest : public ::testing::Test {
 protected:
  ReservedAddressTest() {
    for (int i = 0; i < kReserved; ++i) ports_.insert(reserved_.emplace_back(io_).port());
  }

  asio::io_context io_;
  std::list<ReservedAddress> reserved_;
  std::set<unsigned short> ports_;
};

TEST_F(ReservedAddressTest, NoPortIsReservedTwice) {
  EXPECT_EQ(ports_.size(), static_cast<size_t>(kReserved));
}

TEST_F(ReservedAddressTest, AServerCanListenAgainWhileItsConnectionsAreOpen) {
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), reserved_.front().port());
  std::list<tcp::socket> connections;
  for (int restart = 0; restart < 3; ++restart) {
    tcp::acceptor server(io_, endpoint);
    connections.emplace_back(io_).connect(endpoint);
    connections.push_back(server.accept());
  }
}

// The system prefers other ports for connections than for listeners, so both are tried, each more
// often than there are ports.
TEST_F(ReservedAddressTest, NoOtherSocketGetsAReservedPort) {
  constexpr int kAttempts = 30'000;
  tcp::acceptor server(io_, {asio::ip::address_v4::loopback(), 0});
  for (int i = 0; i < kAttempts; ++i) {
    tcp::socket client(io_);
    client.connect(server.local_endpoint());
    server.accept().set_option(asio::socket_base::linger(true, 0));
    ASSERT_FALSE(ports_.contains(client.local_endpoint().port()));
    const tcp::acceptor listener(io_, {asio::ip::address_v4::loopback(), 0});
    ASSERT_FALSE(ports_.contains(listener.local_endpoint().port()));
  }
}

}  // namespace
}  // namespace mosspath::fakes
