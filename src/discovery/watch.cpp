#include "src/discovery/watch.h"

#include <json/reader.h>

#include <algorithm>
#include <utility>

#include "src/log/log.h"

namespace heronway::discovery {
namespace {

using core::ListKind;
constexpr Micros kDialTimeout = 1'000'000;
constexpr std::size_t kMostNamed = 64;  // targets that one log line names

const char* NameOf(pebblenotch::WorkerState state) {
  switch (state) {
    case pebblenotch::WorkerState::kReady:
      return "ready";
    case pebblenotch::WorkerState::kDraining:
      return "draining";
    case pebblenotch::WorkerState::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace

Watch::Watch(net::StreamContext& shared, RouteTable& table, const net::Address& at, std::uint64_t seed,
             Micros grace, std::function<void(core::RoutesChanged)> changed)
    : shared_(shared),
      table_(table),
      at_(at),
      changed_(std::move(changed)),
      patience_(shared.loop, [this] { Fail(Failure::kNoAnswer, net::Reason::kNoAnswer); }),
      again_(shared.loop, [this] { Call(); }),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))),
      expiry_(shared.loop, [this] { LookAtLease(); }),
      lease_(shared.loop.Now(), grace) {}

Micros Watch::Part(Micros most) { return std::uniform_int_distribution<Micros>(0, most)(random_); }

void Watch::Start() {
  if (!calling_ && !again_.running()) Call();
}

void Watch::Stop() {
  patience_.Stop();
  again_.Stop();
  expiry_.Stop();
  calling_ = false;
  if (stream_) stream_->Close(net::Reason::kShutdown);
}

void Watch::SetAddress(const net::Address& at) {
  Stop();
  at_ = at;
  table_.ResetGeneration();
  moved_ = true;
  Call();
}

void Watch::Call() {
  calling_ = true;
  began_ = shared_.loop.Now();
  answer_began_ = 0;
  again_.Stop();
  // Nothing is sent before this call is answered where the list may not be acted on: then it is not held.
  const Micros hold = usable_ ? kHold - Part(kHoldSpread) : kShortHold;
  patience_.Start(moved_ ? kListPatience : hold + kPatience);
  // Guards against a call on a connection that discovery has ended, or on which there is more than it was
  // asked for: that would be taken for the answer.
  if (stream_ && stream_->connected() && stream_->Peek() != net::Stream::Unread::kNothing)
    stream_->Close(net::Reason::kProtocol);
  if (!stream_ || !stream_->open()) {
    if (stream_) shared_.loop.DestroyLater(std::move(stream_));
    reader_ = std::make_unique<http::MessageParser>(HTTP_RESPONSE, kMostAnswer);
    stream_ =
        std::make_shared<net::Stream>(shared_, at_, kDialTimeout, "discovery " + net::ToText(at_), *this);
  }
  std::string path = "/v1/endpoints";
  if (!moved_) {
    path.append("?from=").append(std::to_string(table_.generation()));
    path.append("&hold_ms=").append(std::to_string(hold / 1000));
  }
  stream_->Write(http::FormatRequest("GET", path, {{"Host", net::ToText(at_)}}, {}));
}

void Watch::OnData(std::string_view bytes) {
  if (answer_began_ == 0) answer_began_ = shared_.loop.Now();
  std::size_t used = 0;
  const auto state = reader_->Feed(bytes, used);
  if (state == http::ParseState::kIncomplete) return;
  if (state != http::ParseState::kComplete || !calling_)
    return Fail(Failure::kBadMessage, net::Reason::kBadMessage);
  const http::Message answer = reader_->TakeMessage();
  const std::uint64_t from = table_.generation();
  if (answer.status != 200) {
    return Fail(Failure::kStatus, answer.keep_alive ? std::nullopt : std::optional(net::Reason::kAnswered));
  }
  Json::Value root;
  const std::unique_ptr<Json::CharReader> json(Json::CharReaderBuilder().newCharReader());
  std::optional<core::RoutesChanged> change;
  try {
    if (json->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, nullptr))
      change = table_.Apply(root, moved_ ? ListKind::kWhole : ListKind::kChanges,
                            {shared_.loop.Now(), net::Loop::WallClock()});
  } catch (const Json::Exception&) {
  }
  if (!change) {
    // Changes that are older than what is known here tell nothing of what came between.
    const bool older = table_.IsOutdated(root);
    moved_ = moved_ || older;
    return Fail(older ? Failure::kOldAnswer : Failure::kBadMessage, net::Reason::kBadMessage);
  }
  LogAnswer(from, *change);
  lease_.Confirmed(answer_began_);
  last_answer_at_ = shared_.loop.Now();
  quick_failures_ = 0;
  if (!answer.keep_alive) stream_->Close(net::Reason::kAnswered);
  if (used < bytes.size()) stream_->Close(net::Reason::kProtocol);  // nobody asked for what is behind it
  moved_ = false;
  Call();  // at once: a later call would start a new watch, and what changed in between go unheard
  // Where the list could not be acted on before, what is told is the whole of it.
  if (!LookAtLease()) changed_(std::move(*change));
}

