// A model walked in every order: the last task of a job has ended, and the leader's completion
// meets a cancellation at another controller, questions and a repeated submission at a third, with
// no other trouble. The controllers' decisions are the real ones (jobs/job_index).
#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/jobs/job_index.h"

namespace mosspath::jobs {
namespace {

const std::string kId = "req-1";
const std::string kKey = "job/" + kId;

enum class Event {
  kComplete,       // the leader sends the completion
  kCompleted,      // it is carried out
  kCompleteHeard,  // the leader hears of it
  kCancelLooks,    // whoever is asked to cancel looks, and sends its change
  kCancelled,      // that is carried out
  kCancelHeard,    // and answered, and the user told
  kAsk,            // a user asks a third controller
  kLooked,         // which looks
  kFinalRead,      // reads the final record
  kTold,           // and tells
  kSubmit,         // the job is submitted again there: known without a write, or its change is sent
  kSubmitted,      // that is carried out, which it must not be
  kReadsLeader,    // reads the next change that it has not read
  kReadsCanceller,
  kReadsThird,
  kEvents
};

enum class Guard { kAll, kNoFinalCondition, kLiveWithoutLook, kForgetsItsOwn };

class Model {
 public:
  explicit Model(Guard guard) : guard_(guard) {
    wire::JobSpec spec;
    spec.id = kId;
    spec.team = spec.job_class = spec.image = "x";
    spec.tasks = 1;
    Change(kKey, JobRecords::EncodeEntry(spec, 0));
    for (auto& c : controllers_) Read(c);
  }

  bool Step(Event e) {
    Controller& leader = controllers_[0];
    Controller& canceller = controllers_[1];
    Controller& third = controllers_[2];
    switch (e) {
      case Event::kComplete:
        if (complete_ || leader.directory.FindLive(kId) == nullptr) return false;
        complete_ = leader.directory.records().PlanEnd({kId}, leader.read);
        complete_stage_ = 1;
        return true;
      case Event::kCompleted:
        if (complete_stage_ != 1) return false;
        complete_stage_ = Commit(JobStatus::kDone, *complete_) ? 2 : 3;
        return true;
      case Event::kCompleteHeard:
        if (complete_stage_ < 2) return false;
        if (complete_stage_ == 2) leader.directory.OnEnded(kId, JobStatus::kDone);
        if (complete_stage_ == 2) Tell(JobStatus::kDone, {});
        complete_stage_ = 0;
        return true;
      case Event::kCancelLooks: {
        if (cancel_stage_ != 0) return false;
        if (cancel_asked_ == std::nullopt) cancel_asked_ = told_;
        auto known = canceller.directory.FindEnded(kId);
        if (!known) {
          Catch(canceller);
          known = canceller.directory.StatusAfterRead(kId);
        }
        if (!known) known = FinalNow(canceller);
        const auto step = canceller.directory.PlanCancellation(kId, *known, canceller.read);
        using Kind = JobIndex::CancelStep::Kind;
        if (step.kind == Kind::kReadAgain) return false;
        if (step.kind == Kind::kAnswer) {
          Tell(step.status, *cancel_asked_);
          cancel_stage_ = 4;
        } else {
          cancel_ = step.records;
          cancel_stage_ = 1;
        }
        return true;
      }
      case Event::kCancelled:
        if (cancel_stage_ != 1) return false;
        cancel_stage_ = Commit(JobStatus::kCancelled, cancel_) ? 2 : 3;
        return true;
      case Event::kCancelHeard:
        if (cancel_stage_ == 3) {
          cancel_stage_ = 0;
          return true;
        }
        if (cancel_stage_ != 2) return false;
        if (guard_ != Guard::kForgetsItsOwn) {
          canceller.directory.OnCancellationLearned(kId, final_->second, canceller.read);
        }
        Tell(JobStatus::kCancelled, *cancel_asked_);
        if (canceller.directory.FindLive(kId) != nullptr) breach_ = "told, and live here";
        cancel_stage_ = 4;
        return true;
      case Event::kAsk:
        if (ask_stage_ != 0 || asks_ >= 2) return false;
        ++asks_;
        asked_ = told_;
        known_ = third.directory.FindEnded(kId);
        ask_stage_ = known_ ? 3 : 1;
        return true;
      case Event::kLooked:
        if (ask_stage_ != 1) return false;
        if (guard_ != Guard::kLiveWithoutLook) Catch(third);
        known_ = third.directory.StatusAfterRead(kId);
        looked_ = third.read;
        ask_stage_ = known_ ? 3 : 2;
        return true;
      case Event::kFinalRead:
        if (ask_stage_ != 2) return false;
        known_ =
            third.directory.StatusFromFinalRecord(kId, final_ ? &final_->first : nullptr,
                                                  final_ ? final_->second : 0, looked_, third.read);
        ask_stage_ = 3;
        return true;
      case Event::kTold:
        if (ask_stage_ != 3) return false;
        Tell(*known_, asked_);
        ask_stage_ = 0;
        return true;
      case Event::kSubmit:
        if (submit_stage_ != 0) return false;
        submit_stage_ = third.directory.Contains(kId) ? 2 : 1;  // then it is told as a question is
        return true;
      case Event::kSubmitted:
        if (submit_stage_ != 1) return false;
        if (!live_ && !final_) breach_ = "accepted twice";
        submit_stage_ = 2;
        return true;
      case Event::kReadsLeader:
        return ReadOne(leader);
      case Event::kReadsCanceller:
        return ReadOne(canceller);
      case Event::kReadsThird:
        return ReadOne(third);
      case Event::kEvents:
        break;
    }
    return false;
  }

