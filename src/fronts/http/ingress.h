// One accepted connection of the HTTP front, from a client or from a target that sends callbacks. Processes
// one message at a time and limits the time and memory that slow or misbehaving peers can use. Internal to
// the front.
#ifndef HERONWAY_FRONTS_HTTP_INGRESS_H_
#define HERONWAY_FRONTS_HTTP_INGRESS_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/fronts/http/front.h"

namespace heronway::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Logs one step of a hop at level debug. `hop`: index of the hop; -1 for a callback.
void LogHop(std::string_view id, int hop, std::string_view to, std::string_view step);

// Bytes of pipelined requests that may be buffered while a request is in service.
inline constexpr std::size_t kMaxPipelinedBytes = 16 * 1024;

// A connection together with its protocol state. The front keeps it in the list of its stage.
struct Front::Ingress : net::Stream::Owner, std::enable_shared_from_this<Front::Ingress> {
  Ingress(Front& owner, int fd, const net::Address& from)
      : front(owner),
        reader(HTTP_REQUEST, kMaxBodyBytes),
        timer(owner.context_.loop, [this] { OnTimer(); }),
        stream(owner.context_, fd, "ingress " + net::ToText(from), *this),
        connected_at(owner.context_.loop.Now()),
        peer(from) {
    // Not restarted by incoming data: a request sent byte by byte must not keep its connection open.
    timer.Start(kFirstRequestTime);
  }

  void OnData(std::string_view bytes) override {
    if (discarding) {  // further input after the final response is discarded, up to a limit
      discarded_bytes += bytes.size();
      if (discarded_bytes > kMaxDiscardedBytes) front.Remove(*this, net::Reason::kTooLarge);
      return;
    }
    if (MustBuffer()) {
      // A pipelined request is buffered until the current one has its response. Beyond the limit, reading is
      // paused rather than the connection closed, which would lose the response to the current request.
      pipelined.append(bytes);
      pipelined_received_at = front.context_.loop.Now();
      if (pipelined.size() > kMaxPipelinedBytes) stream.PauseReading(true);
    } else {
      received_at = front.context_.loop.Now() - stream.SinceLastReceived();
      Feed(bytes);
    }
    if (stream.open()) front.UpdateStage(*this);
  }

  // Whether input must wait: for the response to the request before it, for the client to read that response,
  // or behind input that is buffered already.
  bool MustBuffer() const {
    return ticket != 0 || closing || !pipelined.empty() || (!stream.all_sent() && !reader.started());
  }

  void Feed(std::string_view bytes) {
    while (!bytes.empty() && stream.open() && !discarding) {
      if (ticket != 0 || closing) {
        pipelined.assign(bytes);
        return;
      }
      std::size_t used = 0;
      const bool new_message = !reader.started();
      const ParseState state = reader.Feed(bytes, used);
      bytes.remove_prefix(std::min(used, bytes.size()));
      if (state == ParseState::kComplete) {
        timer.Stop();
        Message message = reader.TakeMessage();
        keep_alive = message.keep_alive;
        had_request = true;
        pipelined.assign(bytes);  // processed from the event loop once this request has its response
        return front.Dispatch(*this, std::move(message), bytes);
      } else if (state == ParseState::kIncomplete) {
        if (had_request && new_message && reader.started()) timer.Start(kRequestTime);
        if (reader.headers_complete() && reader.message().expects_continue &&
            !std::exchange(continue_sent, true))
          stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
        // Limits the memory of many large bodies that are received at once and never completed.
        if (front.incoming_bytes_ + reader.message().size() > front.budget_.incoming_bytes + counted_bytes)
          return RejectAndDiscard(503, "too much is coming in\n");
        return;
      } else {
        return RejectAndDiscard(state == ParseState::kBodyTooLarge   ? 413
                                : state == ParseState::kHeadTooLarge ? 431
                                                                     : 400,
                                {});
      }
    }
  }

  // Responds to a message that is not read to its end and discards all further input of the connection.
  void RejectAndDiscard(unsigned status, std::string_view why) {
    ++front.malformed_;
    discarding = true;
    reader.Discard();
    pipelined.clear();
    keep_alive = false;
    Respond(status, {}, why);
  }

