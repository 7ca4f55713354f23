// Example program, built against the installed library: one node, two workers, one request.
#include <pebblenotch/brain.h>

#include <cstdio>
#include <variant>
#include <vector>

int main() {
  namespace pn = pebblenotch;
  pn::Settings settings;
  settings.classes.push_back({});  // one class with the defaults: at most once
  settings.max_attempts = 3;
  pn::Dispatcher node(settings, /*seed=*/42, /*now=*/0);

  std::vector<pn::Action> actions;
  std::vector<pn::WorkerEntry> workers(2);
  workers[0].id = 1;
  workers[1].id = 2;
  node.handle(0, pn::Membership{pn::ListKind::kCached, workers}, actions);

  pn::Request request;
  request.id = 7;
  request.deadline = 10'000'000;
  node.handle(1'000, request, actions);

  for (const pn::Action& action : actions) {
    if (const auto* push = std::get_if<pn::Push>(&action)) {
      std::printf("push request %llu to worker %llu\n", static_cast<unsigned long long>(push->id),
                  static_cast<unsigned long long>(push->worker));
      return 0;
    }
  }
  return 1;
}
