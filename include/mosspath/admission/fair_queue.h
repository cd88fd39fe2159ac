// A fair queue of items by team and class: start-time fair queueing (Goyal, Vin and Cheng, 1996)
// among teams with equal weights, and among the classes of a team with their weights. A long queue
// of one team or class does not delay the turn of another team or class. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mosspath::admission {

// Owns the items. Not thread-safe.
template <typename T>
class FairQueue {
 public:
  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  // Returns the number of the team's items.
  size_t SizeOf(const std::string& team) const {
    const auto it = teams_.find(team);
    return it == teams_.end() ? 0 : it->second.size;
  }

  // `weight`: weight of the class within its team, from now on.
  void Push(const std::string& team, const std::string& job_class, double weight, T item) {
    Team& t = teams_[team];
    if (t.size++ == 0) t.start_tag = std::max(t.start_tag, virtual_time_);
    Class& c = t.classes[job_class];
    if (c.items.empty()) c.start_tag = std::max(c.start_tag, t.virtual_time);
    c.weight = weight;
    c.items.push_back(std::move(item));
    ++size_;
  }

  // Returns the next item. The queue must not be empty.
  T& Front() { return Next().second->second.items.front(); }
  // Removes and returns the next item. The queue must not be empty.
  T Pop() {
    const auto [t, c] = Next();
    Class& cls = c->second;
    T item = std::move(cls.items.front());
    cls.items.pop_front();
    virtual_time_ = t->second.start_tag;
    t->second.virtual_time = cls.start_tag;
    t->second.start_tag += 1;
    cls.start_tag += 1 / std::max(cls.weight, 1e-3);
    // Users can choose any number of class names, so an idle class is removed if its team has more
    // than kMaxClassesPerTeam classes.
    if (cls.items.empty() && t->second.classes.size() > kMaxClassesPerTeam)
      t->second.classes.erase(c);
    --t->second.size;
    --size_;
    EraseIdleTeams();
    return item;
  }

  // Removes all items that satisfy `pred`, then passes each to `take`, which may use the queue.
  template <typename Pred, typename Take>
  void RemoveIf(Pred pred, Take take) {
    std::vector<T> removed;
    for (auto& [team_name, team] : teams_) {
      for (auto& [class_name, c] : team.classes) {
        const size_t count = MoveIf(pred, c.items, removed);
        team.size -= count;
        size_ -= count;
      }
    }
    EraseIdleTeams();
    for (T& item : removed) take(std::move(item));
  }

 private:
  struct Class {
    double start_tag = 0;  // of the class's next item, in the virtual time of its team
    double weight = 1;
    std::deque<T> items;
  };
  struct Team {
    double start_tag = 0;     // of the team's next item, in `virtual_time_`
    double virtual_time = 0;  // of the queue among the team's classes
    size_t size = 0;
    std::map<std::string, Class> classes;
  };
  using Teams = std::map<std::string, Team>;
  static constexpr size_t kMaxClassesPerTeam = 64;

  std::pair<typename Teams::iterator, typename std::map<std::string, Class>::iterator> Next() {
    auto t = teams_.end();
    for (auto it = teams_.begin(); it != teams_.end(); ++it) {
      if (it->second.size > 0 && (t == teams_.end() || it->second.start_tag < t->second.start_tag))
        t = it;
    }
    auto& classes = t->second.classes;
    auto c = classes.end();
    for (auto it = classes.begin(); it != classes.end(); ++it) {
      if (it->second.items.empty()) continue;
      if (c == classes.end() || it->second.start_tag < c->second.start_tag) c = it;
    }
    return {t, c};
  }
  // Moves the items that satisfy `pred` to the end of `removed`, in their order. Returns their
  // number.
  template <typename Pred>
  static size_t MoveIf(Pred& pred, std::deque<T>& items, std::vector<T>& removed) {
    const auto first_removed = std::stable_partition(
        items.begin(), items.end(), [&pred](const T& item) { return !pred(item); });
    const auto count = static_cast<size_t>(items.end() - first_removed);
    std::move(first_removed, items.end(), std::back_inserter(removed));
    items.erase(first_removed, items.end());
    return count;
  }
  // Erases each idle team once virtual time has reached its start tag, and all teams once the queue
  // is empty. If an idle team were erased earlier, its start tag would be lost, and its next item
  // would take a turn ahead of the other teams.
  void EraseIdleTeams() {
    if (size_ == 0) return teams_.clear();
    std::erase_if(teams_, [this](const auto& entry) {
      const Team& team = entry.second;
      return team.size == 0 && team.start_tag <= virtual_time_;
    });
  }

  Teams teams_;
  double virtual_time_ = 0;
  size_t size_ = 0;
};

}  // namespace mosspath::admission
