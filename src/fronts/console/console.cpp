#include "src/fronts/console/console.h"

#include <utility>

namespace heronway::console {

struct Console::Connection : net::Stream::Owner {
  Connection(Console& owner, int fd, const net::Address& from)
      : console(owner),
        reader(HTTP_REQUEST, kMaxRequestBytes),
        timer(owner.context_.loop,
              [this] {
                console.Remove(*this, !answered           ? net::Reason::kSlowRequest
                                      : stream.all_sent() ? net::Reason::kAnswered
                                                          : net::Reason::kSlowReader);
              }),
        stream(owner.context_, fd, "console " + net::ToText(from), *this) {
    // Not restarted by incoming data: a request sent byte by byte must not keep its connection open.
    timer.Start(kRequestTime);
  }

  void OnData(std::string_view bytes) override {
    if (answered) return;
    std::size_t used = 0;
    const http::ParseState state = reader.Feed(bytes, used);
    if (state == http::ParseState::kIncomplete) return;
    answered = true;
    Response response{400, "not a call\n"};
    if (state == http::ParseState::kComplete) response = console.handler_(reader.TakeMessage());
    timer.Start(kRequestTime);  // for the client to read the response
    stream.Write(http::FormatResponse(response.status, false, {}, response.body));
  }
  void OnSent() override {
    if (!answered) return;
    // Closing a connection with unread data would reset it and lose the response. The client closes it, or
    // the timer does.
    stream.FinishWriting(net::Reason::kAnswered);
    timer.Start(kRequestTime);
  }
  void OnEnd(net::Reason reason) override { console.Remove(*this, reason); }

  Console& console;
  http::MessageParser reader;
  net::Timer timer;
  net::Stream stream;
  bool answered = false, removed = false;
  std::list<std::shared_ptr<Connection>>::iterator list_position;
};

Console::Console(net::StreamContext& context, const net::Address& at, Handler handler)
    : context_(context),
      handler_(std::move(handler)),
      listener_(
          context.loop, at, {}, [this](bool must) { return FreeConnection(must); },
          [this](int fd, const net::Address& from) { OnAccepted(fd, from); }) {}

Console::~Console() {
  while (!connections_.empty()) Remove(*connections_.front(), net::Reason::kShutdown);
}

// Closes the oldest connection for a new one if all are in use: it had the most time to send its request.
bool Console::FreeConnection(bool must) {
  if (!must && connections_.size() < kMaxConnections) return true;
  if (connections_.empty()) return false;
  Remove(*connections_.front(), net::Reason::kEvicted);
  return true;
}

void Console::OnAccepted(int fd, const net::Address& from) {
  connections_.push_back(std::make_shared<Connection>(*this, fd, from));
  connections_.back()->list_position = std::prev(connections_.end());
}

void Console::Remove(Connection& connection, net::Reason reason) {
  if (std::exchange(connection.removed, true)) return;
  connection.timer.Stop();
  if (connection.stream.open()) connection.stream.Close(reason);
  context_.loop.DestroyLater(std::move(*connection.list_position));
  connections_.erase(connection.list_position);
}

}  // namespace heronway::console
