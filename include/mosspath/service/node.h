// One controller: the user, worker and peer interfaces wired to the duties.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mosspath/shard/routes.h"
#include "mosspath/config/operator_settings.h"
#include "mosspath/election/elector.h"
#include "mosspath/net/http_server.h"
#include "mosspath/service/cloud.h"
#include "mosspath/service/frame_links.h"
#include "mosspath/service/holding.h"
#include "mosspath/service/job_table.h"
#include "mosspath/service/leader.h"
#include "mosspath/service/metrics.h"
#include "mosspath/service/operator_desk.h"
#include "mosspath/service/peers.h"
#include "mosspath/service/speakers.h"
#include "mosspath/service/type_keeper.h"
#include "mosspath/service/user_api.h"
#include "mosspath/kvstore/mirror.h"

namespace mosspath::service {

class Node {
 public:
  Node(asio::io_context& io, const config::Settings& settings);
  ~Node();
  void Start();

 private:
  using Responder = net::HttpServer::Responder;

  void OnKey(const kvstore::Event& e);
  void OnMirrorLoaded();
  void OnElected(uint64_t token);
  void OnLost();
  bool Healthy() const;

  void OnPublic(net::HttpRequest r, Responder respond);
  void OnPeer(net::HttpRequest r, Responder respond);
  void OnReport(const net::HttpRequest& r, const Responder& respond);
  void ShareAcceptances();
  // --- Blocks (docs/blocks.md) ---
  bool OnBlockKey(const kvstore::Event& e);
  void SeeOwnBlock();
  void StopHolding();
  void Offer();
  void GiveUpBlock();
  void OnFrame(const net::HttpRequest& r, const Responder& respond);
  // Answers the report if another controller, or this one as a holder, commands the machine.
  bool AnswerForBlock(const wire::Report& report, const Responder& respond);
  std::optional<wire::Digest> OwnDigest() const;
  wire::Presence OwnPresence() const;
  scheduler::JobCounts CountsOf(const std::string& id) const;

  asio::io_context& io_;
  const config::Settings settings_;
  const config::Derived derived_;
  const std::shared_ptr<net::SocketBudget> sockets_;
  kvstore::Client state_;
  CloudClient cloud_;
  kvstore::Mirror mirror_;
  Admission admission_;
  JobTable jobs_;
  election::Elector elector_;
  net::StallWatch stalls_;
  std::shared_ptr<Leader> leader_;
  std::shared_ptr<Holding> holding_;
  TypeKeeper types_;
  OperatorDesk desk_;
  Speakers speakers_;
  UserApi users_;
  // Progress and machine records as mirrored, with their versions.
  std::map<std::string, std::pair<wire::Json, uint64_t>> packs_;
  bool mirror_empty_ = true;
  double last_report_ = -1e18;  // taken as the leader
  Metrics metrics_;
  net::OnMalformed on_malformed_;
  Peers peers_;
  FrameLinks frames_;
  shard::Routes routes_;
  struct OfferSeen {
    uint64_t version = 0;
    uint64_t grant = 0;
  };
  std::map<std::string, OfferSeen> offers_;
  uint64_t own_block_grant_ = 0;  // that the lease of this node's block hangs on
  net::Timer offer_timer_;
  std::unique_ptr<net::HttpServer> public_;
  std::unique_ptr<net::HttpServer> peer_;
};

}  // namespace mosspath::service
