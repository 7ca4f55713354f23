// pebblenotch_drill: runs the decision module on the simulator's protocol, from standard input to standard
// output. Exit status: 0 at the end of input between frames, 1 if output fails, 2 if a frame is malformed.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <span>
#include <vector>

#include "adapter/instance_host.h"

namespace {

// Appends up to `count` bytes of standard input to `into` and returns their number. Reads in chunks, so that
// a frame length larger than the input does not allocate that much memory.
std::size_t AppendInput(std::vector<std::uint8_t>& into, std::size_t count) {
  constexpr std::size_t kChunkBytes = 1 << 20;
  std::size_t got = 0;
  while (got < count) {
    const std::size_t chunk = std::min(count - got, kChunkBytes);
    const std::size_t at = into.size();
    into.resize(at + chunk);
    const std::size_t n = std::fread(into.data() + at, 1, chunk, stdin);
    into.resize(at + n);
    got += n;
    if (n < chunk) break;
  }
  return got;
}

}  // namespace

int main() {
  using namespace pebblenotch::wire;
  InstanceHost host;
  std::vector<std::uint8_t> frame;
  try {
    for (;;) {
      frame.clear();
      if (AppendInput(frame, kFrameHeaderBytes) == 0) return 0;
      const FrameHeader header = ReadHeader(frame);
      AppendInput(frame, header.length - kFrameHeaderBytes);
      if (frame.size() != header.length) throw WireError("input ends inside a frame", frame.size());
      const auto reply = host.Process(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("pebblenotch_drill: cannot write the reply\n", stderr);
        return 1;
      }
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "pebblenotch_drill: %s\n", e.what());
    return 2;
  }
}
