// End-to-end tests of the discovery watch: when it must be reopened after each kind of failure, and which
// route table is used meanwhile.
#include "e2e_harness.h"

namespace {
using namespace e2e;

// Seconds after a change in discovery at which the scheduler must know it. New work for a removed or draining
// target must stop a grace period after that.
constexpr double kKnownWithin = 6;

// A response of discovery with changed entries, or with the full list if `reset` is true.
std::string ChangesResponse(int generation, const std::string& targets, const char* reset = "false") {
  const std::string body = "{\"generation\":" + std::to_string(generation) + ",\"reset\":" + reset +
                           ",\"instances\":[" + targets + "]}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The program with discovery and one worker, w0, that its configuration lists.
struct OneWorker {
  OneWorker() : config(Configured()), program(config.Json()) {}
  Config Configured() const {
    Config listed;
    listed.discovery = discovery.address;
    listed.targets = Target("w0", worker.address);
    return listed;
  }
  Listener discovery, worker;
  Config config;
  Program program;
};

// A watch that gets no response from the start, and a drain right after it was opened: a new watch is opened
// on another connection early enough for the drain to be known within 6 s.
void SilentWatch() {
  Listener discovery, workers[2];
  Config config;
  config.discovery = discovery.address;
  config.targets = Target("w0", workers[0].address) + "," + Target("w1", workers[1].address);
  Program p(config.Json());
  Conn silent = discovery.Accept();
  assert(Contains(silent.ReadHttp(), "from=4&hold_ms="));
  const double drains = Now();
  assert(discovery.HasConnection(kKnownWithin) && "a silent watch was not reopened in time");
  Conn watch = discovery.Accept();
  assert(Contains(watch.ReadHttp(), "from=4&hold_ms="));
  assert(!silent.PeerClosed(0.2) && "a call that discovery may still answer was given up");
  watch.Send(ChangesResponse(5, Target("w0", workers[0].address, "a", "draining")));
  assert(Contains(watch.ReadHttp(), "from=5") && Now() - drains < kKnownWithin);
  assert(silent.PeerClosed() && "the silent watch was kept beside the one that answers");
  Conn client = Conn::Connect(p.address);
  client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa01\r\nContent-Length: 0\r\n\r\n");
  workers[1].Accept();
  assert(!workers[0].HasConnection(0.05));
}

// Discovery is down for a long time: the back-off stays short enough for a change to be known within 6 s
// after discovery is back, however many calls failed.
void DiscoveryDown() {
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  discovery.Accept().Close();
  for (int i = 0; i < 5; ++i) {
    const double failed = Now();
    assert(discovery.HasConnection(kKnownWithin / 2) &&
           "the back-off is longer than a change may stay unknown");
    Conn call = discovery.Accept();
    call.ReadHttp();
    if (i % 2 == 0)
      call.Send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    call.Close();
    assert(Now() - failed > 0.1 && "calls are repeated without a pause");
  }
}

// A change with an older generation than the known one leaves the route table as it is, and the full list is
// requested, since changes may have been missed.
void OlderGeneration() {
  Listener discovery, workers[2];
  Config config;
  config.discovery = discovery.address;
  config.targets = Target("w0", workers[0].address, "a", "draining") + "," + Target("w1", workers[1].address);
  Program p(config.Json());
  Conn watch = discovery.Accept();
  assert(Contains(watch.ReadHttp(), "from=4"));
  watch.Send(ChangesResponse(4, ""));
  assert(Contains(watch.ReadHttp(), "from=4"));
  watch.Send(ChangesResponse(3, Target("w0", workers[0].address)));
  Conn next = discovery.Accept();
  assert(Contains(next.ReadHttp(), "GET /v1/endpoints HTTP/1.1\r\n") && watch.PeerClosed());
  for (int i = 0; i < 4; ++i) {
    Conn client = Conn::Connect(p.address);
    client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa0" + std::to_string(i) +
                "\r\nContent-Length: 0\r\n\r\n");
    workers[1].Accept();
  }
  assert(!workers[0].HasConnection(0.05) && "an older list made a draining target ready again");
  next.Send(ChangesResponse(2, Target("w1", workers[1].address), "true"));
  assert(Contains(next.ReadHttp(), "from=2&hold_ms="));
}

// A response that arrives byte by byte and never ends: the timeout runs from the request and not from the
// last byte.
void EndlessResponse() {
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  const double called = Now();
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{");
  while (!discovery.HasConnection(0.2)) {
    assert(Now() - called < kKnownWithin && "the timeout was extended by each byte");
    if (!watch.PeerClosed(0)) watch.Send(" ");
  }
  assert(Contains(discovery.Accept().ReadHttp(), "from=4&hold_ms="));
}

// Discovery closes the connection right after its response, or sends a second, unrequested response after it,
// before the program reads either: the next request goes out at once on another connection.
void DataAfterResponse() {
  for (const bool ends : {true, false}) {
    Listener discovery, worker;
    Config config;
    config.discovery = discovery.address;
    config.targets = Target("w0", worker.address);
    Program p(config.Json());
    Conn watch = discovery.Accept();
    watch.ReadHttp();
    p.Suspend();
    watch.Send(ChangesResponse(5, ""));
    ends ? watch.Close() : watch.Send(ChangesResponse(6, ""));
    const double resumed = Now();
    p.Resume();
    assert(discovery.HasConnection(1) && Now() - resumed < 1 &&
           "the next request is late or reuses the unusable connection");
    assert(Contains(discovery.Accept().ReadHttp(), "from=5&hold_ms="));
  }
}

// Idle clients fill the descriptors while discovery is down. Discovery is still polled, and once it is back
// the watch, a hop and a callback get descriptors within the limit.
void DescriptorsFull() {
  Listener discovery, worker;
  Config config;
  config.discovery = discovery.address;
  config.sockets = 64;  // the smallest value that a configuration may have
  Program p(config.Json());
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
  std::vector<Conn> connections;
  for (int i = 0; i < 100; ++i) {
    connections.push_back(Conn::Connect(p.address));
    if (i % 2 == 0 && i < 20) assert(Contains(connections.back().RequestHttp(ready), " 503 "));
  }
  for (int i = 0; i < 2; ++i) discovery.Accept().Close();  // discovery is down
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  assert(p.OpenDescriptors() <= config.sockets);
  watch.Send(ChangesResponse(9, Target("w1", worker.address), "true"));
  assert(Contains(watch.ReadHttp(), "from=9"));
  for (int i = 0; i < 100; ++i) connections.push_back(Conn::Connect(p.address));
  assert(Contains(Conn::Connect(p.address).RequestHttp(ready), " 200 "));
  Conn client = Conn::Connect(p.address);
  client.Send("POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: aa01\r\nContent-Length: 0\r\n\r\n");
  Conn hop = worker.Accept();
  hop.ReadHttp();
  const std::string callback = "{\"id\":\"aa01\",\"from\":\"w1\",\"state\":\"done\",\"result\":\"r\"}";
  assert(Contains(
      Conn::Connect(p.address).RequestHttp("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                                           std::to_string(callback.size()) + "\r\n\r\n" + callback),
      " 200 "));
  assert(Contains(client.ReadHttp(), " 200 ") && p.OpenDescriptors() <= config.sockets);
}

std::string PreviewRequest(const std::string& id) {
  return "POST /preview HTTP/1.1\r\nHost: s\r\nReq-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

// A process starts with a route table of unknown age from its configuration. Until discovery has responded,
// the process is not ready and sends no work, since the table may lack changes it should already know. A
// request that arrives meanwhile waits and is sent by the list in the response.
void UnconfirmedList() {
  Listener discovery, workers[2];
  Config config;
  config.discovery = discovery.address;
  config.targets = Target("w0", workers[0].address);
  Program p(config.Json());
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  Conn watch = discovery.Accept();
  assert(Contains(watch.ReadHttp(), "from=4&hold_ms="));
  assert(!workers[0].HasConnection(0.5) && "work was sent by a list that discovery has not confirmed");
  assert(Contains(Conn::Connect(p.address).RequestHttp("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 503 "));
  watch.Send(ChangesResponse(
      9, Target("w0", workers[0].address, "a", "gone") + "," + Target("w1", workers[1].address)));
  assert(Contains(watch.ReadHttp(), "from=9"));
  assert(Contains(workers[1].Accept().ReadHttp(), "Req-Id: aa01") && !workers[0].HasConnection(0.05));
  assert(Contains(Conn::Connect(p.address).RequestHttp("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n"), " 200 "));
}

// Discovery accepts connections, but no response arrives whole. Once the list was last confirmed 6 s ago it
// counts as out of date, and no work is sent by it until a response confirms or replaces it.
void TruncatedResponses() {
  Listener discovery, workers[2];
  Config config;
  config.discovery = discovery.address;
  config.targets = Target("w0", workers[0].address);
  Program p(config.Json());
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  const double confirmed = Now();
  assert(Contains(watch.ReadHttp(), "from=5"));
  const std::string whole = ChangesResponse(6, Target("w0", workers[0].address, "a", "gone"));
  const std::string truncated = whole.substr(0, whole.size() - 20);
  watch.Send(truncated);
  watch.Close();
  for (double left; (left = confirmed + kKnownWithin - Now()) > 0;) {
    if (!discovery.HasConnection(left)) break;
    Conn call = discovery.Accept();
    assert(Contains(call.ReadHttp(), "from=5"));
    call.Send(truncated);
  }
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  assert(!workers[0].HasConnection(0.2) && "work was sent by a list that is out of date");
  Conn call = discovery.Accept();
  call.ReadHttp();
  call.Send(ChangesResponse(
      7, Target("w0", workers[0].address, "a", "gone") + "," + Target("w1", workers[1].address)));
  assert(Contains(workers[1].Accept().ReadHttp(), "Req-Id: aa01") && !workers[0].HasConnection(0.05));
}

// Discovery answers nothing any more, though its connections come up. Within the time that a slow one may
// take this is no outage: the list runs out as if it had answered last with the latest answer. After that
// it is one, and the list is acted on again.
void Silence() {
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  const double confirmed = Now();
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
  constexpr double kSlowest = 6, kReadyAgain = 12;
  assert(Contains(Conn::Connect(p.address).RequestHttp(ready), " 200 "));
  Pause(confirmed + kKnownWithin + 0.1 - Now());
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  assert(!worker.HasConnection(kSlowest - kKnownWithin + 1.5) &&
         "work was sent while discovery may have been slow");
  assert(Contains(Conn::Connect(p.address).RequestHttp(ready), " 503 "));
  while (!Contains(Conn::Connect(p.address).RequestHttp(ready), " 200 ")) {
    assert(Now() < confirmed + kReadyAgain && "an outage of discovery ends the service");
    Pause(0.1);
  }
}

// Discovery declines calls while an earlier one waits for its answer, as a busy one does: the list runs out
// as it does without the calls that were declined, and is not acted on again when one call alone was silent.
void DeclinesWhileACallWaits() {
  constexpr double kHold = 2.5, kSilence = 8;
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  const double confirmed = Now();
  watch.ReadHttp();
  for (double left; (left = confirmed + kHold + kSilence + 0.5 - Now()) > 0;) {
    if (!discovery.HasConnection(left)) break;
    Conn call = discovery.Accept();
    call.ReadHttp();
    call.Send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  }
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  assert(!worker.HasConnection(1) && "a discovery that is busy was taken for one that is down");
  watch.Send(ChangesResponse(5, ""));  // too old an answer to act on
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  assert(Contains(worker.Accept().ReadHttp(), "Req-Id: aa01"));
}

// Discovery takes 5 s for an answer and has lost the oldest call: a later one is answered all the same.
void SlowAnswersBesideALostCall() {
  constexpr double kAnswerTime = 5;
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Conn lost = discovery.Accept();
  lost.ReadHttp();
  lost.Send(ChangesResponse(5, ""));
  lost.ReadHttp();
  Conn later = discovery.Accept();
  later.ReadHttp();
  assert(!later.PeerClosed(kAnswerTime) && "a call was given up before its answer");
  later.Send(ChangesResponse(5, ""));
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  assert(Contains(worker.Accept().ReadHttp(), "Req-Id: aa01"));
}

// A call was lost at the other discovery, which is slow when it is moved back to: the silence since that
// call is no outage while a new one may be answered.
void SlowAnswersAfterMovesToAndFro() {
  constexpr double kAnswerTime = 5, kMovedBackAfter = 6;
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Listener other;
  const auto move = [&config, &p](const Listener& to) {
    config.discovery = to.address;
    p.WriteConfig(config.Json());
    p.Signal(SIGHUP);
  };
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  const double confirmed = Now();
  move(other);
  Conn lost = other.Accept();
  lost.ReadHttp();
  move(discovery);
  Conn silent = discovery.Accept();
  silent.ReadHttp();
  Pause(confirmed + kMovedBackAfter - Now());
  move(other);
  Conn call = other.Accept();
  call.ReadHttp();
  const double answered = Now() + kAnswerTime;
  Pause(confirmed + kKnownWithin + 2 - Now());
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  assert(!worker.HasConnection(answered - Now()) && "work was sent though discovery may tell of a drain");
  call.Send(ChangesResponse(5, Target("w0", worker.address), "true"));
  assert(Contains(worker.Accept().ReadHttp(), "Req-Id: aa01"));
}

// The answer to a call from before a move is older than the list that came since: it does not replace it.
void OlderListAfterMovesToAndFro() {
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Listener other, second;
  const auto move = [&config, &p](const Listener& to) {
    config.discovery = to.address;
    p.WriteConfig(config.Json());
    p.Signal(SIGHUP);
  };
  Conn watch = discovery.Accept();
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  move(other);
  Conn older = other.Accept();
  older.ReadHttp();
  move(discovery);
  Conn newer = discovery.Accept();
  newer.ReadHttp();
  newer.Send(ChangesResponse(
      7, Target("w0", worker.address, "a", "draining") + "," + Target("w1", second.address), "true"));
  newer.ReadHttp();
  move(other);
  assert(newer.PeerClosed());
  older.Send(ChangesResponse(5, Target("w0", worker.address), "true"));
  Pause(0.1);
  Conn client = Conn::Connect(p.address);
  client.Send(PreviewRequest("aa01"));
  assert(Contains(second.Accept().ReadHttp(), "Req-Id: aa01"));
  assert(!worker.HasConnection(0.1) && "work was sent to a server of which a drain had been told");
}

// A process starts while discovery accepts connections and says nothing: it is ready within 10 s, by the
// list of its configuration.
void SilentStart() {
  Listener discovery, worker;
  Config config;
  config.discovery = discovery.address;
  config.targets = Target("w0", worker.address);
  const double started = Now();
  Program p(config.Json());
  constexpr double kReadyWithin = 10;
  const std::string ready = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
  while (!Contains(Conn::Connect(p.address).RequestHttp(ready), " 200 ")) {
    assert(Now() - started < kReadyWithin && "a start waits for a discovery that hangs");
    Pause(0.1);
  }
}

// A new discovery declines each call at once, as one with too many callers does: but for one early retry it
// is not asked more often for the full list than for changes.
void DeclinedList() {
  OneWorker setup;
  auto& [old, worker, config, p] = setup;
  Listener discovery;
  Conn watch = old.Accept();
  watch.ReadHttp();
  watch.Send(ChangesResponse(5, ""));
  config.discovery = discovery.address;
  p.WriteConfig(config.Json());
  p.Signal(SIGHUP);
  int calls = 0;
  constexpr double kSeconds = 5, kLeastGap = 1.5;
  for (const double until = Now() + kSeconds; discovery.HasConnection(until - Now()); ++calls) {
    Conn call = discovery.Accept();
    assert(Contains(call.ReadHttp(), "GET /v1/endpoints HTTP/1.1\r\n"));
    call.Send("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  }
  assert(calls <= 2 + kSeconds / kLeastGap && "a discovery that declines is asked again and again");
}

// Discovery does not hold its calls but answers each at once, without a change: it is asked again within the
// 0.2 s that make a watch, not as fast as it answers.
void UnheldCalls() {
  OneWorker setup;
  auto& [discovery, worker, config, p] = setup;
  Conn watch = discovery.Accept();
  int calls = 0;
  constexpr double kSeconds = 2, kLeastGap = 0.05, kWatchGap = 0.2;
  for (const double until = Now() + kSeconds; Now() < until; ++calls) {
    const double answered = Now();
    watch.ReadHttp();
    assert(calls == 0 || Now() - answered < kWatchGap);
    watch.Send(ChangesResponse(5, ""));
  }
  assert(calls <= kSeconds / kLeastGap && "a discovery that does not hold its calls is flooded");
}

}  // namespace

int main(int argc, char** argv) {
  return e2e::RunTest(argc, argv,
                      {{"cached_list", UnconfirmedList},
                       {"torn_for_long", TruncatedResponses},
                       {"silent", SilentWatch},
                       {"down", DiscoveryDown},
                       {"older", OlderGeneration},
                       {"endless", EndlessResponse},
                       {"behind", DataAfterResponse},
                       {"crowded", DescriptorsFull},
                       {"silence_is_no_outage_at_first", Silence},
                       {"declines_while_a_call_waits", DeclinesWhileACallWaits},
                       {"slow_answers_beside_a_lost_call", SlowAnswersBesideALostCall},
                       {"slow_answers_after_moves", SlowAnswersAfterMovesToAndFro},
                       {"older_list_after_moves", OlderListAfterMovesToAndFro},
                       {"silent_start", SilentStart},
                       {"declined_list", DeclinedList},
                       {"unheld", UnheldCalls}});
}
