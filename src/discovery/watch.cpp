#include "src/discovery/watch.h"

#include <json/reader.h>

#include <algorithm>
#include <utility>

namespace heronway::discovery {
namespace {

using core::ListKind;
constexpr Micros kDialTimeout = 1'000'000;

}  // namespace

Watch::Watch(net::Shared& shared, RouteTable& table, const net::Address& at, std::uint64_t seed,
             std::function<void(core::RoutesChanged)> changed)
    : shared_(shared),
      table_(table),
      at_(at),
      changed_(std::move(changed)),
      patience_(shared.loop, [this] { Fail(net::Reason::kNoAnswer); }),
      again_(shared.loop, [this] { Start(); }),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {}

Micros Watch::Part(Micros most) { return std::uniform_int_distribution<Micros>(0, most)(random_); }

void Watch::Start() {
  if (!calling_) Call();
}

void Watch::Stop() {
  patience_.Stop();
  again_.Stop();
  calling_ = false;
  if (stream_) stream_->Close(net::Reason::kShutdown);
}

void Watch::MoveTo(const net::Address& at) {
  Stop();
  at_ = at;
  table_.ForgetGeneration();
  moved_ = true;
  Call();
}

void Watch::Call() {
  calling_ = true;
  began_ = shared_.loop.Now();
  again_.Stop();
  const Micros hold = kHold - Part(kHoldSpread);
  patience_.Start(moved_ ? kListPatience : hold + kPatience);
  // Guards against a call on a connection that discovery has ended, or on which there is more than it was
  // asked for: that would be taken for the answer.
  if (stream_ && stream_->up() && stream_->Peek() != net::Stream::Unread::kNothing)
    stream_->Close(net::Reason::kProtocol);
  if (!stream_ || !stream_->open()) {
    if (stream_) shared_.loop.Bury(std::move(stream_));
    reader_ = std::make_unique<http::Reader>(HTTP_RESPONSE, kMostAnswer);
    stream_ =
        std::make_shared<net::Stream>(shared_, at_, kDialTimeout, "discovery " + net::ToText(at_), *this);
  }
  std::string path = "/v1/endpoints";
  if (!moved_) {
    path.append("?from=").append(std::to_string(table_.generation()));
    path.append("&hold_ms=").append(std::to_string(hold / 1000));
  }
  stream_->Write(http::WriteRequest("GET", path, {{"Host", net::ToText(at_)}}, {}));
}

void Watch::OnData(std::string_view bytes) {
  std::size_t used = 0;
  const auto state = reader_->Feed(bytes, used);
  if (state == http::ReadState::kMore) return;
  if (state != http::ReadState::kWhole || !calling_) return Fail(net::Reason::kBadMessage);
  const http::Message answer = reader_->TakeWhole();
  if (answer.status != 200) {
    return Fail(answer.keep_alive ? std::nullopt : std::optional(net::Reason::kAnswered));
  }
  Json::Value root;
  const std::unique_ptr<Json::CharReader> json(Json::CharReaderBuilder().newCharReader());
  std::optional<core::RoutesChanged> change;
  try {
    if (json->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, nullptr))
      change = table_.Take(root, moved_ ? ListKind::kWhole : ListKind::kChanges,
                           {shared_.loop.Now(), net::Loop::WallClock()});
  } catch (const Json::Exception&) {
  }
  if (!change) {
    // Changes that are older than what is known here tell nothing of what came between.
    moved_ = moved_ || table_.Older(root);
    return Fail(net::Reason::kBadMessage);
  }
  if (!answer.keep_alive) stream_->Close(net::Reason::kAnswered);
  if (used < bytes.size()) stream_->Close(net::Reason::kProtocol);  // nobody asked for what is behind it
  moved_ = false;
  Call();  // at once: a later call would start a new watch, and what changed in between go unheard
  changed_(std::move(*change));
}

void Watch::OnEnd(net::Reason) {
  if (calling_) Fail(std::nullopt);
}

void Watch::Fail(std::optional<net::Reason> reason) {
  if (reason && stream_) stream_->Close(*reason);
  patience_.Stop();
  calling_ = false;
  // Guards against a back-off that lasts longer than what is missed meanwhile may go unheard.
  const Micros next = began_ + kCallGap * 3 / 4 + Part(kCallGap / 2) - shared_.loop.Now();
  again_.Start(moved_ ? kAskAgain : std::max(next, Part(kReopen)));
  changed_({core::ListKind::kFailed, {}});
}

}  // namespace heronway::discovery
