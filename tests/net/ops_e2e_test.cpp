// End-to-end tests of operation: upgrade beside a running process, console, drain, planned stop and the fleet
// of schedulers.
#include "e2e_harness.h"

namespace {
using namespace e2e;

std::string Job(const std::string& id, const std::string& path = "/preview/p", int deadline_ms = 3000) {
  return "POST " + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
         "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 2\r\n\r\nin";
}
const std::string kTaken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

std::string News(const std::string& at, const std::string& id, const std::string& from,
                 const std::string& rest) {
  const std::string body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":" + rest + "}";
  return Conn::To(at).Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Returns the connection on which the next hop arrives: a kept one or a new one, which is added to `hops`.
Conn& NextHop(Peer& worker, std::vector<Conn>& hops) {
  for (const double until = Now() + 5;; assert(Now() < until && "no hop arrived")) {
    for (Conn& kept : hops) {
      if (!kept.Quiet(0.005) && !kept.Ended(0)) return kept;
    }
    if (worker.Called(0.005)) return hops.emplace_back(worker.Accept());
  }
}

// Serves one job through whichever process the kernel assigns the connection to.
void ServeOne(const std::string& at, Peer& worker, std::vector<Conn>& hops, const std::string& id) {
  Conn client = Conn::To(at);
  client.Send(Job(id));
  Conn& hop = NextHop(worker, hops);
  assert(Has(hop.Http(), "Req-Id: " + id));
  hop.Send(kTaken);
  assert(Has(News(at, id, "w0", "\"done\",\"result\":\"" + id + "\""), " 200 "));
  assert(Has(client.Http(), " 200 "));
}

// A second process starts on the same address while the first one serves. On SIGTERM the first one answers
// its requests and exits with 0; the second one serves from then on.
void Upgrade() {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  Program first(site.Json());
  Conn held = Conn::To(first.at);  // accepted by the first process, as the second does not run yet
  site.listen = first.at;
  Program second(site.Json());
  assert(second.at == first.at);
  held.Send(Job("aa01"));
  std::vector<Conn> hops;
  hops.push_back(worker.Accept());
  hops.back().Http();
  hops.back().Send(kTaken);
  first.Signal(SIGTERM);
  // A callback may reach either process; only the one that holds the job accepts it.
  for (int i = 0; i < 30; ++i) News(first.at, "aa01", "w0", "\"done\",\"result\":\"one\"");
  assert(Has(held.Http(), "one"));
  assert(first.Wait() == 0);
  for (const std::string id : {"bb01", "bb02", "bb03"}) ServeOne(first.at, worker, hops, id);
}

// A callback for a job that this process never held is rejected and its connection closed, so that the worker
// retries on a new connection and may reach the process that holds the job. A late callback for a job it held
// is accepted.
void ForeignNews() {
  Peer worker;
  Program p(OneTarget(worker.at));
  const std::string body = "{\"id\":\"zz99\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"r\"}";
  Conn callback = Conn::To(p.at);
  const std::string answer =
      callback.Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
  assert(Has(answer, " 503 ") && callback.Ended(1));
  std::vector<Conn> hops;
  ServeOne(p.at, worker, hops, "aa01");
  assert(Has(News(p.at, "aa01", "w0", "\"done\",\"result\":\"again\""), " 200 ") &&
         "a late callback is accepted");
}

std::string Call(Program& p, const std::string& method, const std::string& path) {
  return Conn::To(p.console_at)
      .Ask(method + " " + path + " HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
}

// Configuration with one worker and a console on a free port.
std::string WithConsole(const Peer& worker) {
  Site site;
  site.targets = Target("w0", worker.at);
  site.console = "127.0.0.1:0";
  return site.Json();
}

// Drain from the console: readiness fails at both addresses, an idle client is closed within 2 s, a job in
// progress still completes and the process keeps running. Activate makes it ready again, and the metrics
// count all jobs.
void Drain() {
  Peer worker;
  Program p(WithConsole(worker));
  assert(Has(Call(p, "GET", "/v1/readyz"), " 200 "));
  std::vector<Conn> hops;
  ServeOne(p.at, worker, hops, "aa01");
  Conn idle = Conn::To(p.at), busy = Conn::To(p.at);
  busy.Send(Job("aa02", "/preview/p", 5000));
  Conn& hop = NextHop(worker, hops);
  assert(Has(hop.Http(), "Req-Id: aa02"));
  hop.Send(kTaken);
  const double told = Now();
  assert(Has(Call(p, "PUT", "/v1/scheduler/drain"), " 200 "));
  assert(Has(Call(p, "GET", "/v1/readyz"), " 503 "));
  assert(Has(Conn::To(p.at).Ask("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 503 "));
  assert(idle.Ended(2.2) && Now() - told < 2.1 && "an idle client is closed");
  assert(Has(News(p.at, "aa02", "w0", "\"done\",\"result\":\"two\""), " 200 "));
  assert(Has(busy.Http(), "two"));
  assert(Has(Call(p, "PUT", "/v1/scheduler/activate"), " 200 "));
  assert(Has(Call(p, "GET", "/v1/readyz"), " 200 "));
  ServeOne(p.at, worker, hops, "aa03");
  const std::string figures = Call(p, "GET", "/v1/metrics");
  assert(Has(figures, "app.transactions.preview.answered=3\n") && Has(figures, "app.cluster_size=1\n"));
  assert(Has(figures, "app.transactions.preview.sends=3\n") && Has(figures, "app.current=0\n"));
  assert(Has(Call(p, "GET", "/v1/nothing"), " 404 "));
}

// More silent console connections than the console accepts, and one that sends garbage: a normal request is
// still answered within 1 s, and the silent connections are closed.
void ConsoleStall() {
  Peer worker;
  Program p(WithConsole(worker));
  std::vector<Conn> silent;
  for (int i = 0; i < 12; ++i) silent.push_back(Conn::To(p.console_at));
  Conn garbage = Conn::To(p.console_at);
  garbage.Send("\x01\x02 nonsense\r\n\r\n");
  assert(Has(garbage.Http(), " 400 "));
  const double asked = Now();
  assert(Has(Call(p, "GET", "/v1/readyz"), " 200 ") && Now() - asked < 1);
  assert(silent.back().Ended(1) && "a silent connection is closed");
}

// A planned stop waits until a slow client has read its whole response.
void LastBytes() {
  Peer worker;
  Program p(OneTarget(worker.at));
  Conn client = Conn::To(p.at, true);
  client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa01\r\nContent-Length: 0\r\n\r\n");
  Conn hop = worker.Accept();
  hop.Http();
  const std::string result(60'000, 'r');
  const std::string news =
      "{\"id\":\"aa01\",\"from\":\"w0\",\"state\":\"done\",\"result\":\"" + result + "\"}";
  assert(Has(Conn::To(p.at).Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                                std::to_string(news.size()) + "\r\n\r\n" + news),
             " 200 "));
  p.Signal(SIGTERM);
  assert(p.Lives(1.5) && "exited with part of a response unsent");
  const std::string answer = client.Http();
  assert(answer.ends_with(result) && p.Wait() == 0);
}

// More data than one read takes follows a console request: the response arrives whole, followed by a close
// and not by a reset.
void ConsoleBehind() {
  Peer worker;
  Program p(WithConsole(worker));
  Conn caller = Conn::To(p.console_at);
  p.Freeze();
  caller.Send("GET /v1/readyz HTTP/1.1\r\nHost: s\r\n\r\n" + std::string(64 * 1024, ' '));
  p.Thaw();
  assert(Has(caller.Http(), " 200 "));
  assert(!caller.Quiet(2) && caller.Finished() && "the connection was reset instead of closed");
}

std::string Clustered(const std::string& name, const std::string& more, const std::string& fleet = "f") {
  return "{\"log\":{\"connections\":false},\"cluster\":{\"enabled\":true,\"period_ms\":100,\"fleet\":\"" +
         fleet + "\",\"name\":\"" + name + "\"" + more + "}}";
}

bool Until(const std::function<bool()>& holds, double seconds = 8) {
  for (const double until = Now() + seconds; Now() < until; Pause(0.05)) {
    if (holds()) return true;
  }
  return false;
}

// Three processes find each other and ignore a fourth from another fleet. A killed process is declared dead,
// one that stops by SIGTERM has left, and jobs are served in every quorum state.
void Members() {
  Peer worker;
  const std::string at =
      "127." + std::to_string(2 + getpid() % 90) + "." + std::to_string(1 + getpid() / 90 % 250);
  const auto listen = [&](int i) { return ",\"listen\":\"" + at + "." + std::to_string(i) + ":7946\""; };
  const std::string join = ",\"join\":[\"" + at + ".1:7946\",\"" + at + ".9:7946\"]";
  Program one(WithConsole(worker), "{\"enabled\":false}", Clustered("one", listen(1) + join));
  Program two(WithConsole(worker), "{\"enabled\":false}", Clustered("two", listen(2) + join));
  Program three(WithConsole(worker), "{\"enabled\":false}", Clustered("three", listen(3) + join));
  Program other(WithConsole(worker), "{\"enabled\":false}", Clustered("other", listen(4) + join, "g"));
  const auto sees = [](Program& p, const std::string& text) {
    return Until([&] {
      return Has(Call(p, "GET", "/v1/cluster/members"), text) || Has(Call(p, "GET", "/v1/cluster"), text);
    });
  };
  for (Program* p : {&one, &two, &three})
    assert(sees(*p, "\"present\":3") && sees(*p, "\"standing\":\"whole\""));
  assert(sees(other, "\"standing\":\"alone\"") && !Has(Call(one, "GET", "/v1/cluster/members"), "other"));
  assert(Has(Call(one, "GET", "/v1/metrics"), "app.fleet.members.alive=3\n"));
  three.Kill();
  assert(sees(one, "\"state\":\"dead\"") && sees(one, "\"standing\":\"majority\""));
  std::vector<Conn> hops;
  ServeOne(one.at, worker, hops, "aa01");
  two.Signal(SIGTERM);
  assert(sees(one, "\"state\":\"left\""));
  assert(two.Wait() == 0);
  assert(sees(one, "\"standing\":\"alone\""));
  ServeOne(one.at, worker, hops, "aa02");
  three.Start();
  assert(sees(one, "\"present\":2") && sees(three, "\"present\":2"));
  assert(Has(Call(one, "PUT", "/v1/cluster/leave"), " 200 ") && sees(three, "\"state\":\"left\""));
  ServeOne(one.at, worker, hops, "aa03");
}

// One scheduler finds that a worker's connections fail and reports it to the other. That one, which has sent
// the worker nothing yet, checks it with one probe, finds it healthy and keeps using it.
void News() {
  Peer broken, well;
  const std::string at =
      "127." + std::to_string(2 + getpid() % 90) + "." + std::to_string(1 + getpid() / 90 % 250);
  const auto site = [](const std::string& worker) {
    Site s;
    s.targets = Target("w0", worker);
    s.console = "127.0.0.1:0";
    s.extra_limits = ",\"probes\":true";
    return s.Json();
  };
  const std::string join = ",\"join\":[\"" + at + ".1:7946\"]";
  Program one(site(broken.at), "{\"enabled\":false}", Clustered("one", ",\"listen\":\"" + at + ".1:7946\""));
  Program two(site(well.at), "{\"enabled\":false}",
              Clustered("two", ",\"listen\":\"" + at + ".2:7946\"" + join));
  for (Program* p : {&one, &two})
    assert(Until([&] { return Has(Call(*p, "GET", "/v1/cluster"), "\"present\":2"); }));
  broken.Close();
  Conn client = Conn::To(one.at);
  client.Send(Job("aa01"));
  Conn probe = well.Accept();
  assert(Has(probe.Http(), "GET /status/load"));
  probe.Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=2");
  assert(Until([&] { return Has(Call(two, "GET", "/v1/metrics"), "app.fleet.news_looked_into=1\n"); }));
  Conn other = Conn::To(two.at);  // probes and the hop arrive on separate connections
  other.Send(Job("bb01"));
  std::vector<Conn> calls;
  calls.push_back(std::move(probe));
  for (std::string call; !Has(call, "Req-Id: bb01");) {
    if (!call.empty()) calls.back().Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=2");
    Conn& next = NextHop(well, calls);
    call = next.Http();
    if (&next != &calls.back()) std::swap(next, calls.back());
  }
}

// 10,000 invalid datagrams per second beside normal jobs: all jobs are served, the number of log lines is
// bounded, and every datagram is counted.
void Flood() {
  Peer worker;
  const std::string at =
      "127." + std::to_string(2 + getpid() % 90) + "." + std::to_string(1 + getpid() / 90 % 250);
  Program p(WithConsole(worker), "{\"enabled\":false}",
            Clustered("one", ",\"listen\":\"" + at + ".1:7946\""));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(7946);
  assert(inet_pton(AF_INET, (at + ".1").c_str(), &to.sin_addr) == 1);
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  std::vector<Conn> hops;
  int sent = 0, served = 0;
  for (const double begun = Now(); Now() - begun < 2;) {
    for (; sent < (Now() - begun) * 10'000; ++sent) {
      const std::string bytes(static_cast<std::size_t>(1 + sent * 7 % 1500), static_cast<char>(sent));
      sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    ServeOne(p.at, worker, hops, "ab" + std::to_string(++served));
  }
  close(fd);
  assert(served > 20);
  const std::string figures = Call(p, "GET", "/v1/metrics");
  const auto figure = [&](const std::string& name) {
    return std::stoi(figures.substr(figures.find("app.fleet." + name + "=") + name.size() + 11));
  };
  const int dropped = figure("dropped.malformed") + figure("dropped.foreign") + figure("dropped.oversized");
  assert(dropped > 5'000 && dropped == figure("datagrams_in"));
  p.Signal(SIGTERM);
  assert(p.Wait() == 0);
  int lines = 0;
  for (std::size_t n = 0; (n = p.log.find("dropped=", n)) != p.log.npos; ++n) ++lines;
  assert(lines >= 1 && lines <= 12);
}

// With the cluster disabled its console paths, metrics and sockets do not exist.
void ClusterOff() {
  Peer worker;
  Program off(WithConsole(worker), "{\"enabled\":false}",
              "{\"cluster\":{\"enabled\":false,\"fleet\":\"f\"}}");
  assert(Has(Call(off, "GET", "/v1/cluster/members"), " 404 ") &&
         Has(Call(off, "PUT", "/v1/cluster/leave"), " 404 "));
  assert(!Has(Call(off, "GET", "/v1/metrics"), "fleet"));
  Program on(WithConsole(worker), "{\"enabled\":false}", Clustered("one", ",\"listen\":\"127.0.0.1:0\""));
  // Both connect to a discovery that does not exist, so a connection attempt may be in progress.
  assert(Until([&] { return on.Descriptors() == off.Descriptors() + 2; }) &&
         "the cluster adds one datagram socket and one listener");
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::Run(argc, argv,
                  {{"upgrade", Upgrade},
                   {"drain", Drain},
                   {"foreign_news", ForeignNews},
                   {"console_stall", ConsoleStall},
                   {"console_behind", ConsoleBehind},
                   {"last_bytes", LastBytes},
                   {"members", Members},
                   {"flood", Flood},
                   {"news", News},
                   {"cluster_off", ClusterOff}});
}
