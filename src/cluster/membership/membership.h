// The membership protocol of one member, as a state machine: `(state, event, now) -> effects`. Does no I/O,
// reads no clock and uses no threads; the same events, seed and times give the same effects.
//
// Sources: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002) for probes, indirect probes, suspicion, incarnations and gossip; Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018)
// for the local health score, nacks, suspicion timeouts that shrink with confirmations, and notifying the
// suspect first. docs/cluster.md lists the differences from both, with reasons.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_MEMBERSHIP_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_MEMBERSHIP_H_

#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/cluster/membership/gossip.h"
#include "src/cluster/membership/member.h"
#include "src/cluster/membership/quorum_state.h"
#include "src/cluster/target_gossip/target_gossip.h"

namespace heronway::cluster {

struct Settings {
  Micros probe_period = 500'000;              // between two probes by a healthy member
  Micros forget_after = 24 * 3600'000'000LL;  // how long dead members and those that left are remembered
  std::vector<Endpoint> join;  // where other members may be; may include this member's own address
  bool lifeguard = true;       // false: plain SWIM, for comparison
};

// Events.
struct Tick {};    // due at the last WakeAt; a later tick is harmless
struct Received {  // a datagram
  Message message;
};
// An exchange uses one TCP connection. `link` is the host's handle for it.
struct ExchangeConnected {  // a connection requested by StartExchange is established
  std::uint64_t link = 0;
};
struct ExchangeReceived {
  std::uint64_t link = 0;
  Message message;
};
struct ExchangeClosed {  // the connection ended, or could not be established
  std::uint64_t link = 0;
};
struct TargetObservation {  // an observation by this scheduler itself
  FactKind kind = FactKind::kFailing;
  std::uint64_t target = 0;
  Micros since = 0;                                           // kStarted: Unix time
  bool healthy = false;                                       // the target answered; `kind` does not apply
  std::uint16_t waiting = kNotReported, free = kNotReported;  // kLoad: in tenths
};
struct Leave {};  // announces a planned leave; the member sends nothing after a few more ticks
using Event = std::variant<Tick, Received, ExchangeConnected, ExchangeReceived, ExchangeClosed,
                           TargetObservation, Leave>;

// Effects.
struct WakeAt {  // requests a Tick; replaces the previous request
  Micros at;
};
struct SendDatagram {
  std::string name;  // of the receiver, if known: the host may have a configured address for it
  Endpoint to;
  Message message;
};
struct StartExchange {
  std::uint64_t link;
  std::string name;  // of the peer; empty if unknown
  Endpoint to;
};
struct SendExchange {
  std::uint64_t link;
  Message message;
  bool last;  // close the connection once the message is written
};
struct CloseExchange {
  std::uint64_t link;
};
struct MemberChanged {  // for the log; the state equals `from` if only the incarnation changed
  MemberRecord record;
  std::optional<MemberState> from;  // nullopt: the member was not known before
  std::string why;                  // a one-word reason
};
struct QuorumStateChanged {
  QuorumState quorum_state;
  std::size_t known, present;  // member names, including this member's
};
struct DuplicateName {  // two processes have used one name for longer than kDuplicateNameGrace
  std::string name;
  MemberRecord one, other;
};
struct LeaveCompleted {};  // the leave has been announced; the member is stopped
struct AdviceGiven {       // facts from other members suggest an action on a target
  TargetAdvice advice;
};
using Effect = std::variant<WakeAt, SendDatagram, StartExchange, SendExchange, CloseExchange, MemberChanged,
                            QuorumStateChanged, DuplicateName, LeaveCompleted, AdviceGiven>;

// What this member knows about a member.
struct MemberView {
  MemberRecord record;
  Micros since = 0;       // when it entered its state
  Micros last_heard = 0;  // when its last own message arrived; 0: never
  Micros round_trip = 0;  // measured by the last ack; 0: not measured
};

struct MembershipCounters {
  std::uint64_t probes = 0, probes_failed = 0, indirect = 0, exchanges = 0;
  std::uint64_t suspicions = 0;         // raised by this member
  std::uint64_t refuted = 0;            // suspicions and verdicts against this member that it refuted
  std::uint64_t false_verdicts = 0;     // members seen alive again after a verdict: a partition or a mistake
  std::uint64_t verdicts = 0;           // declared dead by this member
  std::uint64_t stalls = 0;             // times that this process did not run for over a probe period
  std::uint64_t facts = 0, advice = 0;  // facts received about targets, and actions suggested because of them
};

class Membership {
 public:
  // `self`: its boot id should be the Unix time in microseconds; its incarnation and state are ignored.
  Membership(const Settings& settings, MemberRecord self, std::uint64_t seed, Micros now);

  // Handles one event and appends the resulting effects, to be carried out in order.
  void Handle(Micros now, Event event, std::vector<Effect>& effects);

  const MemberRecord& self() const { return self_; }
  QuorumState quorum_state() const { return quorum_filter_.quorum_state(); }
  int fleet_size() const { return static_cast<int>(present_); }  // present member names, including this one
  std::uint64_t digest() const { return digest_; }               // equal for equal views
  // The local health score, 0 (healthy) to kMaxLocalHealth; each step makes this member suspect others later.
  int local_health() const { return local_health_; }
  const MembershipCounters& counters() const { return counters_; }
  std::vector<MemberView> Members() const;  // including this member, ordered by name
  // The newest boot of another member's name; null if the name is unknown.
  const MemberView* Find(const std::string& name) const;
  bool joined() const { return joined_; }  // whether any other member has been heard

