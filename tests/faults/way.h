// What stands between two processes, one way: datagrams and connections from one to the other pass through
// an address of its own, and are lost, delayed, doubled, slowed, silenced or cut there. Loopback only.
#ifndef HERONWAY_TESTS_FAULTS_WAY_H_
#define HERONWAY_TESTS_FAULTS_WAY_H_

#include <functional>
#include <list>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <vector>

#include "src/net/listener.h"
#include "src/net/stream.h"

namespace heronway::faults {

using net::Micros;

// Runs what is due, in the order of times and then of asking.
class Later {
 public:
  explicit Later(net::Loop& loop) : loop_(loop), timer_(loop, [this] { Run(); }) {}
  void At(Micros when, std::function<void()> what);
  Micros Now() const { return loop_.Now(); }

 private:
  struct Due {
    Micros at;
    std::uint64_t serial;
    std::shared_ptr<std::function<void()>> what;
    bool operator>(const Due& o) const { return at != o.at ? at > o.at : serial > o.serial; }
  };
  void Run();
  net::Loop& loop_;
  net::Timer timer_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t serial_ = 0;
};

struct Weather {                // of one way; may change at any time
  double loss = 0;              // share of datagrams
  double twice = 0;             // share of datagrams that come twice
  double reorder = 0;           // share of datagrams that come `delay` and 50 ms later than others
  Micros delay = 0;             // of all
  Micros jitter = 0;            // up to so much more, each by chance; connections keep their order
  double bytes_per_s = 0;       // of connections; 0: no bound
  bool cut = false;             // nothing passes, and nobody is told: connections stay open and silent
  std::int64_t cut_after = -1;  // a connection is closed on both sides after so many bytes
};

struct Passed {
  std::uint64_t datagrams = 0, lost = 0, connections = 0, bytes = 0;
};

class Way {
 public:
  // `weather`, and `back` of the other direction for what comes back on connections: looked at then.
  Way(net::StreamContext& shared, Later& later, const net::Address& at, const net::Address& to,
      const Weather& weather, const Weather& back, std::uint64_t seed);
  ~Way();
  Way(const Way&) = delete;
  Way& operator=(const Way&) = delete;

  Passed passed;
  // A cut is over: connections that were silent are reset, as when a machine is back.
  void Healed();

 private:
  struct Pair;
  void ReadSome();
  void Accepted(int fd);
  void End(Pair& pair);
  double Unit() { return random_() * 0x1p-32; }
  Micros Delay(const Weather& w);

  net::StreamContext& shared_;
  Later& later_;
  net::Address to_;
  const Weather &weather_, &back_;
  pcg32 random_;
  int fd_ = -1;
  ev_io io_;
  std::list<std::shared_ptr<Pair>> pairs_;
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // what is due later must not find it gone
  net::Listener listener_;
};

}  // namespace heronway::faults

#endif  // HERONWAY_TESTS_FAULTS_WAY_H_
