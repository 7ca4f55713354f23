// `heronway jobs`: looks into a store of durable jobs and leaves words for the program that serves from it.
#ifndef HERONWAY_DURABLE_JOB_COMMANDS_H_
#define HERONWAY_DURABLE_JOB_COMMANDS_H_

#include <string>
#include <vector>

namespace heronway::durable {

struct ListOptions {
  std::string state;      // waiting, retrying, held, done, failed; empty: all
  std::string job_class;  // by name; empty: all
  std::string lane;
  int max_rows = 1000;  // rows
  bool json = false;
};

// Each prints on standard output and gives the exit status: 0 done; 1 nothing of that kind, or a fault found.
// Throws StoreError where the store can't be used at all.
int ListJobs(const std::string& file, const ListOptions& options);
int ShowJob(const std::string& file, const std::string& id, bool json);
// Takes effect at once, or, where a program serves from the store, when that has taken the order (it looks
// four times a second). Waits for that up to two seconds and says what came of it.
int RunJobCommand(const std::string& file, const std::string& verb, const std::vector<std::string>& ids);
// A JSON object a line, with the job as it was taken.
int ExportJobs(const std::string& file);
int VerifyStore(const std::string& file);
int SnapshotStore(const std::string& file, const std::string& to);

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_COMMANDS_H_
