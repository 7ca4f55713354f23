// Parses the settings text of an instance into the module's `Settings`.
#ifndef PEBBLENOTCH_ADAPTER_SETTINGS_H_
#define PEBBLENOTCH_ADAPTER_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "adapter/codec.h"
#include "pebblenotch/brain.h"

namespace pebblenotch::wire {

// A required key is missing, or the value of a key is invalid. `what()` names the key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Meaning of one value of a load report.
enum class ReportField { kWaiting, kActive, kBusy, kFreeSlots, kFreeMemory, kOther };

struct InstanceSettings {
  Settings settings;
  std::vector<ReportField> fields;  // meanings of the values of a load report, in order
};

// Parses lines of `key=value`. Unknown keys are ignored; absent optional keys keep the defaults of
// `Settings`. Throws SettingsError.
InstanceSettings ParseSettings(std::string_view text);

// Interprets the values of a load report. Returns nothing if the report has no values.
std::optional<Report> ToReport(const Metrics& metrics, const std::vector<ReportField>& fields);

}  // namespace pebblenotch::wire

#endif  // PEBBLENOTCH_ADAPTER_SETTINGS_H_
