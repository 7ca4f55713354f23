// End-to-end tests of replicated job stores with three processes: a scheduler lost with its disk, one left
// with a minority of its replicas, takeover, and a scheduler that returns.
#include "e2e_harness.h"

namespace {
using namespace e2e;

const std::string kFaktory = "{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"password\":\"\"}";

// Polls the condition; false if it does not hold within `seconds`.
bool WaitUntil(const std::function<bool()>& holds, double seconds = 15) {
  for (const double until = Now() + seconds; Now() < until; Pause(0.05)) {
    if (holds()) return true;
  }
  return false;
}

// Makes the disk of replicas slow, for the programs that start after Preload().
class SlowDisk {
 public:
  SlowDisk() : file_("/tmp/heronway-slow-disk-" + std::to_string(getpid())) {}
  ~SlowDisk() { std::filesystem::remove(file_); }
  SlowDisk(const SlowDisk&) = delete;
  void Preload() const {
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    setenv("SLOW_DISK_FILE", file_.c_str(), 1);
    setenv("SLOW_DISK_OF", "copies.db", 1);
    setenv("LD_PRELOAD", HERONWAY_SLOW_DISK, 1);
  }
  // From now on each sync takes `ms` longer.
  void SlowDown(int ms) const { std::ofstream(file_) << ms; }

