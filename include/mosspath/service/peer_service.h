// Communication between controllers. Each controller sends heartbeats to its peers. A heartbeat
// contains the times since its sender last had contact with the key-value store, the cloud, agents
// and peers. The leader also sends status snapshots. During an outage of the key-value store, the
// leader requests promises from its peers not to lead. Not thread-safe.
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
    // Returns nothing while this controller does not lead.
    std::function<std::optional<wire::StatusSnapshot>()> snapshot;
    // Returns this controller's heartbeat without the fields `node` and `peers`.
    std::function<wire::PeerHeartbeat()> heartbeat;
    // Returns whether this controller may act as the leader, and so may plan admission shares.
    std::function<bool()> may_act;
  };

  PeerService(asio::io_context& io, const config::Settings& settings,
              const config::DerivedSettings& derived, election::Elector& elector, JobService& jobs,
              AdmissionService& admission, LocalState own,
              const std::shared_ptr<net::SocketBudget>& sockets, net::OnMalformed on_malformed);
  void Start();

  // If the request is of the protocol between controllers, answers it and returns true.
  bool Answer(const net::HttpRequest& r, const net::HttpServer::Responder& respond);

  void OnProcessStall(double from, double now) { failure_detector_.OnProcessStall(from, now); }
  // Returns whether the controller's heartbeats arrived before and have stopped; see
  // election::FailureDetector.
  bool IsSuspected(const std::string& node) const {
    return failure_detector_.IsSuspected(node, net::Now());
  }
  // See election::FailureDetector.
  bool ShouldServeUsers(double state_contact, double patience_s) const {
    return failure_detector_.ShouldServeUsers(state_contact, patience_s, net::Now());
  }
  // Returns the cluster's status. The status contains this controller's own snapshot if this
  // controller leads, else the last snapshot that was received from a leader.
  wire::Status Status() const;
  // Returns the task counts of the job in the last snapshot received; zeros if that snapshot does
  // not contain the job.
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
    net::HttpClient updates;   // heartbeats and snapshots
    net::HttpClient promises;  // separate, so that promise requests are not queued behind updates
    // The peer answered a heartbeat with a plan, so it can parse heartbeats with a demand.
    bool supports_demand = false;
    // The peer's last promise response was malformed, and the log has reported that.
    bool bad_promise_logged = false;
  };
  void OnPromiseResponse(uint64_t round, PeerConnection& peer, const std::string& body);

  const config::Settings& settings_;
  const config::DerivedSettings derived_;
  election::Elector& elector_;
  JobService& jobs_;
  AdmissionService& admission_;
  const LocalState local_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  const net::OnMalformed on_malformed_;
  election::FailureDetector failure_detector_;
  std::vector<std::unique_ptr<PeerConnection>> peers_;
  net::Timer heartbeat_timer_;
  net::Timer snapshot_timer_;
  net::Timer promise_timer_;
  // The last promise request was malformed, and the log has reported that.
  bool bad_request_logged_ = false;
  wire::StatusSnapshot snapshot_;  // the last snapshot received; for display only
  double snapshot_at_ = -1e18;     // when snapshot_ arrived
  std::map<std::string, scheduler::JobCounts> counts_;  // task counts by job, from snapshot_
};

}  // namespace mosspath::service
