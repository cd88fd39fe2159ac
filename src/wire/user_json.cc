// JSON encoding of the responses to users.
#include "mosspath/wire/json.h"
#include "wire/field_names.h"

namespace mosspath::wire {

const char* JobStateName(JobState state) { return NameOf(state, kJobStates); }

Json JobAnswer(const std::string& id, JobState state) {
  return Json{{field::kId, id}, {field::kState, JobStateName(state)}};
}

Json JobAnswer(const std::string& id, JobState state, uint32_t done_tasks, uint32_t running_tasks) {
  return Json{{field::kId, id},
              {field::kState, JobStateName(state)},
              {field::kDoneTasks, done_tasks},
              {field::kRunningTasks, running_tasks}};
}

Json ErrorAnswer(const std::string& what) { return Json{{field::kError, what}}; }

}  // namespace mosspath::wire
