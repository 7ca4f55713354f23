// The subcommands of `heronway jobs`: read a store of durable jobs and queue commands for the process that
// serves from it.
#ifndef HERONWAY_DURABLE_JOB_COMMANDS_H_
#define HERONWAY_DURABLE_JOB_COMMANDS_H_

#include <string>
#include <vector>

namespace heronway::durable {

struct ListOptions {
  std::string state;      // a name of JobTable::Status; empty: all
  std::string job_class;  // by name; empty: all
  std::string lane;
  int max_rows = 1000;  // rows
  bool json = false;
};

// Each prints to standard output and returns the exit status: 0 on success; 1 if a job does not exist or does
// not allow the command, or if a fault was found. Throws StoreError if the store cannot be used at all.
int ListJobs(const std::string& file, const ListOptions& options);
int ShowJob(const std::string& file, const std::string& id, bool json);
// Applies `verb` ("retry" or "discard") to the jobs. If a process serves from the store, the command is
// queued for it; it polls four times a second. Waits up to two seconds for the result and prints it.
int RunJobCommand(const std::string& file, const std::string& verb, const std::vector<std::string>& ids);
// Prints one JSON object per line, with the payload or the result.
int ExportJobs(const std::string& file);
int VerifyStore(const std::string& file);
int SnapshotStore(const std::string& file, const std::string& to);

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_COMMANDS_H_
