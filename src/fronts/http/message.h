// HTTP/1.1 messages: an incremental parser with size limits (based on http-parser) and formatting functions.
#ifndef HERONWAY_FRONTS_HTTP_MESSAGE_H_
#define HERONWAY_FRONTS_HTTP_MESSAGE_H_

#include <http_parser.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heronway::http {

// Limits of a message: its body, and its request target together with its headers.
inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
// Header fields of a message. Each takes memory of its own, however short it is.
inline constexpr std::size_t kMaxHeaderFields = 256;

// A parsed request or response.
struct Message {
  std::string method, target;  // requests only
  unsigned status = 0;         // responses only
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keep_alive = false;
  bool expects_continue = false;

  // Returns the first value of a header, comparing names case-insensitively, or null if it is absent.
  const std::string* Find(std::string_view name) const;
  int Count(std::string_view name) const;  // occurrences of a header
  std::size_t size() const;                // bytes of memory that its parts have allocated
};

enum class ParseState { kIncomplete, kComplete, kMalformed, kHeadTooLarge, kBodyTooLarge };

// Parses the messages of one connection, one after the other.
class MessageParser {
 public:
  // `max_body_bytes`: a larger body is reported as kBodyTooLarge.
  MessageParser(http_parser_type type, std::size_t max_body_bytes);
  // Consumes bytes up to the end of the current message and sets `used` to their number.
  ParseState Feed(std::string_view bytes, std::size_t& used);
  // Signals that the peer has closed the connection, which completes a response without a length.
  ParseState FinishInput();
  Message TakeMessage();  // Returns the complete message and prepares for the next one.
  void Discard();         // Discards the partial message. Feed must not be called afterwards.
  bool started() const { return started_; }
  bool headers_complete() const { return headers_complete_; }
  const Message& message() const { return message_; }

 private:
  static int OnBegin(http_parser* p);
  static int OnUrl(http_parser* p, const char* at, std::size_t n);
  static int OnField(http_parser* p, const char* at, std::size_t n);
  static int OnValue(http_parser* p, const char* at, std::size_t n);
  static int OnHeadersComplete(http_parser* p);
  static int OnBody(http_parser* p, const char* at, std::size_t n);
  static int OnMessageComplete(http_parser* p);
  bool CountHeadBytes(std::size_t n);

  http_parser parser_;
  std::size_t max_body_bytes_;
  std::size_t head_bytes_ = 0;
  Message message_;
  bool started_ = false, headers_complete_ = false, complete_ = false, in_value_ = false;
  ParseState fault_ = ParseState::kIncomplete;
};

// Format a response or a request. A Content-Length header is always added.
std::string FormatResponse(unsigned status, bool keep_alive,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           std::string_view body);
std::string FormatRequest(std::string_view method, std::string_view target,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body);

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_MESSAGE_H_
