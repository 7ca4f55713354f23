// The HTTP front on real connections, its loop turned by the test: what a peer does between two turns is
// there before the front looks, in the order in which the test did it. libev takes the newest of a turn's
// events first.
#include <gtest/gtest.h>

#define HERONWAY_PROGRAM ""  // no process is started here
#include "src/config/config.h"
#include "src/config/options.h"
#include "src/fronts/http/front.h"
#include "story.h"

namespace heronway {
namespace {

using story::Conn;
using story::Has;
using story::Now;
using story::Peer;
using story::Target;

story::Site OneTarget(const Peer& worker) {
  story::Site site;
  site.targets = Target("w0", worker.at);
  return site;
}
std::string CallBack(const std::string& id, const std::string& from, const std::string& rest) {
  const std::string body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":" + rest + "}";
  return "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct InStep {
  explicit InStep(const story::Site& site, bool may_cancel = true) {
    std::string json = site.Json();
    json.insert(json.find("\"mayCancel\""), "\"dialTimeout\":5000000,");
    if (!may_cancel) json.replace(json.find("\"mayCancel\":true"), 16, "\"mayCancel\":false");
    config = config::Parse(json, config::Reading::kStart);
    shared.log_connections = false;
    front =
        std::make_unique<http::Front>(shared, config, options, false, nullptr, [this] { drained = true; });
    if (site.discovery != story::Site().discovery) return;  // the test plays it
    EXPECT_TRUE(Turn([this] { return front->Ready(); }));
  }
  Conn Client() {
    Conn client = Conn::To(net::ToText(front->address()));
    Turn([this, before = accepted()] { return accepted() > before; });
    return client;
  }
  // Turns the loop until it is so; false after `seconds`.
  bool Turn(const std::function<bool()>& so, double seconds = 3) {
    const double until = Now() + seconds;
    while (!so() && Now() < until) loop.RunOnce();
    return so();
  }
  void TurnFor(double seconds) {
    Turn([] { return false; }, seconds);
  }
  // Until that connection has something to read, which is then read.
  std::string Hear(Conn& conn) {
    EXPECT_TRUE(Turn([&conn] { return !conn.Quiet(0); }));
    return conn.Quiet(0) ? "" : conn.Http();
  }
  // The next hop that reaches the worker, read.
  Conn Hop(Peer& worker) {
    EXPECT_TRUE(Turn([&worker] { return worker.Called(0); }));
    Conn hop = worker.Accept();
    Hear(hop);
    return hop;
  }
  void News(const std::string& id, const std::string& from, const std::string& rest) {
    Conn call = Client();
    call.Send(CallBack(id, from, rest));
    EXPECT_TRUE(Has(Hear(call), " 200 "));
  }
  std::size_t accepted() const { return front->connection_count(); }

  net::BufferPool pool{256};
  net::Loop loop;
  net::StreamContext shared{loop, pool};
  config::Config config;
  config::Options options;
  std::unique_ptr<http::Front> front;
  bool drained = false;
};

std::string Job(const std::string& id, const std::string& path = "/preview", int deadline_ms = 3000) {
  return "POST " + path + " HTTP/1.1\r\nHost: s\r\nReq-Id: " + id +
         "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 0\r\n\r\n";
}
// With the longest deadline that counts; the sites here have such.
const double kTimeToClose =
    static_cast<double>((core::StopTimes::kLongestDeadlineHonored + core::StopTimes::kLateArrivalWindow) *
                        16 / 37) /
        1e6 +
    0.1;
const std::string kTaken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
const std::string kRoom = "\"done\",\"result\":\"r\",\"load\":{\"queue\":0,\"x0\":9}";

// No hop may have reached the worker: connections, yes, and not a byte on them.
void ExpectNoHop(InStep& s, Peer& worker) {
  s.TurnFor(0.1);
  while (worker.Called(0)) {
    Conn hop = worker.Accept();
    EXPECT_TRUE(hop.Quiet(0.05) || hop.Ended(0)) << "a hop left";
  }
}

// The dial is on its way; then the client closes. Also where the settings allow no cancelling.
TEST(InStep, AClientLeavesWhileItsDialComesUp) {
  for (const bool may_cancel : {true, false}) {
    Peer worker;
    InStep s(OneTarget(worker), may_cancel);
    Conn client = s.Client();
    client.Send(Job("aa01"));
    ASSERT_TRUE(s.Turn([&] { return worker.Called(0); }));
    client.Close();
    ExpectNoHop(s, worker);
  }
}

// Request and close are there together, before the front reads either: it reads the request first.
TEST(InStep, AClientThatHasGoneBeforeItsRequestIsReadBringsNoHop) {
  for (const bool may_cancel : {true, false}) {
    Peer worker;
    InStep s(OneTarget(worker), may_cancel);
    Conn client = s.Client();
    client.Send(Job("aa01"));
    client.Close();
    ExpectNoHop(s, worker);
  }
}

// More than is read at once, and behind it the close: the close shows only behind what is unread.
TEST(InStep, AClientThatSendsMuchAndGoesBringsNoHop) {
  for (const bool may_cancel : {true, false}) {
    Peer worker;
    InStep s(OneTarget(worker), may_cancel);
    Conn client = s.Client();
    client.Send(Job("aa01") +
                "POST /preview HTTP/1.1\r\nX-Pad: " + std::string(net::Buffer::kSize * 3 / 2, 'x'));
    client.Close();
    ExpectNoHop(s, worker);
  }
}

// A target's 202 is there, unread, as its client leaves: the connection's end would tell it nothing any more,
// so the hop is called off by its name.
TEST(InStep, AHopIsCalledOffByNameWhereItsTargetsWordIsUnread) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  client.Send(Job("aa01"));
  Conn hop = s.Hop(worker);
  hop.Send(kTaken);
  client.Close();  // newer, so it is read first
  EXPECT_TRUE(Has(s.Hear(hop), "DELETE /jobs/aa01"));
}

// A target says that it is done in the moment in which its time is over and it is being told so: that is the
// answer, and no second one follows.
TEST(InStep, AResultThatCrossesTheCallingOffIsTheAnswer) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client(), call = s.Client();
  client.Send(Job("aa01", "/once", 500));
  Conn hop = s.Hop(worker);
  hop.Send(kTaken);
  s.TurnFor(0.05);
  call.Send(CallBack("aa01", "w0", kRoom));
  story::Pause(0.5);  // not turned meanwhile: in the next turn the time is over first, then this is read
  EXPECT_TRUE(Has(s.Hear(client), " 200 "));
  EXPECT_TRUE(Has(s.Hear(hop), "DELETE /jobs/aa01")) << "the script did not force the order";
  s.TurnFor(0.1);
  EXPECT_TRUE(client.Quiet(0));
}

