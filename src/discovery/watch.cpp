#include "src/discovery/watch.h"

#include <json/reader.h>

#include <algorithm>
#include <utility>

#include "src/log/log.h"

namespace heronway::discovery {
namespace {

using core::ListKind;
constexpr std::size_t kMaxNamedTargets = 64;  // per log line
constexpr Micros kMicrosPerMs = 1'000;

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

const char* NameOf(ListLease::Basis basis) {
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

const char* KindOf(const CallRequest& call) { return call.full_list ? "whole" : "changes"; }

// What a failed call implies about discovery.
CallFailure Classify(const Connection& connection, CallError error) {
  switch (error) {
    case CallError::kConnectFailed:
      return connection.refused() ? CallFailure::kRefused : CallFailure::kUnreachable;
    case CallError::kEnded:
    case CallError::kNoAnswer:
      return connection.answer_began() ? CallFailure::kUnusable : CallFailure::kUnreachable;
    case CallError::kStatus:
      return CallFailure::kUnreachable;
    case CallError::kBadMessage:
    case CallError::kOldAnswer:
      return CallFailure::kUnusable;
  }
  return CallFailure::kUnusable;
}

}  // namespace

Watch::Watch(net::StreamContext& shared, RouteTable& table, const net::Address& address, std::uint64_t seed,
             Micros grace, std::function<void(core::RoutesChanged)> changed)
    : shared_(shared),
      table_(table),
      address_(address),
      changed_(std::move(changed)),
      next_call_(shared.loop, [this] { OnCallDue(); }),
      lease_expiry_(shared.loop, [this] { UpdateLeaseState(); }),
      silence_(shared.loop, [this] { NoteSilence(); }),
      pacing_(seed),
      lease_(shared.loop.Now(), grace) {}

void Watch::Start() {
  if (calls_.empty() && !next_call_.running()) Call();
}

void Watch::Stop() {
  next_call_.Stop();
  lease_expiry_.Stop();
  silence_.Stop();
  CloseAll(calls_, net::Reason::kShutdown);
  CloseAll(parked_, net::Reason::kShutdown);
  CloseIdle(net::Reason::kShutdown);
}

void Watch::CloseAll(Calls& calls, net::Reason reason) {
  for (auto& connection : calls) {
    connection->Close(reason);
    shared_.loop.DestroyLater(std::move(connection));
  }
  calls.clear();
}

void Watch::CloseIdle(net::Reason reason) {
  if (!idle_) return;
  idle_->Close(reason);
  shared_.loop.DestroyLater(std::move(idle_));
}

void Watch::SetAddress(const net::Address& address) {
  log::Event(log::Level::kInfo, "discovery",
             {{"call", "moved"},
              {"from_at", net::ToText(address_)},
              {"at", net::ToText(address)},
              {"outstanding", calls_.size()},
              {"generation", table_.generation()}});
  Park();
  address_ = address;
  table_.ResetGeneration();
  pacing_.Reset();
  need_full_list_ = true;
  UpdateLeaseState();
  ResumeParked();
  if (calls_.empty()) Call();
}

// Keeps the oldest call for the full list of the present address and ends the others.
void Watch::Park() {
  next_call_.Stop();
  silence_.Stop();
  CloseIdle(net::Reason::kShutdown);
  const auto oldest = std::find_if(calls_.begin(), calls_.end(),
                                   [](const auto& connection) { return connection->call().full_list; });
  if (oldest != calls_.end()) parked_.push_back(Release(calls_, **oldest));
  CloseAll(calls_, net::Reason::kShutdown);
  if (parked_.size() <= kMaxParked) return;
  parked_.front()->Close(net::Reason::kShutdown);
  shared_.loop.DestroyLater(std::move(parked_.front()));
  parked_.erase(parked_.begin());
}

void Watch::EndExpiredParked() {
  const Micros now = shared_.loop.Now();
  while (!parked_.empty() && now >= parked_.front()->call().started_at + CallPacing::kCallLimit) {
    const std::shared_ptr<Connection> oldest = parked_.front();
    ReleaseParked(*oldest);
  }
}

// Continues with the parked call to the present address, if there is one that is not older than the list. It
// may have been lost meanwhile, so that only the silence from now on is a sign of an outage.
void Watch::ResumeParked() {
  const auto parked = std::find_if(parked_.begin(), parked_.end(), [this](const auto& connection) {
    return net::SameAddress(connection->address(), address_) &&
           connection->call().started_at >= last_answer_at_;
  });
  if (parked == parked_.end()) return;
  calls_.push_back(Release(parked_, **parked));
  const Micros waited = shared_.loop.Now() - calls_.front()->call().started_at;
  next_call_.Start(pacing_.NextCallAfter(calls_.size(), 0) - waited);
  silence_.Start(pacing_.SilenceLimit());
}

// The kept connection if it can still be used, or a new one.
std::shared_ptr<Connection> Watch::TakeConnection() {
  if (idle_ && idle_->Idle()) return std::move(idle_);
  CloseIdle(net::Reason::kProtocol);
  return std::make_shared<Connection>(shared_, address_, *this);
}

std::shared_ptr<Connection> Watch::Release(Calls& calls, const Connection& connection) {
  const auto it = std::find_if(calls.begin(), calls.end(),
                               [&connection](const auto& call) { return call.get() == &connection; });
  if (it == calls.end()) return nullptr;
  std::shared_ptr<Connection> released = std::move(*it);
  calls.erase(it);
  return released;
}

// Ends a parked call that has been answered or has failed. Returns whether the connection was parked.
bool Watch::ReleaseParked(const Connection& connection) {
  std::shared_ptr<Connection> parked = Release(parked_, connection);
  if (!parked) return false;
  parked->Close(net::Reason::kAnswered);
  shared_.loop.DestroyLater(std::move(parked));
  return true;
}

void Watch::Call() {
  const std::shared_ptr<Connection> connection = TakeConnection();
  const Micros now = shared_.loop.Now();
  CallRequest call{need_full_list_, table_.generation(), 0, now};
  // Without a usable list nothing can be sent until this call is answered, so discovery must not hold it. A
  // call beside another one is made to find out whether discovery answers.
  if (!call.full_list && calls_.empty()) call.hold = pacing_.Hold(lease_.ValidUntil() - now);
  if (!call.full_list) call.hold = std::max(call.hold - call.hold % kMicrosPerMs, CallPacing::kShortHold);
  calls_.push_back(connection);
  next_call_.Start(pacing_.NextCallAfter(calls_.size(), call.hold));
  if (calls_.size() == 1) silence_.Start(call.hold + pacing_.SilenceLimit());
  connection->Send(call);
}

void Watch::OnCallDue() {
  EndExpiredParked();
  if (!calls_.empty()) NoteLateCalls();
  if (calls_.size() == CallPacing::kMaxOutstanding) {
    const CallRequest& oldest = calls_.front()->call();
    const bool expired = shared_.loop.Now() >= oldest.started_at + oldest.hold + CallPacing::kCallLimit;
    GiveUp(expired ? calls_.begin() : std::next(calls_.begin()));
  }
  Call();
}

void Watch::GiveUp(Calls::iterator call) {
  LogFailure(**call, CallError::kNoAnswer, 0);
  (*call)->Close(net::Reason::kNoAnswer);
  shared_.loop.DestroyLater(std::move(*call));
  calls_.erase(call);
}

// No call has been answered in time. They stay outstanding.
void Watch::NoteLateCalls() {
  const Connection& oldest = *calls_.front();
  const Micros now = shared_.loop.Now();
  log::Event(log::Level::kWarn, "discovery",
             {{"call", "late"},
              {"at", net::ToText(oldest.address())},
              {"asked", KindOf(oldest.call())},
              {"for_ms", (now - oldest.call().started_at) / kMicrosPerMs},
              {"outstanding", calls_.size()},
              {"generation", table_.generation()}});
  changed_({ListKind::kFailed, {}});
  const bool reached =
      std::any_of(calls_.begin(), calls_.end(), [](const auto& call) { return call->answer_began(); });
  if (reached) lease_.CallFailed(now, CallFailure::kUnusable);
  UpdateLeaseState();
}

// No byte of an answer has come for longer than a slow discovery takes: it is down.
void Watch::NoteSilence() {
  const bool silent =
      std::none_of(calls_.begin(), calls_.end(), [](const auto& call) { return call->answer_began(); });
  if (silent) lease_.CallFailed(shared_.loop.Now(), CallFailure::kSilent);
  UpdateLeaseState();
  silence_.Start(CallPacing::kSilenceInterval);
}

// Whether a call that reached discovery may still be answered by one that is slow.
bool Watch::AnswerMayCome() const {
  const Micros now = shared_.loop.Now();
  return std::any_of(calls_.begin(), calls_.end(), [this, now](const auto& connection) {
    const CallRequest& call = connection->call();
    return connection->waiting() && now < call.started_at + call.hold + pacing_.SilenceLimit();
  });
}

// Applies an answer to the table. Returns nothing if it cannot be used; `outdated` then tells whether it
// contains changes to an older generation than the known one.
std::optional<core::RoutesChanged> Watch::Apply(const CallRequest& call, const http::Message& answer,
                                                bool* outdated) {
  Json::Value root;
  std::optional<core::RoutesChanged> change;
  const std::unique_ptr<Json::CharReader> json(Json::CharReaderBuilder().newCharReader());
  try {
    if (json->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, nullptr))
      change = table_.Apply(root, call.full_list ? ListKind::kWhole : ListKind::kChanges,
                            {shared_.loop.Now(), net::Loop::WallClock()});
  } catch (const Json::Exception&) {
  }
  *outdated = !change && table_.IsOutdated(root);
  return change;
}

void Watch::OnAnswer(Connection& connection, const http::Message& answer) {
  if (ReleaseParked(connection)) return;
  if (answer.status != 200) return OnCallFailed(connection, CallError::kStatus);
  bool outdated = false;
  std::optional<core::RoutesChanged> change = Apply(connection.call(), answer, &outdated);
  if (!change) {
    connection.Close(net::Reason::kBadMessage);
    return OnCallFailed(connection, outdated ? CallError::kOldAnswer : CallError::kBadMessage);
  }
  LogAnswer(connection, *change);
  const Micros now = shared_.loop.Now(), took = now - connection.call().started_at;
  const Micros hold = connection.call().hold;
  const bool held = change->kind == ListKind::kChanges && change->entries.empty() && took >= hold;
  pacing_.Answered(took, hold, held);
  // Discovery wrote the answer at some time after the call began; where it held the call, after the hold.
  last_answer_at_ = connection.call().started_at + (held ? hold : 0);
  lease_.Confirmed(last_answer_at_);
  need_full_list_ = false;
  const std::shared_ptr<Connection> answered = Release(calls_, connection);
  CloseAll(calls_, net::Reason::kAnswered);  // calls that were made beside this one
  idle_ = answered;
  // At once, unless discovery holds no calls: changes made before a much later call could be missed.
  const Micros pause = CallPacing::NextCallAfterAnswer(took, !change->entries.empty());
  pause > 0 ? next_call_.Start(pause) : Call();
  // If the list just became usable, the full list has been reported, which includes this change.
  if (!UpdateLeaseState()) changed_(std::move(*change));
}

void Watch::OnCallFailed(Connection& connection, CallError error) {
  if (ReleaseParked(connection)) return;
  const std::shared_ptr<Connection> failed = Release(calls_, connection);
  if (calls_.empty()) silence_.Stop();
  // Changes to an older generation than the known one cannot be applied, so the full list is needed.
  if (error == CallError::kOldAnswer) need_full_list_ = true;
  // The delay is bounded, as changes missed meanwhile count as known after kPropagationDeadline.
  const Micros took = shared_.loop.Now() - connection.call().started_at;
  const Micros wait = pacing_.RetryAfter(took, error == CallError::kStatus, connection.call().full_list);
  next_call_.Start(wait);
  LogFailure(connection, error, wait);
  CallFailure implied = Classify(connection, error);
  if (implied == CallFailure::kUnreachable && error != CallError::kConnectFailed && AnswerMayCome())
    implied = CallFailure::kBusy;
  if (error == CallError::kStatus && !idle_) {
    idle_ = failed;
  } else {
    shared_.loop.DestroyLater(failed);
  }
  changed_({ListKind::kFailed, {}});
  lease_.CallFailed(shared_.loop.Now(), implied);
  UpdateLeaseState();
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
              {"because", NameOf(basis_)},
              {"generation", table_.generation()},
              {"listed", table_.CountListed()}});
}

