// Settings that operators may change while the service runs, only through the administration API.
#pragma once

#include <map>
#include <string>

#include "mosspath/wire/json.h"

namespace mosspath::config {

struct OperatorSettings {
  // Cap on the layer bytes of one machine: gamma/M of the bytes on all M machines of the shard.
  double gamma = 1.5;
  double epsilon = 1e-3;            // weight of a machine's share of all layer bytes in the score
  uint64_t max_machines = 100'000;  // upper bound on rented machines
  double horizon_boots = 2.0;  // scale-out aims to run the waiting work within this many boot times
  double keep_idle_boots = 0.02;  // an idle machine is kept for this many boot times
  double reserve = 0.1;           // free CPUs that are kept, as a ratio to the used CPUs
  // Capacity reserved on on-demand machines for urgent work that may not use spot machines, as the
  // arrivals of such work within this many boot times; 0: no reservation.
  double ordinary_boots = 1.0;
  // Share of the pool's CPUs that may go, within one agent lease time, to the first tasks of jobs
  // that have waited long without running any task; 0: none.
  double begin_share = 0.1;
  bool preemption = true;  // urgent tasks may stop tasks of a lower priority
  // Work that is delegated to a shard's holder beyond the free capacity and waits there, as a share
  // of the shard's CPUs.
  double give_ahead = 0.15;
  // Share of the pool's CPUs for the fair-share floors, which other work may not take
  // (docs/admission.md); 0: no floors.
  double turn_share = 0.15;
  // Weights in the fair-share floors and in admission, by team ("name") or class ("team/class"); 1
  // if absent.
  std::map<std::string, double> weights;
  // Whether the leader leases shards to other controllers. Has no effect unless
  // Settings::lease_shards is set.
  bool lease_blocks = true;
  bool share_acceptances = true;  // jobs accepted at the same time may share one batch record

  friend bool operator==(const OperatorSettings&, const OperatorSettings&) = default;
};

// Returns `from` with the fields in `changes` replaced. Throws wire::BadMessage, with a text that
// names the field, if a field is unknown or invalid.
OperatorSettings Change(const OperatorSettings& from, const wire::Json& changes);
wire::Json ToJson(const OperatorSettings& s);

}  // namespace mosspath::config