// A dial does not come up within the time that a target has to take a hop: nothing has left, so a job that
// must not be repeated goes to another.
TEST(InStep, AHopWhoseDialNeverCameUpHasNotRun) {
  Peer full(0), worker;  // the first takes no more connections than wait there already
  const std::vector<Conn> waiting = full.Fill();
  story::Site site;
  site.targets = Target("w0", full.at, "a") + "," + Target("w1", worker.at, "b");
  InStep s(site);
  Conn client = s.Client();
  client.Send(Job("aa01", "/once"));
  ASSERT_TRUE(s.Turn([&] { return worker.Called(0) || !client.Quiet(0); }));
  ASSERT_TRUE(worker.Called(0)) << client.Http();
  Conn hop = worker.Accept();
  EXPECT_TRUE(Has(s.Hear(hop), "Req-Id: aa01"));
}

// A target that tells a hop's end by call-back and never answers the hop itself holds no connection for good.
TEST(InStep, AHopThatIsOverByCallBackKeepsNoConnectionWaiting) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  client.Send(Job("aa01"));
  Conn hop = s.Hop(worker);
  s.News("aa01", "w0", kRoom);
  EXPECT_TRUE(Has(s.Hear(client), " 200 "));
  EXPECT_TRUE(s.Turn([&] { return hop.Ended(0); }, 2)) << "it waits for an answer that nobody needs";
}

