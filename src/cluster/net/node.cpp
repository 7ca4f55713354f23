#include "src/cluster/net/node.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>

#include "src/log/log.h"

namespace heronway::cluster {
namespace {

constexpr std::uint64_t kTaken = std::uint64_t{1} << 63;  // marks links that others began
constexpr std::size_t kHead = 4;                          // a message's length, in network order
constexpr int kPortTries = 32;                            // where any port will do

Life LifeNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Life>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string ToText(Place at) { return net::ToText(ToAddress(at)); }

Settings CoreSettings(const Options& options) {
  Settings s;
  s.period = options.period;
  s.forget = options.forget;
  for (const net::Address& at : options.join) s.join.push_back(ToPlace(at));
  return s;
}

}  // namespace

// One exchange's connection. A message is its length and its bytes.
struct Node::Link : net::Stream::Owner {
  Link(Node& owner, std::uint64_t id_, int fd, const net::Address& from)
      : node(owner),
        id(id_),
        timer(owner.shared_.loop, [this] { node.Remove(*this, net::Reason::kSlowRequest); }),
        stream(owner.shared_, fd, "cluster " + net::ToText(from), *this) {
    timer.Start(kLinkTime);
  }
  Link(Node& owner, std::uint64_t id_, const net::Address& to)
      : node(owner),
        id(id_),
        timer(owner.shared_.loop, [this] { node.Remove(*this, net::Reason::kNoAnswer); }),
        stream(owner.shared_, to, kDialTime, "cluster " + net::ToText(to), *this) {
    timer.Start(kLinkTime);
  }

  void OnUp() override { node.Post(ExchangeUp{id}); }
  void OnData(std::string_view bytes) override {
    in.append(bytes);
    while (!gone && !closing && in.size() >= kHead) {
      std::uint32_t size = 0;
      std::memcpy(&size, in.data(), kHead);
      size = ntohl(size);
      if (size > kMostExchange) return Bad(Drop::kOversized);
      if (in.size() < kHead + size) return;
      auto read = Decode(node.options_.fleet, std::string_view(in).substr(kHead, size), kMostExchange);
      in.erase(0, kHead + size);
      if (const Drop* drop = std::get_if<Drop>(&read)) return Bad(*drop);
      node.Post(ExchangeGot{id, std::move(std::get<Message>(read))});
    }
  }
  void OnSent() override {
    if (closing) node.Remove(*this, net::Reason::kAnswered);
  }
  void OnEnd(net::Reason reason) override { node.Remove(*this, reason); }
  void Bad(Drop why) {
    node.Dropped(why, {});
    node.Remove(*this, net::Reason::kBadMessage);
  }

  Node& node;
  std::uint64_t id;
  net::Timer timer;
  net::Stream stream;
  std::string in;
  bool gone = false, closing = false;  // closing: once all is written
  std::list<std::shared_ptr<Link>>::iterator place;
};

Node::Node(net::Shared& shared, const Options& options, const std::string& name, const std::string& zone,
           const std::string& fronts, std::uint64_t seed, Host host)
    : shared_(shared),
      options_(options),
      host_(std::move(host)),
      core_(CoreSettings(options), Open(name, zone, fronts), seed, shared.loop.Now()),
      size_(host_.least_schedulers, kSizeHalving),
      io_(shared.loop.poller(), [this](int) { ReadSome(); }),
      tick_(shared.loop, [this] { Post(Tick{}); }) {
  io_.Start(fd_, EV_READ);
  Post(Tick{});
}

const Record& Node::Open(const std::string& name, const std::string& zone, const std::string& fronts) {
  self_.id = {options_.name.empty() ? name : options_.name, LifeNow()};
  self_.zone = options_.zone.empty() ? zone : options_.zone;
  self_.fronts = fronts;
  if (self_.id.name.empty() || !Plain(self_.id.name, kMostName))
    throw std::runtime_error("cluster.name: \"" + self_.id.name + "\" cannot be told to others");
  if (!Plain(self_.zone, kMostZone))
    throw std::runtime_error("cluster.zone: \"" + self_.zone + "\" cannot be told to others");
  if (!Plain(self_.fronts, kMostFronts)) self_.fronts.clear();
  Bind();
  net::Address told = options_.advertise;
  if (told.sin_port == 0) told.sin_port = bound_.sin_port;
  if (told.sin_addr.s_addr == 0) told.sin_addr = bound_.sin_addr;
  self_.at = ToPlace(told);
  return self_;
}

// Both sockets at one address. Not SO_REUSEPORT for the datagrams: two processes that share them would each
// hear half of what is meant for one. Guards a `listen` with port 0 against a number that is free for
// datagrams alone: any other process's connection may have it, so another one is asked for.
void Node::Bind() {
  for (int tries = options_.listen.sin_port == 0 ? kPortTries : 1;; --tries) {
    bound_ = options_.listen;
    socklen_t size = sizeof bound_;
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    try {
      if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&bound_), size) != 0 ||
          getsockname(fd_, reinterpret_cast<sockaddr*>(&bound_), &size) != 0)
        throw std::runtime_error("cannot listen at " + net::ToText(bound_) + ": " + std::strerror(errno));
      listener_ = std::make_unique<net::Listener>(
          shared_.loop, bound_, limits::AcceptSettings{}, [this](bool) { return MakeRoom(); },
          [this](int fd, const net::Address& from) { Accepted(fd, from); });
      return;
    } catch (const std::exception& e) {
      if (fd_ >= 0) close(fd_);
      if (tries <= 1) throw std::runtime_error(std::string("cluster.listen: ") + e.what());
    }
  }
}

