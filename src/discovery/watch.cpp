#include "src/discovery/watch.h"

#include <json/reader.h>

#include <algorithm>
#include <utility>

#include "src/log/log.h"

namespace heronway::discovery {
namespace {

using core::ListKind;
constexpr Micros kDialTimeout = 1'000'000;
constexpr std::size_t kMaxNamedTargets = 64;  // per log line

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

Watch::Watch(net::StreamContext& shared, RouteTable& table, const net::Address& address, std::uint64_t seed,
             Micros grace, std::function<void(core::RoutesChanged)> changed)
    : shared_(shared),
      table_(table),
      address_(address),
      changed_(std::move(changed)),
      call_timeout_(shared.loop, [this] { Fail(Failure::kNoAnswer, net::Reason::kNoAnswer); }),
      next_call_(shared.loop, [this] { Call(); }),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))),
      lease_expiry_(shared.loop, [this] { UpdateLeaseState(); }),
      lease_(shared.loop.Now(), grace) {}

Micros Watch::RandomUpTo(Micros max) { return std::uniform_int_distribution<Micros>(0, max)(random_); }

void Watch::Start() {
  if (!calling_ && !next_call_.running()) Call();
}

void Watch::Stop() {
  call_timeout_.Stop();
  next_call_.Stop();
  lease_expiry_.Stop();
  calling_ = false;
  if (stream_) stream_->Close(net::Reason::kShutdown);
}

void Watch::SetAddress(const net::Address& address) {
  log::Event(log::Level::kInfo, "discovery",
             {{"call", "moved"},
              {"from_at", net::ToText(address_)},
              {"at", net::ToText(address)},
              {"ended_calls", calling_ ? 1 : 0},
              {"generation", table_.generation()}});
  Stop();
  address_ = address;
  table_.ResetGeneration();
  need_full_list_ = true;
  Call();
}

void Watch::Call() {
  calling_ = true;
  call_started_at_ = shared_.loop.Now();
  answer_started_at_ = 0;
  next_call_.Stop();
  // Without a usable list nothing can be sent until this call is answered, so discovery must not hold it.
  const Micros hold = usable_ ? kHold - RandomUpTo(kHoldSpread) : kShortHold;
  call_timeout_.Start(need_full_list_ ? kListPatience : hold + kPatience);
  // Does not reuse a connection that discovery has closed or that has unread bytes: those would be taken for
  // the answer to this call.
  if (stream_ && stream_->connected() && stream_->Peek() != net::Stream::Unread::kNothing)
    stream_->Close(net::Reason::kProtocol);
  if (!stream_ || !stream_->open()) {
    if (stream_) shared_.loop.DestroyLater(std::move(stream_));
    parser_ = std::make_unique<http::MessageParser>(HTTP_RESPONSE, kMaxAnswerBytes);
    stream_ = std::make_shared<net::Stream>(shared_, address_, kDialTimeout,
                                            "discovery " + net::ToText(address_), *this);
  }
  std::string path = "/v1/endpoints";
  if (!need_full_list_) {
    path.append("?from=").append(std::to_string(table_.generation()));
    path.append("&hold_ms=").append(std::to_string(hold / 1000));
  }
  stream_->Write(http::FormatRequest("GET", path, {{"Host", net::ToText(address_)}}, {}));
}

void Watch::OnData(std::string_view bytes) {
  if (answer_started_at_ == 0) answer_started_at_ = shared_.loop.Now();
  std::size_t used = 0;
  const auto state = parser_->Feed(bytes, used);
  if (state == http::ParseState::kIncomplete) return;
  if (state != http::ParseState::kComplete || !calling_)
    return Fail(Failure::kBadMessage, net::Reason::kBadMessage);
  const http::Message answer = parser_->TakeMessage();
  const std::uint64_t from = table_.generation();
  if (answer.status != 200) {
    return Fail(Failure::kStatus, answer.keep_alive ? std::nullopt : std::optional(net::Reason::kAnswered));
  }
  Json::Value root;
  const std::unique_ptr<Json::CharReader> json(Json::CharReaderBuilder().newCharReader());
  std::optional<core::RoutesChanged> change;
  try {
    if (json->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, nullptr))
      change = table_.Apply(root, need_full_list_ ? ListKind::kWhole : ListKind::kChanges,
                            {shared_.loop.Now(), net::Loop::WallClock()});
  } catch (const Json::Exception&) {
  }
  if (!change) {
    // Changes to an older generation than the known one cannot be applied, so the full list is needed.
    const bool outdated = table_.IsOutdated(root);
    need_full_list_ = need_full_list_ || outdated;
    return Fail(outdated ? Failure::kOldAnswer : Failure::kBadMessage, net::Reason::kBadMessage);
  }
  LogAnswer(from, *change);
  lease_.Confirmed(answer_started_at_);
  last_answer_at_ = shared_.loop.Now();
  quick_failures_ = 0;
  if (!answer.keep_alive) stream_->Close(net::Reason::kAnswered);
  if (used < bytes.size()) stream_->Close(net::Reason::kProtocol);  // unrequested bytes follow the answer
  need_full_list_ = false;
  Call();  // at once: changes made between this answer and a later call could be missed
  // If the list just became usable, the full list has been reported, which includes this change.
  if (!UpdateLeaseState()) changed_(std::move(*change));
}