// Tells where the list may be acted on no longer, or again. True where it told the whole list.
bool Watch::LookAtLease() {
  const Micros now = shared_.loop.Now();
  const bool valid = lease_.Valid(now);
  valid ? expiry_.Start(lease_.ValidUntil() - now) : expiry_.Stop();
  if (valid == std::exchange(usable_, valid)) return false;
  log::Event(valid ? log::Level::kInfo : log::Level::kWarn, "discovery",
             {{"list", valid ? "in_force" : "out_of_date"},
              {"generation", table_.generation()},
              {"listed", table_.CountListed()}});
  changed_(valid ? table_.FullList() : core::RoutesChanged{ListKind::kWhole, {}});
  return valid;
}

// What this process was told, and when: changes by the targets' names, a whole list by its size.
void Watch::LogAnswer(std::uint64_t from, const core::RoutesChanged& change) const {
  const bool news = !change.entries.empty();
  if (!log::Enabled(news ? log::Level::kInfo : log::Level::kDebug)) return;
  std::string named;
  const std::size_t most = change.kind == ListKind::kChanges ? kMostNamed : 0;
  for (std::size_t i = 0; i < change.entries.size() && i < most; ++i) {
    const Route* route = table_.Find(change.entries[i].id);
    named.append(named.empty() ? "" : " ").append(route->name).append(":").append(NameOf(route->state));
  }
  log::Event(news ? log::Level::kInfo : log::Level::kDebug, "discovery",
             {{"call", "answered"},
              {"kind", change.kind == ListKind::kChanges ? "changes" : "whole"},
              {"from", from},
              {"generation", table_.generation()},
              {"entries", change.entries.size()},
              {"listed", table_.CountListed()},
              {"took_ms", (shared_.loop.Now() - began_) / 1000},
              {"targets", named}});
}

void Watch::OnEnd(net::Reason reason) {
  if (calling_) Fail(reason == net::Reason::kConnectFailed ? Failure::kConnectFailed : Failure::kEnded);
}

const char* Watch::Code(Failure failure) {
  switch (failure) {
    case Failure::kConnectFailed:
      return "connect_failed";
    case Failure::kEnded:
      return "connection_ended";
    case Failure::kStatus:
      return "status";
    case Failure::kNoAnswer:
      return "no_answer";
    case Failure::kBadMessage:
      return "bad_message";
    case Failure::kOldAnswer:
      return "old_answer";
  }
  return "unknown";
}

void Watch::Fail(Failure failure, std::optional<net::Reason> close) {
  if (close && stream_) stream_->Close(*close);
  patience_.Stop();
  calling_ = false;
  // Guards against a back-off that lasts longer than what is missed meanwhile may go unheard.
  const Micros wait = RetryAfter(failure);
  again_.Start(wait);
  log::Event(log::Level::kWarn, "discovery",
             {{"call", "failed"},
              {"reason", Code(failure)},
              {"took_ms", (shared_.loop.Now() - began_) / 1000},
              {"next_ms", wait / 1000},
              {"generation", table_.generation()}});
  changed_({core::ListKind::kFailed, {}});
  lease_.CallFailed(shared_.loop.Now(), Meaning(failure));
  LookAtLease();
}

Micros Watch::RetryAfter(Failure failure) {
  if (moved_) return kAskAgain;
  const Micros took = shared_.loop.Now() - began_;
  const Micros usual = std::max(kCallGap * 3 / 4 + Part(kCallGap / 2) - took, Part(kReopen));
  const bool quick = failure != Failure::kStatus && took < kQuickFailure;
  quick_failures_ = quick ? quick_failures_ + 1 : 0;
  if (!quick) return usual;
  constexpr int kMostDoublings = 4;
  const Micros soon = kQuickRetry << std::min(quick_failures_ - 1, kMostDoublings);
  return std::min(usual, soon + Part(soon));
}

CallFailure Watch::Meaning(Failure failure) const {
  switch (failure) {
    case Failure::kConnectFailed:
      return stream_->connection_refused() ? CallFailure::kRefused : CallFailure::kUnreachable;
    case Failure::kEnded:
    case Failure::kNoAnswer:
      return answer_began_ == 0 ? CallFailure::kUnreachable : CallFailure::kUnusable;
    case Failure::kStatus:
      return CallFailure::kUnreachable;
    case Failure::kBadMessage:
    case Failure::kOldAnswer:
      return CallFailure::kUnusable;
  }
  return CallFailure::kUnusable;
}

}  // namespace heronway::discovery
