#include "src/limits/client_table.h"

#include <algorithm>
#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace heronway::limits {
namespace {

constexpr int kFirstTick = 1 << 20;

}  // namespace

ClientTable::ClientTable(const ClientSettings& settings, std::uint64_t seed)
    : seed_(seed),
      retention_ms_(static_cast<std::uint32_t>(settings.retention / 1000)),
      sets_(std::bit_ceil(std::max<std::size_t>(settings.max_clients, 4)) / std::tuple_size_v<Set>) {}

ClientHash ClientTable::HashOf(std::string_view name, std::uint64_t scope) const {
  if (name.empty()) return 0;
  const ClientHash hash =
      XXH3_64bits_withSeed(name.data(), name.size(), seed_ ^ (scope * 0x9e3779b97f4a7c15ULL));
  return hash == 0 ? 1 : hash;
}

// Ticks start at 2^20, so that times slightly before the epoch do not wrap. They wrap after 49 days; entries
// from before that are at worst taken for old ones.
std::uint32_t ClientTable::Ticks(Micros at) const {
  return static_cast<std::uint32_t>((at - epoch_) / 1000 + kFirstTick);
}

ClientTable::Entry& ClientTable::FindOrReplace(Micros now, ClientHash client, bool& found) {
  if (epoch_ < 0) epoch_ = now;
  const auto fingerprint = static_cast<std::uint32_t>(client >> 32);
  Set& set = sets_[client & (sets_.size() - 1)];
  const std::uint32_t tick = Ticks(now);
  Entry* oldest = &set[0];
  for (Entry& entry : set) {
    if (entry.last_seen != 0 && entry.fingerprint == fingerprint) {
      found = tick - entry.last_seen <= retention_ms_ ||
              (entry.retry_at != 0 && entry.retry_at + retention_ms_ >= tick);
      if (!found) entry = {fingerprint, 0, 0};
      return entry;
    }
    if (entry.last_seen < oldest->last_seen) oldest = &entry;
  }
  found = false;
  *oldest = {fingerprint, 0, 0};
  return *oldest;
}

ClientTable::Known ClientTable::Touch(Micros now, ClientHash client) {
  if (client == 0) return {};
  Known known;
  Entry& entry = FindOrReplace(now, client, known.seen);
  if (known.seen && entry.retry_at != 0)
    known.retry_at = epoch_ + (static_cast<Micros>(entry.retry_at) - kFirstTick) * 1000;
  entry.last_seen = std::max<std::uint32_t>(1, Ticks(now));
  return known;
}

void ClientTable::SetRetryTime(Micros now, ClientHash client, Micros retry_at) {
  if (client == 0) return;
  bool found = false;
  Entry& entry = FindOrReplace(now, client, found);
  entry.last_seen = std::max<std::uint32_t>(1, Ticks(now));
  entry.retry_at = retry_at == 0 ? 0 : Ticks(retry_at);
}

}  // namespace heronway::limits
