// The reducer without any wire, the configuration, and the trace reader.
#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "src/config/config.h"
#include "src/config/json.h"
#include "src/core/reducer.h"
#include "src/discovery/route_table.h"
#include "src/trace/trace.h"

namespace heronway {
namespace {

using core::Micros;
using core::Result;
constexpr Micros kMs = 1000;

pebblenotch::Settings Site(pebblenotch::Idempotency effect) {
  pebblenotch::Settings s;
  pebblenotch::ClassSettings c;
  c.aim = 4'000 * kMs;
  c.aim_stretch = 2;
  c.deadline = 5'000 * kMs;
  c.idempotency = effect;
  s.classes.push_back(c);
  s.max_attempts = 3;
  s.may_cancel = true;
  return s;
}

// A reducer with two targets and one request, and the effects that it asked for, by kind.
struct Core {
  explicit Core(pebblenotch::Idempotency effect, Micros take_limit = 0)
      : reducer(Site(effect), 7, now, take_limit) {
    core::RoutesChanged routes{core::ListKind::kCached, std::vector<pebblenotch::WorkerEntry>(2)};
    routes.entries[0].id = 1;
    routes.entries[1].id = 2;
    Do(routes);
  }
  void Do(core::Event event) { reducer.Reduce(now, std::move(event), effects); }
  void Ask(Micros hop_limit = 0) {
    core::RequestArrived a;
    a.id = "a";
    a.request.id = 9;
    a.request.deadline = now + 1'000 * kMs;
    a.hop_timeout = hop_limit;
    Do(a);
  }
  void Tell(core::TargetId from, core::CallbackState news, const std::string& result = "") {
    core::HopCallback n;
    n.id = "a";
    n.from = from;
    n.state = news;
    n.result = result;
    Do(n);
  }
  void Pass(Micros time) {
    now += time;
    Do(core::Wake{});
  }
  template <typename T>
  std::vector<T> All() const {
    std::vector<T> out;
    for (const auto& e : effects) {
      if (const T* one = std::get_if<T>(&e)) out.push_back(*one);
    }
    return out;
  }
  Micros now = 1'000'000 * kMs;
  core::Reducer reducer;
  std::vector<core::Effect> effects;
};

// Guards one hop at a time: the next goes out only after the front has told the target.
TEST(Reducer, SendsTheNextHopOnlyOnceTheLastIsCalledOff) {
  Core c(pebblenotch::Idempotency::kIdempotent);
  c.Ask(300 * kMs);
  ASSERT_EQ(c.All<core::SendHop>().size(), 1u);
  const auto first = c.All<core::SendHop>()[0].target;
  c.Pass(301 * kMs);
  ASSERT_EQ(c.All<core::CancelHop>().size(), 1u);
  EXPECT_EQ(c.All<core::SendHop>().size(), 1u);
  c.Do(core::HopCancelled{9, 0});
  ASSERT_EQ(c.All<core::SendHop>().size(), 2u);
  EXPECT_NE(c.All<core::SendHop>()[1].target, first);
  c.Tell(first, core::CallbackState::kDone, "late");
  EXPECT_TRUE(c.All<core::Answer>().empty());
  EXPECT_EQ(c.reducer.counters().late_callbacks, 1u);
  c.Tell(3 - first, core::CallbackState::kDone, "good");
  c.Tell(3 - first, core::CallbackState::kDone, "again");
  ASSERT_EQ(c.All<core::Answer>().size(), 1u);
  EXPECT_EQ(c.All<core::Answer>()[0].result, "good");
  EXPECT_EQ(c.reducer.pending(), 0u);
}

// Guards against a connection that fell silent: found on a silent day, where two in a hundred jobs waited on
// one until their clients left. Word of the hop by either way keeps it.
TEST(Reducer, CallsOffAHopThatItsTargetDoesNotTake) {
  for (const int heard : {0, 1, 2}) {
    Core c(pebblenotch::Idempotency::kIdempotent, 300 * kMs);
    c.Ask();
    const auto first = c.All<core::SendHop>().at(0).target;
    if (heard == 1) c.Do(core::HopAccepted{9, 0});
    if (heard == 2) c.Tell(first, core::CallbackState::kStarted);
    c.Pass(301 * kMs);
    ASSERT_EQ(c.All<core::CancelHop>().size(), heard == 0 ? 1u : 0u);
    if (heard > 0) continue;
    c.Do(core::HopCancelled{9, 0});
    ASSERT_EQ(c.All<core::SendHop>().size(), 2u);
    EXPECT_NE(c.All<core::SendHop>()[1].target, first);
  }
}

// A hop that had not left when its time to be taken was over never ran, and its target counts as one that
// cannot be reached; one that is taken back for another reason says nothing of its target.
TEST(Reducer, TellsATargetThatWasNotReachedFromAHopThatWasTakenBack) {
  Core c(pebblenotch::Idempotency::kAtMostOnce, 300 * kMs);
  c.Ask();
  c.Pass(301 * kMs);
  c.Do(core::HopCancelled{9, 0, true});
  EXPECT_EQ(c.All<core::SendHop>().size(), 2u);
  c.Do(core::IngressDisconnected{9});
  c.Do(core::HopCancelled{9, 1, true});
  const auto& results = c.reducer.counters().hop_results;
  EXPECT_EQ(results[static_cast<int>(Result::kConnectFailed)], 1u);
  EXPECT_EQ(results[static_cast<int>(Result::kMoot)], 1u);
}

// Guards the deadline: answered before it although the target cannot be told in time.
TEST(Reducer, AnswersBeforeTheDeadlineWhateverTheFrontKnows) {
  for (const bool never_ran : {false, true}) {
    Core c(pebblenotch::Idempotency::kAtMostOnce);
    c.Ask();
    c.Pass(971 * kMs);
    if (never_ran) c.Do(core::HopCancelled{9, 0, true});
    c.Pass(4 * kMs);
    ASSERT_EQ(c.All<core::Answer>().size(), 1u);
    EXPECT_EQ(c.All<core::Answer>()[0].kind, never_ran ? core::AnswerKind::kShed : core::AnswerKind::kFailed);
  }
}

TEST(Reducer, AnUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
  Core c(pebblenotch::Idempotency::kAtMostOnce);
  c.Ask();
  c.Do(core::HopEnded{9, 0, Result::kReset, {}});
  EXPECT_EQ(c.All<core::SendHop>().size(), 1u);
  ASSERT_EQ(c.All<core::Answer>().size(), 1u);
  EXPECT_EQ(c.All<core::Answer>()[0].kind, core::AnswerKind::kFailed);
}

TEST(Reducer, AClientThatLeavesIsOwedNothingAndItsHopIsCalledOff) {
  Core c(pebblenotch::Idempotency::kIdempotent);
  c.Ask();
  c.Do(core::IngressDisconnected{9});
  EXPECT_EQ(c.All<core::CancelHop>().size(), 1u);
  c.Do(core::HopCancelled{9, 0});
  EXPECT_TRUE(c.All<core::Answer>().empty());
  EXPECT_EQ(c.reducer.pending(), 0u);
}

TEST(Reducer, DrainsOnlyWhenAllIsAnsweredAndLateArrivalsArePast) {
  Core c(pebblenotch::Idempotency::kIdempotent);
  c.Ask();
  c.Do(core::DrainStarted{});
  c.Pass(701 * kMs);
  EXPECT_TRUE(c.All<core::Drained>().empty());
  c.Tell(c.All<core::SendHop>()[0].target, core::CallbackState::kDone, "r");
  EXPECT_EQ(c.All<core::Drained>().size(), 1u);
}

// Guards what came late on a connection that was still open against the kill that may follow a planned stop.
TEST(Reducer, AnswersWhatCameLateInADrainBeforeTheEnd) {
  Core c(pebblenotch::Idempotency::kAtMostOnce);
  c.Do(core::DrainStarted{});
  c.Pass(690 * kMs);
  core::RequestArrived a;
  a.id = "a";
  a.request.id = 9;
  a.request.deadline = c.now + 20'000 * kMs;
  c.Do(a);
  c.Pass(2'600 * kMs);
  EXPECT_TRUE(c.All<core::Answer>().empty());
  c.Pass(11 * kMs);
  ASSERT_EQ(c.All<core::Answer>().size(), 1u);
  EXPECT_EQ(c.All<core::CancelHop>().size(), 1u);
  EXPECT_EQ(c.All<core::Drained>().size(), 1u);
}

// Guards the kill that may come 3.7 s after SIGTERM: what arrives once the late arrivals' answers were due is
// refused at once and never sent, and counted as deferred for its class; a cordon changes no readiness here.
TEST(Reducer, RefusesAtOnceWhatComesAfterTheLateAnswersWereDue) {
  Core c(pebblenotch::Idempotency::kIdempotent);
  c.Do(core::Cordon{true});
  EXPECT_TRUE(c.reducer.cordoned() && !c.reducer.draining());
  c.Do(core::DrainStarted{});
  c.Pass(c.reducer.stop_times().answers_due);
  c.Ask();
  ASSERT_EQ(c.All<core::Answer>().size(), 1u);
  EXPECT_EQ(c.All<core::Answer>()[0].kind, core::AnswerKind::kShed);
  EXPECT_TRUE(c.All<core::SendHop>().empty());
  ASSERT_EQ(c.reducer.counters().by_class.size(), 1u);
  EXPECT_EQ(c.reducer.counters().by_class[0].deferred, 1u);
}

// Whoever waits as the program may be killed gets an answer, also one that came before the stop; a refusal
// only where a repeat does no harm.
TEST(Reducer, AnswersWhatCameBeforeAStopAsWell) {
  for (const auto effect : {pebblenotch::Idempotency::kIdempotent, pebblenotch::Idempotency::kAtMostOnce}) {
    Core c(effect);
    core::RequestArrived a;
    a.id = "a";
    a.request.id = 9;
    a.request.deadline = c.now + 20'000 * kMs;
    c.Do(a);
    ASSERT_EQ(c.All<core::SendHop>().size(), 1u);
    c.Do(core::DrainStarted{});
    c.Pass(c.reducer.stop_times().answers_due - 1);
    EXPECT_TRUE(c.All<core::Answer>().empty());
    c.Pass(1);
    ASSERT_EQ(c.All<core::Answer>().size(), 1u);
    EXPECT_EQ(c.All<core::Answer>()[0].kind, effect == pebblenotch::Idempotency::kIdempotent
                                                 ? core::AnswerKind::kShed
                                                 : core::AnswerKind::kFailed);
    EXPECT_EQ(c.All<core::Drained>().size(), 1u);
  }
}

// The times of a stop lie in their order, for every longest deadline, and leave room before the kill.
TEST(StopTimes, FollowFromTheLongestDeadline) {
  for (Micros longest = 1 * kMs; longest < 60'000 * kMs; longest = longest * 5 / 4 + 1) {
    pebblenotch::Settings settings = Site(pebblenotch::Idempotency::kIdempotent);
    settings.classes[0].deadline = longest;
    const auto t = core::StopTimes::From(settings);
    EXPECT_EQ(t.earliest_kill, std::min<Micros>(longest, 3'000 * kMs) + 700 * kMs);
    EXPECT_GE(t.earliest_kill - t.answers_due, 200 * kMs);
    EXPECT_LT(t.close_idle, t.answers_due);
    EXPECT_LE(t.earliest_exit, t.answers_due);
    EXPECT_GT(t.close_idle, 300 * kMs);
  }
}

const std::string kConfig =
    R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","settings":{"classes":[
    {"name":"a b","aim":1000,"deadline":5000,"idempotency":"idempotent"}],"kinds":["m 1","m,2"],
    "limits":{"maxAttempts":2},
    "rules":{"coldFrom":0.3,"warmUp":5000,"overloadFactor":3.0,"fall":2000}}})";

// Guards the settings in force against a file that would leave no request servable: it is turned down whole.
TEST(Config, RefusesADeadlineOrAttemptsNotAboveZero) {
  const auto fault = [](const std::string& from, const std::string& to) {
    std::string text = kConfig;
    text.replace(text.find(from), from.size(), to);
    try {
      config::Parse(text);
    } catch (const config::ConfigError& e) {
      return std::string(e.what());
    }
    return std::string("taken");
  };
  EXPECT_NE(fault("\"deadline\":5000", "\"deadline\":0").find("settings.classes.0.deadline"),
            std::string::npos);
  EXPECT_NE(fault("\"maxAttempts\":2", "\"maxAttempts\":0").find("settings.limits.maxAttempts"),
            std::string::npos);
  EXPECT_EQ(fault("\"maxAttempts\":2", "\"maxAttempts\":1"), "taken");
}

TEST(Config, FlattensNestedSettingsAndReadsThemOnce) {
  const auto c = config::Parse(kConfig);
  EXPECT_EQ(c.classes, std::vector<std::string>{"a b"});
  EXPECT_EQ(c.module.settings.kinds, 2);
  EXPECT_EQ(c.module.settings.classes.at(0).aim, 1000);
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
}

TEST(Config, NamesTheFaultyKey) {
  const std::vector<std::array<std::string, 3>> faults = {
      {"\"127.0.0.1:1\"", "\"nowhere\"", "listen"},
      {"8c1f", "xyz", "seed"},
      {"\"aim\":1000", "\"aim\":\"x\"", "classes.0.aim"},
      {"\"maxAttempts\":2", "\"maxAttempts\":2,\"connIdle\":true", "settings.limits.connIdle"},
      {"\"warmUp\":5000,", "", "rules.warmUp"},
      {"\"name\":\"a b\",", "", "settings.classes.0.name"},
      {"\"seed\":", "\"limits\":{\"sockets\":3},\"seed\":", "limits.sockets"}};
  for (const auto& [from, to, key] : faults) {
    std::string text = kConfig;
    text.replace(text.find(from), from.size(), to);
    try {
      config::Parse(text);
      ADD_FAILURE() << key;
    } catch (const config::ConfigError& e) {
      EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
    }
  }
  EXPECT_THROW(config::ParseFaktory("{\"enabled\":true}"), config::ConfigError);
  EXPECT_FALSE(config::ParseFaktory("{}").enabled);
}

// Guards against half-read lists: one that cannot be read leaves the table as it was.
TEST(RouteTable, KeepsWhatItHasWhenAnAnswerCannotBeRead) {
  discovery::RouteTable table({"a", "b"}, {"m"});
  Json::Value list, line;
  line["instanceId"] = "s-1";
  line["hostPort"] = "127.0.0.1:80";
  line["zone"] = "b";
  line["lifecycle"] = "ready";
  line["startedAtMs"] = 5;
  list["generation"] = 3;
  list["reset"] = true;
  list["instances"].append(line);
  const auto change = table.Apply(list, core::ListKind::kChanges);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->kind, core::ListKind::kWhole);
  EXPECT_EQ(change->entries[0].zone, 1);
  EXPECT_EQ(change->entries[0].started_at, 5000);
  list["generation"] = 4;
  list["instances"].append("nonsense");
  EXPECT_FALSE(table.Apply(list, core::ListKind::kChanges).has_value());
  EXPECT_EQ(table.generation(), 3u);
  EXPECT_TRUE(table.AnyReady());
  list["instances"] = Json::arrayValue;
  EXPECT_TRUE(table.Apply(list, core::ListKind::kChanges).has_value());
  EXPECT_FALSE(table.AnyReady());
}

