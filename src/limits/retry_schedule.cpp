#include "src/limits/retry_schedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace heronway::limits {
namespace {

constexpr Micros kCell = 10'000;

}  // namespace

RetrySchedule::RetrySchedule(const RetryScheduleSettings& settings, std::uint64_t seed, Forecast forecast)
    : settings_(settings),
      random_(seed),
      forecast_(std::move(forecast)),
      bins_(static_cast<std::size_t>((settings.max_wait + settings.grace) / settings.bin) + 3),
      cells_(static_cast<std::size_t>((settings.max_wait + settings.grace + settings.bin) / kCell) + 3) {}

Micros RetrySchedule::Uniform(Micros below) {
  return below <= 1 ? 0 : std::uniform_int_distribution<Micros>(0, below - 1)(random_);
}

// Moves the present on. Bins that come into reach get their room; what lies further back than `grace` is
// written over. Guards against a clock that jumps: at most every bin is begun anew once.
void RetrySchedule::Advance(Micros now) {
  const Micros head = now - now % settings_.bin;
  if (head <= head_) return;
  const Micros last = head + settings_.max_wait;
  Micros from = head_ < 0 ? head : head_ + settings_.max_wait + settings_.bin;
  from = std::max(from, last - settings_.bin * static_cast<Micros>(bins_.size() - 1));
  for (Micros at = from - from % settings_.bin; at <= last; at += settings_.bin) {
    At(at) = Bin{at, forecast_(at) * static_cast<double>(settings_.bin) / 1e6, 0, 0};
  }
  head_ = head;
  ForgetBefore((now - settings_.grace) / kCell);
}

void RetrySchedule::ForgetBefore(Micros cell) {
  // A clock that jumps past the whole ring meets each cell once.
  forgotten_ = std::max(forgotten_, cell - static_cast<Micros>(cells_.size()));
  for (; forgotten_ < cell; ++forgotten_) {
    Cell& old = CellOf(forgotten_);
    if (old.number < cell) anonymous_ -= std::exchange(old.many, 0);
  }
}

void RetrySchedule::Note(Micros at) {
  Cell& cell = CellOf(at / kCell);
  if (cell.number != at / kCell) {
    anonymous_ -= cell.many;
    cell = {at / kCell, 0};
  }
  ++cell.many;
  ++anonymous_;
  last_told_ = std::max(last_told_, at);
}

Micros RetrySchedule::AnonymousWait(Micros now) {
  const Micros span = std::clamp(last_told_ - now, settings_.bin, settings_.max_wait);
  return settings_.bin + Uniform(span - settings_.bin + 1);
}

void RetrySchedule::Renew(Micros now) {
  Advance(now);
  for (Micros at = head_; at <= head_ + settings_.max_wait; at += settings_.bin) {
    Bin& bin = At(at);
    if (bin.begin == at) bin.room = forecast_(at) * static_cast<double>(settings_.bin) / 1e6;
  }
  full_from_ = full_to_ = 0;
}

RetrySchedule::Booking RetrySchedule::Book(Micros now, Micros least, double cost, bool anonymous) {
  Advance(now);
  const Micros soonest = now + std::max(least, settings_.bin);
  const Micros last = head_ + settings_.max_wait - settings_.bin;
  const Micros from = soonest - soonest % settings_.bin;
  Micros at = from >= full_from_ && from < full_to_ ? full_to_ : from;
  for (; at <= last; at += settings_.bin) {
    Bin& bin = At(at);
    if (bin.begin != at) continue;
    // A bin takes a booking while anything of it is free: the excess is half a job on average, whereas
    // bins smaller than a job would never take one.
    if (bin.booked + bin.claimed >= bin.room || bin.room <= 0) {
      continue;
    }
    // A fleet that carries less than a job in a bin gives only some of its bins away, at random.
    if (bin.room < cost && std::generate_canonical<double, 32>(random_) > bin.room / cost) {
      bin.booked = bin.room;
      continue;
    }
    bin.booked += cost;
    if (from < full_from_ || from >= full_to_) full_from_ = from;
    full_to_ = at;
    const Micros told = std::max(soonest, at + Uniform(settings_.bin));
    if (anonymous) Note(told);
    return {told, true};
  }
  if (from < full_from_ || from >= full_to_) full_from_ = from;
  full_to_ = std::max(full_to_, at);
  const Micros told = now + settings_.max_wait - Uniform(std::max<Micros>(settings_.max_wait / 4, 1));
  if (anonymous) Note(told);
  return {told, false};
}

Micros RetrySchedule::EarlyBy(Micros now, Micros at) const {
  return at - now > settings_.tolerance ? at - now : 0;
}

bool RetrySchedule::Claim(Micros now, Micros at, double cost) {
  Advance(now);
  if (now - at > settings_.grace) return false;
  Bin& bin = At(at);
  if (bin.begin != at - at % settings_.bin) return false;
  if (bin.claimed + cost > std::max(bin.room, cost) + cost) return false;
  bin.claimed += cost;
  bin.booked = std::max(0.0, bin.booked - cost);
  return true;
}

bool RetrySchedule::ClaimAnonymous(Micros now, double cost) {
  Advance(now);
  for (Micros number = now / kCell; number > (now - settings_.grace) / kCell; --number) {
    Cell& cell = CellOf(number);
    if (cell.number != number || cell.many == 0) continue;
    --cell.many;
    --anonymous_;
    return Claim(now, std::min(now, number * kCell), cost);
  }
  return false;
}

double RetrySchedule::booked(Micros now) {
  Advance(now);
  double sum = 0;
  for (Micros at = head_; at <= head_ + settings_.max_wait; at += settings_.bin) {
    if (At(at).begin == at) sum += At(at).booked;
  }
  return sum;
}

}  // namespace heronway::limits
