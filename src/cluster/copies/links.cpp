#include "src/cluster/copies/links.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace heronway::cluster::copies {

// A connection that another member opened: it sends frames, this member receives them.
struct Links::Inbound : net::Stream::Owner {
  Inbound(Links& owner, int fd, const net::Address& at)
      : links(owner),
        hello_timer(owner.shared_.loop, [this] { links.End(*this); }),
        stream(owner.shared_, fd, "copies " + net::ToText(at), *this) {
    hello_timer.Start(kHelloTimeout);
  }
  void OnData(std::string_view some) override {
    links.bytes_in += some.size();
    bytes.append(some);
    stream.Write(".");  // acknowledges the data: the peer sees that the connection works
    if (!stream.open()) return;
    std::size_t used = 0;
    while (!ended && bytes.size() - used >= kHeaderBytes) {
      std::uint32_t size = 0;
      std::memcpy(&size, bytes.data() + used, kHeaderBytes);
      size = ntohl(size);
      if (size > kMaxFrameBytes) return RejectFrame();
      if (bytes.size() - used < kHeaderBytes + size) break;
      auto frame = Decode(std::string_view(bytes).substr(used + kHeaderBytes, size));
      used += kHeaderBytes + size;
      if (!frame || !HandleFrame(std::move(*frame))) return RejectFrame();
    }
    bytes.erase(0, used);
  }
  bool HandleFrame(Frame frame) {
    if (from.empty()) {
      if (frame.kind != Frame::Kind::kHello || frame.fleet != links.settings_.fleet || frame.from.empty() ||
          frame.to != links.settings_.name || frame.from == links.settings_.name)
        return false;
      hello_timer.Stop();
      from = frame.from;
      if (!frame.detail.empty()) links.SetAddress(from, frame.detail);
      // A newer connection of a member replaces the former one, which may be dead without having been closed.
      for (const auto& other : links.inbound_) {
        if (other.get() != this && other->from == from && !other->ended) {
          links.End(*other);
          break;
        }
      }
      return true;
    }
    if (frame.kind == Frame::Kind::kHello) return false;
    links.received_(from, std::move(frame));
    return true;
  }
  void OnEnd(net::Reason) override { links.End(*this); }
  void RejectFrame() {
    ++links.frames_malformed;
    links.End(*this);
  }
  Links& links;
  net::Timer hello_timer;
  net::Stream stream;
  std::string bytes, from;
  bool ended = false;
};

// A connection that this member opened, to send frames.
struct Links::Outbound : net::Stream::Owner {
  Outbound(Links& owner, std::string member)
      : links(owner),
        to(std::move(member)),
        redial_timer(owner.shared_.loop, [this] { redial_delayed = false; }) {}
  void OnConnected() override {
    Frame hello;
    hello.fleet = links.settings_.fleet;
    hello.from = links.settings_.name;
    hello.to = to;
    hello.detail = net::ToText(links.address());
    Write(Encode(hello));
    for (const std::string& frame : std::exchange(queued, {})) Write(frame);
  }
  void OnData(std::string_view) override { unacked_since = -1; }
  void OnSent() override { unsent_bytes = 0; }
  void OnEnd(net::Reason) override { links.End(*this); }
  void Write(const std::string& frame) {
    if (!stream || !stream->open()) return;
    if (unacked_since < 0) unacked_since = links.shared_.loop.Now();
    unsent_bytes += frame.size();
    links.bytes_out += frame.size();
    stream->Write(frame);
  }
  Links& links;
  std::string to;
  net::Timer redial_timer;
  std::shared_ptr<net::Stream> stream;
  std::vector<std::string> queued;  // until the connection is up
  std::size_t unsent_bytes = 0, queued_bytes = 0;
  // When the first data was written since the last acknowledgement; -1: all is acknowledged.
  net::Micros unacked_since = -1;
  bool redial_delayed = false;  // the last dial was less than kRedialDelay ago
};