void Watch::LogFailure(const Connection& connection, CallError error, Micros wait) const {
  const CallRequest& call = connection.call();
  log::Event(log::Level::kWarn, "discovery",
             {{"call", "failed"},
              {"reason", Code(error)},
              {"at", net::ToText(connection.address())},
              {"asked", KindOf(call)},
              {"took_ms", (shared_.loop.Now() - call.started_at) / kMicrosPerMs},
              {"next_ms", wait / kMicrosPerMs},
              {"generation", table_.generation()}});
}

// Logs what discovery reported: changes with the names of their targets, a full list by its size.
void Watch::LogAnswer(const Connection& connection, const core::RoutesChanged& change) const {
  const bool has_entries = !change.entries.empty();
  const log::Level level = has_entries ? log::Level::kInfo : log::Level::kDebug;
  if (!log::Enabled(level)) return;
  std::string targets;
  const std::size_t max_named = change.kind == ListKind::kChanges ? kMaxNamedTargets : 0;
  for (std::size_t i = 0; i < change.entries.size() && i < max_named; ++i) {
    const Route* route = table_.Find(change.entries[i].id);
    targets.append(targets.empty() ? "" : " ").append(route->name).append(":").append(NameOf(route->state));
  }
  const CallRequest& call = connection.call();
  log::Event(level, "discovery",
             {{"call", "answered"},
              {"at", net::ToText(connection.address())},
              {"kind", change.kind == ListKind::kChanges ? "changes" : "whole"},
              {"from", call.generation},
              {"generation", table_.generation()},
              {"entries", change.entries.size()},
              {"listed", table_.CountListed()},
              {"took_ms", (shared_.loop.Now() - call.started_at) / kMicrosPerMs},
              {"targets", targets}});
}

}  // namespace heronway::discovery