TEST(Trace, ReadsTaskEventsInTheCoresTerms) {
  std::istringstream in(
      "0,2,3418309,0,4155527081,0,u,3,9,,,,\n1000000,,3418309,0,4155527081,1,u,3,9,,,,\n"
      "1500000,,7,0,,0,u,1,0,0.1,0.2,0.3,1\n9000000,,3418309,0,4155527081,4,u,3,9,,,,\n");
  const auto s = trace::Read(in);
  EXPECT_EQ(s.arrived, 2u);
  EXPECT_EQ(s.hops, 1u);
  EXPECT_EQ(s.targets, 1u);
  EXPECT_EQ(s.outcomes[static_cast<int>(Result::kOk)], 1u);
  EXPECT_EQ(s.waiting, 1u);
  EXPECT_EQ(s.longest_wait_s, 1.0);
}

TEST(Trace, NamesTheBadLine) {
  for (const char* bad :
       {"1,2,3\n", "x,,1,0,,0,u,1,0,,,,\n", "0,,1,0,,9,u,1,0,,,,\n", "0,,1,0,,0,u,7,0,,,,\n"}) {
    std::istringstream in(std::string("0,,1,0,,0,u,1,0,,,,\n") + bad);
    try {
      trace::Read(in);
      ADD_FAILURE() << bad;
    } catch (const trace::TraceError& e) {
      EXPECT_NE(std::string(e.what()).find("line 2"), std::string::npos) << e.what();
    }
  }
}

