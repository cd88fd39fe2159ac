// Writes the final records of completed jobs, and deletes job records without live jobs. Part of
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

  // Writes the jobs that the scheduler reports as completed, several in a transaction. A job that
  // can't be written now is returned to the scheduler for a later pass.
  void WriteCompletions();
  // Deletes records without live jobs while the write budget allows. Has low priority: no request
  // depends on it.
  void CleanUpRecords();

 private:
  // Jobs that end in one transaction, and the changes of the records that contain them.
  struct Batch {
    std::vector<std::string> ids;
    std::vector<jobs::RecordChange> records;
  };
  [[nodiscard]] bool Fits(const Batch& batch) const;
  void Commit(const Batch& batch);
  void OnCommitted(const Batch& batch, const kvstore::TransactionResult& result);
  // Returns whether a write that replaces this version of the record is in flight, or has committed
  // and is not in this controller's view yet.
  [[nodiscard]] bool IsBeingWritten(const jobs::RecordChange& record) const;
  [[nodiscard]] bool AnyIsBeingWritten(const std::vector<jobs::RecordChange>& records) const;
  void MarkBeingWritten(const std::vector<jobs::RecordChange>& records);
  void ForgetBeingWritten(const std::vector<jobs::RecordChange>& records);

  const LeaderContext context_;
  const std::function<void(const std::string& id)> on_completed_;
  std::map<std::string, uint64_t> replaced_versions_;  // of records being written, by record key
};

}  // namespace mosspath::service