Links::Links(net::StreamContext& shared, const Settings& settings,
             std::function<void(const std::string&, Frame)> received)
    : shared_(shared),
      settings_(settings),
      received_(std::move(received)),
      listener_(
          shared.loop, settings.listen, limits::AcceptSettings{}, [this](bool) { return MakeRoom(); },
          [this](int fd, const net::Address& from) {
            inbound_.push_back(std::make_shared<Inbound>(*this, fd, from));
          }) {}

Links::~Links() {
  while (!inbound_.empty()) End(*inbound_.front());
  for (auto& [name, out] : outbound_) {
    if (out->stream && out->stream->open()) out->stream->Close(net::Reason::kShutdown);
  }
}

// Protects members' connections from idle ones: closes the oldest connection without a hello, or the oldest
// of all.
bool Links::MakeRoom() {
  if (inbound_.size() < kMaxInbound) return true;
  const auto without_hello =
      std::find_if(inbound_.begin(), inbound_.end(), [](const auto& in) { return in->from.empty(); });
  End(without_hello == inbound_.end() ? *inbound_.front() : **without_hello);
  return true;
}

void Links::SetAddress(const std::string& member, const std::string& at) {
  if (net::ParseAddress(at) && member != settings_.name) addresses_[member] = at;
}

std::string Links::AddressOf(const std::string& member) const {
  if (member == settings_.name) return net::ToText(address());
  const auto it = addresses_.find(member);
  return it == addresses_.end() ? "" : it->second;
}

bool Links::IsConnected(const std::string& member) const {
  const auto it = outbound_.find(member);
  return it != outbound_.end() && it->second->stream && it->second->stream->connected();
}

void Links::Send(const std::string& to, const Frame& frame) {
  auto it = outbound_.find(to);
  if (it == outbound_.end()) {
    if (outbound_.size() >= kMaxOutbound || to == settings_.name) {
      ++frames_lost;
      return;
    }
    it = outbound_.emplace(to, std::make_unique<Outbound>(*this, to)).first;
  }
  Outbound& out = *it->second;
  // After a network partition the connection may stay open without progress, and TCP would retry for minutes.
  if (out.unacked_since >= 0 && shared_.loop.Now() - out.unacked_since > kAckTimeout && out.stream &&
      out.stream->open()) {
    out.stream->Close(net::Reason::kNoAnswer);
    End(out);
  }
  if (!out.stream || !out.stream->open()) Dial(out);
  const std::string bytes = Encode(frame);
  if (!out.stream || out.unsent_bytes + out.queued_bytes + bytes.size() > kMaxQueuedBytes) {
    ++frames_lost;
    return;
  }
  if (out.stream->connected()) return out.Write(bytes);
  out.queued_bytes += bytes.size();
  out.queued.push_back(bytes);
}

void Links::Dial(Outbound& out) {
  if (out.redial_delayed) return;
  const auto configured = settings_.dial_addresses.find(out.to);
  const auto at = configured != settings_.dial_addresses.end() ? std::optional(configured->second)
                                                               : net::ParseAddress(AddressOf(out.to));
  out.redial_delayed = true;
  out.redial_timer.Start(kRedialDelay);
  if (!at) return;
  out.queued.clear();
  out.queued_bytes = out.unsent_bytes = 0;
  out.unacked_since = -1;
  out.stream = std::make_shared<net::Stream>(shared_, *at, kDialTimeout, "copies " + net::ToText(*at), out);
}

void Links::End(Outbound& out) {
  out.queued.clear();
  out.queued_bytes = out.unsent_bytes = 0;
  if (out.stream) shared_.loop.DestroyLater(std::exchange(out.stream, nullptr));
}

void Links::End(Inbound& in) {
  if (std::exchange(in.ended, true)) return;
  in.hello_timer.Stop();
  if (in.stream.open()) in.stream.Close(net::Reason::kPeerClosed);
  const auto it =
      std::find_if(inbound_.begin(), inbound_.end(), [&in](const auto& p) { return p.get() == &in; });
  if (it == inbound_.end()) return;
  shared_.loop.DestroyLater(std::move(*it));
  inbound_.erase(it);
}

}  // namespace heronway::cluster::copies
