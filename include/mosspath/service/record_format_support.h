// Tracks which controllers have declared that they support the newer record formats: records of
// several jobs, and start markers of jobs that may have been started (docs/job-acceptance.md,
// docs/design.md, decision 5). If a job was accepted before all controllers had declared their
// support, a controller of a version that writes no start markers may have started the job.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"

namespace mosspath::service {

class RecordFormatSupport {
 public:
  static constexpr uint64_t kNever = ~uint64_t{0};

  explicit RecordFormatSupport(const config::Settings& settings) : own_(settings.name) {
    nodes_.push_back(settings.name);
    for (const auto& p : settings.peers) nodes_.push_back(p.name);
  }

  void Clear() { declared_at_.clear(); }
  // `version` is the version of the controller's declaration; 0: the declaration was removed.
  void OnDeclared(const std::string& node, uint64_t version) {
    if (version == 0) {
      declared_at_.erase(node);
    } else {
      declared_at_[node] = version;
    }
  }
  bool own_declared() const { return declared_at_.contains(own_); }
  // Returns the revision since which all controllers in the settings have declared support; kNever
  // if some controller has not declared support.
  uint64_t all_since() const {
    uint64_t since = 0;
    for (const auto& node : nodes_) {
      const auto it = declared_at_.find(node);
      if (it == declared_at_.end()) return kNever;
      since = std::max(since, it->second);
    }
    return since;
  }

 private:
  const std::string own_;
  std::vector<std::string> nodes_;
  std::map<std::string, uint64_t> declared_at_;
};

}  // namespace mosspath::service
