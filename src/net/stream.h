// A non-blocking TCP connection: passes received bytes to its owner, queues outgoing bytes in pool buffers,
// and logs one line when it ends.
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

// Parses an IPv4 address with port such as "10.0.0.4:8080"; nullopt where it is invalid. Names are not
// resolved.
std::optional<Address> ParseAddress(std::string_view text);
std::string ToText(const Address& address);
bool SameAddress(const Address& a, const Address& b);

// What all connections share. Must outlive them.
struct StreamContext {
  Loop& loop;
  BufferPool& pool;
  bool log_connections = true;
};

// A failure that only means a momentary shortage on this machine (descriptors, ports, memory, a route) does
// not end the connection; the call is repeated.
class Stream {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnected() {}                     // the outgoing connection is established
    virtual void OnData(std::string_view bytes) = 0;  // `bytes` is valid during the call only
    virtual void OnSent() {}                          // the send queue has become empty
    virtual void OnEnd(Reason reason) = 0;            // the last call; not made after the owner's own Close
  };

  // Takes ownership of an accepted socket. `label`: the peer in the log.
  Stream(StreamContext& context, int fd, std::string label, Owner& owner);
  // Connects to `to`. An immediate failure is reported from the loop, as any other. Where this machine is
  // briefly short of something (a descriptor, a port, memory, a route), the attempt is repeated until
  // `dial_timeout` (microseconds) has passed.
  Stream(StreamContext& context, const Address& to, Micros dial_timeout, std::string label, Owner& owner);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Queues or sends the bytes. The owner must check `open()` after any call that writes, as it may find the
  // connection broken and end it.
  void Write(std::string_view bytes);
  // Closes without a call of OnEnd.
  void Close(Reason reason);
  // Shuts down the sending side and keeps reading. `logged_reason` is logged when the peer ends the
  // connection.
  void FinishWriting(Reason logged_reason);
  // Stops or resumes reading, for an owner that cannot accept more data. While reading is paused, the end
  // of the connection is not noticed either.
  void PauseReading(bool pause);
  // What is ready to be read and not read yet. kEnd is only returned once no bytes are left before the end.
  enum class Unread : std::uint8_t { kNothing, kBytes, kEnd };
  Unread Peek() const;
  // Whether the peer has closed the connection or its sending side, even if earlier bytes are still unread.
  bool PeerClosed() const;
  // Reads pending bytes without waiting for the loop. Returns false where none are pending.
  bool ReadPending();
  // Reads all pending bytes, and the peer's end of the connection.
  void ReadAllPending();

  // Microseconds since the last bytes arrived at this machine, whether or not they have been read; 0 where
  // the system does not report it.
  Micros SinceLastReceived() const;

  // Whether the peer refused the connection because nothing listens at its address.
  bool connection_refused() const { return connection_refused_; }

  bool open() const { return fd_ >= 0 || dialing_; }
  bool connected() const { return open() && !dialing_; }
  bool all_sent() const { return send_queue_.empty(); }

 private:
  bool Dial();
  void RetryDial();
  void UpdateWatch();
  void PauseAfterShortage();
  void OnIo(int events);
  void ReadOnce();
  std::size_t SendImmediately(std::string_view bytes);
  void Flush();
  void End(Reason reason);
  void CloseSocket(Reason reason);

  StreamContext& context_;
  Owner& owner_;
  std::string label_;
  int fd_ = -1;
  bool dialing_ = false, reading_paused_ = false, connection_refused_ = false;
  std::optional<Reason> finish_reason_;  // set once the sending side is shut down
  DescriptorWatch watch_;
  Timer dial_timer_;   // while dialing: the time limit; afterwards: the pause after a shortage
  Timer retry_timer_;  // until the next attempt of a dial that failed for a shortage
  Address peer_address_{};
  ByteQueue send_queue_;
  std::uint64_t bytes_received_ = 0, bytes_sent_ = 0;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_STREAM_H_
