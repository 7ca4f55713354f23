// An HTTP connection to discovery with at most one call outstanding.
#ifndef HERONWAY_DISCOVERY_CONNECTION_H_
#define HERONWAY_DISCOVERY_CONNECTION_H_

#include <cstdint>
#include <memory>

#include "src/fronts/http/message.h"
#include "src/net/stream.h"

namespace heronway::discovery {

using net::Micros;

// A request to discovery: for the full list, or for the changes since a generation.
struct CallRequest {
  bool full_list = false;
  std::uint64_t generation = 0;  // of the known list; unused in a call for the full list
  Micros hold = 0;               // how long discovery may wait for a change before it answers
  Micros started_at = 0;
};

// Why a call failed; Code() gives its name in the log.
enum class CallError : std::uint8_t {
  kConnectFailed,
  kEnded,       // the connection ended before the answer was complete
  kStatus,      // an HTTP status other than 200
  kNoAnswer,    // given up
  kBadMessage,  // an answer that cannot be read
  kOldAnswer    // changes to an older generation than the known one
};
const char* Code(CallError error);

class Connection : public net::Stream::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // The call has been answered, with any status. The connection stays open where Idle() says so.
    virtual void OnAnswer(Connection& connection, const http::Message& answer) = 0;
    // The call has failed and the connection is closed.
    virtual void OnCallFailed(Connection& connection, CallError error) = 0;
  };

  Connection(net::StreamContext& context, const net::Address& address, Owner& owner);
  // Sends a call. Requires that none is outstanding. May report its failure before it returns.
  void Send(const CallRequest& call);
  // Whether another call can be sent: established, no call outstanding, and nothing unread, which would be
  // taken for the answer to that call.
  bool Idle() const;
  void Close(net::Reason reason);

  const net::Address& address() const { return address_; }
  const CallRequest& call() const { return call_; }  // the latest
  bool answer_began() const { return answer_began_; }
  // A call has reached discovery, or its host, and has neither been answered nor failed.
  bool waiting() const { return outstanding_ && stream_->connected(); }
  bool refused() const { return stream_->connection_refused(); }

  static constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;

 private:
  void Fail(CallError error, net::Reason reason);
  void OnConnected() override {}
  void OnData(std::string_view bytes) override;
  void OnEnd(net::Reason reason) override;

  net::Address address_;
  Owner& owner_;
  http::MessageParser parser_;
  std::shared_ptr<net::Stream> stream_;
  CallRequest call_;
  bool outstanding_ = false, answer_began_ = false;
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_CONNECTION_H_
