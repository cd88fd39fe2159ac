// Heartbeats between controllers: encoding, decoding, hostile input.
#include "mosspath/wire/peer_heartbeat.h"

#include <gtest/gtest.h>

#include <string>

#include "builders.h"
#include "mosspath/wire/json.h"

namespace mosspath::wire {
namespace {

TEST(PeerHeartbeatTest, RoundTripsAndRefusesOtherFrames) {
  const PeerHeartbeat heartbeat{"hut-1", true, 0.25,
                                kNeverS, 1.5,  {{"hut-0", 0.5}, {"hut-2", kNeverS}}};
  const std::string good = Encode(heartbeat);
  EXPECT_EQ(DecodePeerHeartbeat(good), heartbeat);
  for (size_t size = 0; size < good.size(); ++size) {
    EXPECT_THROW(DecodePeerHeartbeat(good.substr(0, size)), BadMessage) << size;
  }
  EXPECT_THROW(DecodePeerHeartbeat(good + "x"), BadMessage);
  EXPECT_THROW(DecodePeerHeartbeat(Encode(test::SampleStatusSnapshot())), BadMessage);
}

}  // namespace
}  // namespace mosspath::wire
