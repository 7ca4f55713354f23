#include "src/fronts/http/message.h"

#include <strings.h>

#include <utility>

namespace heronway::http {

const std::string* Message::Find(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0)
      return &value;
  }
  return nullptr;
}

int Message::Count(std::string_view name) const {
  int n = 0;
  for (const auto& [field, value] : headers)
    n += field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0;
  return n;
}

namespace {

// Bytes that a string has allocated. Short ones are stored in the string object itself.
std::size_t AllocatedBytes(const std::string& text) {
  static const std::size_t kInPlace = std::string().capacity();
  return text.capacity() > kInPlace ? text.capacity() : 0;
}

}  // namespace

std::size_t Message::size() const {
  std::size_t sum = AllocatedBytes(method) + AllocatedBytes(target) + AllocatedBytes(body) +
                    headers.capacity() * sizeof headers.front();
  for (const auto& [field, value] : headers) sum += AllocatedBytes(field) + AllocatedBytes(value);
  return sum;
}

MessageParser::MessageParser(http_parser_type type, std::size_t max_body_bytes)
    : max_body_bytes_(max_body_bytes) {
  http_parser_init(&parser_, type);
  parser_.data = this;
}

ParseState MessageParser::Feed(std::string_view bytes, std::size_t& used) {
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = OnBegin;
    s.on_url = OnUrl;
    s.on_header_field = OnField;
    s.on_header_value = OnValue;
    s.on_headers_complete = OnHeadersComplete;
    s.on_body = OnBody;
    s.on_message_complete = OnMessageComplete;
    return s;
  }();
  used = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
  if (complete_) return ParseState::kComplete;
  if (fault_ != ParseState::kIncomplete) return fault_;
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return ParseState::kMalformed;
  if (parser_.upgrade != 0) return ParseState::kMalformed;
  return ParseState::kIncomplete;
}

ParseState MessageParser::FinishInput() {
  std::size_t used = 0;
  return Feed({}, used);
}

Message MessageParser::TakeMessage() {
  started_ = headers_complete_ = complete_ = in_value_ = false;
  head_bytes_ = 0;
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) http_parser_pause(&parser_, 0);
  return std::exchange(message_, {});
}

void MessageParser::Discard() {
  started_ = headers_complete_ = complete_ = false;
  message_ = {};
}

bool MessageParser::CountHeadBytes(std::size_t n) {
  head_bytes_ += n;
  if (head_bytes_ > kMaxHeadBytes) fault_ = ParseState::kHeadTooLarge;
  return head_bytes_ <= kMaxHeadBytes;
}

namespace {
MessageParser& Self(http_parser* p) { return *static_cast<MessageParser*>(p->data); }
}  // namespace

int MessageParser::OnBegin(http_parser* p) {
  Self(p).started_ = true;
  return 0;
}

int MessageParser::OnUrl(http_parser* p, const char* at, std::size_t n) {
  Self(p).message_.target.append(at, n);
  return Self(p).CountHeadBytes(n) ? 0 : 1;
}

int MessageParser::OnField(http_parser* p, const char* at, std::size_t n) {
  MessageParser& r = Self(p);
  if (r.headers_complete_) return r.CountHeadBytes(n) ? 0 : 1;  // ignores trailers
  if (r.message_.headers.empty() || std::exchange(r.in_value_, false)) {
    if (r.message_.headers.size() == kMaxHeaderFields) {
      r.fault_ = ParseState::kHeadTooLarge;
      return 1;
    }
    r.message_.headers.emplace_back();
  }
  r.message_.headers.back().first.append(at, n);
  return r.CountHeadBytes(n + 4) ? 0 : 1;
}

int MessageParser::OnValue(http_parser* p, const char* at, std::size_t n) {
  MessageParser& r = Self(p);
  if (r.headers_complete_) return r.CountHeadBytes(n) ? 0 : 1;
  r.in_value_ = true;
  r.message_.headers.back().second.append(at, n);
  return r.CountHeadBytes(n) ? 0 : 1;
}

int MessageParser::OnHeadersComplete(http_parser* p) {
  MessageParser& r = Self(p);
  r.headers_complete_ = true;
  r.message_.status = p->status_code;
  if (p->type == HTTP_REQUEST) {
    r.message_.method = http_method_str(static_cast<http_method>(p->method));
    const std::string* expect = r.message_.Find("Expect");
    // Prevents request smuggling: with two ways to determine where the body ends, a body could contain
    // another request.
    const std::string* coding = r.message_.Find("Transfer-Encoding");
    if (r.message_.Count("Content-Length") > 1 || r.message_.Count("Transfer-Encoding") > 1 ||
        (coding != nullptr &&
         (r.message_.Count("Content-Length") > 0 || strcasecmp(coding->c_str(), "chunked") != 0))) {
      r.fault_ = ParseState::kMalformed;
      return -1;
    }
    r.message_.expects_continue = expect != nullptr && strcasecmp(expect->c_str(), "100-continue") == 0;
  }
  if ((p->flags & F_CONTENTLENGTH) != 0 && p->content_length > r.max_body_bytes_) {
    r.fault_ = ParseState::kBodyTooLarge;
    return -1;
  }
  return 0;
}

int MessageParser::OnBody(http_parser* p, const char* at, std::size_t n) {
  MessageParser& r = Self(p);
  if (r.message_.body.size() + n > r.max_body_bytes_) {
    r.fault_ = ParseState::kBodyTooLarge;
    return 1;
  }
  r.message_.body.append(at, n);
  return 0;
}

int MessageParser::OnMessageComplete(http_parser* p) {
  MessageParser& r = Self(p);
  if (p->type == HTTP_RESPONSE && p->status_code / 100 == 1) {  // interim response; the final one follows
    r.TakeMessage();
    return 0;
  }
  r.message_.keep_alive = http_should_keep_alive(p) != 0;
  r.complete_ = true;
  http_parser_pause(p, 1);
  return 0;
}

namespace {

const char* ReasonPhrase(unsigned status) {
  switch (status) {
#define HERONWAY_REASON_PHRASE(code, name, text) \
  case code:                                     \
    return #text;
    HTTP_STATUS_MAP(HERONWAY_REASON_PHRASE)
#undef HERONWAY_REASON_PHRASE
    default:
      return "Unknown";
  }
}

void AppendHeadersAndBody(std::string& out, const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body) {
  for (const auto& [field, value] : headers) out.append(field).append(": ").append(value).append("\r\n");
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

}  // namespace

std::string FormatResponse(unsigned status, bool keep_alive,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           std::string_view body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  if (!keep_alive) out.append("Connection: close\r\n");
  AppendHeadersAndBody(out, headers, body);
  return out;
}

std::string FormatRequest(std::string_view method, std::string_view target,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeadersAndBody(out, headers, body);
  return out;
}

}  // namespace heronway::http
