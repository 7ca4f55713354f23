// Crash test of durable jobs: clients push jobs, simulated workers in processes of their own run what they
// fetch, and the scheduler and the workers are killed at random moments, alone and together. The workers
// write their deliveries and reports to a file that outlives them. At the end it is checked against these
// invariants:
//
//  - every acknowledged job is in the store with exactly one final result, and no job is done that no worker
//    ran;
//  - an at-most-once job was delivered at most once;
//  - a keyed job was delivered again only before its key expired and in the zone of the first delivery, where
//    workers drop the retry.
//
// --kills and --per-s bound the run; a time limit ends it if something hangs.
#include <fcntl.h>
#include <json/reader.h>
#include <json/value.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <filesystem>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "e2e_harness.h"

namespace {

using e2e::Now;
using Random = std::mt19937;

constexpr double kKeyTtlSeconds = 20;  // of the site's keyed classes
const char* const kClasses[] = {"preview", "save", "once"};

int Uniform(Random& random, int max) { return std::uniform_int_distribution<int>(0, max)(random); }

// A connection that may break at any moment. Each call returns whether it succeeded.
class Link {
 public:
  ~Link() { Close(); }
  bool Open(int port) {
    Close();
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0) return true;
    Close();
    return false;
  }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
    in_.clear();
  }
  bool open() const { return fd_ >= 0; }
  bool Send(const std::string& line) {
    const std::string text = line + "\r\n";
    return fd_ >= 0 && send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  bool Line(std::string& out, double seconds = 10) {
    const double until = Now() + seconds;
    for (;;) {
      if (const auto n = in_.find("\r\n"); n != in_.npos) {
        out = in_.substr(0, n);
        in_.erase(0, n + 2);
        return true;
      }
      char buffer[65536];
      if (fd_ < 0 || !e2e::Readable(fd_, until - Now())) return false;
      const ssize_t got = recv(fd_, buffer, sizeof buffer, 0);
      if (got <= 0) return false;
      in_.append(buffer, static_cast<std::size_t>(got));
    }
  }
  bool Ask(const std::string& line, std::string& reply) { return Send(line) && Line(reply); }
  bool Hello(int port, const std::string& wid, const std::string& zone) {
    std::string line;
    return Open(port) && Line(line) &&
           Ask("HELLO {\"v\":2" +
                   (wid.empty() ? "" : ",\"wid\":\"" + wid + "\",\"labels\":[\"" + zone + "\"]") + "}",
               line) &&
           line == "+OK";
  }

 private:
  int fd_ = -1;
  std::string in_;
};

// Appends one line atomically. It is kept whichever process is killed.
void AppendLine(int ledger, const std::string& line) {
  const std::string text = line + "\n";
  if (write(ledger, text.data(), text.size()) != static_cast<ssize_t>(text.size())) _exit(3);
}

// The main loop of a simulated worker process, which ends when it is killed.
[[noreturn]] void RunWorker(int port, const std::string& wid, const std::string& zone, int ledger,
                            unsigned seed) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Random random(seed);
  Link link;
  std::string unacked, line;  // `unacked`: a report that was not acknowledged yet
  for (;;) {
    if (!link.open() && !link.Hello(port, wid, zone)) {
      link.Close();
      e2e::Pause(0.005);
      continue;
    }
    if (!unacked.empty()) {
      if (!link.Ask(unacked, line)) {
        link.Close();
        continue;
      }
      if (line == "+OK") unacked.clear();
      continue;
    }
    if (!link.Send("FETCH default") || !link.Line(line)) {
      link.Close();
      continue;
    }
    if (line == "$-1") continue;
    if (line[0] != '$' || !link.Line(line)) {
      link.Close();
      continue;
    }
    const auto at = line.find("\"jid\":\"") + 7;
    const std::string jid = line.substr(at, line.find('"', at) - at);
    std::ostringstream seen;
    seen.precision(17);
    seen << "D " << jid << ' ' << wid << ' ' << zone << ' ' << Now();
    AppendLine(ledger, seen.str());
    // Most jobs are short; some stall for longer than the interval between two signs of life.
    e2e::Pause(Uniform(random, 19) == 0 ? 0.24 : Uniform(random, 15) * 0.001);
    const bool fails = Uniform(random, 19) == 0;
    AppendLine(ledger, (fails ? "F " : "A ") + jid);
    unacked = (fails ? "FAIL" : "ACK") + std::string(" {\"jid\":\"" + jid + "\"}");
  }
}

struct Options {
  int kills = 20, per_s = 150, workers = 4;
  unsigned seed = 1;
  bool limits = false;
};

