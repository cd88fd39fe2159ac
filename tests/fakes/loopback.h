// Loopback addresses of the servers in tests.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <string>

#include "mosspath/net/http_server.h"

namespace mosspath::fakes {

// A listen address that lets the system choose a free port.
inline const std::string kAnyLoopbackPort = "127.0.0.1:0";

// Returns the address of a server that listens on loopback.
inline std::string LoopbackAddress(const net::HttpServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

// Reserves a loopback port for a server that starts later or restarts. The socket is bound but
// never listens: the system gives its port to no other socket, and a server that sets SO_REUSEADDR
// can listen there.
class ReservedAddress {
 public:
  explicit ReservedAddress(asio::io_context& io) : socket_(io) {
    socket_.open(asio::ip::tcp::v4());
    socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind({asio::ip::address_v4::loopback(), 0});
    text_ = "127.0.0.1:" + std::to_string(port());
  }

  // The address in the form of the settings.
  const std::string& text() const { return text_; }
  unsigned short port() const { return socket_.local_endpoint().port(); }

 private:
  asio::ip::tcp::socket socket_;
  std::string text_;
};

}  // namespace mosspath::fakes