  void Respond(unsigned status, Headers headers, std::string_view body) {
    ticket = 0;
    continue_sent = false;
    served = served || status == 200;
    // A client that made an error usually repeats it or stays silent, so its connection is closed. During a
    // graceful shutdown the response announces the close, unless another request has already arrived; that
    // one is served first.
    const bool last =
        front.closing_idle_ && pipelined.empty() && stream.Peek() != net::Stream::Unread::kBytes;
    if (status / 100 == 4 || last) keep_alive = false;
    closing = !keep_alive;
    timer.Start(kResponseReadTime);
    stream.Write(FormatResponse(status, keep_alive, headers, body));
    if (stream.open()) front.UpdateStage(*this);
  }

  void OnSent() override {
    // Closing a connection with unread data resets it, and the response would be lost. Therefore only the
    // write side is closed here and remaining input is discarded.
    if (discarding || (closing && ticket == 0)) {
      discarding = true;
      reader.Discard();
      pipelined.clear();
      stream.FinishWriting(net::Reason::kAnswered);
      timer.Start(kLingerTime);
      return front.UpdateStage(*this);
    }
    if (ticket != 0 || reader.started()) return;
    timer.Start(served ? kIdleTime : kUnservedIdleTime);
    // Pipelined requests are processed from the event loop, because the caller may still be writing a
    // response.
    if (!pipelined.empty()) timer.Start(0);
    front.UpdateStage(*this);
  }

  void OnEnd(net::Reason) override { front.OnDisconnected(*this); }

  void OnTimer() {
    if (!pipelined.empty() && ticket == 0 && stream.all_sent()) {
      received_at = pipelined_received_at;
      Feed(std::exchange(pipelined, {}));
      if (!stream.open()) return;
      if (pipelined.size() <= kMaxPipelinedBytes) stream.PauseReading(false);
      return front.UpdateStage(*this);
    }
    if (!stream.all_sent()) return front.Remove(*this, net::Reason::kSlowReader);
    if (discarding) return front.Remove(*this, net::Reason::kAnswered);
    // Reads data that arrived before the timeout but has not been read yet, including the rest of a started
    // request.
    const bool started = reader.started();
    bool any_data = false;
    while (stream.open() && !timer.running() && ticket == 0 && stream.ReadPending()) {
      any_data = true;
      if (!started) break;
    }
    if (!stream.open() || timer.running() || ticket != 0) return;
    if (started) return RejectAndDiscard(408, "the request took too long\n");
    if (any_data) return timer.Start(had_request ? kRequestTime : 0);
    front.Remove(*this, net::Reason::kIdle);
  }

  Stage stage() const {
    if (ticket != 0 || !stream.all_sent()) return Stage::kBusy;
    if (discarding) return Stage::kUnserved;
    if (!had_request) return Stage::kNew;
    if (reader.started() || !pipelined.empty()) return Stage::kReceiving;
    return served ? Stage::kKeptAlive : Stage::kUnserved;
  }

  Front& front;
  MessageParser reader;
  // Limits idling, receiving a request, or the peer reading a response; stopped while a request is in
  // service.
  net::Timer timer;
  net::Stream stream;
  Micros connected_at;
  // When the last bytes reached this machine: of the current message, and of `pipelined`.
  Micros received_at = 0, pipelined_received_at = 0;
  net::Address peer;
  core::Ticket ticket = 0;  // of the request in service; 0: none
  bool keep_alive = true, closing = false, continue_sent = false;
  bool discarding = false;                   // further input is discarded; nothing more is written
  bool removed = false;                      // removed from the front's lists
  bool had_request = false, served = false;  // has sent a complete request; has received a 200
  std::string pipelined;                     // input received while a request is in service
  // `counted_bytes`: its share of the front's incoming_bytes_.
  std::size_t discarded_bytes = 0, counted_bytes = 0;
  // Stage whose list holds the connection, since when, and its position there.
  Stage listed_stage = Stage::kNew;
  Micros stage_since = connected_at;
  ConnectionList::iterator list_position;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_INGRESS_H_
