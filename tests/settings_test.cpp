// Tests of the settings text of an instance.
#include "adapter/settings.h"

#include <gtest/gtest.h>

#include <string>

namespace pebblenotch::wire {
namespace {

const std::string kRequired =
    "classes.count=2\nclasses.0.aim=400000\nclasses.0.deadline=10000000\nclasses.0.idempotency=idempotent\n"
    "classes.1.aim=2500000\nclasses.1.deadline=25000000\nclasses.1.idempotency=deduplicated\n"
    "limits.maxAttempts=6\nrules.coldFrom=0.3\nrules.warmUp=8900000\nrules.overloadFactor=4.0\nrules.fall="
    "1500000\n";

TEST(SettingsText, ReadsKeysAndKeepsDefaultsForAbsentOnes) {
  const auto parsed = ParseSettings(
      kRequired +
      "classes.1.keyScope=all\nclasses.1.keyTtl=40000000\nclasses.1.lateWorth=0.25\nclasses.1.value=3.0\n"
      "familyInfo.classKind=-1,1\nfamilyInfo.classStretch=2.0,1.5\nfamilyInfo.reportX0=free_slots\n"
      "kinds=a,b,c\ndcs=x,y\naz=1\npeersTotal=7\nlimits.probes=true\nlimits.secondCopies=true\n"
      "loadInfo.how=inline\nloadInfo.fields=x0,waiting,cpu,x1\nregistryMode=ask\nrules.askEvery=10000000\n"
      "tenants.count=1\ntenants.0.allowancePerS=8.5\noverShareWorth=0.05\nsomething.new=1\nnot a pair\n");
  const Settings& s = parsed.settings;
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].aim, 400000);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(s.classes[0].kind, -1);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::kDeduplicated);
  EXPECT_EQ(s.classes[1].dedup_scope, DedupScope::kAll);
  EXPECT_EQ(s.classes[1].key_ttl, 40000000);
  EXPECT_EQ(s.classes[1].late_worth, 0.25);
  EXPECT_EQ(s.classes[1].worth, 3.0);
  EXPECT_EQ(s.classes[1].kind, 1);
  EXPECT_EQ(s.classes[1].aim_stretch, 1.5);
  EXPECT_EQ(s.kinds, 3);
  EXPECT_EQ(s.zones, 2);
  EXPECT_EQ(s.zone, 1);
  EXPECT_EQ(s.nodes, 7);
  EXPECT_TRUE(s.may_probe);
  EXPECT_TRUE(s.concurrent_attempts);
  EXPECT_FALSE(s.may_cancel);
  EXPECT_TRUE(s.must_subscribe);
  EXPECT_TRUE(s.reports_in_answers);
  EXPECT_EQ(s.tenants.at(0).allowance_per_s, 8.5);
  EXPECT_EQ(parsed.fields, (std::vector<ReportField>{ReportField::kFreeSlots, ReportField::kWaiting,
                                                     ReportField::kBusy, ReportField::kOther}));
  Metrics metrics;
  EXPECT_FALSE(ToReport(metrics, parsed.fields).has_value());
  metrics = {3, {4, 2, 0.5}};
  const auto report = ToReport(metrics, parsed.fields);
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->free_slots, 4.0);
  EXPECT_EQ(report->waiting, 2.0);
  EXPECT_FALSE(report->free_memory.has_value());
}

TEST(SettingsText, NamesARequiredKeyThatIsMissingOrInvalid) {
  std::size_t at = 0;
  while (at < kRequired.size()) {
    const auto end = kRequired.find('\n', at);
    const auto line = kRequired.substr(at, end - at);
    const auto key = line.substr(0, line.find('='));
    auto without = kRequired, broken = kRequired;
    without.erase(at, end - at + 1);
    broken.replace(at, end - at, key + "=1x");
    for (const auto& text : {without, broken}) {
      try {
        ParseSettings(text);
        ADD_FAILURE() << key << " is required";
      } catch (const SettingsError& e) {
        EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
      }
    }
    at = end + 1;
  }
}

TEST(SettingsText, RejectsImplausibleCounts) {
  EXPECT_THROW(ParseSettings("classes.count=1e12\n"), SettingsError);
  EXPECT_THROW(ParseSettings("classes.count=-1\n"), SettingsError);
}

}  // namespace
}  // namespace pebblenotch::wire
