// A client's, or a target's, connection to the HTTP front: reads messages, one in service at a time, and
// bounds what a poor link or a bad client may hold. Internal to the front.
#ifndef HERONWAY_FRONTS_HTTP_INGRESS_H_
#define HERONWAY_FRONTS_HTTP_INGRESS_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/fronts/http/front.h"

namespace heronway::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

void LogHop(std::string_view id, int hop, std::string_view to, std::string_view step);

inline constexpr std::size_t kMostAhead = 16 * 1024;  // bytes of a next request that may wait for an answer

struct Front::Ingress : net::Stream::Owner, std::enable_shared_from_this<Front::Ingress> {
  Ingress(Front& owner, int fd, const net::Address& from)
      : front(owner),
        reader(HTTP_REQUEST, kMaxBodyBytes),
        timer(owner.shared_.loop, [this] { OnTimer(); }),
        stream(owner.shared_, fd, "ingress " + net::ToText(from), *this),
        since(owner.shared_.loop.Now()),
        peer(from) {
    // Not started anew by the bytes that come: a request sent byte by byte must not hold its connection.
    timer.Start(kFirstRequestTime);
  }

  void OnData(std::string_view bytes) override {
    if (spilling) {  // what else comes, once it was told that no more is read, is passed over within bounds
      spilled += bytes.size();
      if (spilled > kMostSpilled) front.Remove(*this, net::Reason::kTooLarge);
      return;
    }
    if (ticket != 0 || closing) {
      // A next request before the answer: it waits. Where more comes than may wait, the connection is not
      // read until there is room: ended, it would take the answer to the first with it.
      ahead.append(bytes);
      ahead_came = front.shared_.loop.Now();
      if (ahead.size() > kMostAhead) stream.PauseReading(true);
    } else {
      came = front.shared_.loop.Now() - stream.SinceLastReceived();
      Feed(bytes);
    }
    if (stream.open()) front.Settle(*this);
  }

  void Feed(std::string_view bytes) {
    while (!bytes.empty() && stream.open() && !spilling) {
      if (ticket != 0 || closing) {
        ahead.assign(bytes);
        return;
      }
      std::size_t used = 0;
      const bool fresh = !reader.begun();
      const ParseState state = reader.Feed(bytes, used);
      bytes.remove_prefix(std::min(used, bytes.size()));
      if (state == ParseState::kComplete) {
        timer.Stop();
        Message message = reader.TakeMessage();
        keep_alive = message.keep_alive;
        whole = true;
        ahead.assign(bytes);  // served from the loop, once this one has its answer
        return front.Serve(*this, std::move(message), bytes);
      } else if (state == ParseState::kIncomplete) {
        if (whole && fresh && reader.begun()) timer.Start(kRequestTime);
        if (reader.head_done() && reader.message().expects_continue && !std::exchange(continued, true))
          stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
        // Guards memory against many that bring in large bodies at once, and never the last byte.
        if (front.incoming_bytes_ + reader.message().size() > front.budget_.incoming_bytes + counted)
          return Spoilt(503, "too much is coming in\n");
        return;
      } else {
        return Spoilt(state == ParseState::kBodyTooLarge   ? 413
                      : state == ParseState::kHeadTooLarge ? 431
                                                           : 400,
                      {});
      }
    }
  }

  // Answers a message that is not read to its end, and takes nothing more from its connection.
  void Spoilt(unsigned status, std::string_view why) {
    ++front.malformed_;
    spilling = true;
    reader.Drop();
    ahead.clear();
    keep_alive = false;
    Answer(status, {}, why);
  }

  void Answer(unsigned status, Headers headers, std::string_view body) {
    ticket = 0;
    continued = false;
    served = served || status == 200;
    // What a client does wrong it mostly does again, or it stays and says no more: its connection is not
    // kept.
    // A planned stop announces the end; a request that is here already is served before that.
    const bool last = front.closing_ && ahead.empty() && stream.Peek() != net::Stream::Unread::kBytes;
    if (status / 100 == 4 || last) keep_alive = false;
    closing = !keep_alive;
    timer.Start(kReadTime);
    stream.Write(FormatResponse(status, keep_alive, headers, body));
    if (stream.open()) front.Settle(*this);
  }

  void OnSent() override {
    // Guards the answer against what the client is still sending, or has sent ahead: a close over bytes that
    // are not read resets the connection, and the answer is lost with it.
    if (spilling || (closing && ticket == 0)) {
      spilling = true;
      reader.Drop();
      ahead.clear();
      stream.FinishWriting(net::Reason::kAnswered);
      timer.Start(kLinger);
      return front.Settle(*this);
    }
    if (ticket != 0 || reader.begun()) return;
    timer.Start(served ? kIdleTime : kTurnedAwayTime);
    // What came ahead is served from the loop: from here the caller may be amid an answer.
    if (!ahead.empty()) timer.Start(0);
    front.Settle(*this);
  }

  void OnEnd(net::Reason) override { front.Gone(*this); }

  void OnTimer() {
    if (!ahead.empty() && ticket == 0 && stream.all_sent()) {
      if (ahead.size() > kMostAhead) stream.PauseReading(false);
      came = ahead_came;
      Feed(std::exchange(ahead, {}));
      if (stream.open()) front.Settle(*this);
      return;
    }
    if (!stream.all_sent()) return front.Remove(*this, net::Reason::kSlowReader);
    if (spilling) return front.Remove(*this, net::Reason::kAnswered);
    // It came in time, the rest of what has begun as well, and only was not read yet.
    const bool begun = reader.begun();
    bool any_came = false;
    while (stream.open() && !timer.running() && ticket == 0 && stream.ReadPending()) {
      any_came = true;
      if (!begun) break;
    }
    if (!stream.open() || timer.running() || ticket != 0) return;
    if (begun) return Spoilt(408, "the request took too long\n");
    if (any_came) return timer.Start(whole ? kRequestTime : 0);
    front.Remove(*this, net::Reason::kIdle);
  }

  Stage stage() const {
    if (ticket != 0 || !stream.all_sent()) return Stage::kBusy;
    if (spilling) return Stage::kTurnedAway;
    if (!whole) return Stage::kFresh;
    if (reader.begun() || !ahead.empty()) return Stage::kComing;
    return served ? Stage::kKept : Stage::kTurnedAway;
  }

  Front& front;
  MessageParser reader;
  net::Timer timer;  // idling, receiving, or being read; stopped while a request is in service
  net::Stream stream;
  Micros since;                     // when it connected
  Micros came = 0, ahead_came = 0;  // when the last bytes reached this machine: of what is read, of `ahead`
  net::Address peer;
  core::Ticket ticket = 0;
  bool keep_alive = true, closing = false, continued = false;
  bool spilling = false;               // nothing more of it is read as a request, or written
  bool left = false;                   // it is in no list any more
  bool whole = false, served = false;  // it has sent a whole request; it has had a 200
  std::string ahead;
  std::size_t spilled = 0, counted = 0;  // `counted`: its part of the front's incoming bytes
  Stage placed = Stage::kFresh;
  Micros placed_at = since;
  Places::iterator place;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_INGRESS_H_
