// Stories of the watch on discovery: when it must be opened anew, whatever became of the call before.
#include "story.h"

namespace {
using namespace story;

// What discovery has counts as told 6 s later; fresh work must have stopped a grace after that.
constexpr double kCountsAsTold = 6;

std::string Changes(int generation, const std::string& targets, const char* reset = "false") {
  const std::string body = "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + reset +
                           ",\"instances\":[" + targets + "]}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A watch that falls silent in the moment in which it opened, and a drain right behind that: the next one is
// opened, on another connection, in time for the drain to be known 6 s after discovery had it.
void Silent() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at) + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Conn silent = discovery.Accept();
  assert(Has(silent.Http(), "from=4&hold_ms="));
  const double drains = Now();
  assert(discovery.Called(kCountsAsTold) && "a silent watch was not opened anew in time");
  Conn watch = discovery.Accept();
  assert(Has(watch.Http(), "from=4&hold_ms=") && silent.Ended());
  watch.Send(Changes(5, Target("w0", workers[0].at, "a", "draining")));
  assert(Has(watch.Http(), "from=5") && Now() - drains < kCountsAsTold);
  Conn client = Conn::To(p.at);
  client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa01\r\nContent-Length: 0\r\n\r\n");
  workers[1].Accept();
  assert(!workers[0].Called(0.05));
}

// Discovery that is down for long: however often a call failed, the next comes soon enough for a change to be
// known 6 s after discovery is back.
void Down() {
  Peer discovery, worker;
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", worker.at);
  Program p(site.Json());
  discovery.Accept().Close();
  for (int i = 0; i < 5; ++i) {
    const double failed = Now();
    assert(discovery.Called(kCountsAsTold / 2) && "the back-off outlasts what may go unheard");
    Conn call = discovery.Accept();
    call.Http();
    if (i % 2 == 0)
      call.Send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    call.Close();
    assert(Now() - failed > 0.1 && "it calls without a pause");
  }
}

// Changes of an earlier generation than the one that is known: the table stays, and the whole list is asked
// for, since nobody can tell what came between.
void Older() {
  Peer discovery, workers[2];
  Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", workers[0].at, "a", "draining") + "," + Target("w1", workers[1].at);
  Program p(site.Json());
  Conn watch = discovery.Accept();
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
  assert(!workers[0].Called(0.05) && "an old list brought a draining target back");
  next.Send(Changes(2, Target("w1", workers[1].at), "true"));
  assert(Has(next.Http(), "from=2&hold_ms="));
}

// An answer that never ends, byte by byte: the clock runs from the call, not from the last byte.
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
    assert(Now() - called < kCountsAsTold && "it waits for as long as bytes come");
    if (!watch.Ended(0)) watch.Send(" ");
  }
  assert(Has(discovery.Accept().Http(), "from=4&hold_ms="));
}

}  // namespace

int main(int argc, char** argv) {
  return story::Run(argc, argv, {{"silent", Silent}, {"down", Down}, {"older", Older}, {"endless", Endless}});
}
