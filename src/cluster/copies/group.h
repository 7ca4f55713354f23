// A group as the copies on the loop see it. Internal to this folder.
#ifndef HERONWAY_CLUSTER_COPIES_GROUP_H_
#define HERONWAY_CLUSTER_COPIES_GROUP_H_

#include <memory>
#include <set>
#include <string>
#include <utility>

#include "src/cluster/copies/copies.h"

namespace heronway::cluster::copies {

inline constexpr Micros kSecond = 1'000'000;
inline constexpr const char* kRoles[] = {"follower", "asks", "stands", "leader"};  // as log::Role

struct Copies::Group {
  Group(Copies& owner, GroupOnDisk on_disk)
      : copies(owner),
        name(std::move(on_disk.group)),
        servers(std::move(on_disk.servers)),
        timer(owner.shared_.loop, [this] { copies.Post(*this, log::Tick{}); }) {}
  Copies& copies;
  std::string name;
  std::unique_ptr<log::Log> log;
  Servers servers;
  net::Timer timer;
  bool mine = false;                     // of this scheduler's own store, which is open
  std::shared_ptr<OwnGroup> held;        // set: this process holds it, its own or another's
  durable::SqliteStore::Settings store;  // where it is kept while it is held
  std::uint64_t life = 0;                // of the hold, asked for or had; 0: neither
  std::uint64_t last_life = 0;           // of the last hold in the log, whoever's
  std::uint64_t known_life = 0;          // the last that the store knew when this process began
  log::Index hold_at = 0;                // the entry that took the hold
  bool asking = false;                   // for the hold
  bool reading = false;                  // its state, once it has the hold
  bool starts = false;                   // Lead() reads it
  Micros took = 0;                       // when the hold was asked for, or begun to be given back
  bool giving_back = false;
  Micros former_since =
      -1;               // its owner has another group instead, as its disk is lost; -1: not that is known
  bool older = false;   // this disk has forgotten some of it: nothing is held here
  std::string invited;  // a member that was asked to keep a copy
  std::set<log::ServerId> here;  // servers that said they would
  Micros told = 0, handed = 0, asked = 0;
  std::size_t grown = 0;  // bytes committed since the last snapshot
  bool made = true;       // it is on disk
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_GROUP_H_
