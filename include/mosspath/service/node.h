// One controller: the user, worker and peer interfaces wired to the duties.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mosspath/config/operator_settings.h"
#include "mosspath/lease/elector.h"
#include "mosspath/net/http_server.h"
#include "mosspath/service/cloud.h"
#include "mosspath/service/job_table.h"
#include "mosspath/service/leader.h"
#include "mosspath/service/metrics.h"
#include "mosspath/state/mirror.h"

namespace mosspath::service {

class Node {
 public:
  Node(asio::io_context& io, const config::Settings& settings);
  ~Node();
  void Start();

 private:
  using Responder = net::HttpServer::Responder;

  void OnKey(const state::Event& e);
  void OnMirrorLoaded();
  void OnElected(uint64_t token);
  void OnLost();
  void FetchTypes();
  void LearnTypes(const std::vector<wire::MachineType>& types, bool publish);
  bool Healthy() const;

  void OnPublic(net::HttpRequest r, Responder respond);
  void OnPeer(net::HttpRequest r, Responder respond);
  void Submit(const net::HttpRequest& r, Responder respond);
  void Get(const std::string& id, Responder respond);
  void CancelJob(const std::string& id, Responder respond);
  void OnReport(const net::HttpRequest& r, const Responder& respond);
  void OnSettingsKey(const state::Event& e);
  void ChangeSettings(const net::HttpRequest& r, Responder respond);
  void OnDigest(const net::HttpRequest& r, const Responder& respond);
  void SendDigest();
  void ComparePeers();
  void AskToVouch();
  void OnVouch(const net::HttpRequest& r, const Responder& respond);
  wire::Digest CurrentDigest() const;
  place::JobCounts CountsOf(const std::string& id) const;
  // Why the job can never run, or empty.
  std::string CanNeverRun(const wire::JobSpec& spec) const;
  void AnswerKnown(const std::string& id, JobTable::Known known, const Responder& respond,
                   net::HttpAnswer missing);

  asio::io_context& io_;
  const config::Settings settings_;
  const config::Derived derived_;
  state::Client state_;
  CloudClient cloud_;
  state::Mirror mirror_;
  JobTable jobs_;
  lease::Elector elector_;
  std::shared_ptr<Leader> leader_;
  std::vector<wire::MachineType> types_;
  std::string published_types_;
  // Progress and machine records as mirrored, with their versions.
  std::map<std::string, std::pair<wire::Json, uint64_t>> packs_;
  net::Timer types_timer_;
  net::Timer digest_timer_;
  net::Timer compare_timer_;
  net::Timer vouch_timer_;
  bool mirror_empty_ = true;
  double peer_contact_ = -1e18;  // the state service's last answer to a peer, as far as told
  Metrics metrics_;
  net::OnMalformed on_malformed_;
  config::OperatorSettings operator_settings_;
  uint64_t operator_version_ = 0;
  wire::Digest digest_;  // the leader's last word; display only
  double digest_at_ = -1e18;
  std::map<std::string, place::JobCounts> counts_;  // from it
  std::vector<std::unique_ptr<net::HttpClient>> peers_;
  std::vector<std::unique_ptr<net::HttpClient>> vouchers_;  // nothing else waits here
  std::unique_ptr<net::HttpServer> public_;
  std::unique_ptr<net::HttpServer> peer_;
};

}  // namespace mosspath::service
