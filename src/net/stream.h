// One TCP connection: reads into pool buffers, queues what is written, and logs one line when it ends.
#ifndef HERONWAY_NET_STREAM_H_
#define HERONWAY_NET_STREAM_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/net/buffer_pool.h"
#include "src/net/loop.h"
#include "src/net/reason.h"

namespace heronway::net {

using Address = sockaddr_in;

// "10.0.0.4:8080" to an address; nothing where it cannot be read. There is no DNS.
std::optional<Address> ParseAddress(std::string_view text);
std::string ToText(const Address& address);
bool SameAddress(const Address& a, const Address& b);

// What all connections share.
struct StreamContext {
  Loop& loop;
  BufferPool& pool;
  bool log_connections = true;
};

class Stream {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnected() {}                     // the connection that was dialled is there
    virtual void OnData(std::string_view bytes) = 0;  // good for the call only
    virtual void OnSent() {}                          // all that was written has left
    virtual void OnEnd(Reason reason) = 0;            // last call; not made for an owner's own Close
  };

  // Takes over an accepted socket.
  Stream(StreamContext& shared, int fd, std::string label, Owner& owner);
  // Dials. A dial that fails at once is told from the loop, like any other. Where this machine lacks
  // something for it for a moment (a descriptor, a port, memory, a route), it is tried again until
  // `dial_timeout` is over.
  Stream(StreamContext& shared, const Address& to, Micros dial_timeout, std::string label, Owner& owner);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // The owner must look at `open()` after any call that writes: a broken connection ends within it.
  void Write(std::string_view bytes);
  void Close(Reason reason);
  // Says that no more will be written, and goes on reading. `as` is what the log says once the peer ends it.
  void FinishWriting(Reason as);
  // Stops reading while the owner cannot take more; the end of the connection then goes unseen as well.
  void PauseReading(bool pause);
  // What has come and waits for the loop's turn to be read: the peer's end shows only behind the last byte.
  enum class Unread : std::uint8_t { kNothing, kBytes, kEnd };
  Unread Peek() const;
  // The peer has ended it, or its sending side, whether or not bytes before that are still unread.
  bool PeerClosed() const;
  // Reads what has come and waits for the loop's turn. False: no bytes have.
  bool ReadPending();
  // Reads all of it, the peer's end included.
  void ReadAllPending();

  // How long ago the last bytes reached this machine, whether or not they were read at once; 0 where the
  // system does not tell.
  Micros SinceLastReceived() const;

  // The dial was refused: nobody listens at its address.
  bool connection_refused() const { return refused_; }

  bool open() const { return fd_ >= 0 || dialling_; }
  bool connected() const { return open() && !dialling_; }
  bool all_sent() const { return out_.empty(); }

 private:
  bool Dial();
  void DialAgain();
  void Watch();
  void Pause();
  void OnIo(int events);
  void ReadSome();
  std::size_t SendAtOnce(std::string_view bytes);
  void WriteSome();
  void End(Reason reason);
  void Release(Reason reason);

  StreamContext& shared_;
  Owner& owner_;
  std::string label_;
  int fd_ = -1;
  bool dialling_ = false, paused_ = false, refused_ = false;
  std::optional<Reason> finished_;  // it was told that no more comes, and why
  DescriptorWatch io_;
  Timer dial_timer_;  // while dialling: its limit; afterwards: a pause behind a call that failed for a moment
  Timer again_timer_;  // the next try of a dial that this machine could not make
  Address to_{};
  ByteQueue out_;
  std::uint64_t received_ = 0, sent_ = 0;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_STREAM_H_
