// Reference implementation of the rule language: interprets the checked syntax tree. Slow, allocating, and
// independent of the compiler, so that tests can compare the two.
#ifndef HERONWAY_TESTS_MATCH_TREE_INTERPRETER_H_
#define HERONWAY_TESTS_MATCH_TREE_INTERPRETER_H_

#include <re2/re2.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "src/match/ast.h"

namespace heronway::match {

class TreeInterpreter {
 public:
  explicit TreeInterpreter(const Request& request) : r(request) {}

  Value Eval(const Node& n) {
    const auto child = [&](std::size_t i) { return Eval(*n.children[i]); };
    switch (n.kind) {
      case NodeKind::kLiteral:
        return n.value;
      case NodeKind::kName:
        return Name(n);
      case NodeKind::kLet: {
        lets_.emplace_back(n.children[0].get(), child(0));
        const Value v = child(1);
        lets_.pop_back();
        return v;
      }
      case NodeKind::kAnd:
        return child(0).number != 0 ? child(1) : Of(false);
      case NodeKind::kOr:
        return child(0).number != 0 ? Of(true) : child(1);
      case NodeKind::kNot:
        return Of(child(0).number == 0);
      case NodeKind::kPresent:
        return Of(child(0).present);
      case NodeKind::kOrElse: {
        const Value a = child(0);
        return a.present ? a : child(1);
      }
      case NodeKind::kNegate: {
        const Value a = child(0);
        return Sum(a.present, -static_cast<long double>(a.number));
      }
      case NodeKind::kAdd: {
        const Value a = child(0), b = child(1);
        if (n.text == "*") {  // a product may have twice the bits
          __extension__ typedef __int128 Wide;
          const auto z = static_cast<Wide>(a.number) * b.number;
          return Sum(a.present && b.present, z > kMaxInt ? 0x1p63L : z < kMinInt ? -0x1p63L : z);
        }
        const long double x = a.number, y = b.number;
        return Sum(a.present && b.present, n.text == "+" ? x + y : x - y);
      }
      case NodeKind::kCompare:
        return Compare(n, child(0), child(1));
      case NodeKind::kIn:
        return In(n, child(0));
      case NodeKind::kCall:
        return Call(n);
      default:
        return {};
    }
  }

 private:
  static constexpr auto kMaxInt = std::numeric_limits<std::int64_t>::max();
  static constexpr auto kMinInt = std::numeric_limits<std::int64_t>::min();
  static Value Of(bool b) {
    Value v;
    v.number = b ? 1 : 0;
    return v;
  }
  static Value Text(std::string_view text) {
    Value v;
    v.text = text;
    return v;
  }
  static Value Missing() {
    Value v;
    v.present = false;
    return v;
  }
  // A long double holds 64 bits, so sums are exact where they fit.
  static Value Sum(bool present, long double z) {
    Value v;
    v.present = present;
    v.number = z >= 0x1p63L ? kMaxInt : z < -0x1p63L ? kMinInt : static_cast<std::int64_t>(z);
    return v;
  }
  static Value Maybe(std::string_view text) { return text.empty() ? Missing() : Text(text); }

  Value Name(const Node& n) {
    for (auto it = lets_.rbegin(); it != lets_.rend(); ++it) {
      if (it->first == n.resolved) return it->second;
    }
    if (n.resolved != nullptr) return Eval(*n.resolved);
    if (n.text == "path") return Text(r.path);
    if (n.text == "front") return Text(r.front);
    if (n.text == "jobtype") return Maybe(r.jobtype);
    if (n.text == "queue") return Maybe(r.queue);
    Value v;
    v.address = r.peer;
    v.number = n.text == "body_bytes" ? r.body_bytes : n.text == "deadline" ? r.deadline : r.is_retry ? 1 : 0;
    return v;
  }

  Value Compare(const Node& n, const Value& a, const Value& b) const {
    if (!a.present || !b.present) return Of(false);
    const int c = n.children[0]->type.type == Type::kString ? a.text.compare(b.text)
                  : a.number < b.number                     ? -1
                  : a.number > b.number                     ? 1
                                                            : 0;
    return Of(n.text == "=="   ? c == 0
              : n.text == "!=" ? c != 0
              : n.text == "<"  ? c < 0
              : n.text == "<=" ? c <= 0
              : n.text == ">"  ? c > 0
                               : c >= 0);
  }

  static bool InNetwork(const AddressBytes& a, const AddressBytes& network, int bits) {
    for (int i = 0; i < bits; ++i) {
      const auto byte = static_cast<std::size_t>(i / 8);
      if (((a[byte] ^ network[byte]) >> (7 - i % 8) & 1) != 0) return false;
    }
    return true;
  }
  static bool Holds(const Node& entry, const Value& a) {
    return entry.type.type == Type::kString    ? entry.text == a.text
           : entry.type.type == Type::kAddress ? InNetwork(a.address, entry.value.address, entry.bits)
                                               : entry.value.number == a.number;
  }
  Value In(const Node& n, const Value& a) const {
    const Node& set = n.children[1]->resolved != nullptr ? *n.children[1]->resolved : *n.children[1];
    if (!a.present) return Of(false);
    if (set.kind == NodeKind::kRange)
      return Of(a.number >= set.children[0]->value.number && a.number <= set.children[1]->value.number);
    if (set.kind == NodeKind::kNetwork) return Of(Holds(set, a));
    bool in = false;
    for (std::size_t i = 0; i < set.children.size(); i += set.kind == NodeKind::kMap ? 2 : 1)
      in = in || Holds(*set.children[i], a);
    return Of(in);
  }

