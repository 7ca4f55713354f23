// Who came lately, and when they were told to come back: a fixed table, however many clients there are.
//
// Four places a set, chosen by a seeded XXH3 of the client's name, so that nobody outside can choose names
// that meet. In a full set the one heard of longest ago makes room. Two names that share a set and 32 bits of
// the hash are taken for one: at 16,384 places about once in a million arrivals, and the cost is one wait too
// many or too few.
#ifndef HERONWAY_LIMITS_CLIENT_TABLE_H_
#define HERONWAY_LIMITS_CLIENT_TABLE_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

using ClientHash = std::uint64_t;  // 0: a client that cannot be known again

class ClientTable {
 public:
  ClientTable(const ClientSettings& settings, std::uint64_t seed);

  // The hash under which a client is known; never 0 for a name that is not empty. `scope` keeps equal names
  // of different kinds apart (a job class).
  ClientHash HashOf(std::string_view name, std::uint64_t scope) const;

  struct Known {
    bool seen = false;  // within `remember`
    Micros slot = 0;    // when it was told to come back; 0: it was not
  };
  // Looks a client up and notes that it came. O(1), no allocation.
  Known Touch(Micros now, ClientHash client);
  // Notes when a client was told to come back; 0 forgets it.
  void SetSlot(Micros now, ClientHash client, Micros slot);

  std::size_t bytes() const { return sets_.size() * sizeof(Set); }

 private:
  struct Place {
    std::uint32_t print = 0;  // of the hash; with seen == 0: empty
    std::uint32_t seen = 0;   // in ticks of 1 ms since `epoch_`, 1 at the least
    std::uint32_t slot = 0;   // likewise; 0: none
  };
  using Set = std::array<Place, 4>;
  Place& Find(Micros now, ClientHash client, bool& found);
  std::uint32_t Ticks(Micros at) const;

  std::uint64_t seed_;
  std::uint32_t remember_;
  Micros epoch_ = -1;
  std::vector<Set> sets_;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_CLIENT_TABLE_H_
