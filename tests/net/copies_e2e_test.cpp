// End-to-end tests of replicated job stores with three processes: a scheduler lost with its disk, one left
// with a minority of its replicas, takeover, and a scheduler that returns.
#include "e2e_harness.h"

namespace {
using namespace e2e;

const std::string kFaktory = "{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"password\":\"\"}";

bool Until(const std::function<bool()>& holds, double seconds = 15) {
  for (const double until = Now() + seconds; Now() < until; Pause(0.05)) {
    if (holds()) return true;
  }
  return false;
}

// Three schedulers s0 to s2 in one fleet, each with its own folder for its stores.
class Trio {
 public:
  // `targets`: route table entries of all three, as in e2e::Site.
  explicit Trio(int takeover_ms = 0, const std::string& targets = "")
      : takeover_ms_(takeover_ms), targets_(targets) {
    char name[] = "/tmp/heronway-copies-XXXXXX";
    assert(mkdtemp(name) != nullptr);
    folder_ = name;
    host_ = "127." + std::to_string(2 + getpid() % 90) + "." + std::to_string(1 + getpid() / 90 % 250);
    for (int i = 0; i < 3; ++i) {
      std::filesystem::create_directories(Disk(i));
      programs_.push_back(std::make_unique<Program>(Config(), kFaktory, Options(i)));
    }
    for (int i = 0; i < 3; ++i)
      assert(Until([&] { return Voters(i, Group(i)) == 3; }) && "each job store has three voting replicas");
  }
  ~Trio() {
    programs_.clear();
    std::filesystem::remove_all(folder_);
  }
  std::string Disk(int i) const { return folder_ + "/disk" + std::to_string(i); }
  Program& operator[](int i) { return *programs_[static_cast<std::size_t>(i)]; }
  std::string Copies(int i) {
    return Conn::To((*this)[i].console_at)
        .Ask("GET /v1/copies HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
  }
  // Name of the replication group of scheduler i's front, as scheduler `at` reports it (default: i itself).
  std::string Group(int i, int at = -1, const std::string& front = "faktory") {
    const std::string all = Copies(at < 0 ? i : at),
                      mine = "\"group\":\"s" + std::to_string(i) + "/" + front + "/";
    const auto n = all.find(mine);
    return n == all.npos ? "" : all.substr(n + 9, all.find('"', n + 9) - n - 9);
  }
  bool Holds(int at, const std::string& group) {
    const std::string all = Copies(at);
    const auto n = all.find("\"group\":\"" + group + "\"");
    return n != all.npos && all.compare(all.find("\"held\":", n), 11, "\"held\":true") == 0;
  }
  // Waits until one of the other two schedulers has taken over scheduler 0's jobs, and returns its index.
  int Successor(const std::string& group) {
    int who = 0;
    assert(Until([&] { return Holds(who = 1, group) || Holds(who = 2, group); }) &&
           "no other scheduler took over");
    return who;
  }
  void KillWithDisk(int i) {
    (*this)[i].Kill();
    std::filesystem::remove_all(Disk(i));
    std::filesystem::create_directories(Disk(i));
  }
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
  std::string Config() const {
    Site site;
    site.console = "127.0.0.1:0";
    site.targets = targets_;
    return site.Json();
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

Conn Hello(Program& p, const std::string& wid = "") {
  Conn c = Conn::To(p.faktory_at);
  c.Line();
  assert(c.Say("HELLO {\"v\":2" + (wid.empty() ? "" : ",\"wid\":\"" + wid + "\"") + "}") == "+OK\r\n");
  return c;
}
std::string Push(const std::string& jid) {
  return "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"once\",\"args\":[1]}";
}
std::string Jid(int n) { return "job-" + std::to_string(10'000 + n); }
std::string Fetch(Conn& worker) {
  worker.Send("FETCH default\r\n");
  const std::string size = worker.Line();
  return size == "$-1\r\n" ? "" : worker.Line();
}
// Fetches and acknowledges jobs until there are none; returns how often each one was delivered.
std::map<std::string, int> FetchAll(Conn& worker) {
  std::map<std::string, int> seen;
  for (std::string job = Fetch(worker); !job.empty(); job = Fetch(worker)) {
    const auto at = job.find("\"jid\":\"") + 7;
    const std::string jid = job.substr(at, job.find('"', at) - at);
    ++seen[jid];
    assert(worker.Say("ACK {\"jid\":\"" + jid + "\"}") == "+OK\r\n");
  }
  return seen;
}
std::string Run(const std::string& arguments) {
  FILE* out = popen((std::string(HERONWAY_PROGRAM) + " copies " + arguments + " 2>&1").c_str(), "r");
  assert(out != nullptr);
  std::string text;
  char bytes[4096];
  for (std::size_t n; (n = fread(bytes, 1, sizeof bytes, out)) > 0;) text.append(bytes, n);
  assert(pclose(out) == 0);
  return text;
}
// Term and index of the last entry of a group's replica in a folder.
std::pair<long, long> LastOf(const std::string& folder, const std::string& group) {
  const std::string all = Run("show " + folder);
  const auto n = all.find(group);
  if (n == all.npos) return {0, 0};
  std::pair<long, long> last;
  assert(std::sscanf(all.c_str() + n + group.size(), "%ld %ld", &last.first, &last.second) == 2);
  return last;
}

// Scheduler 0 acknowledges forty jobs, one is completed and one is running, and then it is killed and its
// disk erased.
void LoseAfterForty(Trio& trio) {
  {
    Conn client = Hello(trio[0]);
    for (int n = 0; n < 40; ++n) assert(client.Say(Push(Jid(n))) == "+OK\r\n");
    Conn worker = Hello(trio[0], "w0");
    const std::string done = Fetch(worker), runs = Fetch(worker);
    assert(Has(done, Jid(0)) && Has(runs, Jid(1)));
    assert(worker.Say("ACK {\"jid\":\"" + Jid(0) + "\"}") == "+OK\r\n");
  }
  trio.KillWithDisk(0);
}

// After the scheduler and its disk are lost, a restore from a replica brings back every acknowledged job,
// once.
void LostDisk() {
  Trio trio;
  const std::string group = trio.Group(0);
  LoseAfterForty(trio);
  const int from = LastOf(trio.Disk(1), group) < LastOf(trio.Disk(2), group) ? 2 : 1;
  assert(
      Has(Run("restore " + trio.Disk(from) + " " + group + " " + trio.Disk(0) + "/faktory.db"), "is lost"));
  trio[0].Start();
  Conn client = Hello(trio[0]), worker = Hello(trio[0], "w1");
  const std::map<std::string, int> seen = FetchAll(worker);
  assert(seen.size() == 38 && "all but the completed job and the one that may be running");
  for (const auto& [jid, times] : seen) assert(times == 1 && jid != Jid(0) && jid != Jid(1));
  assert(client.Say(Push(Jid(0))) == "+OK\r\n" && Fetch(worker).empty() &&
         "a known job is acknowledged and not stored again");
  assert(trio.Group(0) != group && Until([&] { return trio.Voters(0, trio.Group(0)) == 3; }) &&
         "the restored store is replicated in a new group");
}

// With one replica of three left no new job is acknowledged; with two it is again. A job that was not
// acknowledged may be stored or not, but never twice.
void Minority() {
  Trio trio;
  Conn client = Hello(trio[0]);
  assert(client.Say(Push(Jid(0))) == "+OK\r\n");
  trio[1].Kill();
  trio[2].Kill();
  const double asked = Now();
  const std::string answer = client.Say(Push(Jid(1)));
  assert(Has(answer, "-ERR") && Now() - asked < 4 &&
         "the client gets an error in time, as the job is not known to be stored");
  assert(Until([&] { return Has(client.Say(Push(Jid(2))), "-ERR"); }));
  trio[1].Start();
  Conn again = Hello(trio[0]);
  assert(Until([&] { return again.Say(Push(Jid(1))) == "+OK\r\n"; }) &&
         "a majority of the replicas is available again");
  Conn worker = Hello(trio[0], "w0");
  const std::map<std::string, int> seen = FetchAll(worker);
  assert(seen.at(Jid(0)) == 1 && seen.at(Jid(1)) == 1);
  for (const auto& [jid, times] : seen) assert(times == 1);
}

// A scheduler killed and restarted on its own disk leads its group again, also after another one led it
// meanwhile.
void Restart() {
  Trio trio;
  const std::string group = trio.Group(0);
  for (int round = 0; round < 3; ++round) {
    {
      Conn client = Hello(trio[0]);
      for (int n = 0; n < 10; ++n) assert(client.Say(Push(Jid(10 * round + n))) == "+OK\r\n");
    }
    trio[0].Kill();
    if (round == 2) Pause(3);  // long enough for another scheduler to lead the group
    trio[0].Start();
    assert(trio.Group(0) == group);
  }
  Conn worker = Hello(trio[0], "w0");
  assert(FetchAll(worker).size() == 30);
}

// A scheduler is lost with its disk and no operator acts: another takes over and runs each acknowledged job
// once. The ACK of a worker that was running a job counts there, whichever scheduler it reaches.
void Takeover() {
  Trio trio(300);
  const std::string group = trio.Group(0);
  LoseAfterForty(trio);
  const int now = trio.Successor(group);
  // The worker sends its ACK to the scheduler that does not hold the job, which forwards it to the one that
  // does.
  Conn third = Hello(trio[3 - now], "w0"), same = Hello(trio[now], "w0"), client = Hello(trio[now]);
  assert(third.Say("ACK {\"jid\":\"" + Jid(1) + "\"}") == "+OK\r\n");
  const std::string figures =
      Conn::To(trio[now].console_at).Ask("GET /v1/metrics HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
  assert(Has(figures, "copies.words_taken=1") && "the forwarded ACK is stored by the new leader");
  const std::map<std::string, int> seen = FetchAll(same);
  assert(seen.size() == 38 && "all but the completed job and the one that was running");
  for (const auto& [jid, times] : seen) assert(times == 1 && jid != Jid(0) && jid != Jid(1));
  for (int n = 0; n < 40; ++n) assert(client.Say(Push(Jid(n))) == "+OK\r\n");
  assert(Fetch(same).empty() && "all are known there, the running one as completed by the forwarded ACK");
  trio[0].Start();
  Conn anew = Hello(trio[0]);
  assert(anew.Say(Push(Jid(50))) == "+OK\r\n" && trio.Group(0) != group);
}

// A scheduler is killed, loses its disk and restarts before another has taken over: its jobs still run, and a
// client that pushes one again gets it acknowledged as known and not stored a second time.
void BackAtOnce() {
  Trio trio(300);
  const std::string group = trio.Group(0);
  LoseAfterForty(trio);
  trio[0].Start();
  Conn client = Hello(trio[0]);
  for (int n = 0; n < 40; ++n)
    assert(Until([&] { return client.Say(Push(Jid(n))) == "+OK\r\n"; }) &&
           "acknowledged once the scheduler can look the job up");
  const int now = trio.Successor(group);
  Conn here = Hello(trio[0], "w1"), other = Hello(trio[now], "w0");
  assert(Fetch(here).empty() && "a known job was stored again by the restarted scheduler");
  std::map<std::string, int> seen;
  const auto fetch = [&] {  // a job that was leased at the kill is delivered when that lease expires
    for (const auto& [jid, times] : FetchAll(other)) seen[jid] += times;
    return seen.size() >= 38;
  };
  assert(Until(fetch, 20) && seen.size() == 38 &&
         "all but the completed job and the one that may be running");
  for (const auto& [jid, times] : seen) assert(times == 1);
}

// The same over HTTP: a client that retries with its key at the scheduler that lost its disk gets the result
// from the scheduler that took over, and the worker gets no second hop.
void SameKey() {
  Peer worker;
  Trio trio(300, Target("w0", worker.at));
  const std::string group = trio.Group(0, -1, "http");
  const auto ask = [](const std::string& id) {
    return "POST /save HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
           "\r\nReq-Deadline-Ms: 3000\r\nIdempotency-Key: k1\r\nContent-Length: 2\r\n\r\nin";
  };
  {
    Conn client = Conn::To(trio[0].at);
    client.Send(ask("aa01"));
    Conn attempt = worker.Accept();
    assert(Has(attempt.Http(), "Req-Id: aa01"));
    attempt.Send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    trio.KillWithDisk(0);
  }
  trio[0].Start();
  const int now = trio.Successor(group);
  assert(Has(Conn::To(trio[0].at).Ask(ask("aa02")), " 503 ") && "the job is still running");
  const std::string done = "{\"id\":\"aa01\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"made\"}";
  assert(Has(Conn::To(trio[now].at)
                 .Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                      std::to_string(done.size()) + "\r\n\r\n" + done),
             " 200 "));
  const std::string answer = Conn::To(trio[0].at).Ask(ask("aa03"));
  assert(Has(answer, " 200 ") && Has(answer, "\r\n\r\nmade"));
  assert(!worker.Called(0.5) && "the worker got a second hop");
}

// With all features enabled, workers that accept connections and do not respond must not use up the
// descriptors for hops: a quarter of all descriptors is available for hops while other parts do not use their
// share.
void Egress() {
  constexpr int kServers = 70, kQuarter = 64;
  Peer servers[kServers];
  std::string targets;
  for (int n = 0; n < kServers; ++n)
    targets += (n > 0 ? "," : "") + Target("w" + std::to_string(n), servers[n].at);
  Trio trio(300, targets);
  std::vector<Conn> clients, attempts;
  for (int n = 0; n < kServers; ++n) {
    clients.push_back(Conn::To(trio[0].at));
    clients.back().Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: e" + std::to_string(n) +
                        "\r\nReq-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nin");
  }
  for (const double until = Now() + 0.7; Now() < until;) {
    for (Peer& server : servers) {
      if (server.Called(0)) attempts.push_back(server.Accept());
    }
  }
  assert(attempts.size() >= kQuarter && "hops can use a quarter of the descriptors");
}

// A scheduler restarts on its own disk after another has taken over: it gets back the jobs that are not
// completed.
void GivenBack() {
  Trio trio(300);
  const std::string group = trio.Group(0);
  {
    Conn client = Hello(trio[0]);
    for (int n = 0; n < 20; ++n) assert(client.Say(Push(Jid(n))) == "+OK\r\n");
  }
  std::map<std::string, int> seen;
  for (int round = 0; round < 2; ++round) {
    trio[0].Kill();
    const int now = trio.Successor(group);
    Conn other = Hello(trio[now], "w" + std::to_string(now));
    for (int n = 0; n < 5; ++n) {
      const std::string job = Fetch(other);
      const auto at = job.find("\"jid\":\"") + 7;
      const std::string jid = job.substr(at, job.find('"', at) - at);
      ++seen[jid];
      assert(other.Say("ACK {\"jid\":\"" + jid + "\"}") == "+OK\r\n");
    }
    trio[0].Start();
    assert(trio.Group(0) == group && trio.Holds(0, group) && !trio.Holds(now, group));
    assert(Fetch(other).empty() && "the former leader still delivered a job");
  }
  Conn worker = Hello(trio[0], "w0");
  for (const auto& [jid, times] : FetchAll(worker)) seen[jid] += times;
  assert(seen.size() == 20);
  for (const auto& [jid, times] : seen) assert(times == 1);
}

// A scheduler is suspended for longer than an election takes, with waiting jobs, a pending FETCH and an
// unanswered PUSH. After it resumes it must not deliver a job that another scheduler has run meanwhile.
void Asleep() {
  Trio trio(300);
  const std::string group = trio.Group(0);
  Conn client = Hello(trio[0]), late = Hello(trio[0]), worker = Hello(trio[0], "w0");
  for (int n = 0; n < 20; ++n) assert(client.Say(Push(Jid(n))) == "+OK\r\n");
  trio[0].Signal(SIGSTOP);
  late.Send(Push(Jid(30)) + "\r\n");
  worker.Send("FETCH default\r\n");
  const int now = trio.Successor(group);
  Conn other = Hello(trio[now], "w1");
  // Jobs that were leased to w0 when the scheduler was suspended are delivered only when those leases expire.
  const std::map<std::string, int> seen = FetchAll(other);
  assert(seen.size() >= 15);
  trio[0].Signal(SIGCONT);
  const std::string got = worker.Line();
  assert((got == "$-1\r\n" || Has(got, "$")) &&
         "the FETCH gets no job, or one that this scheduler still holds");
  if (got != "$-1\r\n") assert(!seen.contains(worker.Line().substr(8, 9)));
  assert(Until([&] { return trio.Holds(0, group); }) && "the scheduler leads its group again");
  const std::string answer = late.Line();
  assert((answer == "+OK\r\n" || Has(answer, "-ERR")) && "the pending PUSH gets a reply");
  Conn again = Hello(trio[0]), more = Hello(trio[0], "w2");
  for (int n = 0; n < 20; ++n) assert(again.Say(Push(Jid(n))) == "+OK\r\n" && "the job is known");
  assert(again.Say(Push(Jid(31))) == "+OK\r\n");
  const std::map<std::string, int> rest = FetchAll(more);
  assert(rest.contains(Jid(31)));
  for (const auto& [jid, times] : rest) assert(times == 1 && !seen.contains(jid));
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::Run(argc, argv,
                  {{"lost_disk", LostDisk},
                   {"minority", Minority},
                   {"restart", Restart},
                   {"takeover", Takeover},
                   {"back_at_once", BackAtOnce},
                   {"same_key", SameKey},
                   {"egress", Egress},
                   {"given_back", GivenBack},
                   {"asleep", Asleep}});
}
