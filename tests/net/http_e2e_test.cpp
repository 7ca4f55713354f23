// End-to-end tests of the HTTP front over loopback sockets: requests, callbacks, retries, limits, reload and
// stop.
#include <ctime>

#include "e2e_harness.h"

namespace {
using namespace e2e;

std::string Job(const std::string& id, const std::string& path = "/preview/p?q=1", int deadline_ms = 3000,
                const std::string& body = "in") {
  return "POST " + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
         "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nIdempotency-Key: key-" + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
const std::string kTaken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

std::string News(Program& p, const std::string& id, const std::string& from, const std::string& rest) {
  const std::string body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":" + rest + "}";
  return Conn::To(p.at).Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Accepts the first hop that arrives at one of the n workers, since the module may choose any of them.
// Returns the worker's index and the connection.
std::pair<int, Conn> First(Peer* peers, int n) {
  const double until = Now() + 5;
  for (int i = 0;; i = (i + 1) % n) {
    if (peers[i].Called(0.005)) return {i, peers[i].Accept()};
    assert(Now() < until && "no hop arrived");
  }
}

// Has the worker serve one job and report free slots. Returns its connection, which the program keeps open.
Conn Warm(Program& p, Peer& worker, const std::string& name) {
  Conn client = Conn::To(p.at);
  client.Send(Job("warm-" + name));
  Conn hop = worker.Accept();
  hop.Http();
  hop.Send(kTaken);
  News(p, "warm-" + name, name, "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
  client.Http();
  return hop;
}

// A callback that arrives before the worker's 202, and a second time, gives one response. The request reaches
// the worker unchanged and the result reaches the client unchanged.
void Served() {
  Peer worker;
  Program p(OneTarget(worker.at));
  assert(Has(Conn::To(p.at).Ask("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 200 "));
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01"));
  Conn hop = worker.Accept();
  const std::string got = hop.Http();
  assert(Has(got, "POST /preview/p?q=1 HTTP/1.1\r\n") && Has(got, "Req-Id: aa01\r\n") &&
         Has(got, "\r\n\r\nin"));
  assert(Has(got, "Idempotency-Key: key-aa01\r\n") && Has(got, "Req-Deadline-Ms: "));
  assert(Has(News(p, "aa01", "w0", "\"started\""), " 200 "));
  assert(Has(
      News(p, "aa01", "w0", "\"done\",\"result\":\"a \\\"b\\\" \\u0e01\",\"load\":{\"queue\":0,\"x0\":2}"),
      " 200 "));
  const std::string answer = client.Http();
  assert(Has(answer, " 200 OK") && Has(answer, "\r\n\r\na \"b\" \u0e01"));
  assert(Has(News(p, "aa01", "w0", "\"done\",\"result\":\"again\""), " 200 "));
  hop.Send(kTaken);
  assert(client.Quiet(0.1));
  client.Send(Job("aa02"));
  assert(Has(hop.Http(), "Req-Id: aa02") && "the connection is reused");
}

// A late `done` of a failed hop while the next hop is in flight is ignored; only the next hop's result
// counts.
void LateNews() {
  Peer workers[2];
  const std::string names[] = {"w0", "w1"};
  Site site;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Audit audit;
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01"));
  auto [first, hop] = First(workers, 2);
  hop.Http();
  hop.Send(kTaken);
  audit.Sent("aa01", names[first]);
  audit.Over("aa01", true);
  News(p, "aa01", names[first], "\"failed\"");
  Conn next = workers[1 - first].Accept();
  next.Http();
  next.Send(kTaken);
  audit.Sent("aa01", names[1 - first]);
  assert(Has(News(p, "aa01", names[first], "\"done\",\"result\":\"late\""), " 200 ") && client.Quiet(0.1));
  News(p, "aa01", names[1 - first], "\"done\",\"result\":\"good\"");
  assert(Has(client.Http(), "\r\n\r\ngood"));
  audit.Answered("aa01");
}

// A connection that breaks after the whole request was sent may have run the job: a job with a key is not
// retried in another zone, and is not shed.
void Reset() {
  Peer workers[2];
  Site site;
  site.targets = Target("w0", workers[0].at, "a") + "," + Target("w1", workers[1].at, "b");
  Program p(site.Json());
  Audit audit;
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01", "/save"));
  auto [first, hop] = First(workers, 2);
  hop.Http();
  audit.Sent("aa01", "w", Audit::Repeat::kSameZone, first);
  hop.Close();
  audit.Over("aa01", true);
  const std::string answer = client.Http();
  assert(Has(answer, " 502 ") && !workers[1 - first].Called(0.2));
  audit.Answered("aa01", false);
}

// After a reused connection breaks during a request, later hops use new connections.
void Kept() {
  Peer worker;
  Program p(OneTarget(worker.at));
  Conn hop = Warm(p, worker, "w0"), client = Conn::To(p.at);
  client.Send(Job("aa01"));
  assert(Has(hop.Http(), "Req-Id: aa01") && "the kept connection is reused until it breaks");
  hop.Close();
  for (const std::string id : {"aa02", "aa03"}) {
    Conn other = Conn::To(p.at);
    other.Send(Job(id));
    hop = worker.Accept();
    assert(Has(hop.Http(), "Req-Id: " + id));
    hop.Send(kTaken);
    News(p, id, "w0", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    assert(Has(other.Http(), " 200 "));
  }
}

// A hop whose worker sends nothing is abandoned and retried at another worker well before the client's
// deadline.
void Silent() {
  Peer workers[2];
  Site site;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Audit audit;
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01"));
  auto [first, hop] = First(workers, 2);
  hop.Http();
  audit.Sent("aa01", "w");
  assert(hop.Ended(1.5) && "the abandoned hop's connection is closed");
  audit.Over("aa01", true);
  Conn next = workers[1 - first].Accept();
  next.Http();
  audit.Sent("aa01", "w");
  next.Send(kTaken);
  News(p, "aa01", first == 0 ? "w1" : "w0", "\"done\",\"result\":\"r\"");
  assert(Has(client.Http(), " 200 "));
  audit.Answered("aa01");
}

// At log level debug each step of a hop is logged: its target and what the worker reported. At the default
// level it is not.
void HopLines() {
  for (const bool debug : {true, false}) {
    Peer worker;
    Program p(OneTarget(worker.at), "{\"enabled\":false}", debug ? "{\"log\":{\"level\":\"debug\"}}" : "{}");
    Conn client = Conn::To(p.at);
    client.Send(Job("aa01"));
    Conn hop = worker.Accept();
    hop.Http();
    hop.Send(kTaken);
    News(p, "aa01", "w0", "\"done\",\"result\":\"r\"");
    assert(Has(client.Http(), " 200 "));
    p.Signal(SIGTERM);
    assert(p.Wait() == 0);
    assert(Has(p.log, "hop id=aa01 hop=0 to=" + worker.at) == debug);
    assert(Has(p.log, "hop id=aa01 hop=-1 to=w0 step=done") == debug);
  }
}

// A refused connection cannot have run the job, so even an at-most-once job is retried at another worker.
void NeverRan() {
  Peer dead, worker;
  dead.Close();
  Site site;
  site.targets = Target("w0", dead.at) + "," + Target("w1", worker.at);
  Program p(site.Json());
  for (const std::string id : {"aa01", "aa02", "aa03", "aa04"}) {
    Conn client = Conn::To(p.at);
    client.Send(Job(id, "/once"));
    Conn hop = worker.Accept();
    hop.Http();
    News(p, id, "w1", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    assert(Has(client.Http(), " 200 "));
  }
}

// A worker accepts a job and reports nothing more: the client gets a response before its deadline, and the
// worker a DELETE.
void Deadline() {
  Peer worker;
  Program p(OneTarget(worker.at));
  Conn client = Conn::To(p.at);
  const double sent = Now();
  client.Send(Job("aa01", "/once", 400));
  Conn hop = worker.Accept();
  hop.Http();
  hop.Send(kTaken);
  assert(Has(client.Http(), " 502 ") && Now() - sent < 0.4 && Now() - sent > 0.25);
  assert(Has(hop.Http(), "DELETE /jobs/aa01 HTTP/1.1\r\n"));
}

// When the client disconnects, a hop that the worker has not accepted yet is cancelled by closing its
// connection.
void ClientGone() {
  Peer worker;
  Program p(OneTarget(worker.at));
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01"));
  Conn hop = worker.Accept();
  hop.Http();
  client.Close();
  assert(hop.Ended());
}

// Malformed and unsupported requests get error responses, and the program keeps serving.
void BadInput() {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  site.extra_limits = ",\"mostHeld\":1";
  Program p(site.Json());
  const auto ask = [&p](const std::string& text) { return Conn::To(p.at).Ask(text); };
  assert(
      Has(ask("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: a1\r\nContent-Length: 65537\r\n\r\n"), " 413 "));
  // The response is written while most of the body is still arriving; a reset must not discard it.
  Conn large = Conn::To(p.at);
  large.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: a1\r\nContent-Length: 200000\r\n\r\n");
  for (int i = 0; i < 20; ++i) large.Send(std::string(10'000, 'x')), Pause(0.002);
  assert(Has(large.Http(), " 413 ") && large.Ended());
  assert(Has(ask("nonsense\r\n\r\n"), " 400 "));
  assert(Has(ask("GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), " 431 "));
  assert(Has(ask(Job("aa01", "/nobody")), " 404 "));
  assert(Has(ask(Job("a/../b")), " 400 "));
  assert(Has(ask("POST /preview HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline-Ms: x\r\nContent-Length: 0\r\n\r\n"),
             " 400 "));
  assert(Has(ask("POST /save HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 0\r\n\r\n"),
             " 400 "));  // no idempotency key
  assert(Has(ask("POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n[}"), " 400 "));
  // A callback for an unknown job is rejected so that the worker retries it: during an upgrade the other
  // process may hold the job.
  assert(Has(News(p, "ff", "w0", "\"done\""), " 503 "));
  Conn half = Conn::To(p.at);
  half.Send("POST /preview HTTP/1.1\r\nReq-Id: a");
  half.Close();
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01"));
  Conn hop = worker.Accept();
  const std::string shed = ask(Job("aa02"));
  assert(Has(shed, " 503 ") && Has(shed, "Retry-After: "));
  News(p, "aa01", "w0", "\"done\",\"result\":\"r\"");
  assert(Has(client.Http(), " 200 "));
}

// Invalid requests and slow clients get an error or a close within 3 s of connecting and reach no worker. A
// normal client is served meanwhile, with few descriptors.
void BadClients() {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  site.sockets = 256;
  site.memory_mb = 32;
  Program p(site.Json());
  const auto job = [](const std::string& head, const std::string& body = "in",
                      const char* path = "/preview") {
    return std::string("POST ") + path + " HTTP/1.1\r\n" + head + "\r\n" + body;
  };
  const std::string two = "Content-Length: 2\r\n", id = "Req-Id: b1\r\n";
  for (const std::string& bad :
       {job(id + two + "Transfer-Encoding: identity\r\n"), job(id + "Transfer-Encoding: xchunked\r\n"),
        job(id + two + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        job(id + two + "Content-Length: 3\r\n"), job(id + "Content-Length: -2\r\n"),
        job(id + "Content-Length: 99999999999999999999\r\n"), job(id + two, "longer than that\r\n\r\n"),
        job(id + two + "Req-Deadline-Ms: 1e3\r\n"), job(id + two + "Req-Deadline-Ms: 0\r\n"), job(two),
        job(id + "Req-Id: b2\r\n" + two), job(id + two + "Req-Key: xyz\r\n"),
        job(id + two + "Idempotency-Key: a\x80z\r\n"), job(id + two, "in", "/preview/\xff"),
        job(id + two, "in", ("/preview/" + std::string(6'000, 'p')).c_str())}) {
    Conn conn = Conn::To(p.at);
    const std::string answer = conn.Ask(bad);
    assert((Has(answer, " 400 ") || Has(answer, " 413 ")) && conn.Ended(3));
  }
  // Clients that send nothing, half a head, half a body or one byte at a time are all closed within 3 s and
  // do not delay other clients.
  std::vector<Conn> slow;
  const double began = Now();
  for (int i = 0; i < 100; ++i) slow.push_back(Conn::To(p.at));
  slow[0].Send("POST /preview HTTP/1.1\r\nReq-Id: a");
  slow[1].Send(job(id + "Content-Length: 50\r\n"));
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01", "/preview", 3900));
  Conn hop = worker.Accept();
  assert(Has(hop.Http(), "Req-Id: aa01"));
  hop.Send(kTaken);
  assert(Has(Conn::To(p.at).Ask(Job("aa01")), " 409 "));
  for (int i = 0; i < 10; ++i) slow[2].Send(Job("b1").substr(i, 1)), Pause(0.2);
  assert(Has(slow[0].Http(), " 408 ") && Has(slow[1].Http(), " 408 ") && Has(slow[2].Http(), " 408 "));
  for (Conn& conn : slow) assert(conn.Ended(began + 3 - Now()));
  News(p, "aa01", "w0", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
  assert(Has(client.Http(), " 200 "));
  assert(Has(Conn::To(p.at).Ask(Job("aa01")), " 409 ") && "a request id must not be used again");
  // A worker that answers 400 is not treated as failed: the next request goes to it immediately.
  Conn odd = Conn::To(p.at);
  odd.Send(Job("aa02"));
  hop = worker.Accept();  // the previous connection was closed as idle
  assert(Has(hop.Http(), "Req-Id: aa02"));
  hop.Send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  assert(Has(odd.Http(), " 400 ") && !worker.Called(0.05));
  Conn next = Conn::To(p.at);
  next.Send(Job("aa03"));
  assert(Has(hop.Http(), "Req-Id: aa03"));
}

// A third of the descriptors is used by requests while idle connections fill the rest: all requests are
// accepted and callbacks get through.
void Third() {
  Peer worker;
  Program p(OneTarget(worker.at));
  std::vector<Conn> clients, silent;
  for (int i = 0; i < 86; ++i) {
    clients.push_back(Conn::To(p.at));
    clients.back().Send(Job("c" + std::to_string(i), "/preview", 4000));
    assert(clients.back().Quiet(0));
  }
  for (int i = 0; i < 300; ++i) silent.push_back(Conn::To(p.at));
  assert(Has(News(p, "c0", "w0", "\"started\""), " 200 "));
  for (Conn& c : clients) assert(c.Quiet(0) && "a request was rejected");
}

// A worker declines a job before starting it and no hops are left: the job is shed at once with Retry-After,
// although the client would wait for seconds more and the class is at most once.
void ShedAtOnce() {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  site.most_hops = 1;
  Program p(site.Json());
  Audit audit;
  Conn client = Conn::To(p.at);
  const double sent = Now();
  client.Send(Job("aa01", "/once"));
  Conn hop = worker.Accept();
  hop.Http();
  audit.Sent("aa01", "w0", Audit::Repeat::kNever);
  audit.Over("aa01", false);
  hop.Send("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
  const std::string answer = client.Http();
  audit.Answered("aa01", true, Audit::Repeat::kNever);
  assert(Has(answer, " 503 ") && Has(answer, "Retry-After: ") && Now() - sent < 1);
}

// Discovery: the next watch request follows a response at once, a 503 causes a back-off, and a draining
// target gets no new work.
void Draining() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Audit audit;
  Conn watch = discovery.Accept();
  assert(Has(watch.Http(), "GET /v1/endpoints?from=4&hold_ms="));
  const std::string body = "{\"generation\":5,\"reset\":false,\"instances\":[" +
                           Target("w0", workers[0].at, "a", "draining") + "]}";
  const double told = Now();
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  assert(Has(watch.Http(), "from=5") && Now() - told < 0.2);
  audit.Drains("w0");
  watch.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  assert(watch.Quiet(0.1));
  for (const std::string id : {"aa01", "aa02", "aa03", "aa04", "aa05", "aa06"}) {
    Conn client = Conn::To(p.at);
    client.Send(Job(id));
    Conn hop = workers[1].Accept();
    hop.Http();
    audit.Sent(id, "w1");
    News(p, id, "w1", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    assert(Has(client.Http(), " 200 "));
    audit.Answered(id);
  }
  assert(!workers[0].Called(0.01) && Has(watch.Http(), "from=5"));
}

// SIGHUP: an invalid file changes nothing. A new discovery address is asked for its full list at once, and
// again after an error; the old list is used until the new one, which lacks the old target, arrives. Requests
// in progress are kept, and a reload also works while the program is stopping.
void Reload() {
  Peer old, discovery, later, workers[2];
  Site site;
  site.memory_mb = 32;  // the smallest memory limit that a deployment sets
  site.discovery = old.at;
  site.targets = Target("w0", workers[0].at);
  Program p(site.Json());
  const auto answer = [](int generation, const char* reset, const std::string& targets) {
    const std::string body = "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + reset +
                             ",\"instances\":[" + targets + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const auto list = [&answer](int generation, const std::string& targets) {
    return answer(generation, "true", targets);
  };
  Conn before = old.Accept();
  before.Http();
  before.Send(answer(4, "false", ""));
  Conn client = Conn::To(p.at), next = Conn::To(p.at), hop = Warm(p, workers[0], "w0");
  client.Send(Job("aa01"));
  hop.Http();
  hop.Send(kTaken);
  News(p, "aa01", "w0", "\"started\"");
  p.Configure("{\"listen\":");
  p.Signal(SIGHUP);
  assert(Has(before.Http(), "from=4") && before.Quiet(0.2));
  site.discovery = discovery.at;
  p.Configure(site.Json());
  const double told = Now();
  p.Signal(SIGHUP);
  Conn watch = discovery.Accept();
  assert(Has(watch.Http(), "GET /v1/endpoints HTTP/1.1\r\n") && before.Ended());
  watch.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  assert(Has(watch.Http(), "GET /v1/endpoints HTTP/1.1\r\n") && Now() - told < 1);
  next.Send(Job("aa02"));
  assert(Has(hop.Http(), "Req-Id: aa02"));
  hop.Send(kTaken);
  watch.Send(list(2, Target("w1", workers[1].at)));
  assert(Has(watch.Http(), "from=2&hold_ms="));
  Conn third = Conn::To(p.at);
  third.Send(Job("aa03"));
  Conn other = workers[1].Accept();
  assert(Has(other.Http(), "Req-Id: aa03") && hop.Quiet(0.05));
  p.Signal(SIGTERM);
  site.discovery = later.at;
  p.Configure(site.Json());
  p.Signal(SIGHUP);
  Conn last = later.Accept();
  assert(Has(last.Http(), "GET /v1/endpoints HTTP/1.1\r\n") && watch.Ended());
  last.Send(list(1, Target("w1", workers[1].at)));
  for (const std::string id : {"aa01", "aa02"}) News(p, id, "w0", "\"done\",\"result\":\"" + id + "\"");
  News(p, "aa03", "w1", "\"done\",\"result\":\"aa03\"");
  assert(Has(client.Http(), "aa01") && Has(next.Http(), "aa02") && Has(third.Http(), "aa03"));
  assert(p.Wait() == 0 && Has(p.log, "reload failed=\"config: not JSON") && Has(p.log, "taken=4 served=4"));
}

// SIGTERM: requests in progress get their responses, late requests and callbacks are still accepted, and the
// program then exits with 0.
void Term() {
  Peer worker;
  Program p(OneTarget(worker.at));
  Conn client = Conn::To(p.at), idle = Conn::To(p.at), late = Conn::To(p.at), hop = Warm(p, worker, "w0");
  client.Send(Job("aa01"));
  hop.Http();
  hop.Send(kTaken);
  News(p, "aa01", "w0", "\"started\"");
  const double told = Now();
  p.Signal(SIGTERM);
  Pause(0.1);
  late.Send(Job("aa02", "/once"));
  assert(Has(hop.Http(), "aa02"));
  hop.Send(kTaken);
  assert(idle.Quiet(1.2) &&
         "idle connections stay open at first: their clients may have no other process to use");
  assert(idle.Ended(0.6) && "idle connections are then closed, since they could bring new requests");
  News(p, "aa02", "w0", "\"done\",\"result\":\"two\"");
  assert(Has(late.Http(), "two"));
  News(p, "aa01", "w0", "\"done\",\"result\":\"one\"");
  assert(Has(client.Http(), "one"));
  assert(p.Wait() == 0 && Now() - told > 0.7);
  assert(Has(p.log, "counters http taken=3 served=3") && Has(p.log, "end=answered"));
}

// A planned stop with a short longest deadline: the platform kills the process that deadline plus 0.7 s after
// SIGTERM. Clients keep sending on connections that are still open; every accepted request must have its
// whole response before the kill.
void StopBeforeTheKill(int deadline_ms) {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  site.aim = deadline_ms * 1000 / 2;
  site.deadline = deadline_ms * 1000;
  Program p(site.Json());
  std::vector<Conn> clients;
  for (int i = 0; i < 8; ++i) {  // serve each client once, so that its connection is kept open
    clients.push_back(Conn::To(p.at));
    const std::string id = "warm-" + std::to_string(i);
    clients.back().Send(Job(id, "/preview", deadline_ms));
    Conn hop = worker.Accept();
    hop.Http();
    hop.Send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    News(p, id, "w0", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    clients.back().Http();
  }
  const double kill_after = deadline_ms / 1e3 + 0.7, told = Now();
  p.Signal(SIGTERM);
  std::vector<Conn*> asked;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    // Spread from the end of the period for late requests to just before the kill; no worker ever responds.
    const double at =
        told + 0.65 + (kill_after - 0.68) * static_cast<double>(i) / static_cast<double>(clients.size());
    Pause(std::max(0.0, at - Now()));
    if (clients[i].Ended(0)) continue;  // closed between requests: the client would use another process
    clients[i].Send(Job("late-" + std::to_string(i), "/preview", deadline_ms));
    asked.push_back(&clients[i]);
  }
  for (Conn* client : asked) {
    assert(!client->Quiet(std::max(0.0, told + kill_after - Now())) && "no response by the time of the kill");
    assert(Has(client->Http(), "HTTP/1.1 "));
  }
  assert(p.Wait() == 0 && Now() - told < kill_after + 0.05 && "the program exits before the kill");
}
void TermShort() {
  for (const int deadline_ms : {1200, 700, 300}) StopBeforeTheKill(deadline_ms);
}

// With the scheduler's wall clock an hour ahead of the workers', a worker that has just started is still in
// slow start and gets little of the traffic.
void WrongClock() {
  Peer workers[2];
  Site site;
  site.warm_up = 60'000'000;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  std::string json = site.Json();
  json.replace(json.find("\"coldFrom\":0.3"), 14, "\"coldFrom\":0.02");
  const auto last = json.rfind("\"startedAtMs\":0");
  json.replace(last, 15, "\"startedAtMs\":" + std::to_string((std::time(nullptr) - 1) * 1000));
  setenv("LD_PRELOAD", HERONWAY_CLOCK_OFF, 1);
  setenv("CLOCK_OFF_S", "3600", 1);
  setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  Program p(json);
  unsetenv("LD_PRELOAD");
  int hops[2] = {};
  for (int i = 0; i < 30; ++i) {
    const std::string id = "aa" + std::to_string(i);
    Conn client = Conn::To(p.at);
    client.Send(Job(id));
    auto [which, hop] = First(workers, 2);
    ++hops[which];
    hop.Http();
    hop.Send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    News(p, id, "w" + std::to_string(which), "\"done\",\"result\":\"r\"");
    client.Http();
  }
  assert(hops[1] <= 4 && "a worker in slow start was treated as warm");
}

// A worker that restarts while discovery is down is in slow start: its port first refuses connections and
// then accepts them. Guards against the fault that such a worker got the traffic of a warm one at once.
void UnheardRestart() {
  Peer workers[2];
  Site site;  // no discovery listens at the default address
  site.warm_up = 60'000'000;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  std::string json = site.Json();
  json.replace(json.find("\"coldFrom\":0.3"), 14, "\"coldFrom\":0.02");
  Program p(json);
  int serial = 0;
  const auto serve = [&](int open) {  // serves one job; returns which of the first `open` workers got it
    const std::string id = "aa" + std::to_string(++serial);
    Conn client = Conn::To(p.at);
    client.Send(Job(id));
    auto [which, attempt] = First(workers, open);
    attempt.Http();
    attempt.Send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    News(p, id, "w" + std::to_string(which), "\"done\",\"result\":\"r\"");
    assert(Has(client.Http(), " 200 "));
    return which;
  };
  int before = 0;
  for (int n = 0; n < 30; ++n) before += serve(2);
  assert(before > 6 && "the worker is warm");
  workers[1].Close();
  for (int n = 0; n < 20; ++n) serve(1);
  workers[1].Reopen();
  bool asked = false;
  for (const double until = Now() + 15; !asked && Now() < until; Pause(0.01)) asked = serve(2) == 1;
  assert(asked && "the restarted worker is used again");
  int after = 0;
  for (int n = 0; n < 30; ++n) after += serve(2);
  assert(after <= 4 && "a worker in slow start was treated as warm");
}

// More connections than descriptors: idle connections are closed, so a new client and its callback get
// through.
void Crowd() {
  Peer worker;
  Site site;
  site.targets = Target("w0", worker.at);
  site.sockets = 200;
  Program p(site.Json());
  std::vector<Conn> crowd;
  for (int i = 0; i < 300; ++i) crowd.push_back(Conn::To(p.at));
  Conn client = Conn::To(p.at);
  client.Send(Job("aa01"));
  Conn hop = worker.Accept();
  hop.Http();
  assert(Has(News(p, "aa01", "w0", "\"done\",\"result\":\"r\""), " 200 ") && Has(client.Http(), " 200 "));
  assert(crowd[0].Ended(1));
}

// Many clients that connect at once are accepted at the configured rate. A client connected before is served
// meanwhile, and one that connects after them waits only for its turn.
void Paced() {
  Site site;
  site.sockets = 1024;
  Program p(site.Json(), "{\"enabled\":false}",
            "{\"limits\":{\"enabled\":true,\"accepts\":{\"per_s\":100,\"burst\":10}}}");
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
  Conn before = Conn::To(p.at);
  before.Send(ready);
  before.Http();
  std::vector<Conn> crowd;
  for (int i = 0; i < 100; ++i) crowd.push_back(Conn::To(p.at));
  const double began = Now();
  Conn behind = Conn::To(p.at);
  behind.Send(ready);
  before.Send(ready);
  before.Http();
  assert(Now() - began < 0.3 && "new connections delayed a client that is already connected");
  behind.Http();
  const double waited = Now() - began;
  assert(waited > 0.5 && waited < 2 && "100 connections ahead of it at 100 per second, less the burst");
  p.Signal(SIGTERM);
  assert(p.Wait() == 0 && !Has(p.log, "paced=0"));
}

// A rule file sets the class, rejects requests and limits the rate by key. SIGHUP loads a new file as a whole
// or not at all.
void Rules() {
  Peer worker;
  const std::string file = "/tmp/heronway-e2e-rules-" + std::to_string(getpid());
  const auto write = [&file](const std::string& text) { std::ofstream(file) << text; };
  write(
      "rate slow: 1 per 10s\n"
      "rule bad { when glob(header(\"User-Agent\"), \"Bad*\") refuse \"not you\" }\n"
      "rule old { when segment(1) == \"old-name\" class \"preview\" rate slow by header(\"X-Who\") }\n");
  Program p(OneTarget(worker.at), "{\"enabled\":false}", "{\"match\":{\"rules\":\"" + file + "\"}}");
  const auto ask = [&p](const std::string& id, const std::string& path, const std::string& more) {
    Conn c = Conn::To(p.at);
    c.Send("POST /" + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: 3000\r\n" +
           more + "Content-Length: 0\r\n\r\n");
    return c;
  };
  assert(Has(ask("a1", "preview", "User-Agent: Bad/1\r\n").Http(), "HTTP/1.1 403"));
  Conn first = ask("a2", "old-name", "X-Who: me\r\n");
  Conn hop = worker.Accept();
  assert(Has(hop.Http(), "POST /old-name HTTP/1.1"));
  const std::string limited = ask("a3", "old-name", "X-Who: me\r\n").Http();
  assert(Has(limited, "HTTP/1.1 429") &&
         (Has(limited, "Retry-After: 9.") || Has(limited, "Retry-After: 10.")));
  write("rule bad { when glob(header(\"User-Agent\"), ");  // an incomplete file
  p.Signal(SIGHUP);
  Pause(0.2);
  assert(Has(ask("a4", "preview", "User-Agent: Bad/1\r\n").Http(), "HTTP/1.1 403"));
  write("rule all { refuse \"closed\" }\n");
  p.Signal(SIGHUP);
  Pause(0.2);
  assert(Has(ask("a5", "preview", "").Http(), "closed"));
  News(p, "a2", "w0",
       "\"done\",\"result\":\"r\"");  // a request in progress keeps the rules it was accepted under
  assert(Has(first.Http(), "HTTP/1.1 200"));
  std::remove(file.c_str());
  p.Signal(SIGTERM);
  assert(p.Wait() == 0 && Has(p.log, "expected"));
}

// Rules that select targets: a job goes only to those, and reloaded rules also apply to targets already in
// the route table.
void Targets() {
  Peer first, second;
  const std::string file = "/tmp/heronway-e2e-targets-" + std::to_string(getpid());
  const auto write = [&file](const std::string& text) { std::ofstream(file) << text; };
  write("rule b { when segment(1) == \"preview\" targets zone \"b\" tenant header(\"X-Who\") }\n");
  Site site;
  std::string labelled = Target("w0", first.at, "a");
  labelled.insert(labelled.size() - 1, ",\"labels\":[\"quick\"]");
  site.targets = labelled + "," + Target("w1", second.at, "b");
  Program p(site.Json(), "{\"enabled\":false}", "{\"match\":{\"rules\":\"" + file + "\"}}");
  const auto serve = [&p](Peer& target, const std::string& name, const std::string& id) {
    Conn c = Conn::To(p.at);
    c.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
           "\r\nReq-Deadline-Ms: 3000\r\nX-Who: us\r\nContent-Length: 0\r\n\r\n");
    Conn hop = target.Accept();
    assert(Has(hop.Http(), "Req-Id: " + id));
    hop.Send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    News(p, id, name, "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":2}");
    assert(Has(c.Http(), "HTTP/1.1 200"));
  };
  serve(second, "w1", "a1");
  serve(second, "w1", "a2");
  write("rule b { when segment(1) == \"preview\" targets label \"quick\" tenant header(\"X-Who\") }\n");
  p.Signal(SIGHUP);
  Pause(0.2);
  serve(first, "w0", "a3");
  serve(first, "w0", "a4");
  std::remove(file.c_str());
  p.Signal(SIGTERM);
  assert(p.Wait() == 0);
  assert(Has(p.log, "tenant http tenant=us taken=4 served=4") && Has(p.log, "rule rule=b hits=2"));
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::Run(argc, argv,
                  {{"served", Served},
                   {"targets", Targets},
                   {"late_news", LateNews},
                   {"reset", Reset},
                   {"silent", Silent},
                   {"kept", Kept},
                   {"never_ran", NeverRan},
                   {"deadline", Deadline},
                   {"client_gone", ClientGone},
                   {"bad_input", BadInput},
                   {"bad_clients", BadClients},
                   {"third", Third},
                   {"shed_at_once", ShedAtOnce},
                   {"draining", Draining},
                   {"reload", Reload},
                   {"paced", Paced},
                   {"rules", Rules},
                   {"term", Term},
                   {"term_short", TermShort},
                   {"wrong_clock", WrongClock},
                   {"unheard_restart", UnheardRestart},
                   {"crowd", Crowd},
                   {"hop_lines", HopLines}});
}
