// Measures the membership core in virtual time. detect and heal repeat their scenario with several seeds.
//
//   fleet_sim detect --members 100 --plays 100    from a death to the first suspicion and the last verdict
//   fleet_sim quiet  --members 100                bytes, datagrams and CPU time per idle member and second
//   fleet_sim false  --members 100 --loss 0.05    false verdicts with and without Lifeguard
//   fleet_sim heal   --members 100 --cut-s 10     from the end of a partition to equal views
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>

#include "bench/cluster/world.h"

namespace {

using namespace heronway::cluster;

constexpr Micros kSecond = 1'000'000;

struct Samples {
  std::vector<double> values;
  double Quantile(double share) {
    if (values.empty()) return -1;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(values.size())))];
  }
};

double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

// Starts all members and waits until their views are equal and gossip has ended.
void JoinAll(World& world) {
  for (int i = 0; i < world.size(); ++i) world.Start(i);
  const Micros until = world.now() + 60 * kSecond;
  while (world.now() < until) {
    world.RunUntil(world.now() + kSecond);
    bool whole = world.ViewsEqual();
    for (int i = 0; whole && i < world.size(); ++i) whole = world.node(i).core->fleet_size() == world.size();
    if (whole) break;
  }
  world.RunUntil(world.now() + 30 * kSecond);
}

void MeasureDetection(World::Options options, int runs) {
  Samples first, last;
  for (int run = 0; run < runs; ++run) {
    options.seed = static_cast<std::uint64_t>(run) + 1;
    World world(options);
    JoinAll(world);
    world.RunUntil(world.now() + run * 7'919);  // so that members die at different phases of the probe period
    const Micros died = world.now();
    const int victim = options.members / 2;
    int verdicts = 0;
    Micros suspected = -1, done = -1;
    world.on_member_changed = [&](int, const MemberChanged& c) {
      if (c.record.id.name != world.node(victim).self.id.name) return;
      if (c.record.state == MemberState::kSuspect && suspected < 0) suspected = world.now();
      if (c.record.state == MemberState::kDead && ++verdicts == options.members - 1) done = world.now();
    };
    world.Kill(victim);
    world.RunUntil(died + 60 * kSecond, [&] { return done >= 0; });
    if (suspected >= 0) first.values.push_back(static_cast<double>(suspected - died) / 1e6);
    if (done >= 0) last.values.push_back(static_cast<double>(done - died) / 1e6);
  }
  std::printf(
      "detect members=%d plays=%d first_p50=%.2f first_p99=%.2f last_p50=%.2f last_p99=%.2f unfinished=%d\n",
      options.members, runs, first.Quantile(0.5), first.Quantile(0.99), last.Quantile(0.5),
      last.Quantile(0.99), runs - static_cast<int>(last.values.size()));
}

void MeasureIdle(World::Options options, int seconds) {
  options.count_bytes = true;
  World world(options);
  JoinAll(world);
  std::uint64_t datagrams = 0, bytes = 0, exchange = 0;
  const auto sum = [&](int sign) {
    for (int i = 0; i < world.size(); ++i) {
      datagrams += static_cast<std::uint64_t>(sign) * world.node(i).datagrams;
      bytes += static_cast<std::uint64_t>(sign) * world.node(i).bytes;
      exchange += static_cast<std::uint64_t>(sign) * world.node(i).exchange_bytes;
    }
  };
  sum(-1);
  const double before = CpuSeconds();
  world.RunUntil(world.now() + seconds * kSecond);
  const double cpu = CpuSeconds() - before;
  sum(1);
  const double of = static_cast<double>(options.members) * seconds;
  std::printf(
      "quiet members=%d seconds=%d datagrams=%.2f/s bytes=%.0f/s (with UDP and IP heads %.0f/s) "
      "exchanges=%.1f B/s "
      "cpu=%.1f us/s (with the encoding and this world)\n",
      options.members, seconds, static_cast<double>(datagrams) / of, static_cast<double>(bytes) / of,
      static_cast<double>(bytes + 28 * datagrams) / of, static_cast<double>(exchange) / of, cpu / of * 1e6);
}

void MeasureFalseVerdicts(World::Options options, int seconds, bool stalls) {
  for (const bool lifeguard : {true, false}) {
    options.lifeguard = lifeguard;
    World world(options);
    JoinAll(world);
    pcg32 random(options.seed + 99);
    std::uint64_t verdicts = 0, views = 0, suspicions = 0;
    std::map<MemberId, std::uint32_t> counted;
    world.on_member_changed = [&](int, const MemberChanged& c) {
      if (c.record.state == MemberState::kSuspect) ++suspicions;
      if (c.record.state != MemberState::kDead) return;
      ++views;
      // Counts a verdict once, however many members adopt it.
      const auto [it, fresh] = counted.try_emplace(c.record.id, c.record.incarnation);
      if (fresh || it->second < c.record.incarnation) ++verdicts;
      it->second = std::max(it->second, c.record.incarnation);
    };
    const Micros until = world.now() + seconds * kSecond;
    while (world.now() < until) {
      world.RunUntil(world.now() + kSecond / 2);
      for (int i = 0; stalls && i < world.size(); i += 10) {
        if (random(6) == 0)  // every 3 s on average
          world.Pause(i, world.now() + 100'000 + static_cast<Micros>(random(140'000)));
      }
    }
    std::printf(
        "false members=%d seconds=%d loss=%.2f stalls=%d lifeguard=%s verdicts=%llu views=%llu "
        "suspected_views=%llu\n",
        options.members, seconds, options.loss_rate, stalls, lifeguard ? "on" : "off",
        static_cast<unsigned long long>(verdicts), static_cast<unsigned long long>(views),
        static_cast<unsigned long long>(suspicions));
    std::fflush(stdout);
  }
}

