// A group of replicated logs with disks, a network and state machines, in virtual time; a value, so that a
// copy can be explored further. It knows what was ever chosen, and tells the first breach of Raft's
// properties: election safety, log matching, leader completeness and state machine safety (Ongaro 2014,
// figure 3.2).
#ifndef HERONWAY_BENCH_CLUSTER_LOG_WORLD_H_
#define HERONWAY_BENCH_CLUSTER_LOG_WORLD_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {

class Group {
 public:
  struct Machine {  // what is applied, as a chain of digests
    Index at = 0;
    std::uint64_t chain = 0;
  };
  struct Server {
    ServerId id = 0;
    bool up = true;
    Log log;
    OnDisk disk;                   // what is synced
    std::vector<Persist> writing;  // and what is not, in order
    Machine machine, machine_on_disk;
    std::uint64_t starts = 0;
  };
  // `voters` of `servers` form the group; the others start empty, to be added.
  Group(const Settings& settings, int servers, int voters, std::uint64_t seed);

  // ---- what may happen; each a step
  void Tick(int server) { Post(server, log::Tick{}); }
  void Elapse(Micros time) { now_ += time; }     // on all clocks
  void Deliver(std::size_t message, bool keep);  // of pool(); `keep`: it comes again later
  void Lose(std::size_t message);
  void Sync(int server);   // the oldest write is on disk
  void Crash(int server);  // what is not synced is lost
  void Start(int server);
  void LoseDisk(int server);                                   // it starts empty, as another server
  std::uint64_t Propose(int server, const std::string& data);  // a ticket
  void Post(int server, Event event);
  void CompactTo(int server);  // all that it has applied

  const std::vector<Message>& pool() const { return pool_; }
  const std::vector<Server>& servers() const { return servers_; }
  int At(ServerId id) const;
  std::uint64_t Digest() const;
  const std::string& breach() const { return breach_; }  // empty: none so far
  std::size_t chosen() const { return chosen_.size(); }
  std::size_t led() const { return leaders_.size(); }  // terms that had a leader
  std::uint64_t restored = 0;                          // snapshots taken by followers
  Micros now() const { return now_; }
  // Tickets of proposals and reads that were answered, and how.
  std::map<std::uint64_t, Index> proposed, read_at;
  std::set<std::uint64_t> refused;
  std::size_t most_pool = 4096;  // the oldest is lost beyond it
  std::uint64_t bytes = 0, messages = 0;

 private:
  void Carry(Server& s, Effect& effect);
  void Took(Server& s, Index index, const Entry& entry);
  void Check(const Server& s);
  void Broke(const std::string& what);

  Settings settings_;
  std::uint64_t seed_;
  Micros now_ = 1'000'000'000;
  std::vector<Server> servers_;
  std::vector<Message> pool_;
  std::map<Index, std::uint64_t> chosen_,
      chains_;  // by index: the entry's digest, and the machine's after it
  std::map<Term, ServerId> leaders_;
  std::uint64_t tickets_ = 0, digest_of_past_ = 0;
  std::string breach_;
};

}  // namespace heronway::cluster::log

#endif  // HERONWAY_BENCH_CLUSTER_LOG_WORLD_H_
