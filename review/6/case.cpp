// Case 6: after a kill of the scheduler an acknowledged job stays leased to a worker that never got it, for
// as long as that worker says that it is alive.
#include "../stand_ins-2.h"

using namespace review;

namespace {

constexpr int kBooks = 8;

// A Faktory worker: `slots` connections that FETCH from one queue, and one that beats every 15 s. It keeps
// its wid, connects again where a connection ends, and says an ACK again until it hears +OK.
class Worker {
 public:
  Worker(int port, std::string wid, std::string queue, int slots, double run_ms)
      : port_(port), wid_(std::move(wid)), queue_(std::move(queue)), run_ms_(run_ms) {
    for (int n = 0; n < slots; ++n) std::thread([this] { Slot(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }
  std::map<std::string, int> Runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  std::shared_ptr<Faktory> Connected(std::shared_ptr<Faktory>& one) {
    while (one == nullptr) {
      one = Faktory::Connect(port_, wid_);
      if (one == nullptr) SleepMs(100);
    }
    return one;
  }
  void Slot() {
    std::shared_ptr<Faktory> one;
    for (;;) {
      bool broken = false;
      const auto job = Connected(one)->Fetch(queue_, 5000, broken);
      if (broken) one = nullptr;
      if (!job) continue;
      const std::string jid = Field(*job, "jid");
      {
        const std::lock_guard lock(mutex_);
        ++runs_[jid];
      }
      Note("%s runs %s", wid_.c_str(), jid.c_str());
      SleepMs(run_ms_);
      for (;;) {
        const bool sent = Connected(one)->Send("ACK {\"jid\":\"" + jid + "\"}");
        const auto reply = sent ? one->Reply(3000) : std::nullopt;
        Note("%s ACKs %s: %s", wid_.c_str(), jid.c_str(), reply ? reply->c_str() : "no answer");
        if (reply && *reply == "+OK") break;
        if (!reply) one = nullptr;
        SleepMs(200);
      }
    }
  }
  void Beat() {
    std::shared_ptr<Faktory> one;
    for (double next = Now();; SleepMs(100)) {
      if (Now() < next) continue;
      const bool sent = Connected(one)->Send("BEAT {\"wid\":\"" + wid_ + "\"}");
      const auto reply = sent ? one->Reply(3000) : std::nullopt;
      Note("%s beats: %s", wid_.c_str(), reply ? reply->c_str() : "no answer");
      if (reply) {
        next += 15'000;
      } else {
        one = nullptr;
      }
    }
  }
  int port_;
  std::string wid_, queue_;
  double run_ms_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = Begin(argc, argv);
  const int http = FreePort(), faktory = FreePort(), console = FreePort();
  Discovery discovery(FreePort());
  const std::string disk = Folder() + "/disk";
  std::filesystem::create_directory(disk);
  Process program("n1", Config(Site{}, "n1", http, discovery.port(), console, 0),
                  R"({"log":{"level":"info"},"durable":{"enabled":true,"folder":")" + disk +
                      R"(","lease_ms":20000,"grace_ms":5000},"cluster":{"enabled":false}})",
                  R"({"enabled":true,"listen":")" + At(faktory) +
                      R"(","password":"",)"
                      R"("most_connections":100})");
  program.Start();
  std::shared_ptr<Faktory> client;
  for (const double until = Now() + 10'000; client == nullptr && Now() < until; SleepMs(50))
    client = Faktory::Connect(faktory);
  if (client == nullptr) CannotRun("the scheduler does not answer: " + program.Log());
  // One worker has a slot for books, another four slots for the default queue, and nothing to do.
  Worker books(faktory, "worker-books", "books", 1, 4000),
      others(faktory, "worker-others", "default", 4, 200);
  SleepMs(9500);  // both are warm

  std::set<std::string> acknowledged;
  for (int n = 0; n < kBooks; ++n) {
    const std::string jid = "photo-book-" + std::to_string(n);
    client->Send("PUSH " + Job(jid, "photo-book", ",\"queue\":\"books\",\"retry\":3"));
    const auto reply = client->Reply(5000);
    Note("client: PUSH %s: %s", jid.c_str(), reply ? reply->c_str() : "no answer");
    if (reply && *reply == "+OK") acknowledged.insert(jid);
  }
  if (acknowledged.size() != kBooks) CannotRun("the jobs were not taken");
  SleepMs(5000);
  if (trouble) {
    program.KillNow();
    SleepMs(2000);
    program.Start();
  }
  // All of them together need 32 s; there are over 80.
  for (;;) {
    SleepMs(500);
    const auto runs = books.Runs();
    if (runs.size() == kBooks || Now() > 106'000) break;
  }
  SleepMs(5000 < 116'000 - Now() ? 4500 : 500);
  const auto runs = books.Runs();
  int never = 0;
  for (const std::string& jid : acknowledged) {
    if (runs.contains(jid)) continue;
    ++never;
    Note("NEVER: %s was acknowledged and never came to a worker", jid.c_str());
  }
  std::printf("%zu acknowledged, %zu run, %d never came although their worker waits for them\n",
              acknowledged.size(), runs.size(), never);
  End(never > 0 ? 1 : 0);
}