void MeasureHealing(World::Options options, int runs, int cut_s) {
  Samples equal;
  for (int run = 0; run < runs; ++run) {
    options.seed = static_cast<std::uint64_t>(run) + 1;
    World world(options);
    JoinAll(world);
    const int half = options.members / 2;
    world.link = [half](int a, int b) { return (a < half) == (b < half); };
    world.RunUntil(world.now() + cut_s * kSecond);
    world.link = [](int, int) { return true; };
    const Micros healed = world.now();
    while (world.now() < healed + 120 * kSecond) {
      world.RunUntil(world.now() + kSecond / 20);
      bool whole = world.ViewsEqual();
      for (int i = 0; whole && i < world.size(); ++i)
        whole = world.node(i).core->fleet_size() == world.size();
      if (!whole) continue;
      equal.values.push_back(static_cast<double>(world.now() - healed) / 1e6);
      break;
    }
  }
  std::printf("heal members=%d plays=%d cut_s=%d equal_p50=%.2f equal_p99=%.2f unfinished=%d\n",
              options.members, runs, cut_s, equal.Quantile(0.5), equal.Quantile(0.99),
              runs - static_cast<int>(equal.values.size()));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"fleet_sim: measures the membership core in virtual time"};
  app.require_subcommand(1);
  World::Options options;
  int runs = 20, seconds = 60, cut_s = 10;
  bool no_stalls = false;
  for (const char* name : {"detect", "quiet", "false", "heal"}) {
    auto* command = app.add_subcommand(name);
    command->add_option("--members", options.members)->check(CLI::Range(2, 4000));
    command->add_option("--plays", runs)->check(CLI::Range(1, 10000));
    command->add_option("--seconds", seconds)->check(CLI::Range(1, 36000));
    command->add_option("--cut-s", cut_s)->check(CLI::Range(1, 3600));
    command->add_option("--loss", options.loss_rate)->check(CLI::Range(0.0, 0.9));
    command->add_option("--seed", options.seed);
    command->add_flag("--no-stalls", no_stalls);
  }
  CLI11_PARSE(app, argc, argv);
  if (app.got_subcommand("detect")) MeasureDetection(options, runs);
  if (app.got_subcommand("quiet")) MeasureIdle(options, seconds);
  if (app.got_subcommand("false")) MeasureFalseVerdicts(options, seconds, !no_stalls);
  if (app.got_subcommand("heal")) MeasureHealing(options, runs, cut_s);
  return 0;
}
