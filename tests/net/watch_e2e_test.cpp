// End-to-end tests of the discovery watch: when it must be reopened after each kind of failure, and which
// route table is used meanwhile.
#include "e2e_harness.h"

namespace {
using namespace e2e;

// Seconds after a change in discovery at which the scheduler must know it. New work for a removed or draining
// target must stop a grace period after that.
constexpr double kCountsAsTold = 6;

std::string Changes(int generation, const std::string& targets, const char* reset = "false") {
  const std::string body = "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + reset +
                           ",\"instances\":[" + targets + "]}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A watch that gets no response from the start, and a drain right after it was opened: a new watch is opened
// on another connection early enough for the drain to be known within 6 s.
void Silent() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Conn silent = discovery.Accept();
  assert(Has(silent.Http(), "from=4&hold_ms="));
  const double drains = Now();
  assert(discovery.Called(kCountsAsTold) && "a silent watch was not reopened in time");
  Conn watch = discovery.Accept();
  assert(Has(watch.Http(), "from=4&hold_ms=") && silent.Ended());
  watch.Send(Changes(5, Target("w0", workers[0].at, "a", "draining")));
  assert(Has(watch.Http(), "from=5") && Now() - drains < kCountsAsTold);
  Conn client = Conn::To(p.at);
  client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa01\r\nContent-Length: 0\r\n\r\n");
  workers[1].Accept();
  assert(!workers[0].Called(0.05));
}

// Discovery is down for a long time: the back-off stays short enough for a change to be known within 6 s
// after discovery is back, however many calls failed.
void Down() {
  Peer discovery, worker;
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", worker.at);
  Program p(site.Json());
  discovery.Accept().Close();
  for (int i = 0; i < 5; ++i) {
    const double failed = Now();
    assert(discovery.Called(kCountsAsTold / 2) && "the back-off is longer than a change may stay unknown");
    Conn call = discovery.Accept();
    call.Http();
    if (i % 2 == 0)
      call.Send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    call.Close();
    assert(Now() - failed > 0.1 && "calls are repeated without a pause");
  }
}

// A change with an older generation than the known one leaves the route table as it is, and the full list is
// requested, since changes may have been missed.
void Older() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at, "a", "draining") + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Conn watch = discovery.Accept();
  assert(Has(watch.Http(), "from=4"));
  watch.Send(Changes(4, ""));
  assert(Has(watch.Http(), "from=4"));
  watch.Send(Changes(3, Target("w0", workers[0].at)));
  Conn next = discovery.Accept();
  assert(Has(next.Http(), "GET /v1/endpoints HTTP/1.1\r\n") && watch.Ended());
  for (int i = 0; i < 4; ++i) {
    Conn client = Conn::To(p.at);
    client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa0" + std::to_string(i) +
                "\r\nContent-Length: 0\r\n\r\n");
    workers[1].Accept();
  }
  assert(!workers[0].Called(0.05) && "an older list made a draining target ready again");
  next.Send(Changes(2, Target("w1", workers[1].at), "true"));
  assert(Has(next.Http(), "from=2&hold_ms="));
}

