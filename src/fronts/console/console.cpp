#include "src/fronts/console/console.h"

#include <utility>

namespace heronway::console {

struct Console::Caller : net::Stream::Owner {
  Caller(Console& owner, int fd, const net::Address& from)
      : console(owner),
        reader(HTTP_REQUEST, kMaxRequestBytes),
        timer(owner.shared_.loop,
              [this] {
                console.Remove(*this, !answered           ? net::Reason::kSlowRequest
                                      : stream.all_sent() ? net::Reason::kAnswered
                                                          : net::Reason::kSlowReader);
              }),
        stream(owner.shared_, fd, "console " + net::ToText(from), *this) {
    timer.Start(kRequestTime);  // not started anew by what comes: a call sent byte by byte must not hold it
  }

  void OnData(std::string_view bytes) override {
    if (answered) return;
    std::size_t used = 0;
    const http::ParseState state = reader.Feed(bytes, used);
    if (state == http::ParseState::kIncomplete) return;
    answered = true;
    Response response{400, "not a call\n"};
    if (state == http::ParseState::kComplete) response = console.handler_(reader.TakeMessage());
    timer.Start(kRequestTime);  // for the answer to be read
    stream.Write(http::FormatResponse(response.status, false, {}, response.body));
  }
  void OnSent() override {
    if (!answered) return;
    // Guards the answer against what came behind the call: a close over bytes that are not read resets the
    // connection. The caller ends it, or the timer does.
    stream.FinishWriting(net::Reason::kAnswered);
    timer.Start(kRequestTime);
  }
  void OnEnd(net::Reason reason) override { console.Remove(*this, reason); }

  Console& console;
  http::MessageParser reader;
  net::Timer timer;
  net::Stream stream;
  bool answered = false, gone = false;
  std::list<std::shared_ptr<Caller>>::iterator place;
};

Console::Console(net::StreamContext& shared, const net::Address& at, Handler handler)
    : shared_(shared),
      handler_(std::move(handler)),
      listener_(
          shared.loop, at, {}, [this](bool must) { return MakeRoom(must); },
          [this](int fd, const net::Address& from) { Accepted(fd, from); }) {}

Console::~Console() {
  while (!callers_.empty()) Remove(*callers_.front(), net::Reason::kShutdown);
}

// Guards the console's budget: a newcomer ends the oldest caller, which has had the longest to say its call.
bool Console::MakeRoom(bool must) {
  if (!must && callers_.size() < kMaxConnections) return true;
  if (callers_.empty()) return false;
  Remove(*callers_.front(), net::Reason::kEvicted);
  return true;
}

void Console::Accepted(int fd, const net::Address& from) {
  callers_.push_back(std::make_shared<Caller>(*this, fd, from));
  callers_.back()->place = std::prev(callers_.end());
}

void Console::Remove(Caller& caller, net::Reason reason) {
  if (std::exchange(caller.gone, true)) return;
  caller.timer.Stop();
  if (caller.stream.open()) caller.stream.Close(reason);
  shared_.loop.DestroyLater(std::move(*caller.place));
  callers_.erase(caller.place);
}

}  // namespace heronway::console
