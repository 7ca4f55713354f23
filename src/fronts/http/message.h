// HTTP/1.1 messages: read with http-parser within fixed limits, and written.
#ifndef HERONWAY_FRONTS_HTTP_MESSAGE_H_
#define HERONWAY_FRONTS_HTTP_MESSAGE_H_

#include <http_parser.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heronway::http {

inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;

struct Message {
  std::string method, target;  // of a request
  unsigned status = 0;         // of an answer
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool keep_alive = false;
  bool expects_continue = false;

  // The value of a header, whatever its case; null where there is none.
  const std::string* Find(std::string_view name) const;
  int Count(std::string_view name) const;
  std::size_t size() const;  // bytes held
};

enum class ParseState { kIncomplete, kComplete, kMalformed, kHeadTooLarge, kBodyTooLarge };

class MessageParser {
 public:
  MessageParser(http_parser_type type, std::size_t most_body);
  // Takes bytes up to the end of a message and says how many.
  ParseState Feed(std::string_view bytes, std::size_t& used);
  ParseState FinishInput();  // the peer has closed: an answer without a length is whole then
  Message TakeMessage();     // and makes ready for the next
  void Drop();               // what has been read so far; nothing more may be fed
  bool begun() const { return begun_; }
  bool head_done() const { return head_done_; }
  const Message& message() const { return message_; }

 private:
  static int OnBegin(http_parser* p);
  static int OnUrl(http_parser* p, const char* at, std::size_t n);
  static int OnField(http_parser* p, const char* at, std::size_t n);
  static int OnValue(http_parser* p, const char* at, std::size_t n);
  static int OnHeadDone(http_parser* p);
  static int OnBody(http_parser* p, const char* at, std::size_t n);
  static int OnWhole(http_parser* p);
  bool Count(std::size_t n);

  http_parser parser_;
  std::size_t most_body_;
  std::size_t head_bytes_ = 0;
  Message message_;
  bool begun_ = false, head_done_ = false, whole_ = false, in_value_ = false;
  ParseState fault_ = ParseState::kIncomplete;
};

// The bytes of an answer or a request. Content-Length is added where there may be a body.
std::string FormatResponse(unsigned status, bool keep_alive,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           std::string_view body);
std::string FormatRequest(std::string_view method, std::string_view target,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          std::string_view body);

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_MESSAGE_H_
