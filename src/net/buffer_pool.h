// Buffers of one size, used again and again; and a queue of bytes made of them.
#ifndef HERONWAY_NET_BUFFER_POOL_H_
#define HERONWAY_NET_BUFFER_POOL_H_

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace heronway::net {

struct Buffer {
  static constexpr std::size_t kSize = 8 * 1024;
  std::array<char, kSize> bytes;
  std::size_t begin = 0, end = 0;
};

class BufferPool {
 public:
  explicit BufferPool(std::size_t most) : most_(most) {}
  // Null when all are in use.
  std::unique_ptr<Buffer> Take() {
    if (free_.empty()) {
      if (made_ == most_) return nullptr;
      ++made_;
      return std::make_unique<Buffer>();
    }
    auto buffer = std::move(free_.back());
    free_.pop_back();
    buffer->begin = buffer->end = 0;
    return buffer;
  }
  void Give(std::unique_ptr<Buffer> buffer) { free_.push_back(std::move(buffer)); }
  std::size_t in_use() const { return made_ - free_.size(); }

 private:
  std::size_t most_, made_ = 0;
  std::vector<std::unique_ptr<Buffer>> free_;
};

class ByteQueue {
 public:
  explicit ByteQueue(BufferPool& pool) : pool_(pool) {}
  ~ByteQueue() { Clear(); }
  ByteQueue(const ByteQueue&) = delete;
  ByteQueue& operator=(const ByteQueue&) = delete;

  // False, and some of it left out, when the pool is empty.
  bool Append(std::string_view bytes);
  std::string_view Front() const;
  void Drop(std::size_t count);  // of what Front gives
  void Clear();
  bool empty() const { return buffers_.empty(); }

 private:
  BufferPool& pool_;
  std::deque<std::unique_ptr<Buffer>> buffers_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_BUFFER_POOL_H_
