// The fixture of the end-to-end tests: runs the real program on the loopback interface, as three
// controllers, against fakes of the key-value store and the cloud. The tests wait for each expected
// state, up to a generous time limit, and check no latencies.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/http_services.h"
#include "fakes/loopback.h"

namespace mosspath {

class Loopback : public ::testing::Test {
 protected:
  static constexpr int kNodes = 3;
  static constexpr int kNoNode = -1;

  Loopback();
  ~Loopback() override;

  void Start(int node);
  void Kill(int node);

  // Returns the status and the body of the response.
  std::pair<int, nlohmann::json> Request(int node, const std::string& method,
                                         const std::string& path, const std::string& body = {});
  // Returns whether the condition became true within the time limit.
  bool WaitUntil(const std::function<bool()>& condition);

  static nlohmann::json Job(const std::string& id, int tasks);
  // Returns the job's stage, or the status of the response if it is not 200.
  std::string JobStage(int node, const std::string& id);
  // Returns the leader that the node names, or kNoNode.
  int LeaderKnownTo(int node);

  asio::io_context io_;
  const fakes::ReservedAddress address_[kNodes] = {
      fakes::ReservedAddress(io_), fakes::ReservedAddress(io_), fakes::ReservedAddress(io_)};
  const fakes::ReservedAddress peer_address_[kNodes] = {
      fakes::ReservedAddress(io_), fakes::ReservedAddress(io_), fakes::ReservedAddress(io_)};
  fakes::FakeKeyValueStore state_;
  fakes::FakeCloud cloud_;

 private:
  // Returns the path of the settings file that it has written.
  std::string WriteSettings(int node) const;

  pid_t pid_[kNodes] = {};
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
};

}  // namespace mosspath
