// A model whose events are walked in every order: the last task of a job has ended, and the
// leader's completion meets a cancellation at another controller, and queries and a repeated
// submission at a third, without any other fault. The controllers' decisions are the real ones
// (jobs/job_index).
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
  kSendCompletion,        // the leader sends the completion
  kCommitCompletion,      // it is committed
  kCompletionAnswered,    // the leader gets the answer
  kSendCancellation,      // the canceller reads the job's state, and sends its change
  kCommitCancellation,    // that is committed
  kCancellationAnswered,  // the canceller gets the answer, and its user is told
  kQuery,                 // a user asks a third controller
  kQueryReadsLive,        // which reads all changes
  kQueryReadsFinal,       // reads the final record
  kQueryAnswered,         // and answers
  kResubmit,              // the job is submitted again there: it is known, or its change is sent
  kCommitResubmission,    // that is committed, which it must not be
  kLeaderReads,           // the leader reads the next change that it has not read
  kCancellerReads,
  kThirdReads,
  kEvents
};

// The guards that are in force: all, or all but one.
enum class Guard { kAll, kNoFinalCondition, kLiveWithoutRead, kIgnoresOwnCancellation };

class Model {
 public:
  explicit Model(Guard guard) : guard_(guard) {
    wire::JobSpec spec;
    spec.id = kId;
    spec.team = spec.job_class = spec.image = "x";
    spec.tasks = 1;
    Change(kKey, JobRecords::EncodeEntry(spec, 0));
    for (auto& controller : controllers_) Read(controller);
  }

  bool Step(Event event) {
    Controller& leader = controllers_[0];
    Controller& canceller = controllers_[1];
    Controller& third = controllers_[2];
    switch (event) {
      case Event::kSendCompletion:
        if (complete_ || leader.index.FindLive(kId) == nullptr) return false;
        complete_ = leader.index.records().PlanEnd({kId}, leader.read);
        complete_stage_ = 1;
        return true;
      case Event::kCommitCompletion:
        if (complete_stage_ != 1) return false;
        complete_stage_ = Commit(JobStatus::kDone, *complete_) ? 2 : 3;
        return true;
      case Event::kCompletionAnswered:
        if (complete_stage_ < 2) return false;
        if (complete_stage_ == 2) leader.index.OnEnded(kId, JobStatus::kDone);
        if (complete_stage_ == 2) Report(JobStatus::kDone, {});
        complete_stage_ = 0;
        return true;
      case Event::kSendCancellation: {
        if (cancel_stage_ != 0) return false;
        if (reported_before_cancellation_ == std::nullopt)
          reported_before_cancellation_ = reported_;
        auto known = canceller.index.FindEnded(kId);
        if (!known) {
          ReadAll(canceller);
          known = canceller.index.StatusAfterRead(kId);
        }
        if (!known) known = FinalNow(canceller);
        const auto step = canceller.index.PlanCancellation(kId, *known, canceller.read);
        using Kind = JobIndex::CancelStep::Kind;
        if (step.kind == Kind::kReadAgain) return false;
        if (step.kind == Kind::kAnswer) {
          Report(step.status, *reported_before_cancellation_);
          cancel_stage_ = 4;
        } else {
          cancel_ = step.records;
          cancel_stage_ = 1;
        }
        return true;
      }
      case Event::kCommitCancellation:
        if (cancel_stage_ != 1) return false;
        cancel_stage_ = Commit(JobStatus::kCancelled, cancel_) ? 2 : 3;
        return true;
      case Event::kCancellationAnswered:
        if (cancel_stage_ == 3) {
          cancel_stage_ = 0;
          return true;
        }
        if (cancel_stage_ != 2) return false;
        if (guard_ != Guard::kIgnoresOwnCancellation) {
          canceller.index.OnCancellationLearned(kId, final_->second, canceller.read);
        }
        Report(JobStatus::kCancelled, *reported_before_cancellation_);
        if (canceller.index.FindLive(kId) != nullptr) breach_ = "told, and live here";
        cancel_stage_ = 4;
        return true;
      case Event::kQuery:
        if (query_stage_ != 0 || queries_ >= 2) return false;
        ++queries_;
        reported_before_query_ = reported_;
        query_status_ = third.index.FindEnded(kId);
        query_stage_ = query_status_ ? 3 : 1;
        return true;
      case Event::kQueryReadsLive:
        if (query_stage_ != 1) return false;
        if (guard_ != Guard::kLiveWithoutRead) ReadAll(third);
        query_status_ = third.index.StatusAfterRead(kId);
        query_read_up_to_ = third.read;
        query_stage_ = query_status_ ? 3 : 2;
        return true;
      case Event::kQueryReadsFinal:
        if (query_stage_ != 2) return false;
        query_status_ = third.index.StatusFromFinalRecord(kId, final_ ? &final_->first : nullptr,
                                                          final_ ? final_->second : 0,
                                                          query_read_up_to_, third.read);
        query_stage_ = 3;
        return true;
      case Event::kQueryAnswered:
        if (query_stage_ != 3) return false;
        Report(*query_status_, reported_before_query_);
        query_stage_ = 0;
        return true;
      case Event::kResubmit:
        if (submit_stage_ != 0) return false;
        submit_stage_ = third.index.Contains(kId) ? 2 : 1;  // then it is answered as a query is
        return true;
      case Event::kCommitResubmission:
        if (submit_stage_ != 1) return false;
        if (!live_ && !final_) breach_ = "accepted twice";
        submit_stage_ = 2;
        return true;
      case Event::kLeaderReads:
        return ReadOne(leader);
      case Event::kCancellerReads:
        return ReadOne(canceller);
      case Event::kThirdReads:
        return ReadOne(third);
      case Event::kEvents:
        break;
    }
    return false;
  }

