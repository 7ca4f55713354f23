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

constexpr std::uint64_t kAcceptedLink = std::uint64_t{1} << 63;  // set in the handles of accepted links
constexpr std::size_t kLengthBytes = 4;  // the length prefix of a message, in network byte order
constexpr int kPortAttempts = 32;        // if the configured port is 0

BootId NewBootId() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<BootId>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string ToText(Endpoint at) { return net::ToText(ToAddress(at)); }

Settings CoreSettings(const Options& options) {
  Settings s;
  s.probe_period = options.probe_period;
  s.forget_after = options.forget_after;
  for (const net::Address& at : options.join) s.join.push_back(ToEndpoint(at));
  return s;
}

}  // namespace

// The connection of one exchange. Each message is preceded by its length.
struct Node::Link : net::Stream::Owner {
  Link(Node& owner, std::uint64_t id_, int fd, const net::Address& from)
      : node(owner),
        id(id_),
        timer(owner.shared_.loop, [this] { node.RemoveLink(*this, net::Reason::kSlowRequest); }),
        stream(owner.shared_, fd, "cluster " + net::ToText(from), *this) {
    timer.Start(kLinkTimeout);
  }
  Link(Node& owner, std::uint64_t id_, const net::Address& to)
      : node(owner),
        id(id_),
        timer(owner.shared_.loop, [this] { node.RemoveLink(*this, net::Reason::kNoAnswer); }),
        stream(owner.shared_, to, kConnectTimeout, "cluster " + net::ToText(to), *this) {
    timer.Start(kLinkTimeout);
  }

  void OnConnected() override { node.Post(ExchangeConnected{id}); }
  void OnData(std::string_view bytes) override {
    in.append(bytes);
    while (!gone && !closing && in.size() >= kLengthBytes) {
      std::uint32_t size = 0;
      std::memcpy(&size, in.data(), kLengthBytes);
      size = ntohl(size);
      if (size > kMaxExchangeBytes) return Reject(DropReason::kOversized);
      if (in.size() < kLengthBytes + size) return;
      auto read =
          Decode(node.options_.fleet, std::string_view(in).substr(kLengthBytes, size), kMaxExchangeBytes);
      in.erase(0, kLengthBytes + size);
      if (const DropReason* drop = std::get_if<DropReason>(&read)) return Reject(*drop);
      node.Post(ExchangeReceived{id, std::move(std::get<Message>(read))});
    }
  }
  void OnSent() override {
    if (closing) node.RemoveLink(*this, net::Reason::kAnswered);
  }
  void OnEnd(net::Reason reason) override { node.RemoveLink(*this, reason); }
  void Reject(DropReason why) {
    node.CountDrop(why, {});
    node.RemoveLink(*this, net::Reason::kBadMessage);
  }

  Node& node;
  std::uint64_t id;
  net::Timer timer;
  net::Stream stream;
  std::string in;
  bool gone = false, closing = false;  // closing: close once all output is written
  std::list<std::shared_ptr<Link>>::iterator position;
};

Node::Node(net::StreamContext& shared, const Options& options, const std::string& name,
           const std::string& zone, const std::string& fronts, std::uint64_t seed, Callbacks callbacks)
    : shared_(shared),
      options_(options),
      callbacks_(std::move(callbacks)),
      core_(CoreSettings(options), OpenSockets(name, zone, fronts), seed, shared.loop.Now()),
      fleet_size_(callbacks_.min_schedulers, kFleetSizeHalving),
      io_(shared.loop.poller(), [this](int) { ReadDatagrams(); }),
      tick_(shared.loop, [this] { Post(Tick{}); }) {
  io_.Start(fd_, EV_READ);
  Post(Tick{});
}

const MemberRecord& Node::OpenSockets(const std::string& name, const std::string& zone,
                                      const std::string& fronts) {
  self_.id = {options_.name.empty() ? name : options_.name, NewBootId()};
  self_.zone = options_.zone.empty() ? zone : options_.zone;
  self_.fronts = fronts;
  if (self_.id.name.empty() || !IsPlainToken(self_.id.name, kMaxNameBytes))
    throw std::runtime_error("cluster.name: \"" + self_.id.name +
                             "\" is empty, too long, or has characters that are not allowed in messages");
  if (!IsPlainToken(self_.zone, kMaxZoneBytes))
    throw std::runtime_error("cluster.zone: \"" + self_.zone +
                             "\" is too long or has characters that are not allowed in messages");
  if (!IsPlainToken(self_.fronts, kMaxFrontsBytes)) self_.fronts.clear();
  Bind();
  net::Address advertised = options_.advertise;
  if (advertised.sin_port == 0) advertised.sin_port = bound_.sin_port;
  if (advertised.sin_addr.s_addr == 0) advertised.sin_addr = bound_.sin_addr;
  self_.endpoint = ToEndpoint(advertised);
  return self_;
}

