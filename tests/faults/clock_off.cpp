// Loaded into a process of the rig (LD_PRELOAD): its wall clock is CLOCK_OFF_S seconds ahead, or behind
// where that is negative, from CLOCK_OFF_AFTER_S on (0: from the start). Its steady clock runs as ever.
#include <dlfcn.h>
#include <sys/time.h>
#include <time.h>

#include <cstdlib>

namespace {

bool Stepped() {
  static const double after = [] {
    const char* text = std::getenv("CLOCK_OFF_AFTER_S");
    return text == nullptr ? 0.0 : std::atof(text);
  }();
  if (after <= 0) return true;
  static auto* const next =
      reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
  const auto steady = [] {
    timespec at{};
    next(CLOCK_MONOTONIC, &at);
    return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
  };
  static const double loaded = steady();
  return steady() - loaded >= after;
}

time_t Off() {
  if (!Stepped()) return 0;
  static const time_t off = [] {
    const char* text = std::getenv("CLOCK_OFF_S");
    return text == nullptr ? time_t{0} : static_cast<time_t>(std::atof(text));
  }();
  return off;
}

template <typename F>
F* Next(const char* name) {
  return reinterpret_cast<F*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* at) noexcept {
  static auto* const next = Next<int(clockid_t, timespec*)>("clock_gettime");
  const int result = next(clock, at);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) at->tv_sec += Off();
  return result;
}

int gettimeofday(timeval* at, void* zone) noexcept {
  static auto* const next = Next<int(timeval*, void*)>("gettimeofday");
  const int result = next(at, zone);
  if (result == 0) at->tv_sec += Off();
  return result;
}

time_t time(time_t* at) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (at != nullptr) *at = now.tv_sec;
  return now.tv_sec;
}
}
