// Settings that operators may change while the service runs, only through the administration API.
// Durations in boot times are multiples of the boot time of a machine type.
#pragma once

#include <map>
#include <string>

#include "mosspath/wire/json.h"

namespace mosspath::config {

struct OperatorSettings {
  // A placement tries M machines together. The image layers on one machine may take at most the
  // share gamma/M of the layer bytes on all M machines.
  double gamma = 1.5;
  // The weight, in a machine's placement score, of the machine's share of the layer bytes on all M
  // machines.
  double epsilon = 1e-3;
  uint64_t max_machines = 100'000;  // upper bound on rented machines
  double horizon_boots = 2.0;  // scale-out aims to run the waiting work within this many boot times
  double keep_idle_boots = 0.02;  // scale-in keeps an idle machine for this many boot times
  double reserve = 0.1;           // scale-in keeps free CPUs, as a ratio to the used CPUs
  // Capacity of on-demand machines is reserved for urgent work that may not use spot machines. The
  // reservation equals the work of this kind that arrived within this many boot times of the
  // slowest machine type; 0: no reservation.
  double ordinary_boots = 1.0;
  // Within one agent lease time, at most this share of the CPUs of all schedulable machines goes to
  // the first tasks of jobs that have waited long without running any task; 0: none.
  double begin_share = 0.1;
  bool preemption = true;  // urgent tasks may stop tasks of a lower priority
  // The leader delegates work to a shard's holder beyond the free capacity of the shard, up to this
  // share of the shard's CPUs. The work waits at the holder until capacity comes free.
  double give_ahead = 0.15;
  // The fair-share floors of all teams together may exceed the teams' guarantees by this share of
  // the CPUs of all schedulable machines. Work within a floor is placed ahead of other work
  // (docs/admission.md). 0: no floors.
  double turn_share = 0.15;
  // Weights of teams (key "name") and classes (key "team/class") in the fair-share floors and in
  // admission. A team or class without an entry has weight 1.
  std::map<std::string, double> weights;
  // Whether the leader leases shards to other controllers. Has no effect unless
  // Settings::lease_shards is set.
  bool lease_blocks = true;
  bool share_acceptances = true;  // jobs that are accepted together may share one batch record

  friend bool operator==(const OperatorSettings&, const OperatorSettings&) = default;
};

// Returns `from` with the fields in `changes` replaced. Throws wire::BadMessage, with a text that
// names the field, if a field is unknown or invalid.
OperatorSettings Change(const OperatorSettings& from, const wire::Json& changes);
wire::Json ToJson(const OperatorSettings& s);

}  // namespace mosspath::config