  // How long two processes may use one name, while one replaces the other.
  static constexpr Micros kDuplicateNameGrace = 60'000'000;
  static constexpr int kIndirectProbers = 3;  // members asked for an indirect probe
  static constexpr int kConfirmations = 3;    // independent ones at which a suspicion's timeout is shortest
  // How long after its start a member receives peers' observations of targets.
  static constexpr Micros kLearningPeriod = 10'000'000;
  static constexpr int kMaxLocalHealth = 8;
  static constexpr std::size_t kMaxDatagramBytes = 1400;

 private:
  struct Entry : MemberView {
    std::uint64_t hash = 0;  // its part of the digest; 0: not part of it
    std::set<std::string> suspected_by;
    Micros suspect_since = 0;
    Micros first_seen = 0;  // by this process
  };
  struct Probe {
    std::uint32_t number;
    MemberId target;
    Micros sent, indirect_at, deadline;
    bool indirect = false;
    int requested = 0, nacks = 0;
  };
  struct RelayedPing {  // a ping sent on behalf of the member `name`
    std::uint32_t number;
    std::uint32_t for_number;
    std::string name;
    Endpoint to;
    Micros nack_at, deadline;
    bool nacked = false;
  };
  enum class Source : std::uint8_t { kGossip, kExchange };

  void On(Tick&);
  void On(Received& e);
  void On(ExchangeConnected& e);
  void On(ExchangeReceived& e);
  void On(ExchangeClosed& e);
  void On(TargetObservation& e);
  void On(Leave&);

  void OnPing(const Message& m);
  void OnPingReq(const Message& m);
  void OnAck(const Message& m);
  void OnNack(const Message& m);

  void ProbeNext();
  void StartProbe(Entry& target);
  void CheckProbes();
  void CheckRelayedPings();
  void ExpireSuspicions();
  void RetryDead();
  void StartDueExchanges();
  void CheckNames();
  void SendGossip();
  void HandleStall(Micros gap);

  bool ApplyUpdate(const Update& update, Source source);
  bool ApplyOwnNameUpdate(const Update& update);
  void RecordSender(const MemberRecord& from);
  void Suspect(Entry& entry, const std::string& suspected_by);
  Micros SuspicionDeadline(const Entry& entry) const;
  void ReplaceRecord(Entry& entry, const MemberRecord& record, const char* why);
  void QueueUpdate(const MemberRecord& record, const std::string& suspected_by = {});
  void QueueSelf();
  void Refute(std::uint32_t incarnation);
  void AdoptBootId(BootId boot_id);
  void Remove(const MemberId& id);
  void RemoveOlderBoots(const MemberRecord& newer);
  bool IsSuperseded(const MemberRecord& record) const;
  void RemoveFromIndexes(Entry& entry);
  void AddToIndexes(Entry& entry);
  void RecountNames();
  void UpdateQuorumState();

  Message MakeMessage(MessageKind kind, std::uint32_t number = 0) const;
  void Send(const MemberId& to, Endpoint at, Message message);
  void BeginExchange(const std::string& name, Endpoint at, bool join = false);
  void CompareDigest(const Message& m);
  Message FullState() const;
  void HandleFacts(const std::vector<Fact>& facts, int schedulers);
  std::vector<Entry*> PickAlive(std::size_t count, const MemberId* except);
  Micros ScaleByHealth(Micros time) const { return time * (1 + local_health_); }
  void AdjustHealth(int by);
  Micros TickInterval() const { return settings_.probe_period / 5; }
  Micros Jitter(Micros time);
  double RandomUnit();
  std::uint32_t RandomBelow(std::uint32_t bound) { return random_(bound); }
  double LogFleetSize() const;  // log10 of the fleet size, at least 1
  int MaxSends() const;

  Settings settings_;
  MemberRecord self_;
  pcg32 random_;
  Micros now_, started_;
  std::vector<Effect>* effects_ = nullptr;

  std::map<MemberId, Entry> members_;  // without this member
  std::vector<Entry*> ring_;           // alive and suspect members, in probe order
  std::vector<Entry*> dead_;
  std::set<MemberId> suspects_;
  std::size_t ring_index_ = 0;            // the next member of ring_ to probe
  std::deque<MemberId> priority_probes_;  // probed before the next member of the ring
  Gossip gossip_;
  TargetGossip target_gossip_;
  std::vector<Probe> probes_;
  std::vector<RelayedPing> relayed_pings_;
  std::uint32_t last_number_;
  Micros next_probe_, next_tick_, next_retry_, next_exchange_, next_join_, next_name_check_;
  int retries_ = 0;  // extra pings to dead members, on top of the usual rate
  // Exchanges that this member started, by link; the endpoint is set if it is an address in `join`.
  std::map<std::uint64_t, Endpoint> exchanges_;
  std::uint64_t last_link_ = 0;
  std::set<Endpoint> own_endpoints_;  // addresses in `join` that turned out to be this member's
  std::size_t join_index_ = 0;
  Micros join_backoff_;
  Micros changed_at_ = 0, exchanged_at_ = 0;
  std::uint64_t digest_ = 0, own_hash_ = 0;  // sums of hashes, so that one change costs one hash
  std::map<std::string, Micros> duplicate_reported_at_;
  std::size_t known_ = 1, present_ = 1;
  bool joined_ = false, recount_needed_ = true;
  int local_health_ = 0;
  Micros leave_at_ = -1;  // when a planned leave completes; -1: none
  bool left_ = false;
  QuorumStateFilter quorum_filter_;
  MembershipCounters counters_;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_MEMBERSHIP_H_
