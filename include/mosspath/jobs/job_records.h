// Which jobs are live, and in which records of the state service each stands. Pure: records as they
// are seen come in; jobs that came and ended, and records to write, come out.
//
// A record holds one job (the older form) or several that were accepted together, so that a burst
// of submissions costs a few changes instead of one each:
//     {"jobs":[{"spec":{...},"at":wall seconds},...],"over":["req-000001",...],"born":revision}
// `over` names jobs of this record that have ended. Two controllers may accept the same job at the
// same time, each in a record of its own; every record is then a home of it. Invariants:
//   - a job is live if it has a home and no record says that it is over;
//   - acceptance is conditional on the job having no final record, and so is its end, which also
//     names it as over in every home that is known. So no home can come up after the end, and
//     whoever has seen all that was written until the end knows all homes there will ever be;
//   - `over` is forgotten only by who has seen that much and knows no home of it any more.
// Therefore a controller that loads the records at any moment finds no job live that is not.
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
  // The revision of its acceptance; the earliest, if there were several.
  uint64_t version = 0;
  double submitted_wall_s = 0;  // seconds since the epoch, by the clock of who accepted it
};

// A change of one record, on condition that it still has this version.
struct RecordChange {
  std::string key;
  uint64_t version = 0;
  std::optional<wire::Json> value;  // none: delete
};

class JobRecords {
 public:
  // Keys under `single` hold one job, named by the rest of the key; those under `shared` several.
  JobRecords(std::string single, std::string shared)
      : single_prefix_(std::move(single)), batch_prefix_(std::move(shared)) {}

  bool OwnsKey(const std::string& key) const {
    return key.starts_with(single_prefix_) || key.starts_with(batch_prefix_);
  }
  void Clear();
  struct Change {
    std::vector<std::string> accepted;
    std::vector<std::string> ended;
  };
  // A record as the state service has it now; none: it is gone. Throws if it can't be understood,
  // and then nothing is changed.
  Change OnRecord(const std::string& key, const wire::Json* value, uint64_t version);

  const AcceptedJob* Find(const std::string& id) const;
  const std::unordered_map<std::string, AcceptedJob>& live() const { return live_; }
  // 0: there is no such record.
  uint64_t VersionOf(const std::string& key) const;
  // The records that must change for these jobs to be over; none for jobs that are not live, or not
  // seen well enough yet. `revision`: all that was written until then has been seen.
  std::vector<RecordChange> PlanEnd(const std::vector<std::string>& ids, uint64_t revision) const;
  // Records that nothing live is left in, and homes of jobs that are over: at most so many.
  std::vector<RecordChange> PlanCleanup(uint64_t revision, size_t most) const;

  // What is written for jobs that are accepted together.
  static wire::Json EncodeEntry(const wire::JobSpec& spec, double at_wall_s);
  static wire::Json EncodeBatch(std::vector<wire::Json> entries);

 private:
  struct Record {
    uint64_t version = 0;
    uint64_t created_at_revision = 0;
    std::vector<std::string> jobs;
    std::vector<std::string> ended;
  };
  struct JobHomes {
    std::vector<std::string> records;
    std::vector<std::string> ended_in;
  };
  Record Parse(const std::string& key, const wire::Json& value, uint64_t version,
               std::vector<AcceptedJob>& accepted) const;
  bool MayForget(const Record& r, const std::string& id, uint64_t revision) const;
  wire::Json Render(const Record& r, const std::vector<std::string>& ended,
                    uint64_t revision) const;

  const std::string single_prefix_;
  const std::string batch_prefix_;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, JobHomes> homes_;
  std::unordered_map<std::string, AcceptedJob> live_;
};

}  // namespace mosspath::jobs