TEST(Reducer, CountsWhatBecameOfEachTenantInAFixedTable) {
  Core core(pebblenotch::Idempotency::kIdempotent);
  const auto ask = [&core](core::Ticket ticket, const std::string& tenant) {
    core::RequestArrived a;
    a.id = "t" + std::to_string(ticket);
    a.request.id = ticket;
    a.request.deadline = core.now + 1'000 * kMs;
    a.tenant = tenant;
    core.Do(a);
  };
  ask(1, "us");
  ask(2, "us");
  core.Do(core::IngressDisconnected{2});
  ask(3, "them\n");
  core.Pass(1'100 * kMs);
  core.Pass(10 * kMs);  // the hops were called off, and nobody says what became of them
  const auto& rows = core.reducer.tenants().rows();
  ASSERT_EQ(rows.size(), 3u);
  EXPECT_EQ(rows[1].name, "us");
  EXPECT_EQ(rows[1].taken, 2u);
  EXPECT_EQ(rows[1].disconnected, 1u);
  EXPECT_EQ(rows[1].served + rows[1].shed + rows[1].failed, 1u);
  EXPECT_EQ(rows[2].name, "them?");
  for (core::Ticket n = 10; n < 2'000; ++n) ask(n, "crafted" + std::to_string(n));
  EXPECT_EQ(rows.size(), core::TenantTable::kMaxNamedTenants + 1);
  EXPECT_GT(rows[0].taken, 900u);
}

// Guards the operators' cluster_size: what is gone is known by name, and not counted as listed.
TEST(RouteTable, CountsAsListedWhatIsNotGone) {
  discovery::RouteTable table({"a"}, {"m"});
  const auto line = [](const char* name, const char* state) {
    return std::string(R"({"instanceId":")") + name + R"(","hostPort":"127.0.0.1:9","zone":"a",)" +
           R"("machineType":"m","lifecycle":")" + state + R"("})";
  };
  ASSERT_TRUE(table.Apply(config::ParseJson(R"({"generation":1,"reset":true,"instances":[)" +
                                            line("w", "ready") + "," + line("v", "draining") + "]}"),
                          core::ListKind::kChanges));
  EXPECT_EQ(table.CountListed(), 2u);
  ASSERT_TRUE(table.Apply(
      config::ParseJson(R"({"generation":2,"reset":false,"instances":[)" + line("v", "gone") + "]}"),
      core::ListKind::kChanges));
  EXPECT_EQ(table.CountListed(), 1u);
  ASSERT_TRUE(table.Apply(config::ParseJson(R"({"generation":3,"reset":true,"instances":[]})"),
                          core::ListKind::kChanges));
  EXPECT_EQ(table.CountListed(), 0u);
}

// Guards servers in slow start against wall clocks: wherever these stand, a start that is new here is no
// older than the moment at which it was heard of, and hearing of it again changes nothing.
TEST(RouteTable, AStartCountsFromWhenItIsHeardWhereverTheWallClockStands) {
  constexpr core::Micros kSecond = 1'000'000, kHour = 3'600 * kSecond;
  const auto list = [](std::uint64_t generation, core::Micros started) {
    return config::ParseJson(R"({"generation":)" + std::to_string(generation) +
                             R"(,"reset":false,"instances":[{"instanceId":"w","hostPort":"127.0.0.1:9",)" +
                             R"("zone":"a","machineType":"m","lifecycle":"ready","startedAtMs":)" +
                             std::to_string(started / 1000) + "}]}");
  };
  const core::Micros steady = 1'700'000'000 * kSecond;
  for (const core::Micros off :
       {-kHour, -30 * kSecond, -kSecond, 0 * kSecond, kSecond, 30 * kSecond, kHour}) {
    discovery::RouteTable table({"a"}, {"m"});
    const core::Micros started = steady - 2 * kSecond;
    const auto heard = table.Apply(list(1, started), core::ListKind::kChanges, {steady, steady + off});
    ASSERT_TRUE(heard);
    const core::Micros claimed = std::min(steady, started - off);
    EXPECT_EQ(heard->entries[0].claimed_started_at, claimed) << off;
    EXPECT_EQ(heard->entries[0].started_at, steady) << off;
    const auto again =
        table.Apply(list(2, started), core::ListKind::kChanges, {steady + 9 * kSecond, steady + 9 * kSecond});
    EXPECT_EQ(again->entries[0].started_at, steady) << "hearing of it again is no start";
  }
  discovery::RouteTable table({"a"}, {"m"});
  const core::Micros long_ago = steady - 3 * kHour;
  const auto old = table.Apply(list(1, long_ago), core::ListKind::kChanges, {steady, steady});
  EXPECT_EQ(old->entries[0].started_at, long_ago) << "no clock is wrong by so much";
  EXPECT_EQ(table.Apply(list(2, 0), core::ListKind::kChanges, {steady, steady})->entries[0].started_at, 0);
}

TEST(RouteTable, TellsTheGroupsOfItsTargetsAndAsksForThemAnew) {
  std::uint64_t bit = 1;
  discovery::RouteTable table({"a", "b"}, {"m"}, [&bit](const auto& zone, const auto&, const auto& labels) {
    return (zone == "b" ? bit : 0) | (labels.empty() ? 0 : 8);
  });
  const auto list = config::ParseJson(
      R"({"generation":1,"reset":true,"instances":[{"instanceId":"w","hostPort":"127.0.0.1:9","zone":"b",)"
      R"("machineType":"m","lifecycle":"ready","labels":["gpu"]}]})");
  const auto routes = table.Apply(list, core::ListKind::kChanges);
  ASSERT_TRUE(routes.has_value());
  EXPECT_EQ(routes->entries[0].groups, 9u);
  bit = 2;
  const auto anew = table.RefreshGroups();
  ASSERT_EQ(anew.entries.size(), 1u);
  EXPECT_EQ(anew.kind, core::ListKind::kChanges);
  EXPECT_EQ(anew.entries[0].groups, 10u);
  EXPECT_EQ(anew.entries[0].id, routes->entries[0].id);
}

// Others' word of a start makes a target colder, never warmer, and an older list does not undo it.
TEST(Fleet, AHeardStartNeverMakesATargetWarmer) {
  discovery::RouteTable routes({"a"}, {"m"});
  const auto list = [&](long started_ms) {
    Json::Value answer, line;
    line["instanceId"] = "w0";
    line["hostPort"] = "10.0.0.1:80";
    line["lifecycle"] = "ready";
    line["startedAtMs"] = Json::Int64(started_ms);
    answer["generation"] = Json::UInt64(4);
    answer["instances"].append(line);
    return routes.Apply(answer, core::ListKind::kWhole)->entries[0].started_at;
  };
  EXPECT_EQ(list(1'000), 1'000'000);
  const core::TargetId id = *routes.IdOf("w0");
  EXPECT_FALSE(routes.RecordRestart(id, 1'000'000));
  EXPECT_FALSE(routes.RecordRestart(id, 500'000)) << "older: it would be warmer";
  EXPECT_FALSE(routes.RecordRestart(id + 1, 9'000'000)) << "none that is listed";
  const auto change = routes.RecordRestart(id, 9'000'000);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->entries[0].started_at, 9'000'000);
  EXPECT_EQ(list(1'000), 9'000'000) << "a list that is behind";
  EXPECT_EQ(list(12'000), 12'000'000);
}

// Others' word that a target fails: one probe, where the site allows any, and nothing else.
TEST(Fleet, ADoubtedTargetIsProbed) {
  for (const bool may : {false, true}) {
    pebblenotch::Settings site = Site(pebblenotch::Idempotency::kIdempotent);
    site.may_probe = may;
    core::Reducer reducer(site, 7, 0);
    std::vector<core::Effect> effects;
    reducer.Reduce(1, core::TargetSuspected{5}, effects);
    const auto probes = std::count_if(effects.begin(), effects.end(), [](const core::Effect& e) {
      return std::holds_alternative<core::StartProbe>(e);
    });
    EXPECT_EQ(probes, may ? 1 : 0);
  }
}

// Of what is free, a scheduler takes its part by how many there are: told that most have died, it takes more.
TEST(Fleet, TheNumberOfSchedulersReachesTheModule) {
  const auto hops = [](int schedulers) {
    pebblenotch::Settings site = Site(pebblenotch::Idempotency::kIdempotent);
    site.nodes = 100;
    site.reports_in_answers = true;
    core::Reducer reducer(site, 7, 1'000'000);
    std::vector<core::Effect> effects;
    core::RoutesChanged routes{core::ListKind::kCached, std::vector<pebblenotch::WorkerEntry>(1)};
    routes.entries[0].id = 1;
    reducer.Reduce(1'000'000, routes, effects);
    reducer.Reduce(1'000'000, core::FleetView{cluster::QuorumState::kMinority, schedulers}, effects);
    core::ProbeEnded probe;  // full, so that all are held
    probe.target = 1;
    probe.report = core::Report{};
    probe.report->waiting = 1;
    probe.report->free_slots = 0;
    reducer.Reduce(1'000'000, probe, effects);
    for (core::Ticket t = 1; t <= 40; ++t) {
      core::RequestArrived a;
      a.id = std::to_string(t);
      a.request.id = t;
      a.request.deadline = 6'000'000;
      reducer.Reduce(1'000'000, a, effects);
    }
    const auto sent = [&] {
      return std::count_if(effects.begin(), effects.end(),
                           [](const core::Effect& e) { return e.index() == 0; });
    };
    probe.report->waiting = 0;
    probe.report->free_slots = 20;
    const auto before = sent();
    reducer.Reduce(1'100'000, probe, effects);
    EXPECT_EQ(reducer.fleet().schedulers, schedulers);
    return sent() - before;
  };
  EXPECT_LT(hops(200), hops(4));
}

}  // namespace
}  // namespace heronway
