// End-to-end tests of the HTTP front over loopback sockets: requests, callbacks, retries, limits, reload and
// stop.
#include <ctime>

#include "e2e_harness.h"

namespace {
using namespace e2e;

std::string JobRequest(const std::string& id, const std::string& path = "/preview/p?q=1",
                       int deadline_ms = 3000, const std::string& body = "in") {
  return "POST " + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
         "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nIdempotency-Key: key-" + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
const std::string kAccepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

// Posts a callback of worker `from` about job `id`. `rest`: the state and any further fields, as JSON.
std::string PostCallback(Program& p, const std::string& id, const std::string& from,
                         const std::string& rest) {
  const std::string body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":" + rest + "}";
  return Conn::Connect(p.address).RequestHttp("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                                              std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Accepts the first hop that arrives at one of the n workers, since the module may choose any of them.
// Returns the worker's index and the connection.
std::pair<int, Conn> AcceptFirst(Listener* peers, int n) {
  const double until = Now() + 5;
  for (int i = 0;; i = (i + 1) % n) {
    if (peers[i].HasConnection(0.005)) return {i, peers[i].Accept()};
    assert(Now() < until && "no hop arrived");
  }
}

// Has the worker serve one job and report free slots. Returns its connection, which the program keeps open.
Conn WarmUp(Program& p, Listener& worker, const std::string& name) {
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("warm-" + name));
  Conn hop = worker.Accept();
  hop.ReadHttp();
  hop.Send(kAccepted);
  PostCallback(p, "warm-" + name, name, "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
  client.ReadHttp();
  return hop;
}

// A callback that arrives before the worker's 202, and a second time, gives one response. The request reaches
// the worker unchanged and the result reaches the client unchanged.
void Served() {
  Listener worker;
  Program p(OneTarget(worker.address));
  assert(Contains(Conn::Connect(p.address).RequestHttp("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 200 "));
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  Conn hop = worker.Accept();
  const std::string got = hop.ReadHttp();
  assert(Contains(got, "POST /preview/p?q=1 HTTP/1.1\r\n") && Contains(got, "Req-Id: aa01\r\n") &&
         Contains(got, "\r\n\r\nin"));
  assert(Contains(got, "Idempotency-Key: key-aa01\r\n") && Contains(got, "Req-Deadline-Ms: "));
  assert(Contains(PostCallback(p, "aa01", "w0", "\"started\""), " 200 "));
  assert(Contains(PostCallback(p, "aa01", "w0",
                               "\"done\",\"result\":\"a \\\"b\\\" \\u0e01\",\"load\":{\"queue\":0,\"x0\":2}"),
                  " 200 "));
  const std::string answer = client.ReadHttp();
  assert(Contains(answer, " 200 OK") && Contains(answer, "\r\n\r\na \"b\" \u0e01"));
  assert(Contains(PostCallback(p, "aa01", "w0", "\"done\",\"result\":\"again\""), " 200 "));
  hop.Send(kAccepted);
  assert(client.StaysSilent(0.1));
  client.Send(JobRequest("aa02"));
  assert(Contains(hop.ReadHttp(), "Req-Id: aa02") && "the connection is reused");
}

// A late `done` of a failed hop while the next hop is in flight is ignored; only the next hop's result
// counts.
void LateCallback() {
  Listener workers[2];
  const std::string names[] = {"w0", "w1"};
  Config config;
  config.targets = Target("w0", workers[0].address) + "," + Target("w1", workers[1].address);
  Program p(config.Json());
  HopAudit audit;
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  auto [first, hop] = AcceptFirst(workers, 2);
  hop.ReadHttp();
  hop.Send(kAccepted);
  audit.HopSent("aa01", names[first]);
  audit.HopEnded("aa01", true);
  PostCallback(p, "aa01", names[first], "\"failed\"");
  Conn next = workers[1 - first].Accept();
  next.ReadHttp();
  next.Send(kAccepted);
  audit.HopSent("aa01", names[1 - first]);
  assert(Contains(PostCallback(p, "aa01", names[first], "\"done\",\"result\":\"late\""), " 200 ") &&
         client.StaysSilent(0.1));
  PostCallback(p, "aa01", names[1 - first], "\"done\",\"result\":\"good\"");
  assert(Contains(client.ReadHttp(), "\r\n\r\ngood"));
  audit.Answered("aa01");
}

// A connection that breaks after the whole request was sent may have run the job: a job with a key is not
// retried in another zone, and is not shed.
void ConnectionBreaks() {
  Listener workers[2];
  Config config;
  config.targets = Target("w0", workers[0].address, "a") + "," + Target("w1", workers[1].address, "b");
  Program p(config.Json());
  HopAudit audit;
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01", "/save"));
  auto [first, hop] = AcceptFirst(workers, 2);
  hop.ReadHttp();
  audit.HopSent("aa01", "w", HopAudit::RetryScope::kSameZone, first);
  hop.Close();
  audit.HopEnded("aa01", true);
  const std::string answer = client.ReadHttp();
  assert(Contains(answer, " 502 ") && !workers[1 - first].HasConnection(0.2));
  audit.Answered("aa01", false);
}

// After a reused connection breaks during a request, later hops use new connections.
void KeptConnectionBreaks() {
  Listener worker;
  Program p(OneTarget(worker.address));
  Conn hop = WarmUp(p, worker, "w0"), client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  assert(Contains(hop.ReadHttp(), "Req-Id: aa01") && "the kept connection is reused until it breaks");
  hop.Close();
  for (const std::string id : {"aa02", "aa03"}) {
    Conn other = Conn::Connect(p.address);
    other.Send(JobRequest(id));
    hop = worker.Accept();
    assert(Contains(hop.ReadHttp(), "Req-Id: " + id));
    hop.Send(kAccepted);
    PostCallback(p, id, "w0", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    assert(Contains(other.ReadHttp(), " 200 "));
  }
}

// A hop whose worker sends nothing is abandoned and retried at another worker well before the client's
// deadline.
void SilentWorker() {
  Listener workers[2];
  Config config;
  config.targets = Target("w0", workers[0].address) + "," + Target("w1", workers[1].address);
  Program p(config.Json());
  HopAudit audit;
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  auto [first, hop] = AcceptFirst(workers, 2);
  hop.ReadHttp();
  audit.HopSent("aa01", "w");
  assert(hop.PeerClosed(1.5) && "the abandoned hop's connection is closed");
  audit.HopEnded("aa01", true);
  Conn next = workers[1 - first].Accept();
  next.ReadHttp();
  audit.HopSent("aa01", "w");
  next.Send(kAccepted);
  PostCallback(p, "aa01", first == 0 ? "w1" : "w0", "\"done\",\"result\":\"r\"");
  assert(Contains(client.ReadHttp(), " 200 "));
  audit.Answered("aa01");
}

// At log level debug each step of a hop is logged: its target and what the worker reported. At the default
// level it is not.
void HopLogLines() {
  for (const bool debug : {true, false}) {
    Listener worker;
    Program p(OneTarget(worker.address), "{\"enabled\":false}",
              debug ? "{\"log\":{\"level\":\"debug\"}}" : "{}");
    Conn client = Conn::Connect(p.address);
    client.Send(JobRequest("aa01"));
    Conn hop = worker.Accept();
    hop.ReadHttp();
    hop.Send(kAccepted);
    PostCallback(p, "aa01", "w0", "\"done\",\"result\":\"r\"");
    assert(Contains(client.ReadHttp(), " 200 "));
    p.Signal(SIGTERM);
    assert(p.WaitForExit() == 0);
    assert(Contains(p.log, "hop id=aa01 hop=0 to=" + worker.address) == debug);
    assert(Contains(p.log, "hop id=aa01 hop=-1 to=w0 step=done") == debug);
  }
}

// A refused connection cannot have run the job, so even an at-most-once job is retried at another worker.
void RefusedConnection() {
  Listener dead, worker;
  dead.Close();
  Config config;
  config.targets = Target("w0", dead.address) + "," + Target("w1", worker.address);
  Program p(config.Json());
  for (const std::string id : {"aa01", "aa02", "aa03", "aa04"}) {
    Conn client = Conn::Connect(p.address);
    client.Send(JobRequest(id, "/once"));
    Conn hop = worker.Accept();
    hop.ReadHttp();
    PostCallback(p, id, "w1", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    assert(Contains(client.ReadHttp(), " 200 "));
  }
}

// A worker accepts a job and reports nothing more: the client gets a response before its deadline, and the
// worker a DELETE.
void Deadline() {
  Listener worker;
  Program p(OneTarget(worker.address));
  Conn client = Conn::Connect(p.address);
  const double sent = Now();
  client.Send(JobRequest("aa01", "/once", 400));
  Conn hop = worker.Accept();
  hop.ReadHttp();
  hop.Send(kAccepted);
  assert(Contains(client.ReadHttp(), " 502 ") && Now() - sent < 0.4 && Now() - sent > 0.25);
  assert(Contains(hop.ReadHttp(), "DELETE /jobs/aa01 HTTP/1.1\r\n"));
}

// When the client disconnects, a hop that the worker has not accepted yet is cancelled by closing its
// connection.
void ClientDisconnects() {
  Listener worker;
  Program p(OneTarget(worker.address));
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  Conn hop = worker.Accept();
  hop.ReadHttp();
  client.Close();
  assert(hop.PeerClosed());
}

// Malformed and unsupported requests get error responses, and the program keeps serving.
void BadInput() {
  Listener worker;
  Config config;
  config.targets = Target("w0", worker.address);
  config.extra_limits = ",\"mostHeld\":1";
  Program p(config.Json());
  const auto ask = [&p](const std::string& text) { return Conn::Connect(p.address).RequestHttp(text); };
  assert(Contains(ask("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: a1\r\nContent-Length: 65537\r\n\r\n"),
                  " 413 "));
  // The response is written while most of the body is still arriving; a reset must not discard it.
  Conn large = Conn::Connect(p.address);
  large.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: a1\r\nContent-Length: 200000\r\n\r\n");
  for (int i = 0; i < 20; ++i) large.Send(std::string(10'000, 'x')), Pause(0.002);
  assert(Contains(large.ReadHttp(), " 413 ") && large.PeerClosed());
  assert(Contains(ask("nonsense\r\n\r\n"), " 400 "));
  assert(Contains(ask("GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n"), " 431 "));
  assert(Contains(ask(JobRequest("aa01", "/nobody")), " 404 "));
  assert(Contains(ask(JobRequest("a/../b")), " 400 "));
  assert(
      Contains(ask("POST /preview HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline-Ms: x\r\nContent-Length: 0\r\n\r\n"),
               " 400 "));
  assert(Contains(ask("POST /save HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 0\r\n\r\n"),
                  " 400 "));  // no idempotency key
  assert(Contains(ask("POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n[}"), " 400 "));
  // A callback for an unknown job is rejected so that the worker retries it: during an upgrade the other
  // process may hold the job.
  assert(Contains(PostCallback(p, "ff", "w0", "\"done\""), " 503 "));
  Conn half = Conn::Connect(p.address);
  half.Send("POST /preview HTTP/1.1\r\nReq-Id: a");
  half.Close();
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  Conn hop = worker.Accept();
  const std::string shed = ask(JobRequest("aa02"));
  assert(Contains(shed, " 503 ") && Contains(shed, "Retry-After: "));
  PostCallback(p, "aa01", "w0", "\"done\",\"result\":\"r\"");
  assert(Contains(client.ReadHttp(), " 200 "));
}

// Invalid requests and slow clients get an error or a close within 3 s of connecting and reach no worker. A
// normal client is served meanwhile, with few descriptors.
void BadClients() {
  Listener worker;
  Config config;
  config.targets = Target("w0", worker.address);
  config.sockets = 256;
  config.memory_mb = 32;
  Program p(config.Json());
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
    Conn conn = Conn::Connect(p.address);
    const std::string answer = conn.RequestHttp(bad);
    assert((Contains(answer, " 400 ") || Contains(answer, " 413 ")) && conn.PeerClosed(3));
  }
  // Clients that send nothing, half a head, half a body or one byte at a time are all closed within 3 s and
  // do not delay other clients.
  std::vector<Conn> slow;
  const double began = Now();
  for (int i = 0; i < 100; ++i) slow.push_back(Conn::Connect(p.address));
  slow[0].Send("POST /preview HTTP/1.1\r\nReq-Id: a");
  slow[1].Send(job(id + "Content-Length: 50\r\n"));
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01", "/preview", 3900));
  Conn hop = worker.Accept();
  assert(Contains(hop.ReadHttp(), "Req-Id: aa01"));
  hop.Send(kAccepted);
  assert(Contains(Conn::Connect(p.address).RequestHttp(JobRequest("aa01")), " 409 "));
  for (int i = 0; i < 10; ++i) slow[2].Send(JobRequest("b1").substr(i, 1)), Pause(0.2);
  assert(Contains(slow[0].ReadHttp(), " 408 ") && Contains(slow[1].ReadHttp(), " 408 ") &&
         Contains(slow[2].ReadHttp(), " 408 "));
  for (Conn& conn : slow) assert(conn.PeerClosed(began + 3 - Now()));
  PostCallback(p, "aa01", "w0", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
  assert(Contains(client.ReadHttp(), " 200 "));
  assert(Contains(Conn::Connect(p.address).RequestHttp(JobRequest("aa01")), " 409 ") &&
         "a request id must not be used again");
  // A worker that answers 400 is not treated as failed: the next request goes to it immediately.
  Conn odd = Conn::Connect(p.address);
  odd.Send(JobRequest("aa02"));
  hop = worker.Accept();  // the previous connection was closed as idle
  assert(Contains(hop.ReadHttp(), "Req-Id: aa02"));
  hop.Send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  assert(Contains(odd.ReadHttp(), " 400 ") && !worker.HasConnection(0.05));
  Conn next = Conn::Connect(p.address);
  next.Send(JobRequest("aa03"));
  assert(Contains(hop.ReadHttp(), "Req-Id: aa03"));
}

// A third of the descriptors is used by requests while idle connections fill the rest: all requests are
// accepted and callbacks get through.
void ThirdOfDescriptors() {
  Listener worker;
  Program p(OneTarget(worker.address));
  std::vector<Conn> clients, silent;
  for (int i = 0; i < 86; ++i) {
    clients.push_back(Conn::Connect(p.address));
    clients.back().Send(JobRequest("c" + std::to_string(i), "/preview", 4000));
    assert(clients.back().StaysSilent(0));
  }
  for (int i = 0; i < 300; ++i) silent.push_back(Conn::Connect(p.address));
  assert(Contains(PostCallback(p, "c0", "w0", "\"started\""), " 200 "));
  for (Conn& c : clients) assert(c.StaysSilent(0) && "a request was rejected");
}

// A worker declines a job before starting it and no hops are left: the job is shed at once with Retry-After,
// although the client would wait for seconds more and the class is at most once.
void ShedAtOnce() {
  Listener worker;
  Config config;
  config.targets = Target("w0", worker.address);
  config.most_hops = 1;
  Program p(config.Json());
  HopAudit audit;
  Conn client = Conn::Connect(p.address);
  const double sent = Now();
  client.Send(JobRequest("aa01", "/once"));
  Conn hop = worker.Accept();
  hop.ReadHttp();
  audit.HopSent("aa01", "w0", HopAudit::RetryScope::kNever);
  audit.HopEnded("aa01", false);
  hop.Send("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
  const std::string answer = client.ReadHttp();
  audit.Answered("aa01", true, HopAudit::RetryScope::kNever);
  assert(Contains(answer, " 503 ") && Contains(answer, "Retry-After: ") && Now() - sent < 1);
}

// Discovery: the next watch request follows a response at once, a 503 causes a back-off, and a draining
// target gets no new work.
void DrainingTarget() {
  Listener discovery, workers[2];
  Config config;
  config.discovery = discovery.address;
  config.targets = Target("w0", workers[0].address) + "," + Target("w1", workers[1].address);
  Program p(config.Json());
  HopAudit audit;
  Conn watch = discovery.Accept();
  assert(Contains(watch.ReadHttp(), "GET /v1/endpoints?from=4&hold_ms="));
  const std::string body = "{\"generation\":5,\"reset\":false,\"instances\":[" +
                           Target("w0", workers[0].address, "a", "draining") + "]}";
  const double started = Now();
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  assert(Contains(watch.ReadHttp(), "from=5") && Now() - started < 0.2);
  audit.TargetDraining("w0");
  watch.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  assert(watch.StaysSilent(0.1));
  for (const std::string id : {"aa01", "aa02", "aa03", "aa04", "aa05", "aa06"}) {
    Conn client = Conn::Connect(p.address);
    client.Send(JobRequest(id));
    Conn hop = workers[1].Accept();
    hop.ReadHttp();
    audit.HopSent(id, "w1");
    PostCallback(p, id, "w1", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    assert(Contains(client.ReadHttp(), " 200 "));
    audit.Answered(id);
  }
  assert(!workers[0].HasConnection(0.01) && Contains(watch.ReadHttp(), "from=5"));
}

// SIGHUP: an invalid file changes nothing. A new discovery address is asked for its full list at once, and
// again after an error; the old list is used until the new one, which lacks the old target, arrives. Requests
// in progress are kept, and a reload also works while the program is stopping.
void Reload() {
  Listener old, discovery, later, workers[2];
  Config config;
  config.memory_mb = 32;  // the smallest memory limit that a deployment sets
  config.discovery = old.address;
  config.targets = Target("w0", workers[0].address);
  Program p(config.Json());
  const auto answer = [](int generation, const char* reset, const std::string& targets) {
    const std::string body = "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + reset +
                             ",\"instances\":[" + targets + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const auto list = [&answer](int generation, const std::string& targets) {
    return answer(generation, "true", targets);
  };
  Conn before = old.Accept();
  before.ReadHttp();
  before.Send(answer(4, "false", ""));
  Conn client = Conn::Connect(p.address), next = Conn::Connect(p.address), hop = WarmUp(p, workers[0], "w0");
  client.Send(JobRequest("aa01"));
  hop.ReadHttp();
  hop.Send(kAccepted);
  PostCallback(p, "aa01", "w0", "\"started\"");
  p.WriteConfig("{\"listen\":");
  p.Signal(SIGHUP);
  assert(Contains(before.ReadHttp(), "from=4") && before.StaysSilent(0.2));
  config.discovery = discovery.address;
  p.WriteConfig(config.Json());
  const double started = Now();
  p.Signal(SIGHUP);
  Conn watch = discovery.Accept();
  assert(Contains(watch.ReadHttp(), "GET /v1/endpoints HTTP/1.1\r\n") && before.PeerClosed());
  watch.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  assert(Contains(watch.ReadHttp(), "GET /v1/endpoints HTTP/1.1\r\n") && Now() - started < 1);
  next.Send(JobRequest("aa02"));
  assert(Contains(hop.ReadHttp(), "Req-Id: aa02"));
  hop.Send(kAccepted);
  watch.Send(list(2, Target("w1", workers[1].address)));
  assert(Contains(watch.ReadHttp(), "from=2&hold_ms="));
  Conn third = Conn::Connect(p.address);
  third.Send(JobRequest("aa03"));
  Conn other = workers[1].Accept();
  assert(Contains(other.ReadHttp(), "Req-Id: aa03") && hop.StaysSilent(0.05));
  p.Signal(SIGTERM);
  config.discovery = later.address;
  p.WriteConfig(config.Json());
  p.Signal(SIGHUP);
  Conn last = later.Accept();
  assert(Contains(last.ReadHttp(), "GET /v1/endpoints HTTP/1.1\r\n") && watch.PeerClosed());
  last.Send(list(1, Target("w1", workers[1].address)));
  for (const std::string id : {"aa01", "aa02"})
    PostCallback(p, id, "w0", "\"done\",\"result\":\"" + id + "\"");
  PostCallback(p, "aa03", "w1", "\"done\",\"result\":\"aa03\"");
  assert(Contains(client.ReadHttp(), "aa01") && Contains(next.ReadHttp(), "aa02") &&
         Contains(third.ReadHttp(), "aa03"));
  assert(p.WaitForExit() == 0 && Contains(p.log, "reload failed=\"config: not JSON") &&
         Contains(p.log, "taken=4 served=4"));
}

// SIGTERM: requests in progress get their responses, late requests and callbacks are still accepted, and the
// program then exits with 0.
void Sigterm() {
  Listener worker;
  Program p(OneTarget(worker.address));
  Conn client = Conn::Connect(p.address), idle = Conn::Connect(p.address), late = Conn::Connect(p.address),
       hop = WarmUp(p, worker, "w0");
  client.Send(JobRequest("aa01"));
  hop.ReadHttp();
  hop.Send(kAccepted);
  PostCallback(p, "aa01", "w0", "\"started\"");
  const double started = Now();
  p.Signal(SIGTERM);
  Pause(0.1);
  late.Send(JobRequest("aa02", "/once"));
  assert(Contains(hop.ReadHttp(), "aa02"));
  hop.Send(kAccepted);
  assert(idle.StaysSilent(1.2) &&
         "idle connections stay open at first: their clients may have no other process to use");
  assert(idle.PeerClosed(0.6) && "idle connections are then closed, since they could bring new requests");
  PostCallback(p, "aa02", "w0", "\"done\",\"result\":\"two\"");
  assert(Contains(late.ReadHttp(), "two"));
  PostCallback(p, "aa01", "w0", "\"done\",\"result\":\"one\"");
  assert(Contains(client.ReadHttp(), "one"));
  assert(p.WaitForExit() == 0 && Now() - started > 0.7);
  assert(Contains(p.log, "counters http taken=3 served=3") && Contains(p.log, "end=answered"));
}

// A planned stop with a short longest deadline: the platform kills the process that deadline plus 0.7 s after
// SIGTERM. Clients keep sending on connections that are still open; every accepted request must have its
// whole response before the kill.
void StopBeforeKill(int deadline_ms) {
  Listener worker;
  Config config;
  config.targets = Target("w0", worker.address);
  config.aim = deadline_ms * 1000 / 2;
  config.deadline = deadline_ms * 1000;
  Program p(config.Json());
  std::vector<Conn> clients;
  for (int i = 0; i < 8; ++i) {  // serve each client once, so that its connection is kept open
    clients.push_back(Conn::Connect(p.address));
    const std::string id = "warm-" + std::to_string(i);
    clients.back().Send(JobRequest(id, "/preview", deadline_ms));
    Conn hop = worker.Accept();
    hop.ReadHttp();
    hop.Send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    PostCallback(p, id, "w0", "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}");
    clients.back().ReadHttp();
  }
  const double kill_after = deadline_ms / 1e3 + 0.7, started = Now();
  p.Signal(SIGTERM);
  std::vector<Conn*> asked;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    // Spread from the end of the period for late requests to just before the kill; no worker ever responds.
    const double at =
        started + 0.65 + (kill_after - 0.68) * static_cast<double>(i) / static_cast<double>(clients.size());
    Pause(std::max(0.0, at - Now()));
    if (clients[i].PeerClosed(0)) continue;  // closed between requests: the client would use another process
    clients[i].Send(JobRequest("late-" + std::to_string(i), "/preview", deadline_ms));
    asked.push_back(&clients[i]);
  }
  for (Conn* client : asked) {
    assert(!client->StaysSilent(std::max(0.0, started + kill_after - Now())) &&
           "no response by the time of the kill");
    assert(Contains(client->ReadHttp(), "HTTP/1.1 "));
  }
  assert(p.WaitForExit() == 0 && Now() - started < kill_after + 0.05 && "the program exits before the kill");
}
void SigtermWithShortDeadlines() {
  for (const int deadline_ms : {1200, 700, 300}) StopBeforeKill(deadline_ms);
}

// With the scheduler's wall clock an hour ahead of the workers', a worker that has just started is still in
// slow start and gets little of the traffic.
void WrongClock() {
  Listener workers[2];
  Config config;
  config.warm_up = 60'000'000;
  config.targets = Target("w0", workers[0].address) + "," + Target("w1", workers[1].address);
  std::string json = config.Json();
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
    Conn client = Conn::Connect(p.address);
    client.Send(JobRequest(id));
    auto [which, hop] = AcceptFirst(workers, 2);
    ++hops[which];
    hop.ReadHttp();
    hop.Send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    PostCallback(p, id, "w" + std::to_string(which), "\"done\",\"result\":\"r\"");
    client.ReadHttp();
  }
  assert(hops[1] <= 4 && "a worker in slow start was treated as warm");
}

// A worker that restarts while discovery is down is in slow start: its port first refuses connections and
// then accepts them. Guards against the fault that such a worker got the traffic of a warm one at once.
void RestartWhileDiscoveryIsDown() {
  Listener workers[2];
  Config config;  // no discovery listens at the default address
  config.warm_up = 60'000'000;
  config.targets = Target("w0", workers[0].address) + "," + Target("w1", workers[1].address);
  std::string json = config.Json();
  json.replace(json.find("\"coldFrom\":0.3"), 14, "\"coldFrom\":0.02");
  Program p(json);
  int serial = 0;
  const auto serve = [&](int open) {  // serves one job; returns which of the first `open` workers got it
    const std::string id = "aa" + std::to_string(++serial);
    Conn client = Conn::Connect(p.address);
    client.Send(JobRequest(id));
    auto [which, attempt] = AcceptFirst(workers, open);
    attempt.ReadHttp();
    attempt.Send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    PostCallback(p, id, "w" + std::to_string(which), "\"done\",\"result\":\"r\"");
    assert(Contains(client.ReadHttp(), " 200 "));
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
void MoreConnectionsThanDescriptors() {
  Listener worker;
  Config config;
  config.targets = Target("w0", worker.address);
  config.sockets = 200;
  Program p(config.Json());
  std::vector<Conn> idle_connections;
  for (int i = 0; i < 300; ++i) idle_connections.push_back(Conn::Connect(p.address));
  Conn client = Conn::Connect(p.address);
  client.Send(JobRequest("aa01"));
  Conn hop = worker.Accept();
  hop.ReadHttp();
  assert(Contains(PostCallback(p, "aa01", "w0", "\"done\",\"result\":\"r\""), " 200 ") &&
         Contains(client.ReadHttp(), " 200 "));
  assert(idle_connections[0].PeerClosed(1));
}

// Many clients that connect at once are accepted at the configured rate. A client connected before is served
// meanwhile, and one that connects after them waits only for its turn.
void AcceptRate() {
  Config config;
  config.sockets = 1024;
  Program p(config.Json(), "{\"enabled\":false}",
            "{\"limits\":{\"enabled\":true,\"accepts\":{\"per_s\":100,\"burst\":10}}}");
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
  Conn before = Conn::Connect(p.address);
  before.Send(ready);
  before.ReadHttp();
  std::vector<Conn> idle_connections;
  for (int i = 0; i < 100; ++i) idle_connections.push_back(Conn::Connect(p.address));
  const double began = Now();
  Conn behind = Conn::Connect(p.address);
  behind.Send(ready);
  before.Send(ready);
  before.ReadHttp();
  assert(Now() - began < 0.3 && "new connections delayed a client that is already connected");
  behind.ReadHttp();
  const double waited = Now() - began;
  assert(waited > 0.5 && waited < 2 && "100 connections ahead of it at 100 per second, less the burst");
  p.Signal(SIGTERM);
  assert(p.WaitForExit() == 0 && !Contains(p.log, "paced=0"));
}

// A rule file sets the class, rejects requests and limits the rate by key. SIGHUP loads a new file as a whole
// or not at all.
void Rules() {
  Listener worker;
  const std::string file = "/tmp/heronway-e2e-rules-" + std::to_string(getpid());
  const auto write = [&file](const std::string& text) { std::ofstream(file) << text; };
  write(
      "rate slow: 1 per 10s\n"
      "rule bad { when glob(header(\"User-Agent\"), \"Bad*\") refuse \"not you\" }\n"
      "rule old { when segment(1) == \"old-name\" class \"preview\" rate slow by header(\"X-Who\") }\n");
  Program p(OneTarget(worker.address), "{\"enabled\":false}", "{\"match\":{\"rules\":\"" + file + "\"}}");
  const auto ask = [&p](const std::string& id, const std::string& path, const std::string& more) {
    Conn c = Conn::Connect(p.address);
    c.Send("POST /" + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: 3000\r\n" +
           more + "Content-Length: 0\r\n\r\n");
    return c;
  };
  assert(Contains(ask("a1", "preview", "User-Agent: Bad/1\r\n").ReadHttp(), "HTTP/1.1 403"));
  Conn first = ask("a2", "old-name", "X-Who: me\r\n");
  Conn hop = worker.Accept();
  assert(Contains(hop.ReadHttp(), "POST /old-name HTTP/1.1"));
  const std::string limited = ask("a3", "old-name", "X-Who: me\r\n").ReadHttp();
  assert(Contains(limited, "HTTP/1.1 429") &&
         (Contains(limited, "Retry-After: 9.") || Contains(limited, "Retry-After: 10.")));
  write("rule bad { when glob(header(\"User-Agent\"), ");  // an incomplete file
  p.Signal(SIGHUP);
  Pause(0.2);
  assert(Contains(ask("a4", "preview", "User-Agent: Bad/1\r\n").ReadHttp(), "HTTP/1.1 403"));
  write("rule all { refuse \"closed\" }\n");
  p.Signal(SIGHUP);
  Pause(0.2);
  assert(Contains(ask("a5", "preview", "").ReadHttp(), "closed"));
  PostCallback(p, "a2", "w0",
               "\"done\",\"result\":\"r\"");  // a request in progress keeps the rules it was accepted under
  assert(Contains(first.ReadHttp(), "HTTP/1.1 200"));
  std::remove(file.c_str());
  p.Signal(SIGTERM);
  assert(p.WaitForExit() == 0 && Contains(p.log, "expected"));
}

// Rules that select targets: a job goes only to those, and reloaded rules also apply to targets already in
// the route table.
void Targets() {
  Listener first, second;
  const std::string file = "/tmp/heronway-e2e-targets-" + std::to_string(getpid());
  const auto write = [&file](const std::string& text) { std::ofstream(file) << text; };
  write("rule b { when segment(1) == \"preview\" targets zone \"b\" tenant header(\"X-Who\") }\n");
  Config config;
  std::string labelled = Target("w0", first.address, "a");
  labelled.insert(labelled.size() - 1, ",\"labels\":[\"quick\"]");
  config.targets = labelled + "," + Target("w1", second.address, "b");
  Program p(config.Json(), "{\"enabled\":false}", "{\"match\":{\"rules\":\"" + file + "\"}}");
  const auto serve = [&p](Listener& target, const std::string& name, const std::string& id) {
    Conn c = Conn::Connect(p.address);
    c.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
           "\r\nReq-Deadline-Ms: 3000\r\nX-Who: us\r\nContent-Length: 0\r\n\r\n");
    Conn hop = target.Accept();
    assert(Contains(hop.ReadHttp(), "Req-Id: " + id));
    hop.Send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    PostCallback(p, id, name, "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":2}");
    assert(Contains(c.ReadHttp(), "HTTP/1.1 200"));
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
  assert(p.WaitForExit() == 0);
  assert(Contains(p.log, "tenant http tenant=us taken=4 served=4") && Contains(p.log, "rule rule=b hits=2"));
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::RunTest(argc, argv,
                      {{"served", Served},
                       {"targets", Targets},
                       {"late_news", LateCallback},
                       {"reset", ConnectionBreaks},
                       {"silent", SilentWorker},
                       {"kept", KeptConnectionBreaks},
                       {"never_ran", RefusedConnection},
                       {"deadline", Deadline},
                       {"client_gone", ClientDisconnects},
                       {"bad_input", BadInput},
                       {"bad_clients", BadClients},
                       {"third", ThirdOfDescriptors},
                       {"shed_at_once", ShedAtOnce},
                       {"draining", DrainingTarget},
                       {"reload", Reload},
                       {"paced", AcceptRate},
                       {"rules", Rules},
                       {"term", Sigterm},
                       {"term_short", SigtermWithShortDeadlines},
                       {"wrong_clock", WrongClock},
                       {"unheard_restart", RestartWhileDiscoveryIsDown},
                       {"crowd", MoreConnectionsThanDescriptors},
                       {"hop_lines", HopLogLines}});
}
