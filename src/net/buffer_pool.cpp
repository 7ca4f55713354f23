#include "src/net/buffer_pool.h"

#include <algorithm>
#include <cstring>

namespace heronway::net {

bool ByteQueue::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (buffers_.empty() || buffers_.back()->end == Buffer::kSize) {
      auto buffer = pool_.Acquire();
      if (!buffer) return false;
      buffers_.push_back(std::move(buffer));
    }
    Buffer& last = *buffers_.back();
    const std::size_t n = std::min(bytes.size(), Buffer::kSize - last.end);
    std::memcpy(last.bytes.data() + last.end, bytes.data(), n);
    last.end += n;
    bytes.remove_prefix(n);
  }
  return true;
}

std::string_view ByteQueue::Front() const {
  if (buffers_.empty()) return {};
  const Buffer& first = *buffers_.front();
  return {first.bytes.data() + first.begin, first.end - first.begin};
}

void ByteQueue::Drop(std::size_t count) {
  Buffer& first = *buffers_.front();
  first.begin += count;
  if (first.begin < first.end) return;
  pool_.Release(std::move(buffers_.front()));
  buffers_.pop_front();
}

void ByteQueue::Clear() {
  for (auto& buffer : buffers_) pool_.Release(std::move(buffer));
  buffers_.clear();
}

}  // namespace heronway::net
