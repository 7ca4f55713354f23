// The groups that a member keeps copies of, its own stores' among them: their logs on the loop, one file and
// one connection a member for all. It decides nothing about what is committed (the logs do) nor who keeps
// copies (placement does): it carries out their effects.
#ifndef HERONWAY_CLUSTER_COPIES_COPIES_H_
#define HERONWAY_CLUSTER_COPIES_COPIES_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "src/cluster/copies/disk.h"
#include "src/cluster/copies/doors.h"
#include "src/cluster/copies/links.h"
#include "src/cluster/copies/lookup.h"
#include "src/cluster/copies/own_group.h"
#include "src/cluster/copies/placement.h"
#include "src/durable/held.h"

namespace heronway::cluster::copies {

// A member as membership sees it, and where it listens for copies; empty: it keeps none.
struct Seen : Candidate {
  std::string at;
};

class Copies {
 public:
  struct Settings {
    std::string fleet, name;
    int copies = 3;
    net::Address listen{};
    std::map<std::string, net::Address> reach;
    Micros takeover = 0;          // after which a member that is gone has its jobs run by another; 0: never
    bool expects_others = false;  // members of the fleet are to be heard
    std::string folder;           // of copies.db
    std::uint64_t seed = 1;
  };
  static constexpr std::size_t kMostGroups = 64;    // of others
  static constexpr Micros kLooks = 500'000;         // who should keep copies, and who is caught up
  static constexpr Micros kPatience = 600'000'000;  // for a member that is gone, until it is replaced
  static constexpr std::size_t kCompacts = 16 * 1024 * 1024;  // bytes of a log, at least, before a snapshot

  static constexpr Micros kRemembers = EarlierLives::kRemembers;  // after a start, to hear of all
  static constexpr Micros kGivesBack = 5'000'000;  // for what is in hand to end, before its owner has it back

  // What is held for others goes to the fronts, and comes back. `own`: it is this scheduler's, which another
  // held for a while.
  struct Host {
    std::function<void(durable::Held)> hold;
    std::function<void(const std::string& group, const std::string& front, bool own)> lost;
    // Nothing of it is in hand; from the first asking on nothing is begun.
    std::function<bool(const std::string& group, const std::string& front)> idle;
    // A worker's word that reached another. `told`: whether it is stored. False: no such job is held here.
    std::function<bool(const std::string& front, core::HopCallback news, std::function<void(bool)> told)>
        word;
    // Whether a job is known here; told perhaps within.
    std::function<void(const std::string& front, const JobName& name, std::function<void(Verdict)> told)>
        find;
  };

  // Throws durable::StoreError and std::runtime_error as Disk and Links do.
  Copies(net::Shared& shared, const Settings& settings);
  ~Copies();
  Copies(const Copies&) = delete;
  Copies& operator=(const Copies&) = delete;

  // For durable::Settings::copied. Runs the loop until this scheduler leads its group for the front and the
  // store has all that is committed: with copies there already, that takes a majority of them.
  std::unique_ptr<durable::Store> Lead(const std::string& front, std::unique_ptr<durable::SqliteStore> store);
  // Who is there, from membership; before it is given, nobody is asked to keep a copy.
  void Watch(std::function<std::vector<Seen>()> members) { members_ = std::move(members); }
  // Leads a worker's word to whoever holds its job, where this scheduler does not.
  void Lead(const std::string& front, const core::HopCallback& news, Doors::Told told);
  // Whether a job that this scheduler does not know is known to another, which may hold what this one took
  // before it lost its disk. `told` is called once, within `patience` microseconds, perhaps at once.
  void LookUp(const std::string& front, JobName name, Micros patience, std::function<void(Verdict)> told);
  void Serve(Host host) { host_ = std::move(host); }
  net::Address address() const { return links_.address(); }
  std::size_t unused_connections() const { return links_.unused_connections(); }
  std::string Body() const;  // GET /v1/copies: JSON
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  struct Group;
  Group& Add(GroupOnDisk on_disk, bool made);
  Group* Find(const std::string& name);
  void Post(Group& g, log::Event event);
  void Carry(Group& g, log::Effect& effect);
  void Got(const std::string& from, Frame frame);
  void Written();
  void Propose();
  void Look();
  void LookAt(Group& g, const std::vector<Seen>& members);
  void Learn(Group& g, log::ServerId id, const std::string& member, const std::string& at);
  void TellNames(Group& g);
  void Compact(Group& g);
  void TakeHold(Group& g);
  bool LooksAtHold(Group& g, log::Index index, const std::string& data);
  void Lost(Group& g);
  void Read(Group& g);
  void ReadNext();
  void TakeRead();
  bool GaveBack(Group& g);
  void GotWord(const std::string& from, const Frame& f);
  struct WaitingLookup {
    std::string front;
    JobName name;
    Micros until;
    std::function<void(Verdict)> told;
  };
  struct OwnFront {  // what is led here for one front
    std::string group;
    EarlierLives earlier;
    bool nobody_has_more = false;  // as of the last look at the members
  };
  bool TryLookUp(WaitingLookup& lookup);
  void LookUpAgain();
  void AskForCopies();
  EarlierLives::Plan WhomToAsk(const EarlierLives& earlier);
  void Ask(const std::string& front, const JobName& name, const std::vector<std::string>& members,
           Micros patience, Questions<JobAnswer>::Told told);
  void GotQuestion(const std::string& from, const Frame& f);
  void GotAnswer(const std::string& from, const Frame& f);
  log::ServerId NewServer();

  net::Shared& shared_;
  Settings settings_;
  Micros life_, began_;
  std::function<std::vector<Seen>()> members_;
  net::Wakeup written_, asked_, compacted_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  net::Timer look_;
  std::string fault_;
  std::uint64_t servers_made_ = 0, tickets_ = 0, holds_ = 0, taken_over_ = 0;
  Host host_;
  Doors doors_;
  std::uint64_t led_words_ = 0, taken_words_ = 0, looked_up_ = 0, found_elsewhere_ = 0;
  std::map<std::string, OwnFront> own_;  // by front
  Questions<JobAnswer> lookups_;
  std::list<WaitingLookup> waiting_lookups_;     // for members that are not heard yet
  std::map<std::uint64_t, Frame> asked_frames_;  // of the questions that are open, by number
  net::Timer look_up_again_;
  struct ToRead {
    std::string group;
    std::uint64_t life;
    bool mine;
    durable::SqliteStore::Settings store;
    Said said;
  };
  struct WasRead {
    std::string group, fault;
    std::uint64_t life = 0;
    durable::Held held;
    std::unique_ptr<durable::SqliteStore> store;  // null: `fault` tells why
  };
  std::deque<ToRead> to_read_;
  std::vector<WasRead> read_;
  std::thread reader_;
  std::atomic<bool> compact_failed_{false};
  std::mutex compact_lock_;
  std::vector<std::pair<std::string, log::Compact>> ready_;  // snapshots that were made
  std::thread compactor_;
  std::atomic<bool> compacting_{false};
  Links links_;
  Disk disk_;  // last: its thread ends before what it calls
};

// The name of a group, and its parts.
std::string GroupName(const std::string& owner, const std::string& front, Micros life);
std::string OwnerOf(const std::string& group);
std::string FrontOf(const std::string& group);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_COPIES_H_
