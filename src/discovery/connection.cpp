#include "src/discovery/connection.h"

#include <string>
#include <utility>

namespace heronway::discovery {
namespace {

constexpr Micros kDialTimeout = 1'000'000;

std::string PathOf(const CallRequest& call) {
  std::string path = "/v1/endpoints";
  if (call.full_list) return path;
  constexpr Micros kMicrosPerMs = 1'000;
  path.append("?from=").append(std::to_string(call.generation));
  path.append("&hold_ms=").append(std::to_string(call.hold / kMicrosPerMs));
  return path;
}

}  // namespace

const char* Code(CallError error) {
  switch (error) {
    case CallError::kConnectFailed:
      return "connect_failed";
    case CallError::kEnded:
      return "connection_ended";
    case CallError::kStatus:
      return "status";
    case CallError::kNoAnswer:
      return "no_answer";
    case CallError::kBadMessage:
      return "bad_message";
    case CallError::kOldAnswer:
      return "old_answer";
  }
  return "unknown";
}

Connection::Connection(net::StreamContext& context, const net::Address& address, Owner& owner)
    : address_(address),
      owner_(owner),
      parser_(HTTP_RESPONSE, kMaxAnswerBytes),
      stream_(std::make_shared<net::Stream>(context, address, kDialTimeout,
                                            "discovery " + net::ToText(address), *this)) {}

void Connection::Send(const CallRequest& call) {
  call_ = call;
  outstanding_ = true;
  answer_began_ = false;
  stream_->Write(http::FormatRequest("GET", PathOf(call), {{"Host", net::ToText(address_)}}, {}));
}

bool Connection::Idle() const {
  return !outstanding_ && stream_->connected() && stream_->Peek() == net::Stream::Unread::kNothing;
}

void Connection::Close(net::Reason reason) {
  outstanding_ = false;
  if (stream_->open()) stream_->Close(reason);
}

void Connection::Fail(CallError error, net::Reason reason) {
  const bool was_outstanding = std::exchange(outstanding_, false);
  Close(reason);
  if (was_outstanding) owner_.OnCallFailed(*this, error);
}

void Connection::OnData(std::string_view bytes) {
  answer_began_ = true;
  std::size_t used = 0;
  const auto state = parser_.Feed(bytes, used);
  if (state == http::ParseState::kIncomplete) return;
  if (state != http::ParseState::kComplete || !outstanding_)
    return Fail(CallError::kBadMessage, net::Reason::kBadMessage);
  outstanding_ = false;
  const http::Message answer = parser_.TakeMessage();
  if (!answer.keep_alive) Close(net::Reason::kAnswered);
  if (used < bytes.size()) Close(net::Reason::kProtocol);  // unrequested bytes follow the answer
  owner_.OnAnswer(*this, answer);
}

void Connection::OnEnd(net::Reason reason) {
  if (!std::exchange(outstanding_, false)) return;
  owner_.OnCallFailed(*this,
                      reason == net::Reason::kConnectFailed ? CallError::kConnectFailed : CallError::kEnded);
}

}  // namespace heronway::discovery
