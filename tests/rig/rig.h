// Stand-ins on loopback: discovery, workers, a crowd of clients, and an auditor that judges by the wire
// alone. One libev loop in the caller's process; the program runs as its child. Bounded in count and time.
#ifndef HERONWAY_TESTS_RIG_RIG_H_
#define HERONWAY_TESTS_RIG_RIG_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "src/fronts/http/message.h"
#include "src/net/listener.h"
#include "src/net/stream.h"
#include "tests/rig/discovery.h"

namespace heronway::rig {

using net::Micros;

// A loopback host of this process alone, so that several rigs can run beside each other. Guards against the
// port of a server that is down: another rig's server may be given it, and gets this one's requests.
std::string OwnHost(int last_part);

// How late the rig's own loop is: what it sees then, and holds against a time, may be so much older.
class Lateness {
 public:
  explicit Lateness(net::Loop& loop);
  Micros Recent() const;                 // over the last kMemory, the present turn included
  Micros most() const { return most_; }  // ever

 private:
  static constexpr Micros kTick = 5'000, kMemory = 500'000;
  void Tick();
  net::Loop& loop_;
  net::Timer tick_;
  Micros last_;
  std::deque<std::pair<Micros, Micros>> late_;  // when, by how much
  Micros most_ = 0;
};

// The four rules, by what the stand-ins saw. What is broken is told by name and count.
class Auditor {
 public:
  enum class Repeat { kFree, kSameZone };
  // Times are judged with what the rig was late by.
  void Allow(const Lateness* lateness) { lateness_ = lateness; }
  Micros late() const { return lateness_ == nullptr ? 0 : lateness_->Recent(); }
  void Asked(const std::string& id, Repeat repeat);
  // Its client gives up then; its time counts from when its last byte was written. What a hop is told of that
  // is looked at.
  void GivesUp(const std::string& id, Micros at) { requests_[id].gives_up = at; }
  void Left(const std::string& id, Micros at) { requests_[id].left = at; }  // its client, without an answer
  // `arrived`: when its last byte reached this machine, which a busy rig may read much later.
  void HopTold(const std::string& id, Micros arrived, Micros limit);
  void Answered(const std::string& id, unsigned status);
  void Unanswered(const std::string& id, bool ended);  // at its deadline, or its connection was ended
  void Gone(const std::string& id) { requests_[id].answered = true; }  // nobody waits for it any more
  void HopCame(const std::string& id, int zone, const std::string& at = "");
  void HopOver(const std::string& id, bool never_ran);
  void Break(const char* rule, const std::string& id = "") {
    if (broken_[rule]++ == 0) first_[rule] = id;
  }
  const std::string& first(const std::string& rule) const { return first_.at(rule); }  // that broke it
  // What was seen of a request, a line each, in milliseconds of the rig's clock.
  std::string StoryOf(const std::string& id) const;
  void Note(const std::string& id, const std::string& what);
  const std::map<std::string, int>& broken() const { return broken_; }

 private:
  struct Request {
    Repeat repeat = Repeat::kFree;
    bool answered = false, out = false, may_have_run = false;
    int zone = 0;
    Micros gives_up = 0, left = 0;
    std::string story;
  };
  const Lateness* lateness_ = nullptr;
  std::map<std::string, Request> requests_;
  std::map<std::string, int> broken_;
  std::map<std::string, std::string> first_;
};

struct WorkerPlan {
  int slots = 2, queue = 8, zone = 0;
  Micros run = 200'000;  // mean, on a warm slot
  double cold_from = 0.3;
  Micros warm_up = 4'000'000;
  double fall_factor = 3;
  Micros fall_window = 2'000'000;
  bool count_calls = false;  // the rule goes by the number of calls, not by their work
};

class Worker {
 public:
  Worker(net::StreamContext& shared, Auditor& audit, const std::string& name, const WorkerPlan& plan,
         std::uint64_t seed);
  ~Worker();
  void CallBackTo(const std::string& scheduler) { CallBackTo(0, scheduler); }
  // Where several schedulers share it: for jobs whose id begins with this letter.
  void CallBackTo(char prefix, const std::string& scheduler);
  void Die();
  void Return();  // cold
  void Drains() { drains_since_ = shared_.loop.Now(); }
  // Where the list can be wrong: a server that left is listed as gone until it is told of as ready again, and
  // what it gets meanwhile is judged by when `discovery`'s word of it counts as told.
  // `senders`: with which letter the requests' ids of each of its callers begin.
  void JudgeBy(const Discovery* discovery, const std::string& senders) {
    discovery_ = discovery;
    senders_ = senders;
  }
  void Left() { left_since_ = shared_.loop.Now(); }
  void Listed() {
    left_since_ = -1;
    listed_at_ = shared_.loop.Now();
  }
  void Hangs(bool hangs) { hangs_ = hangs; }  // it takes what comes and does nothing about it
  Entry entry() const;
  bool up() const { return listener_ != nullptr; }
  bool fell() const { return fell_; }
  int hops() const { return hops_; }

