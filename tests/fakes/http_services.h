// All servers of outside systems at once: the key-value store, the cloud and its agents.
#pragma once

#include "fakes/fake_agent.h"            // IWYU pragma: export
#include "fakes/fake_cloud.h"            // IWYU pragma: export
#include "fakes/fake_key_value_store.h"  // IWYU pragma: export