 private:
  std::string file_;
};

// Three schedulers s0 to s2 in one fleet, each with its own folder for its stores.
class ThreeSchedulers {
 public:
  // `targets`: route table entries of all three, as in e2e::Site. `last_disk`: s2's; null: not slow.
  explicit ThreeSchedulers(int takeover_ms = 0, const std::string& targets = "",
                           const SlowDisk* last_disk = nullptr)
      : takeover_ms_(takeover_ms), targets_(targets) {
    char name[] = "/tmp/heronway-copies-XXXXXX";
    assert(mkdtemp(name) != nullptr);
    folder_ = name;
    host_ = "127." + std::to_string(2 + getpid() % 90) + "." + std::to_string(1 + getpid() / 90 % 250);
    for (int i = 0; i < 3; ++i) {
      std::filesystem::create_directories(Disk(i));
      if (i == 2 && last_disk != nullptr) last_disk->Preload();
      programs_.push_back(std::make_unique<Program>(ConfigJson(), kFaktory, Options(i)));
    }
    unsetenv("LD_PRELOAD");
    for (int i = 0; i < 3; ++i)
      assert(WaitUntil([&] { return Voters(i, Group(i)) == 3; }) &&
             "each job store has three voting replicas");
  }
  ~ThreeSchedulers() {
    programs_.clear();
    std::filesystem::remove_all(folder_);
  }
  std::string Disk(int i) const { return folder_ + "/disk" + std::to_string(i); }
  Program& operator[](int i) { return *programs_[static_cast<std::size_t>(i)]; }
  std::string Copies(int i) {
    return Conn::Connect((*this)[i].console_address)
        .RequestHttp("GET /v1/copies HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
  }
  // Name of the replication group of scheduler i's front, as scheduler `at` reports it (default: i itself).
  std::string Group(int i, int at = -1, const std::string& front = "faktory") {
    const std::string all = Copies(at < 0 ? i : at),
                      mine = "\"group\":\"s" + std::to_string(i) + "/" + front + "/";
    const auto n = all.find(mine);
    return n == all.npos ? "" : all.substr(n + 9, all.find('"', n + 9) - n - 9);
  }
  // True if scheduler `at` runs the group's jobs.
  bool Holds(int at, const std::string& group) {
    const std::string all = Copies(at);
    const auto n = all.find("\"group\":\"" + group + "\"");
    return n != all.npos && all.compare(all.find("\"held\":", n), 11, "\"held\":true") == 0;
  }
  // Waits until one of the other two schedulers has taken over scheduler 0's jobs, and returns its index.
  int Successor(const std::string& group) {
    int index = 0;
    assert(WaitUntil([&] { return Holds(index = 1, group) || Holds(index = 2, group); }) &&
           "no other scheduler took over");
    return index;
  }
  // Kills scheduler i and erases its stores.
  void KillWithDisk(int i) {
    (*this)[i].Kill();
    std::filesystem::remove_all(Disk(i));
    std::filesystem::create_directories(Disk(i));
  }
  // Number of the group's voting members, as scheduler `at` reports it.
  int Voters(int at, const std::string& group) {
    const std::string all = Copies(at);
    const auto n = all.find("\"group\":\"" + group + "\"");
    if (group.empty() || n == all.npos) return 0;
    int voters = 0;
    const auto begin = all.find("\"servers\":[", n), end = all.find(']', begin);
    for (auto v = all.find("\"votes\":true", begin); v < end; v = all.find("\"votes\":true", v + 1)) ++voters;
    return voters;
  }

 private:
  std::string ConfigJson() const {
    Config config;
    config.console = "127.0.0.1:0";
    config.targets = targets_;
    return config.Json();
  }
  std::string Options(int i) const {
    const auto at = [&](int n, const char* port) { return host_ + "." + std::to_string(n + 1) + ":" + port; };
    return "{\"log\":{\"connections\":false},\"durable\":{\"enabled\":true,\"folder\":\"" + Disk(i) +
           "\"},\"cluster\":{\"enabled\":true,\"fleet\":\"c\",\"period_ms\":100,\"name\":\"s" +
           std::to_string(i) + "\",\"listen\":\"" + at(i, "7946") + "\",\"join\":[\"" + at(0, "7946") +
           "\",\"" + at(1, "7946") + "\"],\"copies\":3,\"copies_listen\":\"" + at(i, "7947") +
           "\",\"takeover_ms\":" + std::to_string(takeover_ms_) + "}}";
  }
  int takeover_ms_;
  std::string targets_, folder_, host_;
  std::vector<std::unique_ptr<Program>> programs_;
};

// Connects and sends HELLO. With a wid, the connection is a worker's.
Conn ConnectFaktory(Program& p, const std::string& wid = "") {
  Conn c = Conn::Connect(p.faktory_address);
  c.ReadLine();
  assert(c.Command("HELLO {\"v\":2" + (wid.empty() ? "" : ",\"wid\":\"" + wid + "\"") + "}") == "+OK\r\n");
  return c;
}
std::string PushCommand(const std::string& jid) {
  return "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"once\",\"args\":[1]}";
}
std::string Jid(int n) { return "job-" + std::to_string(10'000 + n); }
// Sends FETCH and returns the job; empty if there is none.
std::string Fetch(Conn& worker) {
  worker.Send("FETCH default\r\n");
  const std::string size = worker.ReadLine();
  return size == "$-1\r\n" ? "" : worker.ReadLine();
}
// Fetches and acknowledges jobs until there are none; returns how often each one was delivered.
std::map<std::string, int> FetchAll(Conn& worker) {
  std::map<std::string, int> deliveries;
  for (std::string job = Fetch(worker); !job.empty(); job = Fetch(worker)) {
    const auto at = job.find("\"jid\":\"") + 7;
    const std::string jid = job.substr(at, job.find('"', at) - at);
    ++deliveries[jid];
    assert(worker.Command("ACK {\"jid\":\"" + jid + "\"}") == "+OK\r\n");
  }
  return deliveries;
}
// Runs the `copies` tool, which must succeed, and returns its output.
std::string RunCopiesTool(const std::string& arguments) {
  FILE* out = popen((std::string(HERONWAY_PROGRAM) + " copies " + arguments + " 2>&1").c_str(), "r");
  assert(out != nullptr);
  std::string text;
  char bytes[4096];
  for (std::size_t n; (n = fread(bytes, 1, sizeof bytes, out)) > 0;) text.append(bytes, n);
  assert(pclose(out) == 0);
  return text;
}
// Term and index of the last entry of a group's replica in a folder.
std::pair<long, long> LastEntry(const std::string& folder, const std::string& group) {
  const std::string all = RunCopiesTool("show " + folder);
  const auto n = all.find(group);
  if (n == all.npos) return {0, 0};
  std::pair<long, long> last;
  assert(std::sscanf(all.c_str() + n + group.size(), "%ld %ld", &last.first, &last.second) == 2);
  return last;
}

// Scheduler 0 acknowledges forty jobs, one is completed and one is running, and then it is killed and its
// disk erased.
void LoseAfterFortyJobs(ThreeSchedulers& schedulers) {
  {
    Conn client = ConnectFaktory(schedulers[0]);
    for (int n = 0; n < 40; ++n) assert(client.Command(PushCommand(Jid(n))) == "+OK\r\n");
    Conn worker = ConnectFaktory(schedulers[0], "w0");
    const std::string done = Fetch(worker), runs = Fetch(worker);
    assert(Contains(done, Jid(0)) && Contains(runs, Jid(1)));
    assert(worker.Command("ACK {\"jid\":\"" + Jid(0) + "\"}") == "+OK\r\n");
  }
  schedulers.KillWithDisk(0);
}

// After the scheduler and its disk are lost, a restore from a replica brings back every acknowledged job,
// once.
void RestoreAfterLostDisk() {
  ThreeSchedulers schedulers;
  const std::string group = schedulers.Group(0);
  LoseAfterFortyJobs(schedulers);
  const int from = LastEntry(schedulers.Disk(1), group) < LastEntry(schedulers.Disk(2), group) ? 2 : 1;
  assert(Contains(RunCopiesTool("restore " + schedulers.Disk(from) + " " + group + " " + schedulers.Disk(0) +
                                "/faktory.db"),
                  "is lost"));
  schedulers[0].Start();
  Conn client = ConnectFaktory(schedulers[0]), worker = ConnectFaktory(schedulers[0], "w1");
  const std::map<std::string, int> deliveries = FetchAll(worker);
  assert(deliveries.size() == 38 && "all but the completed job and the one that may be running");
  for (const auto& [jid, times] : deliveries) assert(times == 1 && jid != Jid(0) && jid != Jid(1));
  assert(client.Command(PushCommand(Jid(0))) == "+OK\r\n" && Fetch(worker).empty() &&
         "a known job is acknowledged and not stored again");
  assert(schedulers.Group(0) != group &&
         WaitUntil([&] { return schedulers.Voters(0, schedulers.Group(0)) == 3; }) &&
         "the restored store is replicated in a new group");
}

// With one replica of three left no new job is acknowledged; with two it is again. A job that was not
// acknowledged may be stored or not, but never twice.
void MinorityOfReplicas() {
  ThreeSchedulers schedulers;
  Conn client = ConnectFaktory(schedulers[0]);
  assert(client.Command(PushCommand(Jid(0))) == "+OK\r\n");
  schedulers[1].Kill();
  schedulers[2].Kill();
  const double asked = Now();
  const std::string answer = client.Command(PushCommand(Jid(1)));
  assert(Contains(answer, "-ERR") && Now() - asked < 4 &&
         "the client gets an error in time, as the job is not known to be stored");
  assert(WaitUntil([&] { return Contains(client.Command(PushCommand(Jid(2))), "-ERR"); }));
  schedulers[1].Start();
  Conn again = ConnectFaktory(schedulers[0]);
  assert(WaitUntil([&] { return again.Command(PushCommand(Jid(1))) == "+OK\r\n"; }) &&
         "a majority of the replicas is available again");
  Conn worker = ConnectFaktory(schedulers[0], "w0");
  const std::map<std::string, int> deliveries = FetchAll(worker);
  assert(deliveries.at(Jid(0)) == 1 && deliveries.at(Jid(1)) == 1);
  for (const auto& [jid, times] : deliveries) assert(times == 1);
}

// A scheduler killed and restarted on its own disk leads its group again, also after another one led it
// meanwhile.
void RestartOnOwnDisk() {
  ThreeSchedulers schedulers;
  const std::string group = schedulers.Group(0);
  for (int round = 0; round < 3; ++round) {
    {
      Conn client = ConnectFaktory(schedulers[0]);
      for (int n = 0; n < 10; ++n) assert(client.Command(PushCommand(Jid(10 * round + n))) == "+OK\r\n");
    }
    schedulers[0].Kill();
    if (round == 2) Pause(3);  // long enough for another scheduler to lead the group
    schedulers[0].Start();
    assert(schedulers.Group(0) == group);
  }
  Conn worker = ConnectFaktory(schedulers[0], "w0");
  assert(FetchAll(worker).size() == 30);
}

// A scheduler is lost with its disk and no operator acts: another takes over and runs each acknowledged job
// once. The ACK of a worker that was running a job counts there, whichever scheduler it reaches.
void Takeover() {
  ThreeSchedulers schedulers(300);
  const std::string group = schedulers.Group(0);
  LoseAfterFortyJobs(schedulers);
  const int successor = schedulers.Successor(group);
  // The worker sends its ACK to the scheduler that does not hold the job, which forwards it to the one that
  // does.
  Conn third = ConnectFaktory(schedulers[3 - successor], "w0"),
       same = ConnectFaktory(schedulers[successor], "w0"), client = ConnectFaktory(schedulers[successor]);
  assert(third.Command("ACK {\"jid\":\"" + Jid(1) + "\"}") == "+OK\r\n");
  const std::string metrics =
      Conn::Connect(schedulers[successor].console_address)
          .RequestHttp("GET /v1/metrics HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
  assert(Contains(metrics, "copies.words_taken=1") && "the forwarded ACK is stored by the new leader");
  const std::map<std::string, int> deliveries = FetchAll(same);
  assert(deliveries.size() == 38 && "all but the completed job and the one that was running");
  for (const auto& [jid, times] : deliveries) assert(times == 1 && jid != Jid(0) && jid != Jid(1));
  for (int n = 0; n < 40; ++n) assert(client.Command(PushCommand(Jid(n))) == "+OK\r\n");
  assert(Fetch(same).empty() && "all are known there, the running one as completed by the forwarded ACK");
  schedulers[0].Start();
  Conn restarted = ConnectFaktory(schedulers[0]);
  assert(restarted.Command(PushCommand(Jid(50))) == "+OK\r\n" && schedulers.Group(0) != group);
}

// A scheduler is killed, loses its disk and restarts before another has taken over: its jobs still run, and a
// client that pushes one again gets it acknowledged as known and not stored a second time.
void RestartBeforeTakeover() {
  ThreeSchedulers schedulers(300);
  const std::string group = schedulers.Group(0);
  LoseAfterFortyJobs(schedulers);
  schedulers[0].Start();
  Conn client = ConnectFaktory(schedulers[0]);
  for (int n = 0; n < 40; ++n)
    assert(WaitUntil([&] { return client.Command(PushCommand(Jid(n))) == "+OK\r\n"; }) &&
           "acknowledged once the scheduler can look the job up");
  const int successor = schedulers.Successor(group);
  Conn here = ConnectFaktory(schedulers[0], "w1"), other = ConnectFaktory(schedulers[successor], "w0");
  assert(Fetch(here).empty() && "a known job was stored again by the restarted scheduler");
  std::map<std::string, int> deliveries;
  const auto fetch = [&] {  // a job that was leased at the kill is delivered when that lease expires
    for (const auto& [jid, times] : FetchAll(other)) deliveries[jid] += times;
    return deliveries.size() >= 38;
  };
  assert(WaitUntil(fetch, 20) && deliveries.size() == 38 &&
         "all but the completed job and the one that may be running");
  for (const auto& [jid, times] : deliveries) assert(times == 1);
}

// The same over HTTP: a client that retries with its key at the scheduler that lost its disk gets the result
// from the scheduler that took over, and the worker gets no second hop.
void HttpRetryAfterTakeover() {
  Listener worker;
  ThreeSchedulers schedulers(300, Target("w0", worker.address));
  const std::string group = schedulers.Group(0, -1, "http");
  const auto ask = [](const std::string& id) {
    return "POST /save HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
           "\r\nReq-Deadline-Ms: 3000\r\nIdempotency-Key: k1\r\nContent-Length: 2\r\n\r\nin";
  };
  {
    Conn client = Conn::Connect(schedulers[0].address);
    client.Send(ask("aa01"));
    Conn attempt = worker.Accept();
    assert(Contains(attempt.ReadHttp(), "Req-Id: aa01"));
    attempt.Send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    schedulers.KillWithDisk(0);
  }
  schedulers[0].Start();
  const int successor = schedulers.Successor(group);
  assert(Contains(Conn::Connect(schedulers[0].address).RequestHttp(ask("aa02")), " 503 ") &&
         "the job is still running");
  const std::string done = "{\"id\":\"aa01\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"made\"}";
  assert(Contains(Conn::Connect(schedulers[successor].address)
                      .RequestHttp("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                                   std::to_string(done.size()) + "\r\n\r\n" + done),
                  " 200 "));
  const std::string answer = Conn::Connect(schedulers[0].address).RequestHttp(ask("aa03"));
  assert(Contains(answer, " 200 ") && Contains(answer, "\r\n\r\nmade"));
  assert(!worker.HasConnection(0.5) && "the worker got a second hop");
}

// Workers that accept connections and do not respond must not block hops to other workers for lack of
// descriptors: with all features enabled, a quarter of all descriptors is available for hops while the other
// parts do not use their share.
void HungWorkers() {
  constexpr int kWorkers = 70, kQuarter = 64;
  Listener workers[kWorkers];
  std::string targets;
  for (int n = 0; n < kWorkers; ++n)
    targets += (n > 0 ? "," : "") + Target("w" + std::to_string(n), workers[n].address);
  ThreeSchedulers schedulers(300, targets);
  std::vector<Conn> clients, attempts;
  for (int n = 0; n < kWorkers; ++n) {
    clients.push_back(Conn::Connect(schedulers[0].address));
    clients.back().Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: e" + std::to_string(n) +
                        "\r\nReq-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nin");
  }
  for (const double until = Now() + 0.7; Now() < until;) {
    for (Listener& worker : workers) {
      if (worker.HasConnection(0)) attempts.push_back(worker.Accept());
    }
  }
  assert(attempts.size() >= kQuarter && "hops can use a quarter of the descriptors");
}

// A scheduler restarts on its own disk after another has taken over: it gets back the jobs that are not
// completed.
void JobsReturnedAfterTakeover() {
  ThreeSchedulers schedulers(300);
  const std::string group = schedulers.Group(0);
  {
    Conn client = ConnectFaktory(schedulers[0]);
    for (int n = 0; n < 20; ++n) assert(client.Command(PushCommand(Jid(n))) == "+OK\r\n");
  }
  std::map<std::string, int> deliveries;
  for (int round = 0; round < 2; ++round) {
    schedulers[0].Kill();
    const int successor = schedulers.Successor(group);
    Conn other = ConnectFaktory(schedulers[successor], "w" + std::to_string(successor));
    for (int n = 0; n < 5; ++n) {
      const std::string job = Fetch(other);
      const auto at = job.find("\"jid\":\"") + 7;
      const std::string jid = job.substr(at, job.find('"', at) - at);
      ++deliveries[jid];
      assert(other.Command("ACK {\"jid\":\"" + jid + "\"}") == "+OK\r\n");
    }
    schedulers[0].Start();
    assert(schedulers.Group(0) == group && schedulers.Holds(0, group) && !schedulers.Holds(successor, group));
    assert(Fetch(other).empty() && "the former leader still delivered a job");
  }
  Conn worker = ConnectFaktory(schedulers[0], "w0");
  for (const auto& [jid, times] : FetchAll(worker)) deliveries[jid] += times;
  assert(deliveries.size() == 20);
  for (const auto& [jid, times] : deliveries) assert(times == 1);
}

// A scheduler is suspended for longer than an election takes, with waiting jobs, a pending FETCH and an
// unanswered PUSH. After it resumes it must not deliver a job that another scheduler has run meanwhile.
void SuspendedScheduler() {
  ThreeSchedulers schedulers(300);
  const std::string group = schedulers.Group(0);
  Conn client = ConnectFaktory(schedulers[0]), late = ConnectFaktory(schedulers[0]),
       worker = ConnectFaktory(schedulers[0], "w0");
  for (int n = 0; n < 20; ++n) assert(client.Command(PushCommand(Jid(n))) == "+OK\r\n");
  schedulers[0].Signal(SIGSTOP);
  late.Send(PushCommand(Jid(30)) + "\r\n");
  worker.Send("FETCH default\r\n");
  const int successor = schedulers.Successor(group);
  Conn other = ConnectFaktory(schedulers[successor], "w1");
  // Jobs that were leased to w0 when the scheduler was suspended are delivered only when those leases expire.
  const std::map<std::string, int> deliveries = FetchAll(other);
  assert(deliveries.size() >= 15);
  schedulers[0].Signal(SIGCONT);
  const std::string got = worker.ReadLine();
  assert((got == "$-1\r\n" || Contains(got, "$")) &&
         "the FETCH gets no job, or one that this scheduler still holds");
  if (got != "$-1\r\n") assert(!deliveries.contains(worker.ReadLine().substr(8, 9)));
  assert(WaitUntil([&] { return schedulers.Holds(0, group); }) && "the scheduler leads its group again");
  const std::string answer = late.ReadLine();
  assert((answer == "+OK\r\n" || Contains(answer, "-ERR")) && "the pending PUSH gets a reply");
  Conn again = ConnectFaktory(schedulers[0]), more = ConnectFaktory(schedulers[0], "w2");
  for (int n = 0; n < 20; ++n) assert(again.Command(PushCommand(Jid(n))) == "+OK\r\n" && "the job is known");
  assert(again.Command(PushCommand(Jid(31))) == "+OK\r\n");
  const std::map<std::string, int> rest = FetchAll(more);
  assert(rest.contains(Jid(31)));
  for (const auto& [jid, times] : rest) assert(times == 1 && !deliveries.contains(jid));
}

// One of the two replicas that are left has a disk that takes over two seconds for a write: votes take longer
// than an election, and the successor's claim longer than two seconds. Both are waited for.
void TakeoverWithSlowDisk() {
  constexpr int kSyncMs = 2'200;
  const SlowDisk disk;
  ThreeSchedulers schedulers(300, "", &disk);
  const std::string group = schedulers.Group(0);
  {
    Conn client = ConnectFaktory(schedulers[0]);
    for (int n = 0; n < 10; ++n) assert(client.Command(PushCommand(Jid(n))) == "+OK\r\n");
  }
  disk.SlowDown(kSyncMs);
  schedulers[0].Kill();
  assert(WaitUntil([&] { return schedulers.Holds(1, group) || schedulers.Holds(2, group); }, 60) &&
         "no other scheduler took over");
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::RunTest(argc, argv,
                      {{"lost_disk", RestoreAfterLostDisk},
                       {"minority", MinorityOfReplicas},
                       {"restart", RestartOnOwnDisk},
                       {"takeover", Takeover},
                       {"back_at_once", RestartBeforeTakeover},
                       {"same_key", HttpRetryAfterTakeover},
                       {"egress", HungWorkers},
                       {"given_back", JobsReturnedAfterTakeover},
                       {"asleep", SuspendedScheduler},
                       {"slow_disk", TakeoverWithSlowDisk}});
}
