// Loopback addresses of the servers in tests.
#pragma once

#include <string>

#include "mosspath/net/http_server.h"

namespace mosspath::fakes {

// A listen address that lets the system choose a free port.
inline const std::string kAnyLoopbackPort = "127.0.0.1:0";

// Returns the address of a server that listens on loopback.
inline std::string LoopbackAddress(const net::HttpServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

}  // namespace mosspath::fakes
