// Who is in the fleet, as one member sees it: `(state, event, now) -> effects`. No I/O, no clock, no thread;
// the same events, seed and times give the same effects.
//
// Sources: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002) for probes, indirect probes, suspicion, incarnations and gossip; Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018)
// for the local health score, nacks, suspicion times that shrink and the suspect that is told first.
// docs/cluster.md says what differs from both, and why.
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
#include "src/cluster/membership/standing.h"
#include "src/cluster/news/news.h"

namespace heronway::cluster {

struct Settings {
  Micros period = 500'000;              // between two probes of a healthy member
  Micros forget = 24 * 3600'000'000LL;  // the dead and the left are known for so long
  std::vector<Place> join;              // where others may be; oneself among them does no harm
  bool lifeguard = true;                // off: plain SWIM, for comparison
};

// ---- events
struct Tick {};    // due at the last WakeAt; later does no harm
struct Received {  // a datagram
  Message message;
};
// Exchanges: one TCP connection each. `link` is the host's handle for it.
struct ExchangeUp {  // one that StartExchange asked for is there
  std::uint64_t link = 0;
};
struct ExchangeGot {
  std::uint64_t link = 0;
  Message message;
};
struct ExchangeOver {  // it ended, or never came up
  std::uint64_t link = 0;
};
struct SawWorker {  // found out by this scheduler itself
  FactKind kind = FactKind::kFailing;
  std::uint64_t target = 0;
  Micros since = 0;
  bool well = false;                                // nothing of that: it answered
  std::uint16_t waiting = kUnsaid, free = kUnsaid;  // kLoad
};
struct Leave {};  // say goodbye; nothing is sent any more after a few ticks
using Event = std::variant<Tick, Received, ExchangeUp, ExchangeGot, ExchangeOver, SawWorker, Leave>;

// ---- effects
struct WakeAt {  // replaces the one before
  Micros at;
};
struct SendDatagram {
  std::string name;  // of the member, where it is known: the host may have another way to it
  Place to;
  Message message;
};
struct StartExchange {
  std::uint64_t link;
  std::string name;
  Place to;
};
struct ExchangeSend {
  std::uint64_t link;
  Message message;
  bool last;  // close behind it
};
struct ExchangeEnd {
  std::uint64_t link;
};
struct Changed {  // to be told to the operators; `to` equals `from` where only the incarnation moved
  Record record;
  std::optional<State> from;  // nothing: it was not known
  std::string why;            // a word
};
struct StandingChanged {
  Standing standing;
  std::size_t known, present;
};
struct Twins {  // two processes have served under one name for too long
  std::string name;
  Record one, other;
};
struct Parted {};  // goodbye has been said
struct Hinted {    // others' news call for it
  Hint hint;
};
using Effect = std::variant<WakeAt, SendDatagram, StartExchange, ExchangeSend, ExchangeEnd, Changed,
                            StandingChanged, Twins, Parted, Hinted>;

// A member as an operator sees it.
struct View {
  Record record;
  Micros since = 0;       // of its state
  Micros heard = 0;       // the last message of its own; 0: never
  Micros round_trip = 0;  // of the last ack; 0: none yet
};

struct MembershipCounters {
  std::uint64_t probes = 0, probes_failed = 0, indirect = 0, exchanges = 0;
  std::uint64_t suspicions = 0;        // raised by this member
  std::uint64_t refuted = 0;           // of this member, by itself
  std::uint64_t false_verdicts = 0;    // members that were held dead and live: after a cut, or by mistake
  std::uint64_t verdicts = 0;          // passed by this member
  std::uint64_t stalls = 0;            // times that this process stood still
  std::uint64_t facts = 0, hints = 0;  // of workers: heard, and worth a look
};

class Membership {
 public:
  // `self`: its life should be the Unix time; its incarnation and state are passed over.
  Membership(const Settings& settings, Record self, std::uint64_t seed, Micros now);

  void Handle(Micros now, Event event, std::vector<Effect>& effects);

  const Record& self() const { return self_; }
  Standing standing() const { return standing_.standing(); }
  int fleet_size() const { return static_cast<int>(present_); }  // names that are there, oneself included
  std::uint64_t digest() const { return digest_; }               // equal views have equal ones
  int health() const { return health_; }                         // 0: well; each step slows its accusations
  const MembershipCounters& counters() const { return counters_; }
  std::vector<View> Members() const;  // oneself included, in the order of names
  // The newest life of a name; null where it is not known, or one's own.
  const View* Find(const std::string& name) const;
  bool Joined() const { return joined_; }

