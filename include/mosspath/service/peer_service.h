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
#include "mosspath/election/failure_detector.h"
#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/malformed_message.h"
#include "mosspath/scheduler/scheduler.h"
#include "mosspath/service/admission_service.h"
#include "mosspath/service/job_service.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::service {

class PeerService {
 public:
  struct LocalState {
    std::function<std::optional<wire::StatusSnapshot>()> snapshot;  // while this node leads
    std::function<wire::PeerHeartbeat()> heartbeat;                 // its peers are filled in here
    std::function<bool()> may_act;                                  // to plan for others
  };

  PeerService(asio::io_context& io, const config::Settings& settings,
              const config::DerivedSettings& derived, election::Elector& elector, JobService& jobs,
              AdmissionService& admission, LocalState own,
              const std::shared_ptr<net::SocketBudget>& sockets, net::OnMalformed on_malformed);
  void Start();

  // Answers the request if it is between controllers.
  bool Answer(const net::HttpRequest& r, const net::HttpServer::Responder& respond);

  void OnProcessStall(double from, double now) { failure_detector_.OnProcessStall(from, now); }
  // Not heard of lately, though it was.
  bool IsSuspected(const std::string& node) const {
    return failure_detector_.IsSuspected(node, net::Now());
  }
  // See election::Liveness.
  bool ShouldServeUsers(double state_contact, double patience_s) const {
    return failure_detector_.ShouldServeUsers(state_contact, patience_s, net::Now());
  }
  // What this node knows, its own or the leader's last word.
  wire::Status Status() const;
  scheduler::JobCounts CountsOf(const std::string& id) const;

 private:
  void SendHeartbeat();
  void SendSnapshot();
  void RequestPromises();
  void OnSnapshot(const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  void OnHeartbeat(const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  void OnPromiseRequest(const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  wire::PeerHeartbeat OwnHeartbeat() const;

  struct PeerConnection {
    std::string node;
    net::HttpClient updates;          // presence and digests
    net::HttpClient promises;         // nothing else waits here
    bool reads_demand = false;        // it has answered with a plan, so it reads demands
    bool bad_promise_logged = false;  // its last answer could not be understood, which was told
  };
  void OnPromiseResponse(uint64_t round, PeerConnection& link, const std::string& body);

  const config::Settings& settings_;
  const config::DerivedSettings derived_;
  election::Elector& elector_;
  JobService& jobs_;
  AdmissionService& admission_;
  const LocalState local_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  const net::OnMalformed on_malformed_;
  election::FailureDetector failure_detector_;
  std::vector<std::unique_ptr<PeerConnection>> links_;
  net::Timer heartbeat_timer_;
  net::Timer snapshot_timer_;
  net::Timer promise_timer_;
  bool bad_request_logged_ = false;  // the last one could not be understood, which was told
  wire::StatusSnapshot snapshot_;    // the leader's last word; display only
  double snapshot_at_ = -1e18;
  std::map<std::string, scheduler::JobCounts> counts_;  // from it
};

}  // namespace mosspath::service
