// Settings of the limits: one struct per component, each value with its unit, range and default. `src/config`
// reads them from the options file, which names the keys, and rejects values out of range.
#ifndef HERONWAY_LIMITS_SETTINGS_H_
#define HERONWAY_LIMITS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pebblenotch/brain.h"

namespace heronway::limits {

using pebblenotch::Micros;

// When load counts as a retry storm and when the storm is over. Shares are of the traffic within `window`.
struct StormSettings {
  Micros window = 2'000'000;  // observed; 0.5 to 60 s
  double rising = 0.15;       // pressure at which the state becomes rising; 0.01 to 1
  double storm = 0.35;        // pressure at which it becomes storm; above `rising`, up to 1
  Micros confirm = 300'000;   // a level must persist for this long to be entered; 0 to 10 s
  Micros settle = 2'000'000;  // time below two thirds of a level before it is left; 0.1 to 60 s
  double min_arrivals = 20;   // per window; shares of fewer are ignored; 1 to 1e6
};

// How clients are remembered to recognize their retries, in fixed memory.
struct ClientSettings {
  std::size_t max_clients = 16'384;  // 12 bytes each; a power of two, 256 to 2^22
  Micros retention = 30'000'000;     // a client that returns within this is retrying; 1 s to 10 min
};

// The program's own retries (further hops), as a share of first hops.
struct RetrySettings {
  double share = 0.1;                 // outside storms; 0 to 2
  double storm_share = 0.05;          // in a storm; 0 to `share`
  double floor_per_s = 2;             // always allowed; 0 to 1e6
  double reserved = 0.25;             // part of each deposit for the most valuable class alone; 0 to 0.9
  Micros accrual_window = 3'000'000;  // the balance is bounded by its deposits; 1 s to 10 min
};

// What may be held and sent.
struct ConcurrencySettings {
  double slack_share = 0.6;        // part of its slack that a job may be expected to wait; 0.05 to 1
  double tolerance = 1.5;          // multiple of the usual hop duration that lowers the limit; 1.05 to 10
  double min_in_flight = 4;        // hops in flight that are always allowed; 1 to 1e6
  Micros rate_window = 1'000'000;  // window of the start rate; 0.1 to 30 s
};

// When shed clients are told to retry.
struct RetryScheduleSettings {
  Micros bin = 100'000;          // length of a bin of the schedule; 10 ms to 5 s
  Micros max_wait = 10'000'000;  // `bin` to 60 s
  Micros tolerance = 50'000;     // a client this much early counts as on time; 0 to 5 s
  Micros grace = 1'500'000;      // a client this late still goes before new ones; 0 to 60 s
  double capacity_share = 0.9;   // part of the fleet's capacity that is scheduled; 0.05 to 1
  double min_retry_share = 0.3;  // minimum part of that, however many new clients arrive; 0.05 to 1
};

// The rate at which connections are accepted.
struct AcceptSettings {
  double per_s = 0;   // 0: unlimited; otherwise 10 to 1e6
  double burst = 64;  // connections accepted at once; 1 to 1e6
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
