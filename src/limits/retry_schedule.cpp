#include "src/limits/retry_schedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace heronway::limits {
namespace {

constexpr Micros kSlotLength = 10'000;

}  // namespace

RetrySchedule::RetrySchedule(const RetryScheduleSettings& settings, std::uint64_t seed, Forecast forecast)
    : settings_(settings),
      random_(seed),
      forecast_(std::move(forecast)),
      bins_(static_cast<std::size_t>((settings.max_wait + settings.grace) / settings.bin) + 3),
      slots_(static_cast<std::size_t>((settings.max_wait + settings.grace + settings.bin) / kSlotLength) +
             3) {}

Micros RetrySchedule::Uniform(Micros bound) {
  return bound <= 1 ? 0 : std::uniform_int_distribution<Micros>(0, bound - 1)(random_);
}

// Advances to the current time. Bins that come into range get their capacity from the forecast; bins older
// than `grace` are overwritten. However far the clock jumps, each bin is reset at most once.
void RetrySchedule::Advance(Micros now) {
  const Micros head = now - now % settings_.bin;
  if (head <= head_) return;
  const Micros last_bin = head + settings_.max_wait;
  Micros from = head_ < 0 ? head : head_ + settings_.max_wait + settings_.bin;
  from = std::max(from, last_bin - settings_.bin * static_cast<Micros>(bins_.size() - 1));
  for (Micros at = from - from % settings_.bin; at <= last_bin; at += settings_.bin) {
    BinAt(at) = Bin{at, forecast_(at) * static_cast<double>(settings_.bin) / 1e6, 0, 0};
  }
  head_ = head;
  ExpireSlotsBefore((now - settings_.grace) / kSlotLength);
}

void RetrySchedule::ExpireSlotsBefore(Micros number) {
  // Visits each slot at most once, also if the clock jumps past the whole ring.
  first_live_slot_ = std::max(first_live_slot_, number - static_cast<Micros>(slots_.size()));
  for (; first_live_slot_ < number; ++first_live_slot_) {
    Slot& expired = SlotAt(first_live_slot_);
    if (expired.number < number) anonymous_count_ -= std::exchange(expired.count, 0);
  }
}

void RetrySchedule::CountAnonymous(Micros retry_at) {
  Slot& slot = SlotAt(retry_at / kSlotLength);
  if (slot.number != retry_at / kSlotLength) {
    anonymous_count_ -= slot.count;
    slot = {retry_at / kSlotLength, 0};
  }
  ++slot.count;
  ++anonymous_count_;
  latest_anonymous_ = std::max(latest_anonymous_, retry_at);
}

Micros RetrySchedule::AnonymousWait(Micros now) {
  const Micros range = std::clamp(latest_anonymous_ - now, settings_.bin, settings_.max_wait);
  return settings_.bin + Uniform(range - settings_.bin + 1);
}

void RetrySchedule::UpdateForecast(Micros now) {
  Advance(now);
  for (Micros at = head_; at <= head_ + settings_.max_wait; at += settings_.bin) {
    Bin& bin = BinAt(at);
    if (bin.begin == at) bin.capacity = forecast_(at) * static_cast<double>(settings_.bin) / 1e6;
  }
  full_from_ = full_to_ = 0;
}

RetrySchedule::Reservation RetrySchedule::Reserve(Micros now, Micros min_wait, double cost, bool anonymous) {
  Advance(now);
  const Micros earliest = now + std::max(min_wait, settings_.bin);
  const Micros last_bin = head_ + settings_.max_wait - settings_.bin;
  const Micros from = earliest - earliest % settings_.bin;
  Micros at = from >= full_from_ && from < full_to_ ? full_to_ : from;
  for (; at <= last_bin; at += settings_.bin) {
    Bin& bin = BinAt(at);
    if (bin.begin != at) continue;
    // A bin accepts a reservation while any of its capacity is free. This exceeds the capacity by half a job
    // on average; otherwise bins smaller than a job would never accept one.
    if (bin.reserved + bin.claimed >= bin.capacity || bin.capacity <= 0) {
      continue;
    }
    // If a bin carries less than one job, only a random part of such bins is used.
    if (bin.capacity < cost && std::generate_canonical<double, 32>(random_) > bin.capacity / cost) {
      bin.reserved = bin.capacity;
      continue;
    }
    bin.reserved += cost;
    if (from < full_from_ || from >= full_to_) full_from_ = from;
    full_to_ = at;
    const Micros retry_at = std::max(earliest, at + Uniform(settings_.bin));
    if (anonymous) CountAnonymous(retry_at);
    return {retry_at, true};
  }
  if (from < full_from_ || from >= full_to_) full_from_ = from;
  full_to_ = std::max(full_to_, at);
  const Micros retry_at = now + settings_.max_wait - Uniform(std::max<Micros>(settings_.max_wait / 4, 1));
  if (anonymous) CountAnonymous(retry_at);
  return {retry_at, false};
}

Micros RetrySchedule::EarlyBy(Micros now, Micros at) const {
  return at - now > settings_.tolerance ? at - now : 0;
}

bool RetrySchedule::Claim(Micros now, Micros at, double cost) {
  Advance(now);
  if (now - at > settings_.grace) return false;
  Bin& bin = BinAt(at);
  if (bin.begin != at - at % settings_.bin) return false;
  if (bin.claimed + cost > std::max(bin.capacity, cost) + cost) return false;
  bin.claimed += cost;
  bin.reserved = std::max(0.0, bin.reserved - cost);
  return true;
}

bool RetrySchedule::ClaimAnonymous(Micros now, double cost) {
  Advance(now);
  for (Micros number = now / kSlotLength; number > (now - settings_.grace) / kSlotLength; --number) {
    Slot& slot = SlotAt(number);
    if (slot.number != number || slot.count == 0) continue;
    --slot.count;
    --anonymous_count_;
    return Claim(now, std::min(now, number * kSlotLength), cost);
  }
  return false;
}

double RetrySchedule::ReservedJobs(Micros now) {
  Advance(now);
  double total = 0;
  for (Micros at = head_; at <= head_ + settings_.max_wait; at += settings_.bin) {
    if (BinAt(at).begin == at) total += BinAt(at).reserved;
  }
  return total;
}

}  // namespace heronway::limits
