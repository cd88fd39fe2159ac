// Where a server of the tests listens.
#pragma once

#include <string>

#include "mosspath/net/http_server.h"

namespace mosspath::fakes {

// A free port of the loopback interface.
inline const std::string kAnyLoopbackPort = "127.0.0.1:0";

// The address under which the server is reached, once it listens.
inline std::string LoopbackAddress(const net::HttpServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

}  // namespace mosspath::fakes