// Binds both sockets to one address. The UDP socket does not use SO_REUSEPORT: two processes that share a
// port would each receive half of the datagrams. With port 0 in `listen`, the kernel may choose a UDP port
// whose TCP port is in use by another process's connection, so binding is retried with another port.
void Node::Bind() {
  for (int attempts = options_.listen.sin_port == 0 ? kPortAttempts : 1;; --attempts) {
    bound_ = options_.listen;
    socklen_t size = sizeof bound_;
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    try {
      if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&bound_), size) != 0 ||
          getsockname(fd_, reinterpret_cast<sockaddr*>(&bound_), &size) != 0)
        throw std::runtime_error("cannot listen at " + net::ToText(bound_) + ": " + std::strerror(errno));
      listener_ = std::make_unique<net::Listener>(
          shared_.loop, bound_, limits::AcceptSettings{}, [this](bool) { return EvictOldestLinkIfFull(); },
          [this](int fd, const net::Address& from) { AcceptLink(fd, from); });
      return;
    } catch (const std::exception& e) {
      if (fd_ >= 0) close(fd_);
      if (attempts <= 1) throw std::runtime_error(std::string("cluster.listen: ") + e.what());
    }
  }
}

Node::~Node() {
  while (!links_.empty()) RemoveLink(*links_.front(), net::Reason::kShutdown);
  io_.StopBeforeClose();
  close(fd_);
}

void Node::Leave() { Post(cluster::Leave{}); }

void Node::Post(Event event) {
  std::vector<Effect> effects;
  core_.Handle(shared_.loop.Now(), std::move(event), effects);
  for (Effect& effect : effects) Execute(effect);
  UpdateSchedulerCount();
}

void Node::UpdateSchedulerCount() {
  const int size = fleet_size_.Observe(shared_.loop.Now(), core_.fleet_size());
  if (size == reported_schedulers_) return;
  reported_schedulers_ = size;
  if (callbacks_.on_quorum_change) callbacks_.on_quorum_change(core_.quorum_state(), size);
}

void Node::Execute(Effect& effect) {
  if (auto* wake = std::get_if<WakeAt>(&effect)) {
    tick_.Start(wake->at - shared_.loop.Now());
  } else if (auto* send = std::get_if<SendDatagram>(&effect)) {
    Send(*send);
  } else if (auto* start = std::get_if<StartExchange>(&effect)) {
    if (!EvictOldestLinkIfFull()) return Post(ExchangeClosed{start->link});
    const auto override_address = options_.address_overrides.find(start->name);
    links_.push_back(std::make_shared<Link>(*this, start->link,
                                            override_address == options_.address_overrides.end()
                                                ? ToAddress(start->to)
                                                : override_address->second));
    links_.back()->position = std::prev(links_.end());
  } else if (auto* message = std::get_if<SendExchange>(&effect)) {
    Link* link = FindLink(message->link);
    if (link == nullptr) return;
    const std::string bytes = Encode(options_.fleet, message->message);
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
    link->closing = message->last;
    bytes_out_ += kLengthBytes + bytes.size();
    std::string whole(reinterpret_cast<const char*>(&size), kLengthBytes);
    whole += bytes;
    link->stream.Write(whole);
  } else if (auto* end = std::get_if<CloseExchange>(&effect)) {
    if (Link* link = FindLink(end->link)) RemoveLink(*link, net::Reason::kAnswered);
  } else if (auto* c = std::get_if<MemberChanged>(&effect)) {
    log::Event(c->record.state == MemberState::kDead ? log::Level::kWarn : log::Level::kInfo, "member",
               {{"name", c->record.id.name},
                {"life", c->record.id.boot_id},
                {"from", c->from ? cluster::Name(*c->from) : "unknown"},
                {"to", cluster::Name(c->record.state)},
                {"why", c->why},
                {"at", ToText(c->record.endpoint)}});
  } else if (auto* s = std::get_if<QuorumStateChanged>(&effect)) {
    log::Event(s->quorum_state == QuorumState::kAllPresent ? log::Level::kInfo : log::Level::kWarn,
               "standing",
               {{"now", cluster::Name(s->quorum_state)}, {"known", s->known}, {"present", s->present}});
    if (callbacks_.on_quorum_change) callbacks_.on_quorum_change(s->quorum_state, fleet_size_.size());
  } else if (auto* t = std::get_if<DuplicateName>(&effect)) {
    ++duplicate_names_;
    log::Event(log::Level::kError, "twins",
               {{"name", t->name},
                {"one", t->one.id.boot_id},
                {"at", ToText(t->one.endpoint)},
                {"other", t->other.id.boot_id},
                {"other_at", ToText(t->other.endpoint)}});
  } else if (auto* h = std::get_if<AdviceGiven>(&effect)) {
    if (callbacks_.on_advice) callbacks_.on_advice(h->advice);
  } else if (std::holds_alternative<LeaveCompleted>(effect)) {
    tick_.Stop();
    log::Event(log::Level::kInfo, "cluster", {{"state", "left"}});
  }
}

