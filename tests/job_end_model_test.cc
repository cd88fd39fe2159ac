// Exhaustive model check: a search over every order of the events below. The last task of a job has
// ended. The leader's completion races with a cancellation at a second controller, and with queries
// and a repeated submission at a third controller. No other faults occur. The controllers use the
// real JobIndex. The controllers must never report two different final states to users, or
// report that a job has not ended after they have reported its end.
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
  // The leader completes the job.
  kSendCompletion,      // the leader sends the transaction
  kCommitCompletion,    // the key-value store commits or rejects the transaction
  kCompletionAnswered,  // the leader receives the answer
  // The canceller, the second controller, cancels the job.
  kSendCancellation,      // the canceller reads the job's status and sends the transaction
  kCommitCancellation,    // the key-value store commits or rejects the transaction
  kCancellationAnswered,  // the canceller receives the answer and reports it to its user
  // A user queries the job at the third controller.
  kQuery,            // the query arrives
  kQueryReadsLive,   // the controller reads all changes
  kQueryReadsFinal,  // the controller reads the final record
  kQueryAnswered,    // the controller answers the query
  // A user submits the job again at the third controller.
  kResubmit,            // the controller finds the job in its index, or sends the transaction
  kCommitResubmission,  // the key-value store must reject the transaction
  // A controller reads the next change of the key-value store.
  kLeaderReads,
  kCancellerReads,
  kThirdReads,
  kEvents
};

// The guards that the model applies: all of them, or all but one.
enum class Guard {
  kAll,
  kNoFinalCondition,       // transactions that end the job are committed unconditionally
  kLiveWithoutRead,        // a query does not read all changes before it is answered
  kIgnoresOwnCancellation  // the canceller does not apply its own cancellation to its index
};

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

  // Applies the event. Returns false if the event cannot happen in this state.
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
        auto job_status = canceller.index.FindEnded(kId);
        if (!job_status) {
          ReadAll(canceller);
          job_status = canceller.index.StatusAfterRead(kId);
        }
        if (!job_status) job_status = FinalNow(canceller);
        const auto step = canceller.index.PlanCancellation(kId, *job_status, canceller.read);
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
          canceller.index.OnJobCancelled(kId, final_->second, canceller.read);
        }
        Report(JobStatus::kCancelled, *reported_before_cancellation_);
        if (canceller.index.FindLive(kId) != nullptr)
          violation_ = "reported as cancelled, but live at the canceller";
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
        // The submission of a job that the index contains is answered like a query.
        submit_stage_ = third.index.Contains(kId) ? 2 : 1;
        return true;
      case Event::kCommitResubmission:
        if (submit_stage_ != 1) return false;
        if (!live_ && !final_) violation_ = "a repeated submission is accepted";
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

  // Returns the invariant that is violated; empty if none is.
  const std::string& violation() const { return violation_; }
  // Returns a text that identifies the state: everything that affects later steps.
  std::string State() const {
    std::string out = fmt::format("{} {} {} {} {} {} {} {}|", complete_stage_,
                                  complete_.has_value(), cancel_stage_, query_stage_, queries_,
                                  submit_stage_, StatusText(query_status_), query_read_up_to_);
    for (const auto& controller : controllers_) {
      out += fmt::format(" {}{}{}{}", controller.read, StatusText(controller.index.FindEnded(kId)),
                         controller.index.FindLive(kId) != nullptr,
                         StatusText(controller.index.StatusAfterRead(kId)));
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

  static std::string StatusText(std::optional<JobStatus> status) {
    return status ? std::to_string(static_cast<int>(*status)) : "-";
  }
  void Change(const std::string& key, std::optional<wire::Json> value) {
    changes_.push_back({key, value, changes_.size() + 1});
    (key == kKey ? live_ : final_) =
        value ? std::optional(std::pair(*value, changes_.back().version)) : std::nullopt;
  }
  bool Commit(JobStatus end, const std::vector<RecordChange>& records) {
    bool conditions_met = guard_ == Guard::kNoFinalCondition || !final_;
    for (const auto& record : records) {
      conditions_met = conditions_met && (guard_ == Guard::kNoFinalCondition ||
                                          (live_ ? live_->second : 0) == record.version);
    }
    if (!conditions_met) return false;
    // Both changes belong to one transaction: a controller reads both or neither.
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
  // Reports a status to a user. `before`: the final states that had been reported to any user
  // when this user's request began.
  void Report(JobStatus job_status, const ReportedStatuses& before) {
    if (job_status == JobStatus::kMissing) violation_ = "an accepted job is reported as missing";
    if (job_status == JobStatus::kLive && !before.empty())
      violation_ = "reported as ended, then as live";
    if (job_status == JobStatus::kDone || job_status == JobStatus::kCancelled)
      reported_.insert(job_status);
    if (reported_.size() > 1) violation_ = "two final states are reported";
  }

  const Guard guard_;
  std::vector<LoggedChange> changes_;
  // The records in the key-value store, with their versions.
  std::optional<std::pair<wire::Json, uint64_t>> live_;
  std::optional<std::pair<wire::Json, uint64_t>> final_;
  Controller controllers_[3];
  std::optional<std::vector<RecordChange>> complete_;
  std::vector<RecordChange> cancel_;
  int complete_stage_ = 0;  // 1: sent, 2: committed, 3: rejected
  int cancel_stage_ = 0;    // 1: sent, 2: committed, 3: rejected, 4: reported to the user
  int query_stage_ = 0;     // 1: reads the changes, 2: reads the final record, 3: has the status
  int queries_ = 0;
  int submit_stage_ = 0;  // 1: sent, 2: answered
  std::optional<JobStatus> query_status_;
  uint64_t query_read_up_to_ = 0;
  ReportedStatuses reported_;
  ReportedStatuses reported_before_query_;
  std::optional<ReportedStatuses> reported_before_cancellation_;
  std::string violation_;
};

struct SearchResult {
  size_t states = 0;
  std::set<std::string> violations;
};

SearchResult Search(Guard guard) {
  SearchResult out;
  std::set<std::string> seen;
  std::vector<Model> open{Model(guard)};
  while (!open.empty()) {
    const Model from = std::move(open.back());
    open.pop_back();
    for (int event = 0; event < static_cast<int>(Event::kEvents); ++event) {
      Model to = from;
      if (!to.Step(static_cast<Event>(event)) || !seen.insert(to.State()).second) continue;
      ++out.states;
      if (!to.violation().empty()) {
        out.violations.insert(to.violation());
        continue;
      }
      open.push_back(std::move(to));
    }
  }
  return out;
}

TEST(JobEndModelTest, OneEndIsReportedInEveryOrder) {
  const SearchResult result = Search(Guard::kAll);
  EXPECT_TRUE(result.violations.empty()) << *result.violations.begin();
  EXPECT_GT(result.states, 1'000u);
  RecordProperty("states", static_cast<int>(result.states));
}

TEST(JobEndModelTest, TheModelFailsWithoutEachGuard) {
  EXPECT_TRUE(
      Search(Guard::kNoFinalCondition).violations.contains("two final states are reported"));
  EXPECT_TRUE(
      Search(Guard::kLiveWithoutRead).violations.contains("reported as ended, then as live"));
  EXPECT_TRUE(Search(Guard::kIgnoresOwnCancellation)
                  .violations.contains("reported as cancelled, but live at the canceller"));
}

}  // namespace
}  // namespace mosspath::jobs
