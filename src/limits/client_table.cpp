#include "src/limits/client_table.h"

#include <algorithm>
#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace heronway::limits {

ClientTable::ClientTable(const ClientSettings& settings, std::uint64_t seed)
    : seed_(seed),
      remember_(static_cast<std::uint32_t>(settings.retention / 1000)),
      sets_(std::bit_ceil(std::max<std::size_t>(settings.max_clients, 4)) / std::tuple_size_v<Set>) {}

ClientHash ClientTable::HashOf(std::string_view name, std::uint64_t scope) const {
  if (name.empty()) return 0;
  const ClientHash hash =
      XXH3_64bits_withSeed(name.data(), name.size(), seed_ ^ (scope * 0x9e3779b97f4a7c15ULL));
  return hash == 0 ? 1 : hash;
}

// Ticks start at 2^20, so that a clock that was read before the first one does not wrap; 49 days on they
// wrap, and what is in the table then is at worst taken for old.
std::uint32_t ClientTable::Ticks(Micros at) const {
  return static_cast<std::uint32_t>((at - epoch_) / 1000 + (1 << 20));
}

ClientTable::Place& ClientTable::Find(Micros now, ClientHash client, bool& found) {
  if (epoch_ < 0) epoch_ = now;
  const auto print = static_cast<std::uint32_t>(client >> 32);
  Set& set = sets_[client & (sets_.size() - 1)];
  const std::uint32_t tick = Ticks(now);
  Place* oldest = &set[0];
  for (Place& place : set) {
    if (place.seen != 0 && place.print == print) {
      found = tick - place.seen <= remember_ || (place.slot != 0 && place.slot + remember_ >= tick);
      if (!found) place = {print, 0, 0};
      return place;
    }
    if (place.seen < oldest->seen) oldest = &place;
  }
  found = false;
  *oldest = {print, 0, 0};
  return *oldest;
}

ClientTable::Known ClientTable::Touch(Micros now, ClientHash client) {
  if (client == 0) return {};
  Known known;
  Place& place = Find(now, client, known.seen);
  if (known.seen && place.slot != 0)
    known.slot = epoch_ + (static_cast<Micros>(place.slot) - (1 << 20)) * 1000;
  place.seen = std::max<std::uint32_t>(1, Ticks(now));
  return known;
}

void ClientTable::SetSlot(Micros now, ClientHash client, Micros slot) {
  if (client == 0) return;
  bool found = false;
  Place& place = Find(now, client, found);
  place.seen = std::max<std::uint32_t>(1, Ticks(now));
  place.slot = slot == 0 ? 0 : Ticks(slot);
}

}  // namespace heronway::limits