class CrashTest {
 public:
  explicit CrashTest(const Options& options) : o_(options), random_(options.seed) {
    char name[] = "/tmp/heronway-torture-XXXXXX";
    if (mkdtemp(name) == nullptr) throw std::runtime_error("cannot create a temporary folder");
    folder_ = name;
    port_ = FreePort();
    std::ofstream(folder_ + "/config.json") << e2e::Config().Json();
    std::ofstream(folder_ + "/faktory.json")
        << "{\"enabled\":true,\"listen\":\"127.0.0.1:" << port_ << "\",\"password\":\"\"}";
    std::ofstream(folder_ + "/options.json")
        << "{\"log\":{\"connections\":false},\"limits\":{\"enabled\":" << (o_.limits ? "true" : "false")
        << "},\"durable\":{\"enabled\":true,\"folder\":\"" << folder_
        << "\",\"lease_ms\":1000,\"grace_ms\":400}}";
    ledger_ = open((folder_ + "/ledger").c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  }
  ~CrashTest() {
    Kill(scheduler_);
    for (pid_t& worker : workers_) Kill(worker);
    close(ledger_);
    std::filesystem::remove_all(folder_);
  }

  int Run() {
    StartScheduler();
    workers_.resize(static_cast<std::size_t>(o_.workers), -1);
    for (int i = 0; i < o_.workers; ++i) StartWorker(i);
    std::vector<std::thread> clients;
    for (int i = 0; i < 3; ++i) clients.emplace_back([this, i] { Push(i); });
    const double began = Now();
    for (int kills = 0; kills < o_.kills;) {
      e2e::Pause(0.02 + Uniform(random_, 250) * 0.001);
      const int what = Uniform(random_, 99);
      const int worker = Uniform(random_, o_.workers - 1);
      if (what < 60) {
        Kill(scheduler_);
        ++scheduler_kills_;
        ++kills;
      }
      if (what >= 45) {  // alone, or shortly after the scheduler
        Kill(workers_[static_cast<std::size_t>(worker)]);
        ++worker_kills_;
        ++kills;
      }
      if (Uniform(random_, 1) == 0) e2e::Pause(Uniform(random_, 60) * 0.001);
      if (what >= 45) StartWorker(worker);
      if (what < 60) StartScheduler();
    }
    stop_ = true;
    for (auto& client : clients) client.join();
    const bool drained = WaitUntilDrained();
    const double took = Now() - began;
    kill(scheduler_, SIGTERM);
    int status = -1;
    waitpid(scheduler_, &status, 0);
    scheduler_ = -1;
    const int violations = CheckInvariants(drained, WIFEXITED(status) && WEXITSTATUS(status) == 0);
    std::printf("seed %u: %d kills of the scheduler, %d of workers in %.1f s; %zu jobs acknowledged\n",
                o_.seed, scheduler_kills_, worker_kills_, took, acknowledged_.size());
    std::printf("  done %d, failed %d; deliveries %d, of those again %d; rules broken %d\n", done_, failed_,
                deliveries_, redeliveries_, violations);
    return violations == 0 ? 0 : 1;
  }

 private:
  static int FreePort() {
    e2e::Listener peer;
    return std::stoi(peer.address.substr(peer.address.find(':') + 1));
  }
  void Kill(pid_t& pid) {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = -1;
  }
  void StartScheduler() {
    scheduler_ = fork();
    if (scheduler_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 2);
    dup2(log, 1);
    execl(HERONWAY_PROGRAM, "heronway", "serve", "--config", (folder_ + "/config.json").c_str(), "--faktory",
          (folder_ + "/faktory.json").c_str(), "--options", (folder_ + "/options.json").c_str(), nullptr);
    _exit(127);
  }
  void StartWorker(int i) {
    const unsigned seed = static_cast<unsigned>(random_());
    const pid_t pid = fork();
    if (pid == 0) RunWorker(port_, "w" + std::to_string(i), i % 2 == 0 ? "a" : "b", ledger_, seed);
    workers_[static_cast<std::size_t>(i)] = pid;
  }

  // Pushes one job after another; each is retried with the same jid until it is acknowledged.
  void Push(int client) {
    Random random(o_.seed * 31 + static_cast<unsigned>(client));
    Link link;
    std::string line;
    for (int n = 0; !stop_; ++n) {
      const std::string jid = "torture-" + std::to_string(client) + "-" + std::to_string(n);
      const int job_class = Uniform(random, 2);
      const std::string push = "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"" + kClasses[job_class] +
                               "\",\"args\":[],\"retry\":0}";
      bool acknowledged = false;
      while (!acknowledged && !stop_) {
        if (!link.open() && !link.Hello(port_, "", "")) {
          link.Close();
          e2e::Pause(0.005);
          continue;
        }
        if (!link.Ask(push, line)) {
          link.Close();
          continue;
        }
        acknowledged = line == "+OK";
        if (!acknowledged) e2e::Pause(0.05);
      }
      if (acknowledged) {
        const std::lock_guard lock(mutex_);
        acknowledged_[jid] = job_class;
      }
      e2e::Pause(3.0 / o_.per_s);
    }
  }

  // Waits until no job is unfinished, for at most a minute.
  bool WaitUntilDrained() {
    const double until = Now() + 60;
    Link link;
    std::string line;
    while (Now() < until) {
      if (!link.open() && !link.Hello(port_, "", "")) {
        link.Close();
        e2e::Pause(0.02);
        continue;
      }
      if (!link.Ask("INFO", line) || !link.Line(line)) {
        link.Close();
        continue;
      }
      Json::Value info;
      std::istringstream(line) >> info;
      const auto& f = info["faktory"];
      if (f["total_enqueued"].asInt() + f["tasks"]["Busy"]["size"].asInt() +
              f["tasks"]["Retries"]["size"].asInt() ==
          0)
        return true;
      e2e::Pause(0.05);
    }
    return false;
  }

  struct Deliveries {
    int deliveries = 0, done = 0, failed = 0;
    double first = 0;
    std::string zone;
    bool outside = false;  // a retry was delivered where workers would not drop it
  };

  int CheckInvariants(bool drained, bool clean_exit) {
    int violations = 0;
    const auto fail = [&violations](const std::string& what) {
      ++violations;
      std::printf("  BROKEN %s\n", what.c_str());
    };
    if (acknowledged_.empty()) fail("no job was acknowledged");
    if (!drained) fail("jobs are unfinished after a minute");
    if (!clean_exit) fail("the scheduler did not exit with status 0 on SIGTERM");
    std::map<std::string, Deliveries> seen;
    std::ifstream ledger(folder_ + "/ledger");
    for (std::string line; std::getline(ledger, line);) {
      std::istringstream in(line);
      std::string what, jid, wid, zone;
      double at = 0;
      in >> what >> jid;
      Deliveries& s = seen[jid];
      if (what == "A") ++s.done;
      if (what == "F") ++s.failed;
      if (what != "D") continue;
      in >> wid >> zone >> at;
      ++deliveries_;
      if (s.deliveries++ == 0) {
        s.first = at;
        s.zone = zone;
      } else {
        ++redeliveries_;
        s.outside = s.outside || zone != s.zone || at - s.first >= kKeyTtlSeconds;
      }
    }
    std::map<std::string, Json::Value> stored;
    FILE* out =
        popen((std::string(HERONWAY_PROGRAM) + " jobs export " + folder_ + "/faktory.db").c_str(), "r");
    char* row = nullptr;
    std::size_t size = 0;
    while (getline(&row, &size, out) > 0) {
      Json::Value job;
      std::istringstream(row) >> job;
      if (!stored.emplace(job["id"].asString(), job).second)
        fail(job["id"].asString() + " is in the store twice");
    }
    free(row);
    if (pclose(out) != 0) fail("the store cannot be exported");
    if (std::system(
            (std::string(HERONWAY_PROGRAM) + " jobs verify " + folder_ + "/faktory.db >/dev/null").c_str()) !=
        0)
      fail("jobs verify found errors in the store");
    for (const auto& [jid, job_class] : acknowledged_) {
      const auto job = stored.find(jid);
      if (job == stored.end()) {
        fail(jid + " was acknowledged but is not in the store");
        continue;
      }
      const std::string state = job->second["state"].asString();
      const Deliveries& s = seen[jid];
      done_ += state == "done" ? 1 : 0;
      failed_ += state == "failed" ? 1 : 0;
      if (state != "done" && state != "failed") fail(jid + " has no final result: " + state);
      if (state == "done" && s.done == 0) fail(jid + " is done, but no worker ran it");
      if (job_class == 2 && s.deliveries > 1) fail(jid + " is at-most-once, but was delivered twice");
      if (job_class == 1 && s.outside) fail(jid + " was delivered again where workers do not drop the retry");
      if (job_class == 0 && state == "failed" && s.failed == 0)
        fail(jid + " is idempotent, but failed without a FAIL");
    }
    if (violations > 0 && std::getenv("TORTURE_KEEP") != nullptr)
      std::filesystem::copy(folder_, std::getenv("TORTURE_KEEP"), std::filesystem::copy_options::recursive);
    return violations;
  }

  Options o_;
  Random random_;
  std::string folder_;
  int port_ = 0, ledger_ = -1;
  pid_t scheduler_ = -1;
  std::vector<pid_t> workers_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::map<std::string, int> acknowledged_;
  int scheduler_kills_ = 0, worker_kills_ = 0, done_ = 0, failed_ = 0, deliveries_ = 0, redeliveries_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Kills the scheduler and its workers at random moments and checks the results of the jobs"};
  Options options;
  app.add_option("--kills", options.kills, "Number of kills of the scheduler and of workers, together");
  app.add_option("--per-s", options.per_s, "Approximate jobs per second");
  app.add_option("--workers", options.workers, "Number of simulated workers, a process each");
  app.add_flag("--limits", options.limits, "Enable the limits against retry storms");
  app.add_option("--seed", options.seed, "");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  return CrashTest(options).Run();
}
