// The console's endpoints and metrics page, called without a socket.
#include <gtest/gtest.h>

#include "src/fronts/console/endpoints.h"

namespace heronway::console {
namespace {

http::Message MakeRequest(const std::string& method, const std::string& target) {
  http::Message m;
  m.method = method;
  m.target = target;
  return m;
}

struct Fixture {
  bool ready = true;
  std::vector<bool> cordon_calls;
  core::Counters counters;
  std::vector<std::string> classes = {"album-preview", "album-save"};
  Operations operations{[this] { return ready; }, [this](bool on) { cordon_calls.push_back(on); },
                        [this] { return Metrics{&counters, &classes, 14, 12, 2, 3, 1}; }};
};

TEST(ConsoleTest, ReadinessFollowsTheFront) {
  Fixture fixture;
  EXPECT_EQ(HandleRequest(MakeRequest("GET", "/v1/readyz"), fixture.operations).status, 200u);
  fixture.ready = false;
  EXPECT_EQ(HandleRequest(MakeRequest("GET", "/v1/readyz?verbose=1"), fixture.operations).status, 503u);
}

TEST(ConsoleTest, DrainAndActivateReachTheFront) {
  Fixture fixture;
  EXPECT_EQ(HandleRequest(MakeRequest("PUT", "/v1/scheduler/drain"), fixture.operations).status, 200u);
  EXPECT_EQ(HandleRequest(MakeRequest("PUT", "/v1/scheduler/activate"), fixture.operations).status, 200u);
  EXPECT_EQ(fixture.cordon_calls, (std::vector<bool>{true, false}));
}

TEST(ConsoleTest, WrongMethodOrPathChangesNothing) {
  Fixture fixture;
  EXPECT_EQ(HandleRequest(MakeRequest("GET", "/v1/scheduler/drain"), fixture.operations).status, 405u);
  EXPECT_EQ(HandleRequest(MakeRequest("PUT", "/v1/readyz"), fixture.operations).status, 405u);
  EXPECT_EQ(HandleRequest(MakeRequest("GET", "/v1/nothing"), fixture.operations).status, 404u);
  EXPECT_TRUE(fixture.cordon_calls.empty());
}

TEST(ConsoleTest, MetricsListEachClassAndTheTotals) {
  Fixture fixture;
  fixture.counters.by_class.resize(1);
  fixture.counters.by_class[0] = {812, 5, 2, 830};
  const Response response = HandleRequest(MakeRequest("GET", "/v1/metrics"), fixture.operations);
  ASSERT_EQ(response.status, 200u);
  const std::string& text = response.body;
  for (const char* line :
       {"app.transactions.album-preview.answered=812\n", "app.transactions.album-preview.deferred=5\n",
        "app.transactions.album-preview.errored=2\n", "app.transactions.album-preview.sends=830\n",
        "app.transactions.album-save.answered=0\n", "app.sends=830\n", "app.current=14\n",
        "app.cluster_size=12\n", "app.cluster_unhealthy=2\n", "app.conf_loaded=3\n", "app.conf_invalid=1\n",
        "app.invariants.one_attempt_out=0\n", "app.invariants.answered_before_exit=0\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line;
}

}  // namespace
}  // namespace heronway::console