Node::~Node() {
  while (!links_.empty()) Remove(*links_.front(), net::Reason::kShutdown);
  io_.Forget();
  close(fd_);
}

void Node::Leave() { Post(cluster::Leave{}); }

void Node::Post(Event event) {
  std::vector<Effect> effects;
  core_.Handle(shared_.loop.Now(), std::move(event), effects);
  for (Effect& effect : effects) Carry(effect);
  LookAtSize();
}

void Node::LookAtSize() {
  const int size = size_.Look(shared_.loop.Now(), core_.fleet_size());
  if (size == told_size_) return;
  told_size_ = size;
  if (host_.seen) host_.seen(core_.standing(), size);
}

void Node::Carry(Effect& effect) {
  if (auto* wake = std::get_if<WakeAt>(&effect)) {
    tick_.Start(wake->at - shared_.loop.Now());
  } else if (auto* send = std::get_if<SendDatagram>(&effect)) {
    Send(*send);
  } else if (auto* start = std::get_if<StartExchange>(&effect)) {
    if (!MakeRoom()) return Post(ExchangeOver{start->link});
    const auto way = options_.reach.find(start->name);
    links_.push_back(std::make_shared<Link>(
        *this, start->link, way == options_.reach.end() ? ToAddress(start->to) : way->second));
    links_.back()->place = std::prev(links_.end());
  } else if (auto* message = std::get_if<ExchangeSend>(&effect)) {
    Link* link = Find(message->link);
    if (link == nullptr) return;
    const std::string bytes = Encode(options_.fleet, message->message);
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
    link->closing = message->last;
    bytes_out_ += kHead + bytes.size();
    std::string whole(reinterpret_cast<const char*>(&size), kHead);
    whole += bytes;
    link->stream.Write(whole);
  } else if (auto* end = std::get_if<ExchangeEnd>(&effect)) {
    if (Link* link = Find(end->link)) Remove(*link, net::Reason::kAnswered);
  } else if (auto* c = std::get_if<Changed>(&effect)) {
    log::Event(c->record.state == State::kDead ? log::Level::kWarn : log::Level::kInfo, "member",
               {{"name", c->record.id.name},
                {"life", c->record.id.life},
                {"from", c->from ? cluster::Name(*c->from) : "unknown"},
                {"to", cluster::Name(c->record.state)},
                {"why", c->why},
                {"at", ToText(c->record.at)}});
  } else if (auto* s = std::get_if<StandingChanged>(&effect)) {
    log::Event(s->standing == Standing::kWhole ? log::Level::kInfo : log::Level::kWarn, "standing",
               {{"now", cluster::Name(s->standing)}, {"known", s->known}, {"present", s->present}});
    if (host_.seen) host_.seen(s->standing, size_.size());
  } else if (auto* t = std::get_if<Twins>(&effect)) {
    ++twins_;
    log::Event(log::Level::kError, "twins",
               {{"name", t->name},
                {"one", t->one.id.life},
                {"at", ToText(t->one.at)},
                {"other", t->other.id.life},
                {"other_at", ToText(t->other.at)}});
  } else if (auto* h = std::get_if<Hinted>(&effect)) {
    if (host_.hinted) host_.hinted(h->hint);
  } else if (std::holds_alternative<Parted>(effect)) {
    tick_.Stop();
    log::Event(log::Level::kInfo, "cluster", {{"state", "left"}});
  }
}

