// Request counts per tenant, in a table whose size is bounded however many names clients send.
#ifndef HERONWAY_CORE_TENANTS_H_
#define HERONWAY_CORE_TENANTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace heronway::core {

// Counts the requests of each tenant. Not thread-safe.
class TenantTable {
 public:
  static constexpr std::size_t kMaxNamedTenants =
      1024;                                         // tenants with a row of their own; later ones share row 0
  static constexpr std::size_t kMaxNameBytes = 64;  // longer names are truncated
  struct Row {
    std::string name;
    std::uint64_t taken = 0, served = 0, shed = 0, failed = 0, disconnected = 0;
  };
  using RowIndex = std::uint32_t;
  static constexpr RowIndex kNone = ~0U;

  TenantTable() { rows_.push_back({"(others)"}); }

  // Returns the tenant's row and adds one if it is new. Clients choose `name`, so bytes outside printable
  // ASCII, and spaces, are replaced by '?'.
  RowIndex IndexOf(std::string_view name) {
    std::string kept(name.substr(0, kMaxNameBytes));
    for (char& c : kept) c = c > 0x20 && c < 0x7f ? c : '?';
    if (const auto known = indexes_.find(kept); known != indexes_.end()) return known->second;
    if (rows_.size() > kMaxNamedTenants) return 0;
    rows_.push_back({kept});
    return indexes_.emplace(rows_.back().name, static_cast<RowIndex>(rows_.size() - 1)).first->second;
  }
  Row& At(RowIndex index) { return rows_[index]; }
  const std::deque<Row>& rows() const { return rows_; }  // in order of first appearance

 private:
  std::deque<Row> rows_;
  std::unordered_map<std::string_view, RowIndex> indexes_;
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_TENANTS_H_