  // All parts of a text, cut at each `by`.
  static std::vector<std::string_view> Cut(std::string_view text, std::string_view by) {
    std::vector<std::string_view> out;
    for (;;) {
      const auto end = text.find(by);
      out.push_back(text.substr(0, end));
      if (end == text.npos) return out;
      text.remove_prefix(end + by.size());
    }
  }
  static Value Part(const std::vector<std::string_view>& parts, std::int64_t n) {
    return n <= static_cast<std::int64_t>(parts.size()) ? Text(parts[static_cast<std::size_t>(n - 1)])
                                                        : Missing();
  }

  // Without backtracking over more than the last star: what was passed over is not tried again.
  static bool Glob(std::string_view text, std::string_view glob) {
    std::size_t t = 0, g = 0, star = glob.npos, from = 0;
    while (t < text.size()) {
      if (g < glob.size() && glob[g] == '*') {
        star = g++;
        from = t;
      } else if (g < glob.size() && (glob[g] == '?' || glob[g] == text[t])) {
        ++g;
        ++t;
      } else if (star != glob.npos) {
        g = star + 1;
        t = ++from;
      } else {
        return false;
      }
    }
    return glob.find_first_not_of('*', g) == glob.npos;
  }

  Value OfRequest(const Node& n) const {
    const std::string& name = n.children[0]->text;
    if (n.text == "segment") {
      std::string_view path = r.path;
      if (path.starts_with("/")) path.remove_prefix(1);
      const Value v = Part(Cut(path, "/"), n.children[0]->value.number);
      return v.present ? Maybe(v.text) : v;
    }
    if (n.text == "query") {
      for (const std::string_view pair : Cut(r.query, "&")) {
        const auto eq = pair.find('=');
        if (!pair.empty() && pair.substr(0, eq) == name)
          return Text(eq == pair.npos ? "" : pair.substr(eq + 1));
      }
      return Missing();
    }
    const auto same = [&](const std::string& a) {
      if (n.text == "custom") return a == name;
      return std::equal(a.begin(), a.end(), name.begin(), name.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
      });
    };
    for (const auto& [a, value] : n.text == "custom" ? r.custom : r.headers) {
      if (same(a)) return Text(value);
    }
    return Missing();
  }

  Value Call(const Node& n) {
    if (n.text == "segment" || n.text == "header" || n.text == "query" || n.text == "custom")
      return OfRequest(n);
    if (n.text == "lookup") {
      const Value key = Eval(*n.children[1]);
      const auto& children = n.children[0]->resolved->children;
      for (std::size_t i = 0; key.present && i < children.size(); i += 2) {
        if (Holds(*children[i], key)) return children[i + 1]->value;
      }
      return Missing();
    }
    const Value a = Eval(*n.children[0]);
    const std::string_view with = n.children.size() > 1 ? std::string_view(n.children[1]->text) : "";
    Value v;
    v.present = a.present;
    if (n.text == "length") {
      v.number = static_cast<std::int64_t>(a.text.size());
    } else if (n.text == "hash") {
      v.number = static_cast<std::int64_t>(XXH64(a.text.data(), a.text.size(), 0));
    } else if (n.text == "lower") {
      kept_.emplace_back(a.text);
      for (char& c : kept_.back()) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      v.text = kept_.back();
    } else if (n.text == "split") {
      if (!a.present || with.empty()) return Missing();
      return Part(Cut(a.text, with), n.children[2]->value.number);
    } else if (n.text == "int" || n.text == "hex") {
      const char* end = a.text.data() + a.text.size();
      std::uint64_t bits = 0;
      const auto got = n.text == "int" ? std::from_chars(a.text.data(), end, v.number)
                                       : std::from_chars(a.text.data(), end, bits, 16);
      if (n.text == "hex") v.number = static_cast<std::int64_t>(bits);
      if (!a.present || got.ec != std::errc() || got.ptr != end) return Missing();
    } else if (n.text == "glob") {
      return Of(a.present && Glob(a.text, with));
    } else if (n.text == "matches") {
      RE2::Options latin(RE2::Latin1);
      latin.set_log_errors(false);
      return Of(a.present &&
                RE2::PartialMatch({a.text.data(), a.text.size()}, RE2(n.children[1]->text, latin)));
    } else {
      return Of(a.present && (n.text == "prefix"   ? a.text.starts_with(with)
                              : n.text == "suffix" ? a.text.ends_with(with)
                                                   : a.text.find(with) != a.text.npos));
    }
    return v;
  }

  const Request& r;
  std::vector<std::pair<const Node*, Value>> lets_;
  std::deque<std::string> kept_;
};

}  // namespace heronway::match

#endif  // HERONWAY_TESTS_MATCH_TREE_INTERPRETER_H_