void Node::Send(const SendDatagram& send) {
  const auto way = options_.reach.find(send.name);
  const net::Address to = way == options_.reach.end() ? ToAddress(send.to) : way->second;
  const std::string bytes = Encode(options_.fleet, send.message);
  // A datagram that does not fit into the socket's buffer is lost like any other: nothing waits for it.
  if (sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&to), sizeof to) < 0) {
    ++unsent_;
    return;
  }
  ++out_;
  bytes_out_ += bytes.size();
}

// Guards the other work of the loop: a flood is read a part a turn, and what the socket cannot hold is lost.
void Node::ReadSome() {
  char bytes[Membership::kMostDatagram + 1];
  for (int n = 0; n < kDatagramsATurn; ++n) {
    net::Address from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(fd_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;  // nothing more; or a port that was closed said so
    ++in_;
    bytes_in_ += static_cast<std::uint64_t>(got);
    auto read = Decode(options_.fleet, {bytes, static_cast<std::size_t>(got)}, Membership::kMostDatagram);
    if (const Drop* drop = std::get_if<Drop>(&read)) {
      Dropped(*drop, from);
    } else {
      Post(Received{std::move(std::get<Message>(read))});
    }
  }
}

void Node::Dropped(Drop why, const net::Address& from) {
  Drops& d = drops_[static_cast<std::size_t>(why)];
  ++d.count;
  const Micros now = shared_.loop.Now();
  if (now - d.last < kDropLogEvery) return;
  d.last = now;
  log::Event(log::Level::kWarn, "cluster",
             {{"dropped", cluster::Name(why)}, {"count", d.count - d.told}, {"from", net::ToText(from)}});
  d.told = d.count;
}

Node::Link* Node::Find(std::uint64_t id) {
  for (const auto& link : links_) {
    if (link->id == id && !link->gone) return link.get();
  }
  return nullptr;
}

bool Node::MakeRoom() {
  if (links_.size() >= kMostLinks) Remove(*links_.front(), net::Reason::kMakeRoom);
  return true;
}

void Node::Accepted(int fd, const net::Address& from) {
  links_.push_back(std::make_shared<Link>(*this, ++last_link_ | kTaken, fd, from));
  links_.back()->place = std::prev(links_.end());
}

void Node::Remove(Link& link, net::Reason reason) {
  if (std::exchange(link.gone, true)) return;
  link.timer.Stop();
  if (link.stream.open()) link.stream.Close(reason);
  const std::uint64_t id = link.id;
  shared_.loop.Bury(std::move(*link.place));
  links_.erase(link.place);
  Post(ExchangeOver{id});
}

std::vector<std::pair<std::string, std::uint64_t>> Node::Figures() const {
  std::uint64_t by_state[4] = {};
  for (const View& v : core_.Members()) ++by_state[static_cast<int>(v.record.state)];
  const MembershipCounters& c = core_.counters();
  std::vector<std::pair<std::string, std::uint64_t>> out;
  for (int s = 0; s < 4; ++s)
    out.emplace_back(std::string("members.") + cluster::Name(static_cast<State>(s)), by_state[s]);
  out.insert(out.end(), {{"standing", static_cast<std::uint64_t>(core_.standing())},
                         {"schedulers", static_cast<std::uint64_t>(size_.size())},
                         {"health", static_cast<std::uint64_t>(core_.health())},
                         {"probes", c.probes},
                         {"probes_failed", c.probes_failed},
                         {"suspicions", c.suspicions},
                         {"verdicts", c.verdicts},
                         {"verdicts_false", c.false_verdicts},
                         {"refuted", c.refuted},
                         {"stalls", c.stalls},
                         {"news", c.facts},
                         {"news_looked_into", c.hints},
                         {"exchanges", c.exchanges},
                         {"twins", twins_},
                         {"datagrams_in", in_},
                         {"datagrams_out", out_},
                         {"datagrams_unsent", unsent_},
                         {"bytes_in", bytes_in_},
                         {"bytes_out", bytes_out_}});
  for (int d = 0; d < kDrops; ++d)
    out.emplace_back(std::string("dropped.") + cluster::Name(static_cast<Drop>(d)),
                     drops_[static_cast<std::size_t>(d)].count);
  return out;
}

}  // namespace heronway::cluster