// A request and discovery's word that the target drains are read in one turn, the request first: the dial
// comes up behind both.
TEST(InStep, ATargetThatDrainsWhileItsDialComesUpGetsNoHop) {
  Peer discovery, worker;
  story::Site site;
  site.discovery = discovery.at;
  site.targets = Target("w0", worker.at);
  InStep s(site);
  ASSERT_TRUE(s.Turn([&] { return discovery.Called(0); }));
  Conn watch = discovery.Accept();
  s.Hear(watch);
  const std::string same = "{\"generation\":4,\"reset\":false,\"instances\":[]}";
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(same.size()) + "\r\n\r\n" + same);
  s.Hear(watch);
  Conn client = s.Client();
  const std::string body =
      "{\"generation\":5,\"reset\":false,\"instances\":[" + Target("w0", worker.at, "a", "draining") + "]}";
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  client.Send(Job("aa01"));  // newer, so it is read first
  ASSERT_TRUE(s.Turn([&] { return worker.Called(0); })) << "the script did not force the order";
  ExpectNoHop(s, worker);
}

// The dial is on its way; then it turns out that nothing must be sent there any more, as when discovery tells
// that the target drains. The connection itself is kept for what may go there.
TEST(InStep, WhatIsWithdrawnWhileItsDialComesUpDoesNotLeave) {
  net::BufferPool pool{64};
  net::Loop loop;
  net::StreamContext shared{loop, pool, false};
  Peer worker;
  http::Egress egress(shared, {1'000'000, 5'000'000, 8});
  std::vector<http::CallResult::Kind> ends;
  const auto done = [&ends](const http::CallResult& result) { ends.push_back(result.kind); };
  const auto turn = [&loop](const std::function<bool()>& so) {
    for (const double until = Now() + 3; !so() && Now() < until;) loop.RunOnce();
    return so();
  };
  bool drains = false;
  const auto hop = [&drains]() -> std::optional<std::string> {
    return drains ? std::nullopt : std::optional<std::string>("GET /fresh HTTP/1.1\r\n\r\n");
  };
  egress.Call(7, *net::ParseAddress(worker.at), hop, 0, false, done);
  drains = true;
  ASSERT_TRUE(turn([&ends] { return !ends.empty(); }));
  EXPECT_EQ(ends.back(), http::CallResult::Kind::kWithdrawn);
  Conn to = worker.Accept();
  EXPECT_TRUE(to.Quiet(0.05));
  egress.Call(
      7, *net::ParseAddress(worker.at), [] { return std::string("DELETE /jobs/a HTTP/1.1\r\n\r\n"); }, 0,
      true, done);
  ASSERT_TRUE(turn([&to] { return !to.Quiet(0); }));
  EXPECT_TRUE(Has(to.Http(), "DELETE /jobs/a"));
}

// What a hop tells of the time left is what is left as it leaves, not as it was drawn.
TEST(InStep, AHopTellsTheTimeThatIsLeftAsItLeaves) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  client.Send(Job("aa01", "/preview", 2000));
  ASSERT_TRUE(s.Turn([&] { return worker.Called(0); }));
  story::Pause(0.3);  // the connection is there, and the front has not looked
  Conn hop = worker.Accept();
  const std::string got = s.Hear(hop);
  const auto at = got.find("Req-Deadline-Ms: ");
  ASSERT_NE(at, got.npos);
  EXPECT_LE(std::stoi(got.substr(at + 17)), 1700);
}

// A kept connection that the target has closed, or on which bytes came late that nobody asked for: a hop of a
// class that must not be repeated goes on another one.
TEST(InStep, AKeptConnectionIsNotUsedOverWhatIsUnreadOnIt) {
  for (const std::string late :
       {"", "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"}) {
    Peer worker;
    InStep s(OneTarget(worker));
    Conn client = s.Client();
    client.Send(Job("aa01", "/once"));
    ASSERT_TRUE(s.Turn([&] { return worker.Called(0); }));
    Conn kept = worker.Accept();
    s.Hear(kept);
    kept.Send(kTaken);
    s.News("aa01", "w0", kRoom);
    ASSERT_TRUE(Has(s.Hear(client), " 200 "));
    s.TurnFor(0.05);
    late.empty() ? kept.Close() : kept.Send(late);
    client.Send(Job("aa02", "/once"));  // newer, so it is read first
    ASSERT_TRUE(s.Turn([&] { return worker.Called(0) || !client.Quiet(0); }));
    ASSERT_TRUE(worker.Called(0)) << client.Http();
    Conn fresh = worker.Accept();
    EXPECT_TRUE(Has(s.Hear(fresh), "Req-Id: aa02"));
    s.News("aa02", "w0", kRoom);
    EXPECT_TRUE(Has(s.Hear(client), " 200 "));
  }
}

