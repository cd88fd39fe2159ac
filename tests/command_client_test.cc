// Tests of the client that sends command batches to agents.
#include "mosspath/service/command_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "fakes/loopback.h"

namespace mosspath::service {
namespace {

using scheduler::CommandOutcome;

class CommandClientTest : public ::testing::Test {
 protected:
  static constexpr double kTimeoutS = 0.2;

  // An agent that receives requests and never answers them.
  CommandClientTest()
      : agent_(io_, fakes::kAnyLoopbackPort, {}, [this](const auto&, const auto&) { ++received_; }),
        client_(io_, std::make_shared<net::SocketBudget>(1000)) {}

  void SendProbe(const std::string& address, std::optional<CommandOutcome>& result) {
    client_.Send({.machine = "vm-1", .address = address, .commands = {}}, kTimeoutS, nullptr,
                 [&result](const auto&, CommandOutcome outcome, const auto*) { result = outcome; },
                 {});
  }
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const double end = net::Now() + 10 * kTimeoutS;
    while (!condition() && net::Now() < end) io_.run_for(std::chrono::milliseconds(5));
    return condition();
  }

  asio::io_context io_;
  int received_ = 0;
  net::HttpServer agent_;
  CommandClient client_;
};

// Guards against probes that count as in flight for ever: a machine was forgotten while its probe
// was unanswered, and the outcome was lost with the connection.
TEST_F(CommandClientTest, AnUnansweredBatchToAForgottenMachineHasAnOutcome) {
  std::optional<CommandOutcome> result;
  SendProbe(fakes::LoopbackAddress(agent_), result);
  ASSERT_TRUE(RunUntil([&] { return received_ == 1; }));
  const auto is_unused = [](const std::string&) { return true; };
  client_.Forget(is_unused);
  EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
  EXPECT_EQ(result, CommandOutcome::kUndetermined);
}

// The same when the machine is found at another address.
TEST_F(CommandClientTest, AnUnansweredBatchToAFormerAddressHasAnOutcome) {
  std::optional<CommandOutcome> first;
  std::optional<CommandOutcome> second;
  SendProbe(fakes::LoopbackAddress(agent_), first);
  ASSERT_TRUE(RunUntil([&] { return received_ == 1; }));
  SendProbe("127.0.0.1:1", second);
  EXPECT_EQ(second, CommandOutcome::kRefused);
  EXPECT_TRUE(RunUntil([&] { return first.has_value(); }));
}

}  // namespace
}  // namespace mosspath::service
