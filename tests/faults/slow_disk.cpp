// Loaded into a process of a test (LD_PRELOAD): each sync of a file whose path contains SLOW_DISK_OF takes as
// many milliseconds longer as the file SLOW_DISK_FILE says, if there is one.
#include <dlfcn.h>
#include <time.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using Sync = int(int);

bool IsSlow(int file) {
  const char* const slow = std::getenv("SLOW_DISK_OF");
  char path[4096];
  const std::string link = "/proc/self/fd/" + std::to_string(file);
  const ssize_t size = readlink(link.c_str(), path, sizeof path);
  return slow != nullptr && size > 0 &&
         std::string(path, static_cast<std::size_t>(size)).find(slow) != std::string::npos;
}

void Delay(int file) {
  const char* const path = std::getenv("SLOW_DISK_FILE");
  std::FILE* const settings = path == nullptr || !IsSlow(file) ? nullptr : std::fopen(path, "re");
  if (settings == nullptr) return;
  long ms = 0;
  const int read = std::fscanf(settings, "%ld", &ms);
  std::fclose(settings);
  if (read != 1) return;
  constexpr long kMsPerSecond = 1'000, kNanosPerMs = 1'000'000;
  timespec left{ms / kMsPerSecond, ms % kMsPerSecond * kNanosPerMs};
  while (nanosleep(&left, &left) != 0) {
  }
}

}  // namespace

extern "C" {

int fsync(int file) {
  static auto* const next = reinterpret_cast<Sync*>(dlsym(RTLD_NEXT, "fsync"));
  Delay(file);
  return next(file);
}

int fdatasync(int file) {
  static auto* const next = reinterpret_cast<Sync*>(dlsym(RTLD_NEXT, "fdatasync"));
  Delay(file);
  return next(file);
}
}