// Reports when the list becomes unusable or usable again. Returns whether it reported the full list.
bool Watch::UpdateLeaseState() {
  const Micros now = shared_.loop.Now();
  const ListLease::Basis basis = lease_.BasisAt(now);
  const bool valid = basis != ListLease::Basis::kNone;
  valid ? lease_expiry_.Start(lease_.ValidUntil() - now) : lease_expiry_.Stop();
  if (basis != std::exchange(basis_, basis)) LogLeaseState();
  if (valid == std::exchange(usable_, valid)) return false;
  changed_(valid ? table_.FullList() : core::RoutesChanged{ListKind::kWhole, {}});
  return valid;
}

void Watch::LogLeaseState() const {
  const bool valid = basis_ != ListLease::Basis::kNone;
  log::Event(valid ? log::Level::kInfo : log::Level::kWarn, "discovery",
             {{"list", valid ? "in_force" : "out_of_date"},
              {"because", Code(basis_)},
              {"generation", table_.generation()},
              {"listed", table_.CountListed()}});
}

// Logs what discovery reported: changes with the names of their targets, a full list by its size.
void Watch::LogAnswer(std::uint64_t from, const core::RoutesChanged& change) const {
  const bool has_entries = !change.entries.empty();
  if (!log::Enabled(has_entries ? log::Level::kInfo : log::Level::kDebug)) return;
  std::string targets;
  const std::size_t max_named = change.kind == ListKind::kChanges ? kMaxNamedTargets : 0;
  for (std::size_t i = 0; i < change.entries.size() && i < max_named; ++i) {
    const Route* route = table_.Find(change.entries[i].id);
    targets.append(targets.empty() ? "" : " ").append(route->name).append(":").append(NameOf(route->state));
  }
  log::Event(has_entries ? log::Level::kInfo : log::Level::kDebug, "discovery",
             {{"call", "answered"},
              {"at", net::ToText(address_)},
              {"kind", change.kind == ListKind::kChanges ? "changes" : "whole"},
              {"from", from},
              {"generation", table_.generation()},
              {"entries", change.entries.size()},
              {"listed", table_.CountListed()},
              {"took_ms", (shared_.loop.Now() - call_started_at_) / 1000},
              {"targets", targets}});
}

void Watch::OnEnd(net::Reason reason) {
  if (calling_) Fail(reason == net::Reason::kConnectFailed ? Failure::kConnectFailed : Failure::kEnded);
}

const char* Watch::Code(ListLease::Basis basis) {
  switch (basis) {
    case ListLease::Basis::kNone:
      return "no_answer";
    case ListLease::Basis::kConfirmation:
      return "confirmed";
    case ListLease::Basis::kOutage:
      return "outage";
  }
  return "unknown";
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
  call_timeout_.Stop();
  calling_ = false;
  // The delay is bounded, as changes missed meanwhile count as known after kPropagationDeadline.
  const Micros wait = RetryAfter(failure);
  next_call_.Start(wait);
  log::Event(log::Level::kWarn, "discovery",
             {{"call", "failed"},
              {"reason", Code(failure)},
              {"at", net::ToText(address_)},
              {"asked", need_full_list_ ? "whole" : "changes"},
              {"took_ms", (shared_.loop.Now() - call_started_at_) / 1000},
              {"next_ms", wait / 1000},
              {"generation", table_.generation()}});
  changed_({core::ListKind::kFailed, {}});
  lease_.CallFailed(shared_.loop.Now(), Classify(failure));
  UpdateLeaseState();
}

Micros Watch::RetryAfter(Failure failure) {
  if (need_full_list_) return kListRetryDelay;
  const Micros took = shared_.loop.Now() - call_started_at_;
  const Micros regular_delay =
      std::max(kCallGap * 3 / 4 + RandomUpTo(kCallGap / 2) - took, RandomUpTo(kReopen));
  const bool quick = failure != Failure::kStatus && took < kQuickFailure;
  quick_failures_ = quick ? quick_failures_ + 1 : 0;
  if (!quick) return regular_delay;
  constexpr int kMaxDoublings = 4;
  const Micros backoff = kQuickRetry << std::min(quick_failures_ - 1, kMaxDoublings);
  return std::min(regular_delay, backoff + RandomUpTo(backoff));
}

CallFailure Watch::Classify(Failure failure) const {
  switch (failure) {
    case Failure::kConnectFailed:
      return stream_->connection_refused() ? CallFailure::kRefused : CallFailure::kUnreachable;
    case Failure::kEnded:
    case Failure::kNoAnswer:
      return answer_started_at_ == 0 ? CallFailure::kUnreachable : CallFailure::kUnusable;
    case Failure::kStatus:
      return CallFailure::kUnreachable;
    case Failure::kBadMessage:
    case Failure::kOldAnswer:
      return CallFailure::kUnusable;
  }
  return CallFailure::kUnusable;
}

}  // namespace heronway::discovery
