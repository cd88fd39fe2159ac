// The duties between controllers: each tells the others that it is there and what it reaches, the
// leader tells its counts, and in an outage of the state service it asks all to vouch for it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/election/elector.h"
#include "mosspath/election/liveness.h"
#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/understood.h"
#include "mosspath/scheduler/dispatcher.h"
#include "mosspath/service/admission.h"
#include "mosspath/service/job_table.h"
#include "mosspath/wire/digest.h"

namespace mosspath::service {

class Peers {
 public:
  struct Own {
    std::function<std::optional<wire::Digest>()> digest;  // while this node leads
    std::function<wire::Presence()> presence;             // its peers are filled in here
    std::function<bool()> entitled;                       // to plan for others
  };

  Peers(asio::io_context& io, const config::Settings& settings, const config::Derived& derived,
        election::Elector& elector, JobTable& jobs, Admission& admission, Own own,
        const std::shared_ptr<net::SocketBudget>& sockets, net::OnMalformed on_malformed);
  void Start();

  // Answers the request if it is between controllers.
  bool Answer(const net::HttpRequest& r, const net::HttpServer::Responder& respond);

  void StoodStill(double from, double now) { liveness_.StoodStill(from, now); }
  // Not heard of lately, though it was.
  bool Silent(const std::string& node) const { return liveness_.Silent(node, net::Now()); }
  // See election::Liveness.
  bool FitForUsers(double state_contact, double patience_s) const {
    return liveness_.FitForUsers(state_contact, patience_s, net::Now());
  }
  // What this node knows, its own or the leader's last word.
  wire::Status Status() const;
  scheduler::JobCounts CountsOf(const std::string& id) const;

 private:
  void SendPresence();
  void SendDigest();
  void AskToVouch();
  void OnDigest(const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  void OnPresence(const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  void OnVouch(const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  wire::Presence OwnPresence() const;

  struct Link {
    std::string node;
    net::HttpClient told;      // presence and digests
    net::HttpClient vouching;  // nothing else waits here
    bool plans = false;        // it has answered with a plan, so it reads demands
    bool bad_vouch = false;    // its last answer could not be understood, which was told
  };
  void OnVouched(uint64_t round, Link& link, const std::string& body);

  const config::Settings& settings_;
  const config::Derived derived_;
  election::Elector& elector_;
  JobTable& jobs_;
  Admission& admission_;
  const Own own_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  const net::OnMalformed on_malformed_;
  election::Liveness liveness_;
  std::vector<std::unique_ptr<Link>> links_;
  net::Timer presence_timer_;
  net::Timer digest_timer_;
  net::Timer vouch_timer_;
  bool bad_question_ = false;  // the last one could not be understood, which was told
  wire::Digest digest_;        // the leader's last word; display only
  double digest_at_ = -1e18;
  std::map<std::string, scheduler::JobCounts> counts_;  // from it
};

}  // namespace mosspath::service
