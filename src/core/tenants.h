// What became of each tenant's requests: a fixed table, however many names clients send.
#ifndef HERONWAY_CORE_TENANTS_H_
#define HERONWAY_CORE_TENANTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace heronway::core {

class Tenants {
 public:
  static constexpr std::size_t kMost = 1024;   // with a row of their own; all later ones share the first row
  static constexpr std::size_t kLongest = 64;  // bytes of a name that tell; the rest is cut
  struct Row {
    std::string name;
    std::uint64_t taken = 0, served = 0, shed = 0, failed = 0, gone = 0;
  };
  using Place = std::uint32_t;
  static constexpr Place kNone = ~0U;

  Tenants() { rows_.push_back({"(others)"}); }

  // The tenant's row. `name` is the client's to choose: what is not plain text is written as '?'.
  Place Of(std::string_view name) {
    std::string kept(name.substr(0, kLongest));
    for (char& c : kept) c = c > 0x20 && c < 0x7f ? c : '?';
    if (const auto known = places_.find(kept); known != places_.end()) return known->second;
    if (rows_.size() > kMost) return 0;
    rows_.push_back({kept});
    return places_.emplace(rows_.back().name, static_cast<Place>(rows_.size() - 1)).first->second;
  }
  Row& At(Place place) { return rows_[place]; }
  const std::deque<Row>& rows() const { return rows_; }  // in the order in which they came

 private:
  std::deque<Row> rows_;
  std::unordered_map<std::string_view, Place> places_;
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_TENANTS_H_
