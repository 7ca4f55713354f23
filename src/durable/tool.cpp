#include "src/durable/tool.h"

#include <json/value.h>
#include <json/writer.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <thread>

#include "src/durable/sqlite_store.h"

namespace heronway::durable {
namespace {

using Place = JobBook::Place;

// A store as it stands now, whoever serves from it.
struct Look {
  explicit Look(const std::string& file)
      : store({file, {}, {}, 0}, SqliteStore::Use::kLook), book(store.classes()) {
    store.Read({[this](Micros at) { book.set_clock_broke(at); },
                [this](const std::string& id, Job job) { return book.Restore(id, std::move(job)); },
                [this](const Record& r) { return book.Apply(r); }});
  }
  const std::string& ClassOf(const Job& job) const {
    return store.names()[static_cast<std::size_t>(job.job_class)];
  }
  SqliteStore store;
  JobBook book;
};

std::string Time(Micros at) {
  if (at <= 0) return "";
  const std::time_t seconds = at / 1'000'000;
  std::tm t{};
  gmtime_r(&seconds, &t);
  char text[40];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &t);
  char whole[64];
  std::snprintf(whole, sizeof whole, "%s.%03lldZ", text, static_cast<long long>(at / 1000 % 1000));
  return whole;
}

Json::Value ToJson(const Look& look, const std::string& id, const Job& job, bool with_text) {
  Json::Value out;
  out["id"] = id;
  out["class"] = look.ClassOf(job);
  out["state"] = JobBook::NameOf(JobBook::PlaceOf(job));
  out["started"] = job.state == State::kStarted;
  out["taken"] = Time(job.taken);
  out["last"] = Time(job.last);
  if (job.until > 0) out["until"] = Time(job.until);
  out["leases"] = job.epoch;
  out["failures"] = job.failures;
  out["retries"] = job.retries;
  out["priority"] = job.priority;
  if (job.held()) out["holder"] = Json::UInt64(job.holder.worker);
  if (!job.lane.empty()) out["lane"] = job.lane;
  if (!job.alias.empty()) out["alias"] = job.alias;
  if (!job.why.empty()) out["why"] = job.why;
  out["may_have_run"] = job.may_have_run_since >= 0;
  if (with_text) out[job.answer == Answer::kDone ? "result" : "job"] = job.text;
  return out;
}

std::string Compact(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

// Whether an order means anything for a job as it stands, and whether it has been taken.
bool Fits(const std::string& verb, const Job* job) {
  if (job == nullptr) return false;
  return verb == "retry" ? job->answer == Answer::kFailed : !job->held();
}
bool Taken(const std::string& verb, const Job* job) {
  return verb == "retry" ? job != nullptr && job->answer != Answer::kFailed : job == nullptr;
}

}  // namespace

int ListJobs(const std::string& file, const ListOptions& options) {
  const Look look(file);
  int rows = 0;
  Json::Value list = Json::arrayValue;
  for (const auto& [id, job] : look.book.jobs()) {
    const char* state = JobBook::NameOf(JobBook::PlaceOf(job));
    if (!options.state.empty() && options.state != state) continue;
    if (!options.job_class.empty() && options.job_class != look.ClassOf(job)) continue;
    if (!options.lane.empty() && options.lane != job.lane) continue;
    if (++rows > options.most) continue;
    if (options.json) {
      list.append(ToJson(look, id, job, false));
      continue;
    }
    if (rows == 1)
      std::printf("%-32s %-14s %-9s %-24s %7s %s\n", "ID", "CLASS", "STATE", "TAKEN", "LEASES", "WHY");
    std::printf("%-32s %-14s %-9s %-24s %7u %s\n", id.c_str(), look.ClassOf(job).c_str(), state,
                Time(job.taken).c_str(), job.epoch, job.why.c_str());
  }
  if (options.json) {
    std::printf("%s\n", Compact(list).c_str());
  } else if (rows > options.most) {
    std::printf("and %d more (--most)\n", rows - options.most);
  }
  if (!options.json) {
    const auto count = [&look](Place p) { return look.book.Count(p); };
    std::printf("%zu waiting, %zu retrying, %zu held, %zu done, %zu failed\n", count(Place::kWaiting),
                count(Place::kRetrying), count(Place::kHeld), count(Place::kDone), count(Place::kFailed));
  }
  return 0;
}

int ShowJob(const std::string& file, const std::string& id, bool json) {
  const Look look(file);
  const Job* job = look.book.Find(id);
  if (job == nullptr) {
    std::fprintf(stderr, "heronway: %s: no job %s\n", file.c_str(), id.c_str());
    return 1;
  }
  const Json::Value all = ToJson(look, id, *job, true);
  if (json) {
    std::printf("%s\n", Compact(all).c_str());
    return 0;
  }
  for (const auto& name : all.getMemberNames())
    std::printf("%-14s %s\n", name.c_str(),
                all[name].isString() ? all[name].asString().c_str() : Compact(all[name]).c_str());
  return 0;
}

int OrderJobs(const std::string& file, const std::string& verb, const std::vector<std::string>& ids) {
  std::vector<std::string> names, fit;
  {
    Look look(file);
    names = look.store.names();
    const bool served = SqliteStore::Served(file);
    for (const auto& id : ids) {
      if (!Fits(verb, look.book.Find(id))) continue;
      fit.push_back(id);
      if (served) look.store.LeaveOrder(verb, id);
    }
  }
  if (!SqliteStore::Served(file)) {
    SqliteStore store({file, names, std::vector<ClassRules>(names.size()), 0}, SqliteStore::Use::kServe);
    JobBook book(store.classes());
    store.Read({[&](Micros at) { book.set_clock_broke(at); },
                [&](const std::string& id, Job job) { return book.Restore(id, std::move(job)); },
                [&](const Record& r) { return book.Apply(r); }});
    const Micros now =
        std::max<Micros>(book.newest(), std::chrono::duration_cast<std::chrono::microseconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count());
    std::vector<Record> records;
    for (const auto& id : fit) {
      const auto record = verb == "retry" ? book.Revive(now, id) : book.Discard(now, id);
      if (record && book.Apply(*record)) records.push_back(*record);
    }
    if (!records.empty()) store.Append(records);
  }
  std::size_t done = 0;
  for (int tries = 0;; ++tries) {
    const Look look(file);
    done = 0;
    for (const auto& id : fit) done += Taken(verb, look.book.Find(id)) ? 1 : 0;
    if (done == fit.size() || tries == 20 || !SqliteStore::Served(file)) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::printf("%s: %zu done, %zu not%s\n", verb.c_str(), done, ids.size() - done,
              done == ids.size() ? ""
              : verb == "retry"  ? " (no such job, or it has not failed)"
                                 : " (no such job, or a worker has it)");
  return done == ids.size() ? 0 : 1;
}

int ExportJobs(const std::string& file) {
  const Look look(file);
  for (const auto& [id, job] : look.book.jobs())
    std::printf("%s\n", Compact(ToJson(look, id, job, true)).c_str());
  return 0;
}

int VerifyStore(const std::string& file) {
  SqliteStore store({file, {}, {}, 0}, SqliteStore::Use::kLook);
  const auto faults = store.Verify();
  for (const auto& fault : faults) std::printf("%s\n", fault.c_str());
  if (faults.empty()) std::printf("%s: nothing is wrong\n", file.c_str());
  return faults.empty() ? 0 : 1;
}

int SnapshotStore(const std::string& file, const std::string& to) {
  SqliteStore store({file, {}, {}, 0}, SqliteStore::Use::kLook);
  store.Snapshot(to);
  SqliteStore copy({to, {}, {}, 0}, SqliteStore::Use::kLook);
  const auto faults = copy.Verify();
  for (const auto& fault : faults) std::printf("%s\n", fault.c_str());
  if (faults.empty())
    std::printf("%s: a copy of %s, and nothing is wrong with it\n", to.c_str(), file.c_str());
  return faults.empty() ? 0 : 1;
}

}  // namespace heronway::durable
