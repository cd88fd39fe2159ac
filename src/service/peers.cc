#include "mosspath/service/peers.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "mosspath/wire/vouch_frame.h"

namespace mosspath::service {
namespace {

using net::HttpAnswer;
using Responder = net::HttpServer::Responder;

HttpAnswer Frame(std::string body) { return {200, std::move(body), 0, "application/octet-stream"}; }

HttpAnswer Malformed() { return {400, wire::ErrorAnswer("malformed frame").dump()}; }

}  // namespace

Peers::Peers(asio::io_context& io, const config::Settings& settings, const config::Derived& derived,
             election::Elector& elector, JobTable& jobs, Admission& admission, Own own,
             const std::shared_ptr<net::SocketBudget>& sockets, net::OnMalformed on_malformed)
    : settings_(settings),
      derived_(derived),
      elector_(elector),
      jobs_(jobs),
      admission_(admission),
      own_(std::move(own)),
      sockets_(sockets),
      on_malformed_(std::move(on_malformed)),
      liveness_(settings),
      presence_timer_(io),
      digest_timer_(io),
      vouch_timer_(io) {
  const net::HttpClient::Options options{.max_connections = 1, .max_queue = 2, .sockets = sockets};
  for (const auto& p : settings_.peers) {
    links_.push_back(std::unique_ptr<Link>(
        new Link{p.node, {io, p.address, options}, {io, p.address, options}}));
  }
}

void Peers::Start() {
  SendPresence();
  SendDigest();
  AskToVouch();
}

bool Peers::Answer(const net::HttpRequest& r, const Responder& respond) {
  if (r.method != "POST") return false;
  if (r.path == "/peer/v1/presence") {
    OnPresence(r, respond);
  } else if (r.path == "/peer/v1/digest") {
    OnDigest(r, respond);
  } else if (r.path == "/peer/v1/vouch") {
    OnVouch(r, respond);
  } else {
    return false;
  }
  return true;
}

wire::Presence Peers::OwnPresence() const {
  wire::Presence p = own_.presence();
  p.node = settings_.node;
  p.peers = liveness_.HeardAgo(net::Now());
  return p;
}

void Peers::SendPresence() {
  presence_timer_.After(liveness_.interval_s(), [this] { SendPresence(); });
  wire::Presence own = OwnPresence();
  const std::string frame = wire::Encode(own);
  const double now = net::Now();
  own.demand = admission_.Demand(now);
  const std::string with_demand = wire::Encode(own);
  // Who leads asks itself as others ask it, and only while it is entitled to plan: one that had
  // lapsed went on planning for itself beside its successor.
  if (own_.entitled()) {
    admission_.Told(admission_.PlanFor(settings_.node, *own.demand, now), now);
  }
  for (auto& l : links_) {
    l->told.Send("POST", "/peer/v1/presence", l->plans ? with_demand : frame,
                 2 * liveness_.interval_s(),
                 [this, link = l.get(), asked = now](const net::HttpResult& r) {
                   // An earlier version answers with nothing, and would not read a demand.
                   link->plans = link->plans && r.status == 0;
                   if (r.status != 200 || r.body.empty()) return;
                   net::Understood("peer", "plan", on_malformed_, [&] {
                     const admission::Plan plan = wire::DecodePlan(r.body);
                     link->plans = true;
                     admission_.Told(plan, asked);
                   });
                 });
  }
}

void Peers::OnPresence(const net::HttpRequest& r, const Responder& respond) {
  wire::Presence p;
  const bool understood =
      net::Understood("peer", "presence", on_malformed_, [&] { p = wire::DecodePresence(r.body); });
  if (!understood) return respond(Malformed());
  const double now = net::Now();
  liveness_.Heard(p, now);
  admission::Plan plan;
  if (own_.entitled() && p.demand) plan = admission_.PlanFor(p.node, *p.demand, now);
  respond(Frame(wire::Encode(plan)));
}

void Peers::SendDigest() {
  digest_timer_.After(std::max(1.0, settings_.report_s / 2), [this] { SendDigest(); });
  const auto digest = own_.digest();
  if (!digest) return;
  const std::string frame = wire::Encode(*digest);
  for (auto& l : links_) {
    l->told.Send("POST", "/peer/v1/digest", frame, settings_.report_s,
                 [](const net::HttpResult&) {});
  }
}

void Peers::OnDigest(const net::HttpRequest& r, const Responder& respond) {
  wire::Digest d;
  const bool understood =
      net::Understood("peer", "digest", on_malformed_, [&] { d = wire::DecodeDigest(r.body); });
  if (!understood) return respond(Malformed());
  if (d.token >= digest_.token) {
    counts_.clear();
    for (const auto& j : d.jobs) counts_[j.id] = {j.done, j.running};
    digest_ = std::move(d);
    digest_at_ = net::Now();
  }
  respond(Frame(""));
}

wire::Status Peers::Status() const {
  const double now = net::Now();
  wire::Status s;
  s.served_by = settings_.node;
  s.controllers = liveness_.States(OwnPresence(), now);
  for (size_t i = 0; i < net::kParties; ++i) {
    const auto p = static_cast<net::Party>(i);
    s.sockets.push_back({net::Name(p), sockets_->used(p), sockets_->limit(p), sockets_->refused(p),
                         sockets_->sent_off(p)});
  }
  s.admission = admission_.Use(now);
  if (auto own = own_.digest()) {
    s.digest = std::move(*own);
    return s;
  }
  s.digest = digest_;
  s.age_s = std::min(wire::kNever, now - digest_at_);
  return s;
}

scheduler::JobCounts Peers::CountsOf(const std::string& id) const {
  const auto it = counts_.find(id);
  return it == counts_.end() ? scheduler::JobCounts{} : it->second;
}

// While the state service is silent, a leader asks all peers to vouch that they won't lead.
void Peers::AskToVouch() {
  vouch_timer_.After(derived_.promise_s / 4, [this] { AskToVouch(); });
  const auto round = elector_.AskPeers(net::Now());
  if (!round) return;
  const std::string frame = wire::Encode(elector_.Question());
  for (auto& l : links_) {
    l->vouching.Send("POST", "/peer/v1/vouch", frame, derived_.promise_s,
                     [this, round = *round, link = l.get()](const net::HttpResult& r) {
                       if (r.status == 200) OnVouched(round, *link, r.body);
                     });
  }
}

void Peers::OnVouched(uint64_t round, Link& link, const std::string& body) {
  // An answer that can't be understood is no promise, and is told once: the next question comes
  // soon.
  const auto malformed = [&](const char* why) {
    if (!std::exchange(link.bad_vouch, true)) {
      spdlog::error("peer: {} vouches in a way that can't be: {}", link.node, why);
    }
    on_malformed_("peer", "vouch");
  };
  wire::VouchAnswer answer;
  try {
    answer = wire::DecodeVouchAnswer(body);
  } catch (const std::exception& e) {
    return malformed(e.what());
  }
  std::vector<wire::CancelledPart::Entry> learned;
  if (!elector_.PeerAnswered(round, link.node, answer, net::Now(), learned)) {
    return malformed("a revision above any");
  }
  link.bad_vouch = false;
  for (const auto& e : learned) {
    if (jobs_.FindLive(e.id) != nullptr) {
      spdlog::info("jobs: {} is cancelled, as {} says", e.id, link.node);
    }
    jobs_.LearnCancelled(e.id, e.revision);
  }
}

void Peers::OnVouch(const net::HttpRequest& r, const Responder& respond) {
  election::Leadership::Promise promise;
  wire::VouchQuestion question;
  try {
    question = wire::DecodeVouchQuestion(r.body);
    promise = elector_.Asked(question, net::Now());
    if (!promise.understood) throw wire::BadMessage("a node, token or revision that can't be");
  } catch (const std::exception& e) {
    // A leader asks several times a second: told once, until one is understood again.
    if (!std::exchange(bad_question_, true)) spdlog::error("peer: malformed vouch: {}", e.what());
    on_malformed_("peer", "vouch");
    return respond(Malformed());
  }
  bad_question_ = false;
  respond(Frame(
      wire::Encode(wire::VouchAnswer{promise.promised, jobs_.cancelled().Since(question.seen)})));
}

}  // namespace mosspath::service
