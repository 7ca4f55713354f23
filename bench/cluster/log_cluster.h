// Simulated cluster of replicated logs with disks, a network and state machines, in virtual time. It is a
// value type, so that a copy can be explored further. It records all entries that were ever committed and
// reports the first violation of Raft's properties: election safety, log matching, leader completeness and
// state machine safety (Ongaro 2014, figure 3.2).
#ifndef HERONWAY_BENCH_CLUSTER_LOG_CLUSTER_H_
#define HERONWAY_BENCH_CLUSTER_LOG_CLUSTER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {

class SimulatedCluster {
 public:
  struct StateMachine {
    Index applied_index = 0;
    std::uint64_t history_hash = 0;  // over all applied entries, in order
  };
  struct Server {
    ServerId id = 0;
    bool up = true;
    Log log;
    PersistentState disk;                 // the synced state
    std::vector<Persist> pending_writes;  // not synced yet, in order
    StateMachine machine, durable_machine;
    std::uint64_t starts = 0;
  };
  // The first `voters` of `servers` form the group; the others start empty and can be added later.
  SimulatedCluster(const Settings& settings, int servers, int voters, std::uint64_t seed);

  // Steps of a schedule. `server` is a position in servers(), `message` one in messages_in_flight().
  void Tick(int server) { HandleEvent(server, log::Tick{}); }
  void AdvanceTime(Micros time) { now_ += time; }  // on all clocks
  // `keep`: the message stays in flight and can be delivered again.
  void Deliver(std::size_t message, bool keep);
  void Drop(std::size_t message);
  void Sync(int server);   // completes the oldest pending write
  void Crash(int server);  // loses all pending writes
  void Start(int server);
  void LoseDisk(int server);  // crashes the server; it restarts empty under a new ServerId
  // Returns the request id.
  std::uint64_t Propose(int server, const std::string& data);
  void HandleEvent(int server, Event event);
  void CompactApplied(int server);  // takes a snapshot of all that the server has applied

  const std::vector<Message>& messages_in_flight() const { return in_flight_; }
  const std::vector<Server>& servers() const { return servers_; }
  int At(ServerId id) const;  // position in servers(); -1 if there is none
  // Hash of the state, for recognising states that were already explored.
  std::uint64_t Digest() const;
  const std::string& violation() const { return violation_; }  // empty if there was none
  std::size_t committed_count() const { return committed_.size(); }
  std::size_t terms_with_leader() const { return leaders_.size(); }
  std::uint64_t snapshots_restored = 0;
  Micros now() const { return now_; }
  // Results by request id.
  std::map<std::uint64_t, Index> proposed, reads_ready;
  std::set<std::uint64_t> rejected;
  std::size_t max_in_flight = 4096;  // above this, the oldest message is dropped
  std::uint64_t bytes = 0, messages = 0;

 private:
  void Execute(Server& s, Effect& effect);
  void RecordApplied(Server& s, Index index, const Entry& entry);
  void CheckLogMatching(const Server& s);
  void ReportViolation(const std::string& what);

  Settings settings_;
  std::uint64_t seed_;
  Micros now_ = 1'000'000'000;
  std::vector<Server> servers_;
  std::vector<Message> in_flight_;
  // By index: the digest of the committed entry, and the state machine's hash after it.
  std::map<Index, std::uint64_t> committed_, history_hashes_;
  std::map<Term, ServerId> leaders_;
  std::uint64_t last_request_id_ = 0, history_digest_ = 0;
  std::string violation_;
};

}  // namespace heronway::cluster::log

#endif  // HERONWAY_BENCH_CLUSTER_LOG_CLUSTER_H_
