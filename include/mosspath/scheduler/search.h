// Tasks that may be on machines which another controller commanded until now: nobody knows before
// each of these machines was heard, or is ruled out (rule 3 of docs/design.md). Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mosspath::scheduler {

class Search {
 public:
  // Begins a search among these machines; false if there are none, so nothing can be anywhere.
  bool Begin(uint64_t key, const std::vector<std::string>& machines);
  // The machine is known, or has nothing: the searches that end with it.
  std::vector<uint64_t> Known(const std::string& machine);
  bool Seeks(uint64_t key) const { return left_.contains(key); }
  bool empty() const { return left_.empty(); }
  // Whether nearly all machines of the searches that wait for this one are known.
  bool NearlyOver(const std::string& machine, double share) const;

 private:
  struct Left {
    std::set<std::string> machines;
    size_t total = 0;
  };
  std::map<uint64_t, Left> left_;
  std::map<std::string, std::set<uint64_t>> by_machine_;
};

}  // namespace mosspath::scheduler