// A response that arrives byte by byte and never ends: the timeout runs from the request and not from the
// last byte.
void Endless() {
  Peer discovery, worker;
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", worker.at);
  Program p(site.Json());
  Conn watch = discovery.Accept();
  watch.Http();
  const double called = Now();
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{");
  while (!discovery.Called(0.2)) {
    assert(Now() - called < kCountsAsTold && "the timeout was extended by each byte");
    if (!watch.Ended(0)) watch.Send(" ");
  }
  assert(Has(discovery.Accept().Http(), "from=4&hold_ms="));
}

// Discovery closes the connection right after its response, or sends a second, unrequested response after it,
// before the program reads either: the next request goes out at once on another connection.
void Behind() {
  for (const bool ends : {true, false}) {
    Peer discovery, worker;
    Site site;
    site.discovery = discovery.at;
    site.targets = Target("w0", worker.at);
    Program p(site.Json());
    Conn watch = discovery.Accept();
    watch.Http();
    p.Freeze();
    watch.Send(Changes(5, ""));
    ends ? watch.Close() : watch.Send(Changes(6, ""));
    const double thawed = Now();
    p.Thaw();
    assert(discovery.Called(1) && Now() - thawed < 1 &&
           "the next request is late or reuses the unusable connection");
    assert(Has(discovery.Accept().Http(), "from=5&hold_ms="));
  }
}

// Idle clients fill the descriptors while discovery is down. Discovery is still polled, and once it is back
// the watch, a hop and a callback get descriptors within the limit.
void Crowded() {
  Peer discovery, worker;
  Site site;
  site.discovery = discovery.at;
  site.sockets = 64;  // the smallest value that a configuration may have
  Program p(site.Json());
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
  std::vector<Conn> crowd;
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(Conn::To(p.at));
    if (i % 2 == 0 && i < 20) assert(Has(crowd.back().Ask(ready), " 503 "));
  }
  for (int i = 0; i < 2; ++i) discovery.Accept().Close();  // discovery is down
  Conn watch = discovery.Accept();
  watch.Http();
  assert(p.Descriptors() <= site.sockets);
  watch.Send(Changes(9, Target("w1", worker.at), "true"));
  assert(Has(watch.Http(), "from=9"));
  for (int i = 0; i < 100; ++i) crowd.push_back(Conn::To(p.at));
  assert(Has(Conn::To(p.at).Ask(ready), " 200 "));
  Conn client = Conn::To(p.at);
  client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa01\r\nContent-Length: 0\r\n\r\n");
  Conn hop = worker.Accept();
  hop.Http();
  const std::string news = "{\"id\":\"aa01\",\"from\":\"w1\",\"state\":\"done\",\"result\":\"r\"}";
  assert(Has(Conn::To(p.at).Ask("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                                std::to_string(news.size()) + "\r\n\r\n" + news),
             " 200 "));
  assert(Has(client.Http(), " 200 ") && p.Descriptors() <= site.sockets);
}

std::string Preview(const std::string& id) {
  return "POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

// A process starts with a route table of unknown age from its configuration. Until discovery has responded,
// the process is not ready and sends no work, since the table may lack changes it should already know. A
// request that arrives meanwhile waits and is sent by the list in the response.
void CachedList() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at);
  Program p(site.Json());
  Conn client = Conn::To(p.at);
  client.Send(Preview("aa01"));
  Conn watch = discovery.Accept();
  assert(Has(watch.Http(), "from=4&hold_ms="));
  assert(!workers[0].Called(0.5) && "work was sent by a list that discovery has not confirmed");
  assert(Has(Conn::To(p.at).Ask("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 503 "));
  watch.Send(Changes(9, Target("w0", workers[0].at, "a", "gone") + "," + Target("w1", workers[1].at)));
  assert(Has(watch.Http(), "from=9"));
  assert(Has(workers[1].Accept().Http(), "Req-Id: aa01") && !workers[0].Called(0.05));
  assert(Has(Conn::To(p.at).Ask("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 200 "));
}

// Discovery accepts connections, but no response arrives whole. Once the list was last confirmed 6 s ago it
// counts as out of date, and no work is sent by it until a response confirms or replaces it.
void TornForLong() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at);
  Program p(site.Json());
  Conn watch = discovery.Accept();
  watch.Http();
  watch.Send(Changes(5, ""));
  const double confirmed = Now();
  assert(Has(watch.Http(), "from=5"));
  const std::string whole = Changes(6, Target("w0", workers[0].at, "a", "gone"));
  const std::string torn = whole.substr(0, whole.size() - 20);
  watch.Send(torn);
  watch.Close();
  for (double left; (left = confirmed + kCountsAsTold - Now()) > 0;) {
    if (!discovery.Called(left)) break;
    Conn call = discovery.Accept();
    assert(Has(call.Http(), "from=5"));
    call.Send(torn);
  }
  Conn client = Conn::To(p.at);
  client.Send(Preview("aa01"));
  assert(!workers[0].Called(0.2) && "work was sent by a list that is out of date");
  Conn call = discovery.Accept();
  call.Http();
  call.Send(Changes(7, Target("w0", workers[0].at, "a", "gone") + "," + Target("w1", workers[1].at)));
  assert(Has(workers[1].Accept().Http(), "Req-Id: aa01") && !workers[0].Called(0.05));
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::Run(argc, argv,
                  {{"cached_list", CachedList},
                   {"torn_for_long", TornForLong},
                   {"silent", Silent},
                   {"down", Down},
                   {"older", Older},
                   {"endless", Endless},
                   {"behind", Behind},
                   {"crowded", Crowded}});
}