void Node::Send(const SendDatagram& send) {
  const auto override_address = options_.address_overrides.find(send.name);
  const net::Address to =
      override_address == options_.address_overrides.end() ? ToAddress(send.to) : override_address->second;
  const std::string bytes = Encode(options_.fleet, send.message);
  // A datagram that does not fit into the socket's send buffer is dropped; the protocol tolerates loss.
  if (sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&to), sizeof to) < 0) {
    ++datagrams_unsent_;
    return;
  }
  ++datagrams_out_;
  bytes_out_ += bytes.size();
}

// Reads a bounded number of datagrams per turn, so that a flood does not starve the other work of the loop.
// The kernel drops what exceeds the socket's receive buffer.
void Node::ReadDatagrams() {
  char bytes[Membership::kMaxDatagramBytes + 1];
  for (int n = 0; n < kDatagramsPerTurn; ++n) {
    net::Address from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(fd_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;  // no more datagrams, or an ICMP error for one that was sent
    ++datagrams_in_;
    bytes_in_ += static_cast<std::uint64_t>(got);
    auto read = Decode(options_.fleet, {bytes, static_cast<std::size_t>(got)}, Membership::kMaxDatagramBytes);
    if (const DropReason* drop = std::get_if<DropReason>(&read)) {
      CountDrop(*drop, from);
    } else {
      Post(Received{std::move(std::get<Message>(read))});
    }
  }
}

void Node::CountDrop(DropReason why, const net::Address& from) {
  DropLog& d = drop_logs_[static_cast<std::size_t>(why)];
  ++d.count;
  const Micros now = shared_.loop.Now();
  if (now - d.last < kDropLogInterval) return;
  d.last = now;
  log::Event(log::Level::kWarn, "cluster",
             {{"dropped", cluster::Name(why)}, {"count", d.count - d.logged}, {"from", net::ToText(from)}});
  d.logged = d.count;
}

Node::Link* Node::FindLink(std::uint64_t id) {
  for (const auto& link : links_) {
    if (link->id == id && !link->gone) return link.get();
  }
  return nullptr;
}

bool Node::EvictOldestLinkIfFull() {
  if (links_.size() >= kMaxLinks) RemoveLink(*links_.front(), net::Reason::kEvicted);
  return true;
}

void Node::AcceptLink(int fd, const net::Address& from) {
  links_.push_back(std::make_shared<Link>(*this, ++last_link_ | kAcceptedLink, fd, from));
  links_.back()->position = std::prev(links_.end());
}

void Node::RemoveLink(Link& link, net::Reason reason) {
  if (std::exchange(link.gone, true)) return;
  link.timer.Stop();
  if (link.stream.open()) link.stream.Close(reason);
  const std::uint64_t id = link.id;
  shared_.loop.DestroyLater(std::move(*link.position));
  links_.erase(link.position);
  Post(ExchangeClosed{id});
}

std::vector<std::pair<std::string, std::uint64_t>> Node::Metrics() const {
  std::uint64_t by_state[4] = {};
  for (const MemberView& v : core_.Members()) ++by_state[static_cast<int>(v.record.state)];
  const MembershipCounters& c = core_.counters();
  std::vector<std::pair<std::string, std::uint64_t>> out;
  for (int s = 0; s < 4; ++s)
    out.emplace_back(std::string("members.") + cluster::Name(static_cast<MemberState>(s)), by_state[s]);
  out.insert(out.end(), {{"standing", static_cast<std::uint64_t>(core_.quorum_state())},
                         {"schedulers", static_cast<std::uint64_t>(fleet_size_.size())},
                         {"health", static_cast<std::uint64_t>(core_.local_health())},
                         {"probes", c.probes},
                         {"probes_failed", c.probes_failed},
                         {"suspicions", c.suspicions},
                         {"verdicts", c.verdicts},
                         {"verdicts_false", c.false_verdicts},
                         {"refuted", c.refuted},
                         {"stalls", c.stalls},
                         {"news", c.facts},
                         {"news_looked_into", c.advice},
                         {"exchanges", c.exchanges},
                         {"twins", duplicate_names_},
                         {"datagrams_in", datagrams_in_},
                         {"datagrams_out", datagrams_out_},
                         {"datagrams_unsent", datagrams_unsent_},
                         {"bytes_in", bytes_in_},
                         {"bytes_out", bytes_out_}});
  for (int d = 0; d < kDropReasons; ++d)
    out.emplace_back(std::string("dropped.") + cluster::Name(static_cast<DropReason>(d)),
                     drop_logs_[static_cast<std::size_t>(d)].count);
  return out;
}

}  // namespace heronway::cluster