  // One name may have two lives for so long, while a process is replaced.
  static constexpr Micros kTwinsMay = 60'000'000;
  static constexpr int kHelpers = 3;             // that are asked for an indirect probe
  static constexpr int kConfirmations = 3;       // independent ones, until a suspicion's time is shortest
  static constexpr Micros kLearns = 10'000'000;  // after its start a member is told what workers do
  static constexpr int kMostHealth = 8;
  static constexpr std::size_t kMostDatagram = 1400;

 private:
  struct Entry : View {
    std::uint64_t hash = 0;  // its part of the digest; 0: none
    std::set<std::string> accusers;
    Micros suspect_since = 0;
    Micros met = 0;  // by this member, in this life
  };
  struct Probe {
    std::uint32_t number;
    MemberId target;
    Micros sent, indirect_at, ends;
    bool indirect = false;
    int asked = 0, nacks = 0;
  };
  struct Help {  // a ping for another member
    std::uint32_t number;
    std::uint32_t for_number;
    std::string name;
    Place to;
    Micros nack_at, ends;
    bool nacked = false;
  };
  enum class Source : std::uint8_t { kGossip, kExchange };

  void On(Tick&);
  void On(Received& e);
  void On(ExchangeUp& e);
  void On(ExchangeGot& e);
  void On(ExchangeOver& e);
  void On(SawWorker& e);
  void On(Leave&);

  void OnPing(const Message& m);
  void OnPingReq(const Message& m);
  void OnAck(const Message& m);
  void OnNack(const Message& m);

  void ProbeNext();
  void StartProbe(Entry& target);
  void LookAtProbes();
  void LookAtHelps();
  void LookAtSuspicions();
  void LookAtDead();
  void LookAtExchange();
  void LookAtNames();
  void SpreadGossip();
  void Stalled(Micros gap);

  bool Believe(const Update& update, Source source);
  bool OwnName(const Update& update);
  void Hear(const Record& from);
  void Suspect(Entry& entry, const std::string& accuser);
  Micros SuspicionEnds(const Entry& entry) const;
  void Set(Entry& entry, const Record& record, const char* why);
  void Tell(const Record& record, const std::string& accuser = {});
  void TellSelf();
  void Refute(std::uint32_t incarnation);
  void Reborn(Life life);
  void Remove(const MemberId& id);
  void Supersede(const Record& newer);
  bool Superseded(const Record& record) const;
  void Unlist(Entry& entry);
  void List(Entry& entry);
  void Recount();
  void LookAtStanding();

  Message Make(MessageKind kind, std::uint32_t number = 0) const;
  void Send(const MemberId& to, Place at, Message message);
  void Exchange(const std::string& name, Place at, bool join = false);
  void CompareView(const Message& m);
  Message WholeView() const;
  void TakeNews(const std::vector<Fact>& facts, int schedulers);
  std::vector<Entry*> Pick(std::size_t count, const MemberId* except);
  Micros Scaled(Micros time) const { return time * (1 + health_); }
  void Health(int by);
  Micros TickTime() const { return settings_.period / 5; }
  Micros Jitter(Micros time);
  double Unit();
  std::uint32_t Below(std::uint32_t bound) { return random_(bound); }
  double Logs() const;  // log10 of the fleet, at least 1
  int MostSends() const;

  Settings settings_;
  Record self_;
  pcg32 random_;
  Micros now_, started_;
  std::vector<Effect>* effects_ = nullptr;

  std::map<MemberId, Entry> members_;  // without oneself
  std::vector<Entry*> ring_;           // alive and suspect ones, in the order of probes
  std::vector<Entry*> dead_;
  std::set<MemberId> suspects_;
  std::size_t next_ = 0;       // in the ring
  std::deque<MemberId> soon_;  // to be probed before the ring goes on
  Gossip gossip_;
  News news_;
  std::vector<Probe> probes_;
  std::vector<Help> helps_;
  std::uint32_t last_number_;
  Micros next_probe_, next_tick_, next_retry_, next_exchange_, next_join_, next_names_;
  int retries_ = 0;                       // of the dead, beyond the usual pace
  std::map<std::uint64_t, Place> links_;  // exchanges that this member began; a place: one of `join`
  std::uint64_t last_link_ = 0;
  std::set<Place> own_places_;  // of `join`, that turned out to be oneself
  std::size_t join_turn_ = 0;
  Micros join_wait_;
  Micros changed_at_ = 0, exchanged_at_ = 0;
  std::uint64_t digest_ = 0, own_hash_ = 0;  // sums, so that one change costs one hash
  std::map<std::string, Micros> twins_told_;
  std::size_t known_ = 1, present_ = 1;
  bool joined_ = false, recount_ = true;
  int health_ = 0;
  Micros leave_ends_ = -1;
  bool parted_ = false;
  StandingWatch standing_;
  MembershipCounters counters_;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_MEMBERSHIP_H_