// A planned stop closes resting connections; a request that is there by then is served, and not closed over.
TEST(InStep, AStopServesWhatIsUnreadOnARestingConnection) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  client.Send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(Has(s.Hear(client), " 200 "));
  s.front->Drain();
  client.Send(Job("aa01"));
  story::Pause(kTimeToClose);  // not turned meanwhile: the time is over and the request there in one turn
  ASSERT_TRUE(s.Turn([&] { return worker.Called(0) || client.Ended(0); }));
  ASSERT_TRUE(worker.Called(0)) << "closed over a request";
  Conn hop = worker.Accept();
  s.Hear(hop);
  s.News("aa01", "w0", kRoom);
  EXPECT_TRUE(Has(s.Hear(client), " 200 "));
}

// The last byte of a request is there before its time is over, and is read after: it is served.
TEST(InStep, ARequestThatIsWholeInTimeIsServedHoweverLateItIsRead) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  std::string job = Job("aa01");
  job.insert(job.find("Content-Length"), "X-Pad: " + std::string(12'000, 'x') + "\r\n");
  client.Send(job.substr(0, 20));
  s.TurnFor(0.05);
  client.Send(job.substr(20));
  story::Pause(static_cast<double>(http::Front::kFirstRequestTime) / 1e6);  // not turned meanwhile
  ASSERT_TRUE(s.Turn([&] { return worker.Called(0) || !client.Quiet(0); }));
  ASSERT_TRUE(worker.Called(0)) << client.Http();
  Conn hop = worker.Accept();
  EXPECT_TRUE(Has(s.Hear(hop), "Req-Id: aa01"));
}

// While a planned stop closes connections, a request that was read behind another is served before that.
TEST(InStep, AStopServesWhatWasReadBehindAnotherRequest) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  client.Send(Job("aa01"));
  Conn hop = s.Hop(worker);
  hop.Send(kTaken);
  s.front->Drain();
  s.TurnFor(kTimeToClose);
  client.Send(Job("aa02"));
  s.TurnFor(0.05);  // it is read, and waits
  s.News("aa01", "w0", kRoom);
  ASSERT_TRUE(Has(s.Hear(client), " 200 "));
  ASSERT_TRUE(s.Turn([&] { return !hop.Quiet(0) || client.Ended(0); }));
  ASSERT_FALSE(client.Ended(0)) << "closed over a request that it had read";
  EXPECT_TRUE(Has(s.Hear(hop), "Req-Id: aa02"));
  s.News("aa02", "w0", kRoom);
  EXPECT_TRUE(Has(s.Hear(client), " 200 "));
  EXPECT_TRUE(s.Turn([&] { return client.Ended(0); }));
}

// A second SIGTERM does not begin the time to close anew.
TEST(InStep, ASecondStopSignalChangesNothing) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client();
  client.Send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
  ASSERT_TRUE(Has(s.Hear(client), " 200 "));
  s.front->Drain();
  story::Pause(kTimeToClose);  // not turned meanwhile: the second comes before the first one's time is seen
  s.front->Drain();
  EXPECT_TRUE(s.Turn([&] { return client.Ended(0); }, kTimeToClose / 2));
}

// The last answer on a connection goes out behind bytes that are not read: the peer reads it, and then the
// connection's end, no reset. What it sent ahead is not served any more.
TEST(InStep, ALastAnswerIsNotResetByBytesThatAreNotRead) {
  Peer worker;
  InStep s(OneTarget(worker));
  Conn client = s.Client(), call = s.Client();
  std::string last = Job("aa01");
  last.insert(last.find("Content-Length"), "Connection: close\r\n");
  client.Send(last);
  Conn hop = s.Hop(worker);
  hop.Send(kTaken);
  s.TurnFor(0.05);
  client.Send(Job("aa02"));  // older than the call-back, so it is read after
  call.Send(CallBack("aa01", "w0", kRoom));
  EXPECT_TRUE(Has(s.Hear(client), " 200 "));
  s.TurnFor(0.05);
  EXPECT_TRUE(client.Finished()) << "reset, and not ended";
  EXPECT_FALSE(worker.Called(0)) << "served after its connection was shut";
}

}  // namespace
}  // namespace heronway
