#include "tests/rig/discovery.h"

#include <algorithm>
#include <limits>

#include "tests/rig/served.h"

namespace heronway::rig {

struct Discovery::Link : Served {
  Link(Discovery& owner, int fd, int from)
      : Served(owner.shared_, fd),
        discovery(owner),
        caller(from < 0 ? -1 : from % owner.callers_),
        site(from < 0 ? 0 : from / owner.callers_),
        timer(owner.shared_.loop, [this] { OnTimer(); }) {}

  void OnMessage(http::Message message) override {
    ++discovery.calls_;
    since = Figure(message.target, "from=").value_or(0);
    held_for = static_cast<Micros>(Figure(message.target, "hold_ms=").value_or(0)) * 1'000;
    failure = discovery.failure_;
    if (failure == Failure::kSomeFail) {
      static constexpr Failure kAny[] = {Failure::kNone,   Failure::kNone, Failure::kDeclines,
                                         Failure::kResets, Failure::kTorn, Failure::kSilent};
      failure = kAny[discovery.random_(6)];
    }
    failure == Failure::kNone ? discovery.Well(caller) : discovery.Troubled(caller);
    if (failure == Failure::kResets) return End();
    Enter(Step::kWaiting);
    if (failure == Failure::kSilent) return;
    if (failure == Failure::kDeclines) return timer.Start(kDeclinedAfter);
    if (failure == Failure::kSlow && !discovery.slowness_[static_cast<std::size_t>(site)].composed_first)
      return timer.Start(discovery.TimeFor(site));
    Serve();
  }
  // The call is answered, or held until there is a change or the caller's time is over.
  void Serve() {
    if (since == 0 || since < discovery.generation_) return Tell();
    Enter(Step::kHeld);
    timer.Start(held_for);
  }
  void OnTimer() {
    if (step == Step::kDripping) return Drip();
    if (step == Step::kComposed) return Write();
    if (step == Step::kHeld) return Tell();
    if (failure == Failure::kSlow) return Serve();
    Enter(Step::kIdle);
    Answer(503, "busy");
  }
  // The changes so far, or a part of them.
  void Tell() {
    timer.Stop();
    body = failure == Failure::kOutdated && since > 0
               ? "{\"generation\":" + std::to_string(since - 1) + ",\"reset\":false,\"instances\":[]}"
               : discovery.Answer(since);
    if (failure != Failure::kSlow || !discovery.slowness_[static_cast<std::size_t>(site)].composed_first)
      return Write();
    Enter(Step::kComposed);
    timer.Start(discovery.TimeFor(site));
  }
  void Write() {
    Enter(Step::kIdle);
    if (failure != Failure::kTorn && failure != Failure::kDrips) return Answer(200, body);
    whole = http::FormatResponse(200, true, {}, body);
    if (failure == Failure::kDrips) {
      Enter(Step::kDripping);
      return Drip();
    }
    stream.Write(whole.substr(0, whole.size() - 2));
    End();
  }
  void Drip() {
    stream.Write(whole.substr(0, 1));
    whole.erase(0, 1);
    if (whole.empty()) return Enter(Step::kIdle);
    timer.Start(kDripEvery);
  }
  void End() {
    stream.Close(net::Reason::kShutdown);
    Enter(Step::kIdle);
    OnEnd(net::Reason::kShutdown);
  }
  void OnEnd(net::Reason) override {
    timer.Stop();
    discovery.abandoned_ += step == Step::kIdle ? 0 : 1;
    discovery.WatchEnded(*this);
    Drop(discovery.shared_, discovery.links_, this);
  }
  // Nothing more is said on this connection.
  void FallSilent() {
    timer.Stop();
    failure = Failure::kSilent;
    Enter(Step::kWaiting);
  }
  static std::optional<std::uint64_t> Figure(const std::string& target, const std::string& name) {
    const auto at = target.find(name);
    if (at == target.npos) return std::nullopt;
    return std::stoull(target.substr(at + name.size()));
  }
  enum class Step : std::uint8_t { kIdle, kWaiting, kHeld, kComposed, kDripping };
  void Enter(Step next) { step = next; }
  static constexpr Micros kDeclinedAfter = 2'000'000;  // as one that is down or crowded does
  static constexpr Micros kDripEvery = 100'000;
  Discovery& discovery;
  int caller, site;
  net::Timer timer;
  Failure failure = Failure::kNone;
  Step step = Step::kIdle;
  std::uint64_t since = 0;
  Micros held_for = 0;
  std::string body, whole;
};

Discovery::Discovery(net::StreamContext& shared, std::uint64_t seed, int callers, int sites)
    : shared_(shared),
      random_(seed),
      callers_(callers),
      at_(AnyPort()),
      doors_(static_cast<std::size_t>(callers * sites)),
      troubles_(static_cast<std::size_t>(callers)),
      slowness_(static_cast<std::size_t>(sites)),
      busy_until_(static_cast<std::size_t>(sites)) {
  constexpr int kFirstHost = 100;
  for (std::size_t n = 0; n < doors_.size(); ++n)
    doors_[n].at = *net::ParseAddress(OwnHost(kFirstHost + static_cast<int>(n)) + ":0");
  Listen();
}

// How long a slow call takes that comes now.
Micros Discovery::TimeFor(int site) {
  const Slowness& slowness = slowness_[static_cast<std::size_t>(site)];
  Micros time = slowness.per_call;
  if (slowness.spread > 0) time += random_(static_cast<std::uint32_t>(slowness.spread));
  if (!slowness.one_at_a_time) return time;
  Micros& busy_until = busy_until_[static_cast<std::size_t>(site)];
  busy_until = std::max(busy_until, shared_.loop.Now()) + time;
  return busy_until - shared_.loop.Now();
}

Discovery::~Discovery() = default;

void Discovery::Listen() {
  listener_ = ListenAt(at_, -1);
  for (std::size_t n = 0; n < doors_.size(); ++n)
    doors_[n].listener = ListenAt(doors_[n].at, static_cast<int>(n));
}

std::unique_ptr<net::Listener> Discovery::ListenAt(net::Address& at, int door) {
  auto listener = std::make_unique<net::Listener>(
      shared_.loop, at, limits::AcceptSettings{}, [](bool) { return true; },
      [this, door](int fd, const net::Address&) {
        links_.push_back(std::make_shared<Link>(*this, fd, door));
      });
  at = listener->address();
  return listener;
}

void Discovery::Troubled(int caller) {
  if (caller < 0) return;
  constexpr std::size_t kRemembered = 64;
  auto& troubles = troubles_[static_cast<std::size_t>(caller)];
  if (!troubles.empty() && troubles.back().until == 0) return;
  troubles.push_back({shared_.loop.Now(), 0});
  if (troubles.size() > kRemembered) troubles.pop_front();
}

void Discovery::Well(int caller) {
  if (caller < 0) return;
  auto& troubles = troubles_[static_cast<std::size_t>(caller)];
  if (!troubles.empty() && troubles.back().until == 0) troubles.back().until = shared_.loop.Now();
}

// A caller that has closed its connection has no watch, unless another call of it is held.
void Discovery::WatchEnded(const Link& link) {
  const bool watches = std::any_of(links_.begin(), links_.end(), [&link](const auto& other) {
    return other.get() != &link && other->caller == link.caller && other->step == Link::Step::kHeld;
  });
  if (!watches) Troubled(link.caller);
}

bool Discovery::reachable() const {
  return failure_ != Failure::kDown && failure_ != Failure::kDeclines && failure_ != Failure::kResets &&
         failure_ != Failure::kSilent;
}

void Discovery::Fail(Failure failure) {
  const bool was_reachable = reachable();
  failure_ = failure;
  if (failure == Failure::kNone) healthy_since_ = shared_.loop.Now();
  if (!was_reachable && reachable()) reachable_since_ = shared_.loop.Now();
  if (!reachable()) {  // watches end as it goes down
    for (const auto& link : std::list<std::shared_ptr<Link>>(links_))
      failure == Failure::kSilent ? link->FallSilent() : link->End();
  }
  for (int caller = 0; !reachable() && caller < callers_; ++caller) Troubled(caller);
  if (failure == Failure::kDown) {
    listener_.reset();
    for (Door& door : doors_) door.listener.reset();
  }
  if (failure != Failure::kDown && !listener_) Listen();
}

Micros Discovery::CountsAsTold(Micros changed, int caller) const {
  constexpr Micros kLatest = 6'000'000;
  if (failure_ == Failure::kNone && changed >= healthy_since_) {
    if (caller < 0) return changed;  // written to all that watch
    for (const Trouble& trouble : troubles_[static_cast<std::size_t>(caller)]) {
      const bool covers = trouble.from <= changed && (trouble.until == 0 || changed < trouble.until);
      if (covers) return std::min(changed + kLatest, trouble.until == 0 ? changed + kLatest : trouble.until);
    }
    return changed;
  }
  if (!reachable()) return std::numeric_limits<Micros>::max() / 2;
  return std::max(changed, reachable_since_) + kLatest;
}

std::string Discovery::Answer(std::uint64_t from) const {
  std::string list;
  for (const auto& [name, e] : entries_) {
    if (e.second <= from) continue;
    list += (list.empty() ? "" : ",") + std::string("{\"instanceId\":\"") + name + "\",\"hostPort\":\"" +
            e.first.at + "\",\"zone\":\"" + (e.first.zone == 0 ? "a" : "b") +
            "\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"" + e.first.lifecycle +
            "\",\"weight\":1.0,\"startedAtMs\":" + std::to_string(e.first.since / 1000) + "}";
  }
  return "{\"generation\":" + std::to_string(generation_) + ",\"reset\":" + (from == 0 ? "true" : "false") +
         ",\"instances\":[" + list + "]}";
}

std::string Discovery::Known() const { return Answer(0); }

std::string Discovery::StoryOf(const std::string& name) const {
  const auto it = stories_.find(name);
  std::string lines;
  if (it == stories_.end()) return lines;
  for (const auto& [at, lifecycle] : it->second)
    lines +=
        "    " + std::to_string((shared_.loop.Now() - at) / 1000) + " ms ago listed as " + lifecycle + "\n";
  return lines;
}

void Discovery::Tell(const Entry& entry) {
  constexpr std::size_t kRemembered = 8;
  auto& story = stories_[entry.name];
  story.emplace_back(shared_.loop.Now(), entry.lifecycle);
  if (story.size() > kRemembered) story.pop_front();
  entries_[entry.name] = {entry, ++generation_};
  for (const auto& link : std::list<std::shared_ptr<Link>>(links_)) {  // a torn answer ends its link
    if (link->step == Link::Step::kHeld) link->Tell();
  }
}

}  // namespace heronway::rig
