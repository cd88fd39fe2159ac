// Which machines form a block. One block a controller, of machines in its zone as far as there are
// controllers there; a machine's block follows from its name and zone, so no record is needed.
// Pure.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

class ShardMap {
 public:
  explicit ShardMap(const config::Settings& settings);

  size_t size() const { return owners_.size(); }
  size_t ShardOf(const std::string& machine, const std::string& zone) const;
  // The controller whose block it is.
  const std::string& OwnerOf(size_t block) const { return owners_[block]; }

 private:
  std::vector<std::string> owners_;  // by name, so that all number them alike
  std::map<std::string, std::vector<size_t>> shards_by_zone_;  // zone -> its controllers' blocks
};

}  // namespace mosspath::scheduler