 private:
  struct Link;
  struct Caller;
  struct Task;
  void Take(Link& link, const http::Message& message);
  void Begin(const std::shared_ptr<Task>& task);
  void Done(const std::shared_ptr<Task>& task);
  void News(const std::string& id, const std::string& state, const std::string& more);
  double Share() const;
  double MostCalls() const;
  bool NoteFall(const std::string& id, Micros now);

  net::StreamContext& shared_;
  Auditor& audit_;
  std::string name_;
  WorkerPlan plan_;
  pcg32 random_;
  net::Address at_{};
  std::unique_ptr<net::Listener> listener_;
  std::list<std::shared_ptr<Link>> links_;
  std::map<char, std::unique_ptr<Caller>> callers_;
  std::list<std::shared_ptr<Task>> running_;
  std::deque<std::shared_ptr<Task>> queue_;
  struct Sent {
    Micros at;
    double work;
    char from;  // the first letter of its id: where several schedulers share the worker, whose it is
  };
  std::deque<Sent> sent_;
  Micros since_ = 0, drains_since_ = -1, left_since_ = -1, listed_at_ = -1;
  int CallerOf(char sender) const {
    const auto at = senders_.find(sender);
    return at == senders_.npos ? -1 : static_cast<int>(at);
  }
  const Discovery* discovery_ = nullptr;
  std::string senders_;
  bool OverBudget(Micros now, double sum) const;

  bool fell_ = false, hangs_ = false;
  int hops_ = 0;
};

struct CrowdPlan {
  double per_s = 100;
  Micros deadline = 3'000'000, aim = 1'200'000;
  double stretch = 1.75;
  Micros run = 200'000;
  int tries = 4;
  double at_once = 0.5;
  Micros slack = 0;    // beyond the deadline, until an answer counts as lost: for runs beside others
  bool keyed = false;  // class "save" instead of "preview"
  std::string prefix;  // of the ids, and of the keys
  // As clients of a front are: they leave early now and then, and send once more on a new connection what
  // crossed the end of a resting one.
  double leaves = 0;  // of the tries
  bool resends = false;
};

struct Second {
  int first = 0, tries = 0, served = 0, in_time = 0, refused = 0, failed = 0;
};

class Crowd {
 public:
  Crowd(net::StreamContext& shared, Auditor& audit, const CrowdPlan& plan, const std::string& scheduler,
        std::uint64_t seed);
  ~Crowd();
  void Stop();  // no more first tries
  // The front has taken the scheduler out: clients use the connections they have, and open no other.
  void OpenNone(bool none) { opens_none_ = none; }
  void Together();                         // all that wait to come again come now
  bool idle() const { return out_ == 0; }  // no try is out
  std::vector<Second> seconds;
  int turned[2] = {}, turned_served[2] = {};  // clients that come again at once, and that follow the wait

 private:
  struct Link;
  struct Client;
  void Arrive();
  void Try(const std::shared_ptr<Client>& client);
  void Again(const std::shared_ptr<Client>& client);
  void Ended(const std::shared_ptr<Client>& client, unsigned status, Micros wait);
  Second& Now();
  double Unit();

  net::StreamContext& shared_;
  Auditor& audit_;
  CrowdPlan plan_;
  net::Address to_{};
  pcg64 random_;
  net::Timer arrivals_;
  Micros began_;
  bool stopped_ = false, opens_none_ = false;
  int out_ = 0;
  static constexpr int kIdBits = 24;  // of a run's own; those above tell the rig
  std::uint64_t serial_ = 0, ids_;
  std::list<std::shared_ptr<Link>> links_;
  std::vector<Link*> idle_;
  std::map<std::uint64_t, std::shared_ptr<Client>> waiting_;
};

}  // namespace heronway::rig

#endif  // HERONWAY_TESTS_RIG_RIG_H_
