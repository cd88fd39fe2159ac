// Makes the ends of jobs durable, and deletes job records in which no job is live any more.
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

  // Writes what the scheduler reports as completed, several jobs to a transaction. A job that can't
  // be written now is given back to the scheduler for a later pass.
  void WriteCompletions();
  // Deletes records without live jobs, as far as the write budget has room. Nobody waits for it.
  void CleanUpRecords();

 private:
  // Jobs that end in one transaction, and the changes of the records that they stand in.
  struct Batch {
    std::vector<std::string> ids;
    std::vector<jobs::RecordChange> records;
  };
  [[nodiscard]] bool Fits(const Batch& batch) const;
  void Commit(const Batch& batch);
  void OnCommitted(const Batch& batch, const kvstore::TransactionResult& result);
  // A write of this version of the record is in flight, or committed and not in our view yet.
  [[nodiscard]] bool IsBeingWritten(const jobs::RecordChange& record) const;
  [[nodiscard]] bool AnyIsBeingWritten(const std::vector<jobs::RecordChange>& records) const;
  void MarkBeingWritten(const std::vector<jobs::RecordChange>& records);
  void ForgetBeingWritten(const std::vector<jobs::RecordChange>& records);

  const LeaderContext context_;
  const std::function<void(const std::string& id)> on_completed_;
  std::map<std::string, uint64_t> replaced_versions_;  // of records being written, by their keys
};

}  // namespace mosspath::service
