// The Faktory front's state per connection, worker, hop and job. Internal to the front.
#ifndef HERONWAY_FRONTS_FAKTORY_CONNECTION_H_
#define HERONWAY_FRONTS_FAKTORY_CONNECTION_H_

#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/fronts/faktory/front.h"

namespace heronway::faktory {

// Unprocessed input per connection, in bytes: after HELLO, when reading pauses, and before it.
inline constexpr std::size_t kMaxBufferedBytes = 2 * kMaxLineBytes;
inline constexpr std::size_t kMaxBytesBeforeHello = 4 * 1024;
// Commands of one connection that are processed in one iteration of the event loop.
inline constexpr int kMaxCommandsPerIteration = 16;
inline constexpr const char* kLineTooLong = "the line is longer than 64 KiB";

// A connection of a client or of a worker.
struct Front::Connection : net::Stream::Owner, std::enable_shared_from_this<Front::Connection> {
  Connection(Front& owner, int fd, const net::Address& from)
      : front(owner),
        timer(owner.context_.loop, [this] { OnTimer(); }),
        resume_timer(owner.context_.loop, [this] { ProcessLines(); }),
        stream(owner.context_, fd, "faktory " + net::ToText(from), *this),
        connected_at(owner.context_.loop.Now()),
        peer(from) {
    timer.Start(kHelloTimeout);
  }

  void OnData(std::string_view bytes) override {
    last_received = front.context_.loop.Now();
    if (closing) return;  // the last reply is on its way; further input is ignored
    if (!hello_done && input.size() + bytes.size() > kMaxBytesBeforeHello)
      return front.Remove(*this, net::Reason::kTooLarge);
    input.append(bytes);
    ProcessLines();
    // Bounds the memory for many connections that send long lines at the same time. One that holds less than
    // an equal share is spared.
    const auto share = front.max_bytes_ / static_cast<std::size_t>(front.faktory_.max_connections);
    if (stream.open() && front.buffered_bytes_ > front.max_bytes_ && input.size() > share)
      front.Remove(*this, net::Reason::kNoMemory);
  }
  // Updates this connection's part of the front's total of buffered input.
  void CountBuffered(std::size_t bytes) {
    front.buffered_bytes_ += bytes - std::exchange(buffered_bytes, bytes);
  }

  // Processes buffered commands one at a time. A command waits while the one before it has no reply yet, or
  // the peer has not read that reply, and where this iteration of the loop has processed enough of them.
  void ProcessLines() {
    if (std::exchange(processing, true)) return;
    std::size_t begin = 0;
    bool any_line_left = true;
    for (int n = 0; n < kMaxCommandsPerIteration && CanProcess(); ++n) {
      const auto end = input.find('\n', begin);
      any_line_left = end != input.npos;
      if (!any_line_left) break;
      std::string line = input.substr(begin, end - begin);
      begin = end + 1;
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.size() > kMaxLineBytes) {
        RejectAndClose(kLineTooLong);
      } else {
        front.ProcessCommand(*this, line);
      }
    }
    input.erase(0, begin);
    if (!any_line_left && CanProcess() && input.size() > kMaxLineBytes) RejectAndClose(kLineTooLong);
    if (any_line_left && CanProcess() && !input.empty()) resume_timer.Start(0);
    processing = false;
    if (!stream.open()) return;
    CountBuffered(input.size());
    stream.PauseReading(!closing && input.size() > kMaxBufferedBytes);
  }
  bool CanProcess() const { return !busy() && !closing && stream.open() && stream.all_sent(); }

  // Replies with an error, after which the connection is closed.
  void RejectAndClose(const char* message) {
    closing = true;
    Send(Error(message));
  }

  void Send(std::string_view reply) {
    timer.Start(kReplyReadTimeout);
    stream.Write(reply);
    // In the next iteration of the loop: from here the next command would be processed inside the end of the
    // one before, and so on to the end of the buffer.
    if (stream.open() && !processing && !input.empty()) resume_timer.Start(0);
  }

  void OnSent() override {
    // Only the sending side is shut down first: closing a socket with unread input resets the connection,
    // and the last reply would be lost.
    if (closing) {
      stream.FinishWriting(net::Reason::kAnswered);
      return timer.Start(kCloseTimeout);
    }
    // Before HELLO the time limit counts from connecting, so that a peer cannot extend it by sending input.
    if (!busy())
      timer.Start(hello_done ? kIdleTimeout : connected_at + kHelloTimeout - front.context_.loop.Now());
    if (!input.empty() && !processing) resume_timer.Start(0);
  }
  void OnEnd(net::Reason) override { front.OnDisconnected(*this); }

  void OnTimer();

  bool busy() const { return job != nullptr || fetching || awaiting_store; }

  Front& front;
  net::Timer timer;         // limit for HELLO, idling, the peer reading a reply, or a waiting FETCH
  net::Timer resume_timer;  // continues with buffered commands in the next iteration of the loop
  net::Stream stream;
  Micros connected_at;
  net::Address peer;
  std::string input, salt;         // unprocessed bytes; the salt of the password hash
  std::size_t buffered_bytes = 0;  // its part of the front's buffered_bytes_
  bool hello_done = false, closing = false, processing = false;
  Micros last_received = 0;
  Worker* worker = nullptr;         // null for a client
  Job* job = nullptr;               // the job whose PUSH waits for its reply
  bool fetching = false;            // a FETCH waits for its reply
  bool awaiting_store = false;      // a reply waits for the store or another scheduler
  std::vector<std::string> queues;  // named by the last FETCH; empty before the first
};

// A hop that is assigned to a worker.
struct Front::Hop {
  Job* job = nullptr;  // null once the hop is over
  int number = 0;
  Micros sent_at = 0;
  Connection* connection = nullptr;  // to which it was delivered; null: it waits for a FETCH
  std::unique_ptr<net::Timer> delivery_timer;
};

// A worker process, an egress target.
struct Front::Worker {
  std::string wid;
  core::TargetId target = 0;
  int zone = 0;
  std::vector<std::string> labels;
  Micros connected_at = 0;
  pebblenotch::WorkerState state = pebblenotch::WorkerState::kReady;
  std::vector<Connection*> connections;
  std::list<Hop> hops;  // waiting and delivered ones, oldest first

  // Whether it has sent a FETCH, and the last FETCH of none of its connections named this queue.
  bool FetchesOtherQueues(const std::string& queue) const {
    bool any_fetch = false;
    for (const Connection* c : connections) {
      any_fetch |= !c->queues.empty();
      if (std::count(c->queues.begin(), c->queues.end(), queue) > 0) return false;
    }
    return any_fetch;
  }
};

// A job from its PUSH, or the start of a durable job's round, until its final outcome.
struct Front::Job {
  std::string jid, queue, text;
  int job_class = 0;
  core::Ticket ticket = 0;
  Micros deadline = 0;
  Connection* client = nullptr;  // null while it is disconnected
  bool is_round = false;         // a round of a durable job: no client waits for its end

  // Checked before a hop is delivered: the client may have disconnected without that being read yet.
  bool client_disconnected() const { return !is_round && (client == nullptr || client->stream.PeerClosed()); }
};

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_CONNECTION_H_
