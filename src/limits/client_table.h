// Remembers recent clients and the retry times assigned to them, in a table of fixed size.
//
// The table is 4-way set associative. A seeded XXH3 of the client's name selects the set, so that outsiders
// cannot choose names that collide. A full set evicts its least recently seen entry. Two names that share a
// set and 32 bits of the hash are taken for the same client: with 16,384 entries about once in a million
// arrivals, at the cost of one retry wait too many or too few.
#ifndef HERONWAY_LIMITS_CLIENT_TABLE_H_
#define HERONWAY_LIMITS_CLIENT_TABLE_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

using ClientHash = std::uint64_t;  // 0: a client that cannot be recognized again

class ClientTable {
 public:
  ClientTable(const ClientSettings& settings, std::uint64_t seed);

  // The hash that identifies a client; 0 for an empty name and never 0 otherwise. `scope` (a job class) keeps
  // equal names of different kinds apart.
  ClientHash HashOf(std::string_view name, std::uint64_t scope) const;

  struct Known {
    bool seen = false;    // within ClientSettings::retention
    Micros retry_at = 0;  // the retry time assigned to it; 0: none
  };
  // Looks a client up and records that it was seen. O(1), no allocation.
  Known Touch(Micros now, ClientHash client);
  // Records the retry time assigned to a client; 0 removes it.
  void SetRetryTime(Micros now, ClientHash client, Micros retry_at);

  std::size_t bytes() const { return sets_.size() * sizeof(Set); }

 private:
  struct Entry {
    std::uint32_t fingerprint = 0;  // upper 32 bits of the hash
    std::uint32_t last_seen = 0;    // in ticks of 1 ms, see Ticks(); 0: the entry is empty
    std::uint32_t retry_at = 0;     // likewise; 0: none
  };
  using Set = std::array<Entry, 4>;
  Entry& FindOrReplace(Micros now, ClientHash client, bool& found);
  // Milliseconds since shortly before `epoch_`, modulo 2^32.
  std::uint32_t Ticks(Micros at) const;

  std::uint64_t seed_;
  std::uint32_t retention_ms_;
  Micros epoch_ = -1;  // the first time passed in; -1: none yet
  std::vector<Set> sets_;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_CLIENT_TABLE_H_
