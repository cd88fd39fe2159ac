// The live jobs, and the records of the key-value store that contain them. Does no I/O: the records
// that were read are the input; accepted and ended jobs and the records to write are the output.
//
// A record contains one job (the older form) or a batch of jobs that were accepted together, so
// that a burst of submissions takes a few changes instead of one per job:
//     {"jobs":[{"spec":{...},"at":wall seconds},...],"over":["req-000001",...],"born":revision}
// `over` lists the jobs of this record that have ended. Two controllers may accept the same job at
// the same time, each in its own record; then both records contain the job. Invariants:
//   - a job is live if a record contains it in `jobs` and no record lists it in `over`;
//   - the acceptance of a job is conditional on the job having no final record, and so is its end.
//     The transaction that ends the job also moves the job to `over` in each record that contains
//     the job and that the controller has read. Because of the condition, no record can be created
//     for the job after its end, and a controller that has read everything up to the end has read
//     all records that will ever contain the job;
//   - a controller removes a job from `over` of a record only after it has read everything up to
//     that record's version, and only if no record contains the job in `jobs` any more.
// Thus a controller that loads the records finds no ended job live, whenever it loads them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mosspath/wire/json.h"

namespace mosspath::jobs {

struct AcceptedJob {
  wire::JobSpec spec;
  // The store revision of the job's acceptance; the earliest if several records contain the job.
  uint64_t version = 0;
  // Seconds since the Unix epoch, by the clock of the controller that accepted it.
  double submitted_wall_s = 0;
};

// A change of one record, conditional on the record still having this version.
struct RecordChange {
  std::string key;
  uint64_t version = 0;
  std::optional<wire::Json> value;  // none: the record is deleted
};

class JobRecords {
 public:
  // Records under the key prefix `single_prefix` contain one job, whose id is the rest of the key.
  // Records under `batch_prefix` contain batches.
  JobRecords(std::string single_prefix, std::string batch_prefix)
      : single_prefix_(std::move(single_prefix)), batch_prefix_(std::move(batch_prefix)) {}

  bool OwnsKey(const std::string& key) const {
    return key.starts_with(single_prefix_) || key.starts_with(batch_prefix_);
  }
  void Clear();
  struct Change {
    std::vector<std::string> accepted;
    std::vector<std::string> ended;
  };
  // Applies a record as read from the key-value store; null: the record was deleted. Throws if the
  // record is malformed, and then changes nothing.
  Change OnRecord(const std::string& key, const wire::Json* value, uint64_t version);

  const AcceptedJob* Find(const std::string& id) const;
  const std::unordered_map<std::string, AcceptedJob>& live() const { return live_; }
  // Returns the version of the record; 0 if there is no such record.
  uint64_t VersionOf(const std::string& key) const;
  // Returns the record changes that end these jobs. Omits jobs that are not live, and jobs of which
  // not all records may have been read yet. This controller has read everything up to `revision`.
  std::vector<RecordChange> PlanEnd(const std::vector<std::string>& ids, uint64_t revision) const;
  // Returns at most `max_changes` changes that delete records without jobs to keep, and that update
  // records which contain ended jobs.
  std::vector<RecordChange> PlanCleanup(uint64_t revision, size_t max_changes) const;

  // Encode an accepted job, and the record of a batch of accepted jobs.
  static wire::Json EncodeEntry(const wire::JobSpec& spec, double at_wall_s);
  static wire::Json EncodeBatch(std::vector<wire::Json> entries);

 private:
  struct Record {
    uint64_t version = 0;
    uint64_t created_at_revision = 0;
    std::vector<std::string> jobs;
    std::vector<std::string> ended;
  };
  struct RecordKeys {
    std::vector<std::string> containing;  // records that contain the job in `jobs`
    std::vector<std::string> ended_in;    // records that list the job in `over`
  };
  Record Parse(const std::string& key, const wire::Json& value, uint64_t version,
               std::vector<AcceptedJob>& accepted) const;
  // Whether `id` may be removed from `over` of the record.
  bool MayForget(const Record& record, const std::string& id, uint64_t revision) const;
  // Encodes the record with the jobs in `ended` moved to `over`.
  wire::Json Encode(const Record& record, const std::vector<std::string>& ended,
                    uint64_t revision) const;

  const std::string single_prefix_;
  const std::string batch_prefix_;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, RecordKeys> record_keys_by_job_;
  std::unordered_map<std::string, AcceptedJob> live_;
};

}  // namespace mosspath::jobs