  const std::string& breach() const { return breach_; }
  std::string State() const {
    std::string out =
        fmt::format("{} {} {} {} {} {} {} {}|", complete_stage_, complete_.has_value(),
                    cancel_stage_, ask_stage_, asks_, submit_stage_, Text(known_), looked_);
    for (const auto& c : controllers_) {
      out +=
          fmt::format(" {}{}{}{}", c.read, Text(c.directory.FindEnded(kId)),
                      c.directory.FindLive(kId) != nullptr, Text(c.directory.StatusAfterRead(kId)));
    }
    for (const auto* told : {&told_, &asked_}) {
      out += "|";
      for (const JobStatus k : *told) out += std::to_string(static_cast<int>(k));
    }
    if (cancel_asked_) out += fmt::format("|{}", cancel_asked_->size());
    out += fmt::format("|{} {}", live_.has_value(), final_ ? final_->first.dump() : "");
    return out;
  }

 private:
  using Told = std::set<JobStatus>;
  struct Controller {
    JobIndex directory{"job/", "batch/", {.finals = 10, .cancellations = 10}};
    uint64_t read = 0;
  };
  struct Written {
    std::string key;
    std::optional<wire::Json> value;
    uint64_t version = 0;
  };

  static std::string Text(std::optional<JobStatus> k) {
    return k ? std::to_string(static_cast<int>(*k)) : "-";
  }
  void Change(const std::string& key, std::optional<wire::Json> value) {
    log_.push_back({key, value, log_.size() + 1});
    (key == kKey ? live_ : final_) =
        value ? std::optional(std::pair(*value, log_.back().version)) : std::nullopt;
  }
  bool Commit(JobStatus end, const std::vector<RecordChange>& records) {
    bool met = guard_ == Guard::kNoFinalCondition || !final_;
    for (const auto& r : records) {
      met = met && (guard_ == Guard::kNoFinalCondition || (live_ ? live_->second : 0) == r.version);
    }
    if (!met) return false;
    // One change: both or neither is read.
    Change(kKey, std::nullopt);
    Change("final/" + kId, EncodeFinalRecord(end));
    return true;
  }
  void Read(Controller& c) {
    const Written& w = log_[c.read++];
    if (w.key == kKey) {
      c.directory.OnRecord(w.key, w.value ? &*w.value : nullptr, w.version);
    } else {
      c.directory.OnFinalRecord(kId, *w.value, w.version);
    }
    c.directory.OnLoaded(c.read);
  }
  bool ReadOne(Controller& c) {
    if (c.read >= log_.size()) return false;
    Read(c);
    return true;
  }
  void Catch(Controller& c) {
    while (c.read < log_.size()) Read(c);
  }
  JobStatus FinalNow(Controller& c) {
    return c.directory.StatusFromFinalRecord(kId, final_ ? &final_->first : nullptr,
                                             final_ ? final_->second : 0, c.read, c.read);
  }
  // `before`: what users had been told when this was asked.
  void Tell(JobStatus known, const Told& before) {
    if (known == JobStatus::kMissing) breach_ = "an accepted job is not known";
    if (known == JobStatus::kLive && !before.empty())
      breach_ = "told of its end, and then that it lives";
    if (known == JobStatus::kDone || known == JobStatus::kCancelled) told_.insert(known);
    if (told_.size() > 1) breach_ = "two ends are told";
  }

  const Guard guard_;
  std::vector<Written> log_;
  std::optional<std::pair<wire::Json, uint64_t>> live_;
  std::optional<std::pair<wire::Json, uint64_t>> final_;
  Controller controllers_[3];
  std::optional<std::vector<RecordChange>> complete_;
  std::vector<RecordChange> cancel_;
  int complete_stage_ = 0;
  int cancel_stage_ = 0;
  int ask_stage_ = 0;
  int asks_ = 0;
  int submit_stage_ = 0;
  std::optional<JobStatus> known_;
  uint64_t looked_ = 0;
  Told told_;
  Told asked_;
  std::optional<Told> cancel_asked_;
  std::string breach_;
};

struct Walked {
  size_t states = 0;
  std::set<std::string> breaches;
};

Walked Walk(Guard guard) {
  Walked out;
  std::set<std::string> seen;
  std::vector<Model> open{Model(guard)};
  while (!open.empty()) {
    const Model from = std::move(open.back());
    open.pop_back();
    for (int e = 0; e < static_cast<int>(Event::kEvents); ++e) {
      Model to = from;
      if (!to.Step(static_cast<Event>(e)) || !seen.insert(to.State()).second) continue;
      ++out.states;
      if (!to.breach().empty()) {
        out.breaches.insert(to.breach());
        continue;
      }
      open.push_back(std::move(to));
    }
  }
  return out;
}

TEST(JobEndModel, OneEndIsToldInEveryOrder) {
  const Walked w = Walk(Guard::kAll);
  EXPECT_TRUE(w.breaches.empty()) << *w.breaches.begin();
  EXPECT_GT(w.states, 1'000u);
  RecordProperty("states", static_cast<int>(w.states));
}

TEST(JobEndModel, TheModelMissesEachGuard) {
  EXPECT_TRUE(Walk(Guard::kNoFinalCondition).breaches.contains("two ends are told"));
  EXPECT_TRUE(
      Walk(Guard::kLiveWithoutLook).breaches.contains("told of its end, and then that it lives"));
  EXPECT_TRUE(Walk(Guard::kForgetsItsOwn).breaches.contains("told, and live here"));
}

}  // namespace
}  // namespace mosspath::jobs
