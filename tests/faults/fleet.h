// N processes of the program on loopback, a way between each ordered pair, stand-in workers and clients at
// each, and faults by a plan. All that happened goes into one history of JSON lines, with one clock;
// `Check` reads it afterwards. Ends whatever it started, by id.
#ifndef HERONWAY_TESTS_FAULTS_FLEET_H_
#define HERONWAY_TESTS_FAULTS_FLEET_H_

#include <sys/types.h>

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/faults/jobs.h"
#include "tests/faults/way.h"
#include "tests/rig/rig.h"

namespace Json {
class Value;
}

namespace heronway::faults {

// A step of a plan, at `at` seconds: `kind` is kill, stop, continue, start, terminate (members `of`), or
// weather (the ways `from` each `to` each, and back unless one_way), or calm (all ways).
struct Step {
  double at = 0;
  std::string kind;
  std::vector<int> of, from, to;
  bool one_way = false, empty_disk = false;
  Weather weather;
};
struct Plan {
  int members = 3;
  double seconds = 20;  // from when all are up
  double settle = 8;    // after the last step, until views are compared
  int period_ms = 200;
  double per_s = 10;                // jobs a second at each member; 0: no clients
  int copies = 1;                   // over 1: jobs are durable, and so many copies of them are kept
  int takeover_ms = 0;              // over 0: Faktory jobs beside, and another runs those of one that is gone
  std::vector<int> late;            // not started before a step does; they are the `join` of the others
  std::map<int, int> named;         // a member that runs under another's name
  std::map<int, double> clock_off;  // seconds that a member's wall clock is ahead
  int watch_faults_per_mille = 0;   // of all members' calls of epoll_ctl, epoll_wait and poll, to the end
  std::vector<Step> steps;
};
// `story` in a plan is for its reader: what it plays, and why.
Plan ReadPlan(const std::string& json_text);  // throws std::runtime_error that names the place
// `kind`: of one kind alone (kill, stop, cut, one_way, weather, breaks, restarts); empty: of all.
// `disks`: where one is killed, its disk may be lost with it.
Plan DrawPlan(int members, int faults, std::uint64_t seed, const std::string& kind = "", bool disks = false);
std::string WritePlan(const Plan& plan);

class Fleet {
 public:
  Fleet(const Plan& plan, std::uint64_t seed, const std::string& program, const std::string& history);
  ~Fleet();
  void Play();

 private:
  struct Member;
  void Note(Json::Value event);
  void Note(const char* event, int member);
  void Take(const Step& step);
  void Start(Member& m);
  void End(Member& m, int signal);
  void ReadLog(Member& m);
  void LookAll();
  void LookAtCopies();
  void Turn(double seconds);
  std::string NameOf(int member) const;

  Plan plan_;
  std::uint64_t seed_;
  std::string program_, folder_;
  std::ofstream history_;
  net::BufferPool pool_{16384};
  net::Loop loop_;
  net::StreamContext shared_{loop_, pool_, false};
  Later later_{loop_};
  Micros began_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<Weather> weather_;                 // from * members + to, and so are
  std::vector<std::unique_ptr<Way>> ways_;       // these; they look at it
  std::vector<std::unique_ptr<Way>> copy_ways_;  // of the copies
  std::unique_ptr<Jobs> jobs_;
};

// The first breach that the history shows; empty: none. `summary`: a line of figures.
std::string Check(const std::string& history, std::string& summary);

}  // namespace heronway::faults

#endif  // HERONWAY_TESTS_FAULTS_FLEET_H_
