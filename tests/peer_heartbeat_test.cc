// Heartbeats between controllers: encoding, decoding, hostile input.
#include "mosspath/wire/peer_heartbeat.h"

#include <gtest/gtest.h>

#include <string>

#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

StatusSnapshot Sample() {
  StatusSnapshot d;
  d.leader = "hut-1";
  d.token = 1234567890123;
  d.recovery_complete = true;
  d.leader_for_s = 12.5;
  d.queues = {{"tally", 3, 40, 12, 1.5, kNeverS, 60.25, "all machines are in use"}};
  d.teams = {{"desk", 3, 40, 12, 1.5, 2, 60.25, "the team's limit"}};
  d.machines = {{"box", "a", true, 5, 1, 2, 160, 120.5}};
  d.progress = {{"finished", "tally", 200, 1, 0.92, 11, 12}, {"deadline", "x", 0, 1.5, 0.9, 0, 0}};
  d.incidents = {{3.25, "machine vm-1 was lost"}};
  d.jobs = {{"req-000001", 3, 4}, {"req-000002", 0, 1}};
  return d;
}

TEST(Presence, RoundTripsAndRefusesWhatIsNone) {
  const PeerHeartbeat p{"hut-1", true, 0.25, kNeverS, 1.5, {{"hut-0", 0.5}, {"hut-2", kNeverS}}};
  const std::string good = Encode(p);
  EXPECT_EQ(DecodePeerHeartbeat(good), p);
  for (size_t n = 0; n < good.size(); ++n) {
    EXPECT_THROW(DecodePeerHeartbeat(good.substr(0, n)), BadMessage) << n;
  }
  EXPECT_THROW(DecodePeerHeartbeat(good + "x"), BadMessage);
  EXPECT_THROW(DecodePeerHeartbeat(Encode(Sample())), BadMessage);
}

}  // namespace
}  // namespace mosspath::wire
