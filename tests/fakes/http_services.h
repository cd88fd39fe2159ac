// Includes the fakes of all outside systems: the key-value store, the cloud and the agents.
#pragma once

#include "fakes/fake_agent.h"            // IWYU pragma: export
#include "fakes/fake_cloud.h"            // IWYU pragma: export
#include "fakes/fake_key_value_store.h"  // IWYU pragma: export
