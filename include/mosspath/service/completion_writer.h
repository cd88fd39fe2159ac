// Writes the final records of completed jobs, and removes ended jobs from the job records. Part of
// the leader's duties; not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mosspath/jobs/job_records.h"
#include "mosspath/kvstore/client.h"
#include "mosspath/service/leader_context.h"

namespace mosspath::service {

class CompletionWriter {
 public:
  // `on_completed` is called with the id of each job whose completion has become durable.
  CompletionWriter(const LeaderContext& context,
                   std::function<void(const std::string& id)> on_completed);

  // Writes the final records of the jobs that the scheduler reports as completed, several in one
  // transaction. If a job's final record can't be written now, the scheduler reports the job again
  // in a later pass.
  void WriteCompletions();
  // Deletes job records that contain nothing to keep, and removes ended jobs from the other
  // records. Does nothing while the write rate limit would delay the write: no request waits for
  // the clean-up, so a later call can do it.
  void CleanUpRecords();

 private:
  // Jobs that end in one transaction, and the changes of the job records that contain these jobs.
  struct Batch {
    std::vector<std::string> ids;
    std::vector<jobs::RecordChange> records;
  };
  [[nodiscard]] bool Fits(const Batch& batch) const;
  void Commit(const Batch& batch);
  void OnCommitted(const Batch& batch, const kvstore::TransactionResult& result);
  // Returns whether a write that replaces this version of the record is in flight, or has committed
  // but has not yet been read by the watch cache.
  [[nodiscard]] bool IsBeingWritten(const jobs::RecordChange& record) const;
  [[nodiscard]] bool AnyIsBeingWritten(const std::vector<jobs::RecordChange>& records) const;
  void MarkBeingWritten(const std::vector<jobs::RecordChange>& records);
  void ForgetBeingWritten(const std::vector<jobs::RecordChange>& records);

  const LeaderContext context_;
  const std::function<void(const std::string& id)> on_completed_;
  // By record key, for the records that are being written: the version that the write replaces.
  std::map<std::string, uint64_t> replaced_versions_;
};

}  // namespace mosspath::service
