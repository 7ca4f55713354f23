// Durable jobs over Faktory, while schedulers are killed, cut off and stopped: clients that PUSH at one
// scheduler each until they are told +OK, and workers that are connected to all. It keeps what it was told
// and what came, and names what must not be: the program's own words count only where a client relies on
// them.
#ifndef HERONWAY_TESTS_FAULTS_JOBS_H_
#define HERONWAY_TESTS_FAULTS_JOBS_H_

#include <json/value.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/net/stream.h"

namespace heronway::faults {

using net::Micros;

class Jobs {
 public:
  static constexpr Micros kKeyWindow = 20'000'000;  // as the stories' site has it
  static constexpr Micros kRuns = 30'000;
  static constexpr Micros kLeastLease = 900'000;  // of the rig: the grace, which is less than a lease
  static constexpr std::size_t kMostOpen = 200;   // of a client: jobs that are not acknowledged

  // `at`: of each scheduler's Faktory front.
  Jobs(net::StreamContext& shared, const std::vector<net::Address>& at, double per_s);
  ~Jobs();
  void Stop();        // nothing new is pushed; what is not acknowledged is still asked for
  bool Over() const;  // all that was acknowledged has come, but what may have run and must not come again
  // What was seen. `broken`: by rule.
  Json::Value Summary() const;

 private:
  struct Job {
    int job_class = 0;  // 0 safe, 1 keyed, 2 unsafe
    bool acknowledged = false;
    int came = 0;
    Micros first = 0;
    bool done = false;  // an ACK was answered +OK in time, counted from the delivery that it is for
    Json::Value story;  // what came when to whom, and which ACK was taken, in ms from its first delivery
    Json::Value
        pushes;  // when its client asked for it, and was told +OK, in ms from the first client's start
  };
  struct Delivery {
    std::string jid;
    Micros came = 0;
    bool operator==(const Delivery&) const = default;
  };
  struct Link;
  struct Client;
  struct Worker;
  void Came(const Delivery& d, const std::string& where);
  void Taken(const Delivery& d, const std::string& where);  // its ACK was answered +OK

  std::int64_t MsSoFar() const { return (shared_.loop.Now() - began_) / 1000; }

  net::StreamContext& shared_;
  const Micros began_ = shared_.loop.Now();
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, int> broken_;
  Json::Value odd_;  // those that came again after that
  bool stopped_ = false;
};

}  // namespace heronway::faults

#endif  // HERONWAY_TESTS_FAULTS_JOBS_H_
