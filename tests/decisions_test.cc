#include "simulation/decisions.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace mosspath::simulation {
namespace {

using wire::Command;
using wire::CommandType;

const std::vector<Command> kCommands = {{CommandType::kStart, {"req-1", 0}, 1, 0}};

size_t NumberOf(const std::function<void(Decisions&)>& decide) {
  Decisions decisions;
  decide(decisions);
  return decisions.number();
}

// Guards against a command field that is left out of the hash of a run's decisions: two builds with
// different decisions would then have the same hash. The hash also covers the time of a command and
// its machine.
TEST(DecisionsTest, EachFieldOfACommandCounts) {
  const auto answered = [](double now, const std::string& machine, int status, uint64_t token,
                           const Command& command) {
    return NumberOf(
        [&](Decisions& d) { d.OnHeartbeatAnswered(now, machine, status, token, {command}, ""); });
  };
  const std::set<size_t> numbers = {
      answered(1, "vm-1", 200, 7, {CommandType::kStart, {"req-1", 0}, 1, 0}),
      answered(2, "vm-1", 200, 7, {CommandType::kStart, {"req-1", 0}, 1, 0}),
      answered(1, "vm-2", 200, 7, {CommandType::kStart, {"req-1", 0}, 1, 0}),
      answered(1, "vm-1", 503, 7, {CommandType::kStart, {"req-1", 0}, 1, 0}),
      answered(1, "vm-1", 200, 8, {CommandType::kStart, {"req-1", 0}, 1, 0}),
      answered(1, "vm-1", 200, 7, {CommandType::kStop, {"req-1", 0}, 1, 0}),
      answered(1, "vm-1", 200, 7, {CommandType::kStop, {"req-1", 0}, 1, 5}),
      answered(1, "vm-1", 200, 7, {CommandType::kStart, {"req-2", 0}, 1, 0}),
      answered(1, "vm-1", 200, 7, {CommandType::kStart, {"req-1", 1}, 1, 0}),
      answered(1, "vm-1", 200, 7, {CommandType::kStart, {"req-1", 0}, 2, 0})};
  EXPECT_EQ(numbers.size(), 10U);
  EXPECT_EQ(answered(1, "vm-1", 200, 7, kCommands[0]), answered(1, "vm-1", 200, 7, kCommands[0]));
}

TEST(DecisionsTest, EachKindCounts) {
  const std::set<size_t> numbers = {
      NumberOf([](Decisions&) {}),
      NumberOf([](Decisions& d) { d.OnHeartbeatAnswered(1, "vm-1", 421, 0, {}, ""); }),
      NumberOf([](Decisions& d) { d.OnHeartbeatAnswered(1, "vm-1", 421, 0, {}, "hut-1"); }),
      NumberOf([](Decisions& d) { d.OnCommandsSent(1, "vm-1", "vm-1:1", 7, 1, kCommands); }),
      NumberOf([](Decisions& d) { d.OnCommandsSent(1, "vm-1", "vm-1:1", 7, 2, kCommands); }),
      NumberOf([](Decisions& d) { d.OnCommandsReceived(1, "vm-1", 7, 1, kCommands, 200); }),
      NumberOf([](Decisions& d) { d.OnCommandsReceived(1, "vm-1", 7, 1, kCommands, 409); }),
      NumberOf([](Decisions& d) {
        d.OnStoreChange(1, "job/req-1", wire::Json{{"tasks", 1}}, 0);
      }),
      NumberOf([](Decisions& d) {
        d.OnStoreChange(1, "job/req-1", wire::Json{{"tasks", 2}}, 0);
      }),
      NumberOf([](Decisions& d) {
        d.OnStoreChange(1, "job/req-1", wire::Json{{"tasks", 2}}, 3);
      }),
      NumberOf([](Decisions& d) { d.OnStoreChange(1, "job/req-1", std::nullopt, 0); }),
      NumberOf([](Decisions& d) { d.OnMachineRequested(1, "box", "east", false, "vm-1"); }),
      NumberOf([](Decisions& d) { d.OnMachineRequested(1, "box", "east", true, "vm-1"); }),
      NumberOf([](Decisions& d) { d.OnMachineRequested(1, "box", "west", true, ""); }),
      NumberOf([](Decisions& d) { d.OnMachineReturned(1, "vm-1"); })};
  EXPECT_EQ(numbers.size(), 15U);
}

TEST(DecisionsTest, TheirOrderCounts) {
  const auto both = [](const std::string& first, const std::string& second) {
    return NumberOf([&](Decisions& d) {
      d.OnMachineReturned(1, first);
      d.OnMachineReturned(1, second);
    });
  };
  EXPECT_NE(both("vm-1", "vm-2"), both("vm-2", "vm-1"));
}

}  // namespace
}  // namespace mosspath::simulation
