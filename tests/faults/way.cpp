#include "tests/faults/way.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

namespace heronway::faults {

void Later::At(Micros when, std::function<void()> what) {
  due_.push(Due{when, serial_++, std::make_shared<std::function<void()>>(std::move(what))});
  timer_.Start(due_.top().at - loop_.Now());
}

void Later::Run() {
  while (!due_.empty() && due_.top().at <= loop_.Now()) {
    const auto what = due_.top().what;
    due_.pop();
    (*what)();
  }
  if (!due_.empty()) timer_.Start(due_.top().at - loop_.Now());
}

// Two connections with bytes between them.
struct Way::Pair {
  struct Side : net::Stream::Owner {
    void OnData(std::string_view bytes) override { pair->Pass(*this, bytes); }
    void OnEnd(net::Reason) override {
      if (!pair->ended) pair->way.End(*pair);
    }
    Pair* pair = nullptr;
    Side* other = nullptr;
    const Weather* weather = nullptr;  // of what leaves here
    std::unique_ptr<net::Stream> stream;
    Micros free_at = 0;
  };
  Pair(Way& owner, int fd) : way(owner) {
    near.pair = far.pair = this;
    near.other = &far;
    far.other = &near;
    near.weather = &way.weather_;
    far.weather = &way.back_;
    near.stream = std::make_unique<net::Stream>(way.shared_, fd, "near", near);
    if (!way.weather_.cut && !way.back_.cut)
      far.stream = std::make_unique<net::Stream>(way.shared_, way.to_, 1'000'000, "far", far);
    silent = !far.stream;
  }
  void Pass(Side& from, std::string_view bytes) {
    if (silent || from.weather->cut) {
      silent = true;  // a byte that is missing spoils all behind it
      return;
    }
    passed += static_cast<std::int64_t>(bytes.size());
    way.passed.bytes += bytes.size();
    const Weather& w = *from.weather;
    Micros at = std::max(from.free_at, way.later_.Now() + way.Delay(w));
    if (w.bytes_per_s > 0) at += static_cast<Micros>(static_cast<double>(bytes.size()) / w.bytes_per_s * 1e6);
    from.free_at = at;
    const bool last = w.cut_after >= 0 && passed >= w.cut_after;
    way.later_.At(at, [self = me.lock(), &to = *from.other, text = std::string(bytes), last] {
      if (self->ended) return;
      if (to.stream != nullptr && to.stream->open()) to.stream->Write(text);
      if (last && !self->ended) self->way.End(*self);
    });
  }
  Way& way;
  Side near, far;
  bool silent = false, ended = false;
  std::int64_t passed = 0;
  std::weak_ptr<Pair> me;
};

Way::Way(net::StreamContext& shared, Later& later, const net::Address& at, const net::Address& to,
         const Weather& weather, const Weather& back, std::uint64_t seed)
    : shared_(shared),
      later_(later),
      to_(to),
      weather_(weather),
      back_(back),
      random_(seed),
      listener_(
          shared.loop, at, {}, [](bool) { return true; },
          [this](int fd, const net::Address&) { Accepted(fd); }) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    throw std::runtime_error("no way at " + net::ToText(at) + ": " + std::strerror(errno));
  ev_io_init(
      &io_, [](struct ev_loop*, ev_io* w, int) { static_cast<Way*>(w->data)->ReadSome(); }, fd_, EV_READ);
  io_.data = this;
  ev_io_start(shared_.loop.raw(), &io_);
}

Way::~Way() {
  *here_ = false;
  while (!pairs_.empty()) End(*pairs_.front());
  ev_io_stop(shared_.loop.raw(), &io_);
  close(fd_);
}

Micros Way::Delay(const Weather& w) {
  return w.delay + (w.jitter > 0 ? static_cast<Micros>(Unit() * static_cast<double>(w.jitter)) : 0);
}

void Way::ReadSome() {
  char bytes[2048];
  for (int n = 0; n < 64; ++n) {
    const ssize_t got = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0) return;
    ++passed.datagrams;
    if (weather_.cut || Unit() < weather_.loss) {
      ++passed.lost;
      continue;
    }
    for (int copies = Unit() < weather_.twice ? 2 : 1; copies > 0; --copies) {
      const Micros more = Unit() < weather_.reorder ? weather_.delay + 50'000 : 0;
      later_.At(later_.Now() + Delay(weather_) + more,
                [this, here = here_, text = std::string(bytes, static_cast<std::size_t>(got))] {
                  if (!*here || weather_.cut) return;
                  sendto(fd_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                         reinterpret_cast<const sockaddr*>(&to_), sizeof to_);
                });
    }
  }
}

void Way::Accepted(int fd) {
  ++passed.connections;
  pairs_.push_back(std::make_shared<Pair>(*this, fd));
  pairs_.back()->me = pairs_.back();
}

void Way::End(Pair& pair) {
  pair.ended = true;
  for (auto* side : {&pair.near, &pair.far}) {
    if (side->stream != nullptr) side->stream->Close(net::Reason::kShutdown);
  }
  const auto it = std::find_if(pairs_.begin(), pairs_.end(), [&](const auto& p) { return p.get() == &pair; });
  shared_.loop.DestroyLater(std::move(*it));
  pairs_.erase(it);
}

void Way::Healed() {
  std::vector<Pair*> silent;
  for (const auto& p : pairs_) {
    if (p->silent) silent.push_back(p.get());
  }
  for (Pair* p : silent) End(*p);
}

}  // namespace heronway::faults
