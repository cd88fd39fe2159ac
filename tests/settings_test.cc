// Tests of the settings file: a valid file is read, and an invalid file is rejected with an error
// that names the invalid key.
#include "mosspath/config/settings.h"

#include <gtest/gtest.h>

#include <string>

namespace mosspath {
namespace {

const char* const kValidFile = R"(
label = "hut-0"
domain = "a"
public_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
unheard_of = [1, 2]
[[seeds]]
label = "hut-1"
domain = "a"
address = "127.0.0.1:8082"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[facts]
initial_size = 3
zones = ["a"]
clock_error_ms = 5.0
[[facts.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[facts.objectives]]
kind = "finished"
class = "c"
within_s = 200.0
share = 0.9
[facts.workers]
report_s = 3.0
lease_s = 26.0
cancel_s = 46.0
[facts.state]
rps = 100.0
write_rps = 25
value_kb = 8.0
txn_ops = 8
[facts.cloud]
rps = 4.0
list_lag_s = 5.0
[facts.limits]
cores = 0.16
memory_mb = 136.0
sockets = 3000
)";

TEST(SettingsTest, AValidFileIsRead) {
  const auto settings = config::Parse(kValidFile);
  EXPECT_EQ(settings.name, "hut-0");
  EXPECT_EQ(settings.peers.size(), 1u);
  EXPECT_EQ(settings.store_writes_per_s, 25);
  const config::DerivedSettings derived(settings);
  EXPECT_LT(derived.store_lease_s, settings.agent_lease_s);
  EXPECT_GT(derived.agent_lease_over_s, settings.agent_lease_s * (1 + config::kMaxClockDrift));
  EXPECT_LT(derived.store_lease_renew_s * 2, derived.store_lease_s);
}

// An invalid variant of the valid file, in which `to` replaces `from`. The error must name `key`.
struct BrokenFile {
  const char* from;
  const char* to;
  const char* key;
};

class BrokenSettingsTest : public ::testing::TestWithParam<BrokenFile> {};

TEST_P(BrokenSettingsTest, TheErrorNamesTheKeyInOneLine) {
  std::string text = kValidFile;
  const size_t at = text.find(GetParam().from);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, std::string(GetParam().from).size(), GetParam().to);
  try {
    config::Parse(text);
    FAIL() << "accepted";
  } catch (const config::SettingsError& e) {
    EXPECT_NE(std::string(e.what()).find(GetParam().key), std::string::npos) << e.what();
    EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, BrokenSettingsTest,
    ::testing::Values(BrokenFile{"label = \"hut-0\"", "", "label"},
                      BrokenFile{"label = \"hut-0\"", "label = 3", "label"},
                      BrokenFile{"127.0.0.1:8080", "127.0.0.1", "public_addr"},
                      BrokenFile{"127.0.0.1:8081", "127.0.0.1:99999", "back"},
                      BrokenFile{"address = \"127.0.0.1:8082\"", "", "seeds[0].address"},
                      BrokenFile{"cloud = \"127.0.0.1:1\"", "cloud = 1", "outside.cloud"},
                      BrokenFile{"zones = [\"a\"]", "zones = []", "facts.zones"},
                      BrokenFile{"initial_size = 3", "initial_size = 0", "facts.initial_size"},
                      BrokenFile{"lease_s = 26.0", "lease_s = 2.0", "facts.workers.lease_s"},
                      BrokenFile{"lease_s = 26.0", "lease_s = nan", "facts.workers.lease_s"},
                      BrokenFile{"txn_ops = 8", "txn_ops = 8.5", "facts.state.txn_ops"},
                      BrokenFile{"rps = 4.0", "rps = \"4\"", "facts.cloud.rps"},
                      BrokenFile{"cpus_max = 0.0", "cpus_max = -1.0", "facts.teams[0].cpus_max"},
                      BrokenFile{"sockets = 3000", "sockets = 3", "facts.limits.sockets"},
                      BrokenFile{"[facts.cloud]", "[facts.clouds]", "facts.cloud"},
                      BrokenFile{"back = \"127.0.0.1:8081\"", "back = \"127.0.0.1:8080\"", "back"},
                      BrokenFile{"address = \"127.0.0.1:8082\"", "address = \"127.0.0.1:8081\"",
                                 "seeds[0].address"},
                      BrokenFile{"label = \"hut-1\"", "label = \"hut-0\"", "seeds[0].label"},
                      BrokenFile{"[outside]", "[outside", "line"}));

}  // namespace
}  // namespace mosspath
