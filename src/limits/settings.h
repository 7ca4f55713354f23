// The settings of the limits: one struct a part, each figure with its unit, range and default. `src/config`
// reads them from the operators' file and refuses what is out of range; nothing else makes them.
#ifndef HERONWAY_LIMITS_SETTINGS_H_
#define HERONWAY_LIMITS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pebblenotch/brain.h"

namespace heronway::limits {

using pebblenotch::Micros;

// When load counts as a storm, and when it is over. Shares are of what came in within `window`.
struct StormSettings {
  Micros window = 2'000'000;  // that is looked at; 0.5 to 60 s
  double rising = 0.15;       // pressure from which it is rising; 0.01 to 1
  double storm = 0.35;        // pressure from which it is a storm; over `rising`, to 1
  Micros confirm = 300'000;   // for so long before it is believed; 0 to 10 s
  Micros settle = 2'000'000;  // under two thirds of a level for so long before it is left; 0.1 to 60 s
  double min_arrivals = 20;   // in a window, below which shares tell nothing; 1 to 1e6
};

// Which repeats are known again, in fixed memory.
struct ClientSettings {
  std::size_t max_clients = 16'384;  // clients remembered: 12 bytes each; a power of two, 256 to 2^22
  Micros retention = 30'000'000;     // a client that comes again within this is a repeat; 1 s to 10 min
};

// The program's own further hops, as a share of first ones.
struct RetrySettings {
  double share = 0.1;         // in quiet times; 0 to 2
  double storm_share = 0.05;  // in a storm; 0 to `share`
  double floor_per_s = 2;     // allowed whatever the traffic; 0 to 1e6
  double reserved = 0.25;     // part of each deposit that only the class of most worth may spend; 0 to 0.9
  Micros accrual_window = 3'000'000;  // what is saved up is bounded by the deposits of so long; 1 s to 10 min
};

// What is held and sent.
struct ConcurrencySettings {
  double slack_share = 0.6;        // of a job's time to spare that it may be expected to wait; 0.05 to 1
  double tolerance = 1.5;          // hops may take so many times their usual before fewer go out; 1.05 to 10
  double min_in_flight = 4;        // hops out that are always allowed; 1 to 1e6
  Micros rate_window = 1'000'000;  // the rate of starts is taken over this; 0.1 to 30 s
};

// When refused clients are told to come back.
struct RetryScheduleSettings {
  Micros bin = 100'000;          // of the calendar; 10 ms to 5 s
  Micros max_wait = 10'000'000;  // wait told; `bin` to 60 s
  Micros tolerance = 50'000;     // a client this much early is in time; 0 to 5 s
  Micros grace = 1'500'000;      // and one this late still goes before newcomers; 0 to 60 s
  double capacity_share = 0.9;   // of what the fleet can carry that is given away; 0.05 to 1
  double min_retry_share = 0.3;  // of that, at the least, whatever newcomers there are; 0.05 to 1
};

// How fast connections are accepted.
struct AcceptSettings {
  double per_s = 0;   // 0: as they come; else 10 to 1e6
  double burst = 64;  // at once; 1 to 1e6
};

struct Settings {
  bool enabled = false;
  StormSettings storm;
  ClientSettings clients;
  RetrySettings retries;
  ConcurrencySettings concurrency;
  RetryScheduleSettings retry_schedule;
  AcceptSettings accept;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_SETTINGS_H_
