#include "mosspath/wire/status_snapshot.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "mosspath/wire/varint.h"

namespace mosspath::wire {
namespace {

// The first bytes of every frame: what it is, and the version of its layout.
constexpr uint64_t kFrameDigest = 0x6d70'01;
constexpr uint64_t kVersion = 2;
constexpr uint64_t kMaxItems = 4096;
constexpr size_t kMaxText = 200;
constexpr size_t kRoomForJobs = kMaxStatusSnapshotBytes - 64;

template <typename T, typename F>
void PutList(VarintWriter& w, const std::vector<T>& items, F put) {
  const size_t n = std::min<size_t>(items.size(), kMaxItems);
  w.Put(static_cast<uint64_t>(n));
  for (size_t i = 0; i < n; ++i) put(items[i]);
}

template <typename T, typename F>
std::vector<T> GetList(VarintReader& r, F get) {
  std::vector<T> items(r.GetCount(kMaxItems));
  for (T& item : items) get(item);
  return items;
}

std::string Clip(const std::string& s) { return s.substr(0, kMaxText); }

void PutQueues(VarintWriter& w, const std::vector<StatusSnapshot::Queue>& queues) {
  PutList(w, queues, [&](const StatusSnapshot::Queue& q) {
    w.Put(std::string_view(Clip(q.job_class)));
    w.Put(q.jobs);
    w.Put(q.waiting);
    w.Put(q.running);
    w.PutAmount(q.started_ago_s);
    w.PutAmount(q.finished_ago_s);
    w.PutAmount(q.oldest_s);
    w.Put(std::string_view(Clip(q.waiting_reason)));
  });
}

std::vector<StatusSnapshot::Queue> GetQueues(VarintReader& r) {
  return GetList<StatusSnapshot::Queue>(r, [&](StatusSnapshot::Queue& q) {
    q.job_class = r.GetString(kMaxText);
    q.jobs = r.Get();
    q.waiting = r.Get();
    q.running = r.Get();
    q.started_ago_s = r.GetAmount();
    q.finished_ago_s = r.GetAmount();
    q.oldest_s = r.GetAmount();
    q.waiting_reason = r.GetString(kMaxText);
  });
}

Json AgoJson(double ago_s) { return ago_s >= kNeverS ? Json() : Json(ago_s); }

std::string AgoText(double ago_s) {
  return ago_s >= kNeverS ? std::string("never") : fmt::format("{:.0f} s ago", ago_s);
}

Json QueuesJson(const std::vector<StatusSnapshot::Queue>& queues, const char* name) {
  Json out = Json::array();
  for (const auto& q : queues) {
    out.push_back({{name, q.job_class},
                   {"jobs", q.jobs},
                   {"waiting_tasks", q.waiting},
                   {"running_tasks", q.running},
                   {"started_ago_s", AgoJson(q.started_ago_s)},
                   {"finished_ago_s", AgoJson(q.finished_ago_s)},
                   {"oldest_s", q.oldest_s},
                   {"waits_for", q.waiting_reason.empty() ? Json() : Json(q.waiting_reason)}});
  }
  return out;
}

std::string QueuesText(const std::vector<StatusSnapshot::Queue>& queues) {
  std::string out;
  for (const auto& q : queues) {
    out += fmt::format(
        "{:<20} {:>5} jobs {:>7} tasks waiting {:>7} running; started {}, finished {}\n",
        q.job_class, q.jobs, q.waiting, q.running, AgoText(q.started_ago_s),
        AgoText(q.finished_ago_s));
    if (q.waiting > 0) {
      out += fmt::format("{:<20} the oldest for {:.0f} s; {}\n", "", q.oldest_s, q.waiting_reason);
    }
  }
  return out;
}

}  // namespace

std::string Encode(const StatusSnapshot& d) {
  VarintWriter w;
  w.Put(kFrameDigest);
  w.Put(kVersion);
  w.Put(std::string_view(Clip(d.leader)));
  w.Put(d.token);
  w.Put(static_cast<uint64_t>(d.recovery_complete));
  w.PutAmount(d.leader_for_s);
  PutQueues(w, d.queues);
  PutQueues(w, d.teams);
  PutList(w, d.machines, [&](const StatusSnapshot::Machines& m) {
    w.Put(std::string_view(Clip(m.type)));
    w.Put(std::string_view(Clip(m.zone)));
    w.Put(static_cast<uint64_t>(m.spot));
    w.Put(m.up);
    w.Put(m.draining);
    w.Put(m.booting);
    w.PutAmount(m.cpus);
    w.PutAmount(m.used_cpus);
  });
  PutList(w, d.progress, [&](const StatusSnapshot::Progress& p) {
    w.Put(std::string_view(Clip(p.kind)));
    w.Put(std::string_view(Clip(p.job_class)));
    w.PutAmount(p.within_s);
    w.PutAmount(p.times);
    w.PutAmount(p.share);
    w.Put(p.met);
    w.Put(p.of);
  });
  PutList(w, d.incidents, [&](const StatusSnapshot::Incident& t) {
    w.PutAmount(t.ago_s);
    w.Put(std::string_view(Clip(t.description)));
  });
  VarintWriter jobs;
  uint64_t n = 0;
  for (const StatusSnapshot::Job& j : d.jobs) {
    if (n == kMaxItems || w.size() + jobs.size() + j.id.size() + 16 > kRoomForJobs) break;
    jobs.Put(std::string_view(Clip(j.id)));
    jobs.Put(uint64_t{j.done});
    jobs.Put(uint64_t{j.running});
    ++n;
  }
  w.Put(n);
  return w.Take() + jobs.Take();
}

StatusSnapshot DecodeStatusSnapshot(std::string_view frame) {
  if (frame.size() > kMaxStatusSnapshotBytes) throw BadMessage("frame: too large");
  VarintReader r(frame);
  if (r.Get() != kFrameDigest) throw BadMessage("frame: not a digest");
  if (r.Get() != kVersion) throw BadMessage("frame: a version that is not spoken here");
  StatusSnapshot d;
  d.leader = r.GetString(kMaxText);
  d.token = r.Get();
  d.recovery_complete = r.Get() != 0;
  d.leader_for_s = r.GetAmount();
  d.queues = GetQueues(r);
  d.teams = GetQueues(r);
  d.machines = GetList<StatusSnapshot::Machines>(r, [&](StatusSnapshot::Machines& m) {
    m.type = r.GetString(kMaxText);
    m.zone = r.GetString(kMaxText);
    m.spot = r.Get() != 0;
    m.up = r.Get();
    m.draining = r.Get();
    m.booting = r.Get();
    m.cpus = r.GetAmount();
    m.used_cpus = r.GetAmount();
  });
  d.progress = GetList<StatusSnapshot::Progress>(r, [&](StatusSnapshot::Progress& p) {
    p.kind = r.GetString(kMaxText);
    p.job_class = r.GetString(kMaxText);
    p.within_s = r.GetAmount();
    p.times = r.GetAmount();
    p.share = r.GetAmount();
    p.met = r.Get();
    p.of = r.Get();
  });
  d.incidents = GetList<StatusSnapshot::Incident>(r, [&](StatusSnapshot::Incident& t) {
    t.ago_s = r.GetAmount();
    t.description = r.GetString(kMaxText);
  });
  d.jobs = GetList<StatusSnapshot::Job>(r, [&](StatusSnapshot::Job& j) {
    j.id = r.GetString(kMaxText);
    j.done = static_cast<uint32_t>(r.Get());
    j.running = static_cast<uint32_t>(r.Get());
  });
  r.End();
  return d;
}

Json StatusJson(const Status& s) {
  const StatusSnapshot& d = s.snapshot;
  Json machines = Json::array(), progress = Json::array(), troubles = Json::array(),
       controllers = Json::array(), sockets = Json::array();
  for (const auto& u : s.sockets) {
    sockets.push_back({{"party", u.connection_class},
                       {"used", u.used},
                       {"limit", u.limit},
                       {"refused", u.refused},
                       {"sent_off", u.closed_after_answer}});
  }
  for (const auto& c : s.controllers) {
    controllers.push_back({{"controller", c.node},
                           {"zone", c.zone},
                           {"leads", c.is_leader},
                           {"heard_ago_s", AgoJson(c.heard_ago_s)},
                           {"heard_by", c.heard_by.empty() ? Json() : Json(c.heard_by)},
                           {"lacks", c.unreachable}});
  }
  for (const auto& m : d.machines) {
    machines.push_back({{"type", m.type},
                        {"zone", m.zone},
                        {"spot", m.spot},
                        {"up", m.up},
                        {"draining", m.draining},
                        {"booting", m.booting},
                        {"cpus", m.cpus},
                        {"used_cpus", m.used_cpus}});
  }
  for (const auto& p : d.progress) {
    Json j{
        {"kind", p.kind}, {"class", p.job_class}, {"aim", p.share}, {"met", p.met}, {"of", p.of}};
    if (p.kind == "deadline") {
      j["times"] = p.times;
    } else {
      j["within_s"] = p.within_s;
    }
    progress.push_back(std::move(j));
  }
  for (const auto& t : d.incidents)
    troubles.push_back({{"ago_s", t.ago_s}, {"what", t.description}});
  Json groups = Json::array();
  for (const auto& g : s.admission.groups) {
    groups.push_back(
        {{"team", g.team}, {"class", g.job_class}, {"asked", g.requested}, {"refused", g.refused}});
  }
  Json admission{{"budget_tasks", s.admission.budget},
                 {"live_tasks", s.admission.live},
                 {"under_way_tasks", s.admission.in_flight},
                 {"part", s.admission.share},
                 {"plan_token", s.admission.plan_token},
                 {"plan_version", s.admission.plan_version},
                 {"groups", std::move(groups)}};
  return Json{{"leader", d.leader},
              {"token", d.token},
              {"settled", d.recovery_complete},
              {"leading_s", d.leader_for_s},
              {"served_by", s.served_by},
              {"age_s", AgoJson(s.snapshot_age_s)},
              {"controllers", std::move(controllers)},
              {"sockets", std::move(sockets)},
              {"admission", std::move(admission)},
              {"blocks", Json::array({{{"holder", d.leader}, {"machines", machines}}})},
              {"queues", QueuesJson(d.queues, "class")},
              {"teams", QueuesJson(d.teams, "team")},
              {"objectives", std::move(progress)},
              {"troubles", std::move(troubles)}};
}

std::string StatusPage(const Status& s) {
  const StatusSnapshot& d = s.snapshot;
  std::string out = "mosspath\n========\n\n";
  out +=
      fmt::format("Leader {}, for {:.0f} s{}.\n", d.leader.empty() ? "unknown" : d.leader,
                  d.leader_for_s, d.recovery_complete ? "" : ", still finding out where tasks are");
  out += s.snapshot_age_s >= kNeverS
             ? fmt::format("{} has had no word from a leader yet.\n", s.served_by)
             : fmt::format("Told by {}; its figures are {:.0f} s old.\n", s.served_by,
                           s.snapshot_age_s);
  out += "\nControllers\n-----------\n";
  for (const auto& c : s.controllers) {
    std::string lacks;
    for (const auto& l : c.unreachable) lacks += (lacks.empty() ? "lacks " : ", ") + l;
    out += fmt::format("{:<16} {:<16} {:<6} heard {}{}  {}\n", c.node, c.zone,
                       c.is_leader ? "leads" : "", AgoText(c.heard_ago_s),
                       c.heard_by.empty() ? "" : " by " + c.heard_by,
                       lacks.empty() ? "lacks nothing" : lacks);
  }
  out += fmt::format("\nSockets of {}\n------------\n", s.served_by);
  for (const auto& u : s.sockets) {
    out += fmt::format("{:<16} {:>6} of {:>6}  refused {}, sent off {}\n", u.connection_class,
                       u.used, u.limit, u.refused, u.closed_after_answer);
  }
  const AdmissionUsage& a = s.admission;
  out += fmt::format(
      "\nAccepted, as {} sees it\n-----------------------\n"
      "{:.0f} of {:.0f} tasks, {:.0f} under way; it may fill {:.3f} of the room (plan {}.{})\n",
      s.served_by, a.live, a.budget, a.in_flight, a.share, a.plan_token, a.plan_version);
  for (const auto& g : a.groups) {
    if (g.refused == 0) continue;
    out += fmt::format("{:<16} {:<16} {:>6} jobs asked for here, {} refused\n", g.team, g.job_class,
                       g.requested, g.refused);
  }
  out += "\nWork\n----\n" + QueuesText(d.queues);
  out += "\nTeams\n-----\n" + QueuesText(d.teams);
  out += "\nMachines\n--------\n";
  for (const auto& m : d.machines) {
    out += fmt::format(
        "{:<16} {:<16} {:<8} {:>4} up {:>4} booting {:>4} draining {:>8.0f} of {:.0f} CPUs used\n",
        m.type, m.zone, m.spot ? "cheap" : "ordinary", m.up, m.booting, m.draining, m.used_cpus,
        m.cpus);
  }
  out += "\nObjectives, since this leader began\n-----------------------------------\n";
  for (const auto& p : d.progress) {
    const std::string limit = p.kind == "deadline" ? fmt::format("{} times the deadline", p.times)
                                                   : fmt::format("within {} s", p.within_s);
    const double share = p.of == 0 ? 1.0 : static_cast<double>(p.met) / static_cast<double>(p.of);
    out += fmt::format("{:<9} {:<16} {:<24} {:>6.1f}% of {} (aim {:.1f}%)\n", p.kind, p.job_class,
                       limit, 100 * share, p.of, 100 * p.share);
  }
  out += "\nRecent troubles\n---------------\n";
  for (const auto& t : d.incidents)
    out += fmt::format("{:>6.0f} s ago: {}\n", t.ago_s, t.description);
  if (d.incidents.empty()) out += "none\n";
  return out;
}

}  // namespace mosspath::wire
