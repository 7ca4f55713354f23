// Case 6: a scheduler with copies whose open jobs take more than 32 MiB does not start again after a kill.
#include "../stand_ins-2.h"

using namespace review;

namespace {

constexpr int kClients = 20, kJobsEach = 40, kJobs = kClients * kJobsEach;
constexpr std::size_t kBytes = 60'000;  // of a job; a line holds no more than 64 KiB
constexpr double kDue = 50'000;         // when the jobs are due, after the case began

std::string Jid(int n) {
  char text[32];
  std::snprintf(text, sizeof text, "book-%06d", n);
  return text;
}
std::string Rfc3339(long long wall_ms) {
  const std::time_t seconds = static_cast<std::time_t>(wall_ms / 1000);
  char text[40];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&seconds));
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = Begin(argc, argv);
  Site site;
  site.peers = 3;
  Discovery discovery(FreePort());
  auto fleet = Fleet(site, 3, discovery.port(), 0, true);
  Process& s1 = *fleet[0]->process;
  for (auto& s : fleet) s->process->Start();
  for (const double until = Now() + 30'000; fleet[0]->Voters("s1", "faktory") < 3; SleepMs(100))
    if (Now() > until) CannotRun("the copies of s1 were not made in 30 s: " + s1.Log());
  SleepMs(500);

  // 800 photo books for a later time, by 20 clients: each says a PUSH again until it hears +OK.
  const std::string at = Rfc3339(WallMs() + static_cast<long long>(kDue - Now()));
  const std::string args = "\"" + std::string(kBytes, 'x') + "\"";
  std::vector<std::atomic<bool>> acknowledged(kJobs);
  std::vector<std::thread> threads;
  for (int client = 0; client < kClients; ++client) {
    threads.emplace_back([&, client] {
      std::shared_ptr<Faktory> connection;
      for (int n = client * kJobsEach; n < (client + 1) * kJobsEach; ++n) {
        const std::string push =
            "PUSH " + Job(Jid(n), "photo-book", ",\"retry\":3,\"at\":\"" + at + "\"", args);
        while (Now() < 30'000 && !acknowledged[n]) {
          if (connection == nullptr) connection = Faktory::Connect(fleet[0]->faktory);
          const bool sent = connection != nullptr && connection->Send(push);
          const auto reply = sent ? connection->Reply(5000) : std::nullopt;
          Note("PUSH %s (%zu bytes) at %s: %s", Jid(n).c_str(), push.size(), at.c_str(),
               reply ? reply->substr(0, 90).c_str() : "no answer");
          if (reply && *reply == "+OK") {
            acknowledged[n] = true;
            SleepMs(50);
            continue;
          }
          if (!reply) connection = nullptr;
          SleepMs(300);
        }
      }
    });
  }
  for (auto& t : threads) t.join();
  int sure = 0;
  for (auto& a : acknowledged) sure += a ? 1 : 0;
  Note("acknowledged: %d of %d", sure, kJobs);
  if (sure < kJobs * 9 / 10) CannotRun("the jobs were not taken: " + s1.Log());
  SleepMs(3000);

  if (trouble) {
    s1.KillNow();
    SleepMs(2000);
    s1.Start();
    if (const int status = s1.WaitEnd(5000); status >= 0) Note("s1 ended by itself, with %d", status);
  }
  std::set<std::string> ran;
  std::vector<std::thread> slots;
  std::mutex mutex;
  std::atomic<bool> serves{false};
  std::atomic<std::size_t> count{0};
  for (int slot = 0; slot < 8; ++slot) {
    slots.emplace_back([&] {
      std::shared_ptr<Faktory> one;
      // A scheduler that was started again has until 25 s after the jobs are due to be there.
      while (Now() < 112'000 && count < static_cast<std::size_t>(sure) && (serves || Now() < kDue + 25'000)) {
        if (one == nullptr) one = Faktory::Connect(fleet[0]->faktory, "worker-1");
        if (one == nullptr) {
          SleepMs(100);
          continue;
        }
        serves = true;
        bool broken = false;
        const auto job = one->Fetch("default", 5000, broken);
        if (broken) one = nullptr;
        if (!job) continue;
        const std::string jid = Field(*job, "jid");
        one->Send("ACK {\"jid\":\"" + jid + "\"}");
        const auto reply = one->Reply(5000);
        Note("run %s, ACK: %s", jid.c_str(), reply ? reply->c_str() : "no answer");
        const std::lock_guard lock(mutex);
        ran.insert(jid);
        count = ran.size();
      }
    });
  }
  for (auto& s : slots) s.join();
  if (!serves) {
    s1.WaitEnd(0);
    const std::string log = s1.Log();
    Note("s1 does not serve any more; the end of its log: %s",
         log.substr(log.size() > 300 ? log.size() - 300 : 0).c_str());
  }
  int lost = 0;
  for (int n = 0; n < kJobs; ++n) {
    if (!acknowledged[n] || ran.contains(Jid(n))) continue;
    ++lost;
    Note("LOST: %s was acknowledged and never came to a worker", Jid(n).c_str());
  }
  std::printf("acknowledged %d, run %zu, never came %d, s1 %s\n", sure, ran.size(), lost,
              serves ? "serves" : "does not start again");
  End(lost > 0 ? 1 : 0);
}
