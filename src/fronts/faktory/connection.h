// What the Faktory front keeps of its peers: connections, workers with their hops, and jobs. Internal to
// the front.
#ifndef HERONWAY_FRONTS_FAKTORY_CONNECTION_H_
#define HERONWAY_FRONTS_FAKTORY_CONNECTION_H_

#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/fronts/faktory/front.h"

namespace heronway::faktory {

inline constexpr std::size_t kMostAhead = 2 * kMostLine;
inline constexpr std::size_t kMostBeforeHello = 4 * 1024;

struct Front::Connection : net::Stream::Owner, std::enable_shared_from_this<Front::Connection> {
  Connection(Front& owner, int fd, const net::Address& from)
      : front(owner),
        timer(owner.shared_.loop, [this] { OnTimer(); }),
        stream(owner.shared_, fd, "faktory " + net::ToText(from), *this),
        since(owner.shared_.loop.Now()),
        peer(from) {
    timer.Start(kHelloTime);
  }

  void OnData(std::string_view bytes) override {
    heard = front.shared_.loop.Now();
    if (closing) return;  // it was told that no more is read
    const std::size_t most = greeted ? kMostAhead : kMostBeforeHello;
    if (in.size() + bytes.size() > most) return front.Remove(*this, net::Reason::kTooLarge);
    in.append(bytes);
    ServeLines();
    if (stream.open()) Count(in.size());
    // Guards memory against many that bring in long lines at once.
    if (stream.open() && front.incoming_bytes_ > front.most_bytes_ && !in.empty())
      front.Remove(*this, net::Reason::kNoMemory);
  }
  void Count(std::size_t holds) { front.incoming_bytes_ += holds - std::exchange(counted, holds); }

  // One command at a time: what comes behind a PUSH or FETCH that is not answered yet waits.
  void ServeLines() {
    if (std::exchange(serving, true)) return;
    while (!busy() && !closing && stream.open()) {
      const auto end = in.find('\n');
      if (end == in.npos) break;
      std::string line = in.substr(0, end);
      in.erase(0, end + 1);
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.size() > kMostLine) {
        Refuse("the line is longer than 64 KiB");
      } else {
        front.Serve(*this, line);
      }
    }
    if (!busy() && !closing && stream.open() && in.size() > kMostLine)
      Refuse("the line is longer than 64 KiB");
    serving = false;
  }

  void Refuse(const char* why) {
    closing = true;
    Send(Error(why));
  }

  void Send(std::string_view reply) {
    timer.Start(kReadTime);
    stream.Write(reply);
    if (stream.open() && !busy() && !closing) ServeLines();
  }

  void OnSent() override {
    // Guards the last reply against what the peer is still sending: a close over bytes that are not read
    // resets the connection, and the reply is lost with it.
    if (closing) {
      stream.FinishWriting(net::Reason::kAnswered);
      return timer.Start(kLinger);
    }
    // Guards against one that keeps its connection by what it sends, and never says HELLO.
    if (!busy()) timer.Start(greeted ? kSilence : since + kHelloTime - front.shared_.loop.Now());
  }
  void OnEnd(net::Reason) override { front.Gone(*this); }

  void OnTimer();

  bool busy() const { return job != nullptr || fetching || storing; }

  Front& front;
  net::Timer timer;  // greeting, idling, being read, or waiting in FETCH
  net::Stream stream;
  Micros since;  // when it connected
  net::Address peer;
  std::string in, salt;
  std::size_t counted = 0;  // its part of the front's incoming bytes
  bool greeted = false, closing = false, serving = false;
  Micros heard = 0;
  Worker* worker = nullptr;
  Job* job = nullptr;  // whose PUSH waits here
  bool fetching = false;
  bool storing = false;             // its reply waits for the store
  std::vector<std::string> queues;  // that the waiting FETCH names
};

struct Front::Hop {
  Job* job = nullptr;  // null once the hop is over
  int number = 0;
  Micros sent = 0;
  Connection* on = nullptr;  // where it was delivered; null: it waits
  std::unique_ptr<net::Timer> patience;
};

struct Front::Worker {
  std::string wid;
  core::TargetId target = 0;
  int zone = 0;
  std::vector<std::string> labels;
  Micros since = 0;
  pebblenotch::WorkerState state = pebblenotch::WorkerState::kReady;
  std::vector<Connection*> connections;
  std::list<Hop> hops;  // waiting and delivered, oldest first
};

struct Front::Job {
  std::string jid, queue, text;
  int job_class = 0;
  core::Ticket ticket = 0;
  Micros deadline = 0;
  Connection* client = nullptr;  // null while it is away
  bool round = false;            // of a durable job: nobody waits for its end here

  // Asked when a hop is about to leave: the client's end may be here already, and only not read yet.
  bool client_gone() const { return !round && (client == nullptr || client->stream.PeerClosed()); }
};

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_CONNECTION_H_