  const std::string& breach() const { return breach_; }
  std::string State() const {
    std::string out = fmt::format("{} {} {} {} {} {} {} {}|", complete_stage_,
                                  complete_.has_value(), cancel_stage_, query_stage_, queries_,
                                  submit_stage_, Text(query_status_), query_read_up_to_);
    for (const auto& controller : controllers_) {
      out += fmt::format(" {}{}{}{}", controller.read, Text(controller.index.FindEnded(kId)),
                         controller.index.FindLive(kId) != nullptr,
                         Text(controller.index.StatusAfterRead(kId)));
    }
    for (const auto* reported : {&reported_, &reported_before_query_}) {
      out += "|";
      for (const JobStatus status : *reported) out += std::to_string(static_cast<int>(status));
    }
    if (reported_before_cancellation_)
      out += fmt::format("|{}", reported_before_cancellation_->size());
    out += fmt::format("|{} {}", live_.has_value(), final_ ? final_->first.dump() : "");
    return out;
  }

 private:
  using ReportedStatuses = std::set<JobStatus>;
  struct Controller {
    JobIndex index{"job/", "batch/", {.finals = 10, .cancellations = 10}};
    uint64_t read = 0;
  };
  struct LoggedChange {
    std::string key;
    std::optional<wire::Json> value;
    uint64_t version = 0;
  };

  static std::string Text(std::optional<JobStatus> status) {
    return status ? std::to_string(static_cast<int>(*status)) : "-";
  }
  void Change(const std::string& key, std::optional<wire::Json> value) {
    changes_.push_back({key, value, changes_.size() + 1});
    (key == kKey ? live_ : final_) =
        value ? std::optional(std::pair(*value, changes_.back().version)) : std::nullopt;
  }
  bool Commit(JobStatus end, const std::vector<RecordChange>& records) {
    bool met = guard_ == Guard::kNoFinalCondition || !final_;
    for (const auto& record : records) {
      met = met &&
            (guard_ == Guard::kNoFinalCondition || (live_ ? live_->second : 0) == record.version);
    }
    if (!met) return false;
    // One transaction: both changes are read or neither.
    Change(kKey, std::nullopt);
    Change("final/" + kId, EncodeFinalRecord(end));
    return true;
  }
  void Read(Controller& controller) {
    const LoggedChange& change = changes_[controller.read++];
    if (change.key == kKey) {
      controller.index.OnRecord(change.key, change.value ? &*change.value : nullptr,
                                change.version);
    } else {
      controller.index.OnFinalRecord(kId, *change.value, change.version);
    }
    controller.index.OnLoaded(controller.read);
  }
  bool ReadOne(Controller& controller) {
    if (controller.read >= changes_.size()) return false;
    Read(controller);
    return true;
  }
  void ReadAll(Controller& controller) {
    while (controller.read < changes_.size()) Read(controller);
  }
  JobStatus FinalNow(Controller& controller) {
    return controller.index.StatusFromFinalRecord(kId, final_ ? &final_->first : nullptr,
                                                  final_ ? final_->second : 0, controller.read,
                                                  controller.read);
  }
  // `before`: what users had been told when this query began.
  void Report(JobStatus known, const ReportedStatuses& before) {
    if (known == JobStatus::kMissing) breach_ = "an accepted job is not known";
    if (known == JobStatus::kLive && !before.empty())
      breach_ = "told of its end, and then that it lives";
    if (known == JobStatus::kDone || known == JobStatus::kCancelled) reported_.insert(known);
    if (reported_.size() > 1) breach_ = "two ends are told";
  }

  const Guard guard_;
  std::vector<LoggedChange> changes_;
  std::optional<std::pair<wire::Json, uint64_t>> live_;
  std::optional<std::pair<wire::Json, uint64_t>> final_;
  Controller controllers_[3];
  std::optional<std::vector<RecordChange>> complete_;
  std::vector<RecordChange> cancel_;
  int complete_stage_ = 0;
  int cancel_stage_ = 0;
  int query_stage_ = 0;
  int queries_ = 0;
  int submit_stage_ = 0;
  std::optional<JobStatus> query_status_;
  uint64_t query_read_up_to_ = 0;
  ReportedStatuses reported_;
  ReportedStatuses reported_before_query_;
  std::optional<ReportedStatuses> reported_before_cancellation_;
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
    for (int event = 0; event < static_cast<int>(Event::kEvents); ++event) {
      Model to = from;
      if (!to.Step(static_cast<Event>(event)) || !seen.insert(to.State()).second) continue;
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

TEST(JobEndModelTest, OneEndIsReportedInEveryOrder) {
  const Walked walked = Walk(Guard::kAll);
  EXPECT_TRUE(walked.breaches.empty()) << *walked.breaches.begin();
  EXPECT_GT(walked.states, 1'000u);
  RecordProperty("states", static_cast<int>(walked.states));
}

TEST(JobEndModelTest, TheModelFailsWithoutEachGuard) {
  EXPECT_TRUE(Walk(Guard::kNoFinalCondition).breaches.contains("two ends are told"));
  EXPECT_TRUE(
      Walk(Guard::kLiveWithoutRead).breaches.contains("told of its end, and then that it lives"));
  EXPECT_TRUE(Walk(Guard::kIgnoresOwnCancellation).breaches.contains("told, and live here"));
}

}  // namespace
}  // namespace mosspath::jobs
