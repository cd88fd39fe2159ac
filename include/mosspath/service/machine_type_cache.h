// The machine types that this controller knows: from the cloud, or as a leader has published them,
// so that jobs can be judged while the cloud's interface is down.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/election/elector.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/net/timer.h"
#include "mosspath/service/cloud_client.h"

namespace mosspath::service {

class MachineTypeCache {
 public:
  using Types = std::vector<wire::MachineType>;

  MachineTypeCache(asio::io_context& io, kvstore::Client& state, CloudClient& cloud,
                   const election::Elector& elector, const config::DerivedSettings& derived,
                   std::function<void(const Types&)> learned);

  const Types& types() const { return types_; }
  bool empty() const { return types_.empty(); }
  // Asks the cloud until something is known.
  void Fetch();
  void OnKey(const kvstore::Event& e);
  // As the cloud told; a leader publishes it.
  void OnCloudTypes(const Types& types);

 private:
  void Learn(const Types& types);

  kvstore::Client& state_;
  CloudClient& cloud_;
  const election::Elector& elector_;
  const config::DerivedSettings derived_;
  const std::function<void(const Types&)> learned_;
  Types types_;
  std::string published_;
  net::Timer timer_;
};

}  // namespace mosspath::service
