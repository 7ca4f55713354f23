// A pool of reusable buffers of one size, and a byte queue that is built from them.
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
  static constexpr std::size_t kSize = 8 * 1024;  // bytes
  std::array<char, kSize> bytes;
  std::size_t begin = 0, end = 0;  // of the bytes in use
};

// Not thread-safe. Released buffers are kept for reuse.
class BufferPool {
 public:
  // `capacity`: the maximum number of buffers.
  explicit BufferPool(std::size_t capacity) : capacity_(capacity) {}
  // Returns null when all buffers are in use.
  std::unique_ptr<Buffer> Acquire() {
    if (free_.empty()) {
      if (allocated_ == capacity_) return nullptr;
      ++allocated_;
      return std::make_unique<Buffer>();
    }
    auto buffer = std::move(free_.back());
    free_.pop_back();
    buffer->begin = buffer->end = 0;
    return buffer;
  }
  void Release(std::unique_ptr<Buffer> buffer) { free_.push_back(std::move(buffer)); }
  std::size_t in_use() const { return allocated_ - free_.size(); }

 private:
  std::size_t capacity_, allocated_ = 0;
  std::vector<std::unique_ptr<Buffer>> free_;
};

// Bytes that wait to be sent, in buffers from the pool.
class ByteQueue {
 public:
  explicit ByteQueue(BufferPool& pool) : pool_(pool) {}
  ~ByteQueue() { Clear(); }
  ByteQueue(const ByteQueue&) = delete;
  ByteQueue& operator=(const ByteQueue&) = delete;

  // Returns false when the pool is exhausted; part of `bytes` may have been appended then.
  bool Append(std::string_view bytes);
  std::string_view Front() const;  // the first contiguous bytes; empty where the queue is
  void Drop(std::size_t count);    // removes `count` bytes, at most the size of Front()
  void Clear();
  bool empty() const { return buffers_.empty(); }

 private:
  BufferPool& pool_;
  std::deque<std::unique_ptr<Buffer>> buffers_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_BUFFER_POOL_H_
