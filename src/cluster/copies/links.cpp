#include "src/cluster/copies/links.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace heronway::cluster::copies {

// One that another member began: it speaks, this one listens.
struct Links::In : net::Stream::Owner {
  In(Links& owner, int fd, const net::Address& at)
      : links(owner),
        greets(owner.shared_.loop, [this] { links.Over(*this); }),
        stream(owner.shared_, fd, "copies " + net::ToText(at), *this) {
    greets.Start(kGreets);
  }
  void OnData(std::string_view some) override {
    links.bytes_in += some.size();
    bytes.append(some);
    stream.Write(".");  // it is taken: the other end tells by it that this connection lives
    if (!stream.open()) return;
    std::size_t used = 0;
    while (!gone && bytes.size() - used >= kHeadBytes) {
      std::uint32_t size = 0;
      std::memcpy(&size, bytes.data() + used, kHeadBytes);
      size = ntohl(size);
      if (size > kMostFrame) return Bad();
      if (bytes.size() - used < kHeadBytes + size) break;
      auto frame = Decode(std::string_view(bytes).substr(used + kHeadBytes, size));
      used += kHeadBytes + size;
      if (!frame || !Take(std::move(*frame))) return Bad();
    }
    bytes.erase(0, used);
  }
  bool Take(Frame frame) {
    if (from.empty()) {
      if (frame.kind != Frame::Kind::kHello || frame.fleet != links.settings_.fleet || frame.from.empty() ||
          frame.to != links.settings_.name || frame.from == links.settings_.name)
        return false;
      greets.Stop();
      from = frame.from;
      if (!frame.at.empty()) links.Place(from, frame.at);
      // A newer connection of a member takes the place of the one before, which may be dead without a word.
      for (const auto& other : links.ins_) {
        if (other.get() != this && other->from == from && !other->gone) {
          links.Over(*other);
          break;
        }
      }
      return true;
    }
    if (frame.kind == Frame::Kind::kHello) return false;
    links.received_(from, std::move(frame));
    return true;
  }
  void OnEnd(net::Reason) override { links.Over(*this); }
  void Bad() {
    ++links.malformed;
    links.Over(*this);
  }
  Links& links;
  net::Timer greets;
  net::Stream stream;
  std::string bytes, from;
  bool gone = false;
};

// One that this member began: it speaks.
struct Links::Out : net::Stream::Owner {
  Out(Links& owner, std::string member)
      : links(owner), to(std::move(member)), again(owner.shared_.loop, [this] { rests = false; }) {}
  void OnUp() override {
    Frame hello;
    hello.fleet = links.settings_.fleet;
    hello.from = links.settings_.name;
    hello.to = to;
    hello.at = net::ToText(links.address());
    Write(Encode(hello));
    for (const std::string& frame : std::exchange(waiting, {})) Write(frame);
  }
  void OnData(std::string_view) override { asked = -1; }
  void OnSent() override { unsent = 0; }
  void OnEnd(net::Reason) override { links.Over(*this); }
  void Write(const std::string& frame) {
    if (!stream || !stream->open()) return;
    if (asked < 0) asked = links.shared_.loop.Now();
    unsent += frame.size();
    links.bytes_out += frame.size();
    stream->Write(frame);
  }
  Links& links;
  std::string to;
  net::Timer again;
  std::shared_ptr<net::Stream> stream;
  std::vector<std::string> waiting;  // until it is up
  std::size_t unsent = 0, waits = 0;
  net::Micros asked = -1;  // the first that was written since the other end was heard
  bool rests = false;      // it was tried a moment ago
};

Links::Links(net::Shared& shared, const Settings& settings,
             std::function<void(const std::string&, Frame)> received)
    : shared_(shared),
      settings_(settings),
      received_(std::move(received)),
      listener_(
          shared.loop, settings.listen, limits::AcceptSettings{}, [this](bool) { return MakeRoom(); },
          [this](int fd, const net::Address& from) {
            ins_.push_back(std::make_shared<In>(*this, fd, from));
          }) {}

Links::~Links() {
  while (!ins_.empty()) Over(*ins_.front());
  for (auto& [name, out] : outs_) {
    if (out->stream && out->stream->open()) out->stream->Close(net::Reason::kShutdown);
  }
}

// Guards the members that are heard against a crowd that says nothing: the oldest that has not greeted goes.
bool Links::MakeRoom() {
  if (ins_.size() < kMostIn) return true;
  const auto silent = std::find_if(ins_.begin(), ins_.end(), [](const auto& in) { return in->from.empty(); });
  Over(silent == ins_.end() ? *ins_.front() : **silent);
  return true;
}

void Links::Place(const std::string& member, const std::string& at) {
  if (net::ParseAddress(at) && member != settings_.name) places_[member] = at;
}

std::string Links::PlaceOf(const std::string& member) const {
  if (member == settings_.name) return net::ToText(address());
  const auto it = places_.find(member);
  return it == places_.end() ? "" : it->second;
}

bool Links::Up(const std::string& member) const {
  const auto it = outs_.find(member);
  return it != outs_.end() && it->second->stream && it->second->stream->up();
}

void Links::Send(const std::string& to, const Frame& frame) {
  auto it = outs_.find(to);
  if (it == outs_.end()) {
    if (outs_.size() >= kMostOut || to == settings_.name) {
      ++lost;
      return;
    }
    it = outs_.emplace(to, std::make_unique<Out>(*this, to)).first;
  }
  Out& out = *it->second;
  // Guards against a connection that a cut has left open and silent: the system would go on trying for
  // minutes.
  if (out.asked >= 0 && shared_.loop.Now() - out.asked > kSilent && out.stream && out.stream->open()) {
    out.stream->Close(net::Reason::kNoAnswer);
    Over(out);
  }
  if (!out.stream || !out.stream->open()) Dial(out);
  const std::string bytes = Encode(frame);
  if (!out.stream || out.unsent + out.waits + bytes.size() > kMostWaiting) {
    ++lost;
    return;
  }
  if (out.stream->up()) return out.Write(bytes);
  out.waits += bytes.size();
  out.waiting.push_back(bytes);
}

void Links::Dial(Out& out) {
  if (out.rests) return;
  const auto way = settings_.reach.find(out.to);
  const auto at =
      way != settings_.reach.end() ? std::optional(way->second) : net::ParseAddress(PlaceOf(out.to));
  out.rests = true;
  out.again.Start(kDialsAgain);
  if (!at) return;
  out.waiting.clear();
  out.waits = out.unsent = 0;
  out.asked = -1;
  out.stream = std::make_shared<net::Stream>(shared_, *at, kDials, "copies " + net::ToText(*at), out);
}

void Links::Over(Out& out) {
  out.waiting.clear();
  out.waits = out.unsent = 0;
  if (out.stream) shared_.loop.Bury(std::exchange(out.stream, nullptr));
}

void Links::Over(In& in) {
  if (std::exchange(in.gone, true)) return;
  in.greets.Stop();
  if (in.stream.open()) in.stream.Close(net::Reason::kPeerClosed);
  const auto it = std::find_if(ins_.begin(), ins_.end(), [&in](const auto& p) { return p.get() == &in; });
  if (it == ins_.end()) return;
  shared_.loop.Bury(std::move(*it));
  ins_.erase(it);
}

}  // namespace heronway::cluster::copies
