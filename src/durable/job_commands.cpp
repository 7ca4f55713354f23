#include "src/durable/job_commands.h"

#include <json/value.h>
#include <json/writer.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <thread>

#include "src/durable/sqlite_store.h"

namespace heronway::durable {
namespace {

using Status = JobTable::Status;

// The contents of a store at this moment, whether or not a process serves from it.
struct StoreSnapshot {
  explicit StoreSnapshot(const std::string& file)
      : store({file, {}, {}, 0}, SqliteStore::Mode::kInspect), table(store.class_rules()) {
    store.Read({[this](Micros at) { table.set_clock_stepped_at(at); },
                [this](const std::string& id, Job job) { return table.Restore(id, std::move(job)); },
                [this](const Record& r) { return table.Apply(r); }});
  }
  const std::string& ClassName(const Job& job) const {
    return store.class_names()[static_cast<std::size_t>(job.job_class)];
  }
  SqliteStore store;
  JobTable table;
};

std::string FormatTime(Micros at) {
  if (at <= 0) return "";
  const std::time_t seconds = at / 1'000'000;
  std::tm t{};
  gmtime_r(&seconds, &t);
  char text[40];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &t);
  char with_millis[64];
  std::snprintf(with_millis, sizeof with_millis, "%s.%03lldZ", text,
                static_cast<long long>(at / 1000 % 1000));
  return with_millis;
}

Json::Value ToJson(const StoreSnapshot& snapshot, const std::string& id, const Job& job, bool with_text) {
  Json::Value out;
  out["id"] = id;
  out["class"] = snapshot.ClassName(job);
  out["state"] = JobTable::StatusName(JobTable::StatusOf(job));
  out["started"] = job.state == JobState::kStarted;
  out["taken"] = FormatTime(job.accepted_at);
  out["last"] = FormatTime(job.updated_at);
  if (job.until > 0) out["until"] = FormatTime(job.until);
  out["leases"] = job.epoch;
  out["failures"] = job.failures;
  out["retries"] = job.retries;
  out["priority"] = job.priority;
  if (job.leased()) out["holder"] = Json::UInt64(job.holder.worker);
  if (!job.lane.empty()) out["lane"] = job.lane;
  if (!job.alias.empty()) out["alias"] = job.alias;
  if (!job.error.empty()) out["why"] = job.error;
  out["may_have_run"] = job.may_have_run_since >= 0;
  if (with_text) out[job.outcome == Outcome::kDone ? "result" : "job"] = job.text;
  return out;
}

std::string Compact(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

// Whether the command is allowed in the job's state, and whether it has taken effect.
bool IsApplicable(const std::string& verb, const Job* job) {
  if (job == nullptr) return false;
  return verb == "retry" ? job->outcome == Outcome::kFailed : !job->leased();
}
bool IsApplied(const std::string& verb, const Job* job) {
  return verb == "retry" ? job != nullptr && job->outcome != Outcome::kFailed : job == nullptr;
}

}  // namespace

int ListJobs(const std::string& file, const ListOptions& options) {
  const StoreSnapshot snapshot(file);
  int rows = 0;
  Json::Value list = Json::arrayValue;
  for (const auto& [id, job] : snapshot.table.jobs()) {
    const char* state = JobTable::StatusName(JobTable::StatusOf(job));
    if (!options.state.empty() && options.state != state) continue;
    if (!options.job_class.empty() && options.job_class != snapshot.ClassName(job)) continue;
    if (!options.lane.empty() && options.lane != job.lane) continue;
    if (++rows > options.max_rows) continue;
    if (options.json) {
      list.append(ToJson(snapshot, id, job, false));
      continue;
    }
    if (rows == 1)
      std::printf("%-32s %-14s %-9s %-24s %7s %s\n", "ID", "CLASS", "STATE", "TAKEN", "LEASES", "WHY");
    std::printf("%-32s %-14s %-9s %-24s %7u %s\n", id.c_str(), snapshot.ClassName(job).c_str(), state,
                FormatTime(job.accepted_at).c_str(), job.epoch, job.error.c_str());
  }
  if (options.json) {
    std::printf("%s\n", Compact(list).c_str());
  } else if (rows > options.max_rows) {
    std::printf("and %d more (--most)\n", rows - options.max_rows);
  }
  if (!options.json) {
    const auto count = [&snapshot](Status s) { return snapshot.table.Count(s); };
    std::printf("%zu waiting, %zu retrying, %zu held, %zu done, %zu failed\n", count(Status::kWaiting),
                count(Status::kRetrying), count(Status::kLeased), count(Status::kDone),
                count(Status::kFailed));
  }
  return 0;
}

int ShowJob(const std::string& file, const std::string& id, bool json) {
  const StoreSnapshot snapshot(file);
  const Job* job = snapshot.table.Find(id);
  if (job == nullptr) {
    std::fprintf(stderr, "heronway: %s: no job %s\n", file.c_str(), id.c_str());
    return 1;
  }
  const Json::Value all = ToJson(snapshot, id, *job, true);
  if (json) {
    std::printf("%s\n", Compact(all).c_str());
    return 0;
  }
  for (const auto& name : all.getMemberNames())
    std::printf("%-14s %s\n", name.c_str(),
                all[name].isString() ? all[name].asString().c_str() : Compact(all[name]).c_str());
  return 0;
}

int RunJobCommand(const std::string& file, const std::string& verb, const std::vector<std::string>& ids) {
  std::vector<std::string> class_names, applicable;
  {
    StoreSnapshot snapshot(file);
    class_names = snapshot.store.class_names();
    const bool served = SqliteStore::IsServed(file);
    for (const auto& id : ids) {
      if (!IsApplicable(verb, snapshot.table.Find(id))) continue;
      applicable.push_back(id);
      if (served) snapshot.store.QueueCommand(verb, id);
    }
  }
  if (!SqliteStore::IsServed(file)) {
    SqliteStore store({file, class_names, std::vector<ClassRules>(class_names.size()), 0},
                      SqliteStore::Mode::kServe);
    JobTable table(store.class_rules());
    store.Read({[&](Micros at) { table.set_clock_stepped_at(at); },
                [&](const std::string& id, Job job) { return table.Restore(id, std::move(job)); },
                [&](const Record& r) { return table.Apply(r); }});
    const Micros now =
        std::max<Micros>(table.last_time(), std::chrono::duration_cast<std::chrono::microseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
    std::vector<Record> records;
    for (const auto& id : applicable) {
      const auto record = verb == "retry" ? table.Requeue(now, id) : table.Discard(now, id);
      if (record && table.Apply(*record)) records.push_back(*record);
    }
    if (!records.empty()) store.Append(records);
  }
  std::size_t done = 0;
  for (int tries = 0;; ++tries) {
    const StoreSnapshot snapshot(file);
    done = 0;
    for (const auto& id : applicable) done += IsApplied(verb, snapshot.table.Find(id)) ? 1 : 0;
    if (done == applicable.size() || tries == 20 || !SqliteStore::IsServed(file)) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::printf("%s: %zu done, %zu not%s\n", verb.c_str(), done, ids.size() - done,
              done == ids.size() ? ""
              : verb == "retry"  ? " (no such job, or it has not failed)"
                                 : " (no such job, or a worker holds it)");
  return done == ids.size() ? 0 : 1;
}

int ExportJobs(const std::string& file) {
  const StoreSnapshot snapshot(file);
  for (const auto& [id, job] : snapshot.table.jobs())
    std::printf("%s\n", Compact(ToJson(snapshot, id, job, true)).c_str());
  return 0;
}

int VerifyStore(const std::string& file) {
  SqliteStore store({file, {}, {}, 0}, SqliteStore::Mode::kInspect);
  const auto errors = store.Verify();
  for (const auto& error : errors) std::printf("%s\n", error.c_str());
  if (errors.empty()) std::printf("%s: no errors found\n", file.c_str());
  return errors.empty() ? 0 : 1;
}

int SnapshotStore(const std::string& file, const std::string& to) {
  SqliteStore store({file, {}, {}, 0}, SqliteStore::Mode::kInspect);
  store.Snapshot(to);
  SqliteStore copy({to, {}, {}, 0}, SqliteStore::Mode::kInspect);
  const auto errors = copy.Verify();
  for (const auto& error : errors) std::printf("%s\n", error.c_str());
  if (errors.empty()) std::printf("%s: a copy of %s, no errors found\n", to.c_str(), file.c_str());
  return errors.empty() ? 0 : 1;
}

}  // namespace heronway::durable
