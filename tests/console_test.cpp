// The console's calls and metrics, without a socket.
#include <gtest/gtest.h>

#include "src/fronts/console/endpoints.h"

namespace heronway::console {
namespace {

http::Message Call(const std::string& method, const std::string& target) {
  http::Message m;
  m.method = method;
  m.target = target;
  return m;
}

struct Desk {
  bool ready = true;
  std::vector<bool> told;
  core::Counters counters;
  std::vector<std::string> classes = {"album-preview", "album-save"};
  Operations operations{[this] { return ready; }, [this](bool on) { told.push_back(on); },
                        [this] { return Metrics{&counters, &classes, 14, 12, 2, 3, 1}; }};
};

TEST(ConsoleTest, ReadinessFollowsTheFront) {
  Desk desk;
  EXPECT_EQ(HandleRequest(Call("GET", "/v1/readyz"), desk.operations).status, 200u);
  desk.ready = false;
  EXPECT_EQ(HandleRequest(Call("GET", "/v1/readyz?verbose=1"), desk.operations).status, 503u);
}

TEST(ConsoleTest, DrainAndActivateAreTold) {
  Desk desk;
  EXPECT_EQ(HandleRequest(Call("PUT", "/v1/scheduler/drain"), desk.operations).status, 200u);
  EXPECT_EQ(HandleRequest(Call("PUT", "/v1/scheduler/activate"), desk.operations).status, 200u);
  EXPECT_EQ(desk.told, (std::vector<bool>{true, false}));
}

TEST(ConsoleTest, WrongMethodOrPathChangesNothing) {
  Desk desk;
  EXPECT_EQ(HandleRequest(Call("GET", "/v1/scheduler/drain"), desk.operations).status, 405u);
  EXPECT_EQ(HandleRequest(Call("PUT", "/v1/readyz"), desk.operations).status, 405u);
  EXPECT_EQ(HandleRequest(Call("GET", "/v1/nothing"), desk.operations).status, 404u);
  EXPECT_TRUE(desk.told.empty());
}

TEST(ConsoleTest, FiguresNameEachClassAndTheWhole) {
  Desk desk;
  desk.counters.by_class.resize(1);
  desk.counters.by_class[0] = {812, 5, 2, 830};
  const Response response = HandleRequest(Call("GET", "/v1/metrics"), desk.operations);
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
