// Tests of the simulator's protocol on exact bytes, and of InstanceHost.
#include "adapter/codec.h"

#include <gtest/gtest.h>

#include <string>

#include "adapter/instance_host.h"

namespace pebblenotch::wire {
namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes Hex(std::string_view text) {
  Bytes bytes;
  int high = -1;
  for (const char c : text) {
    if (c == ' ') continue;
    const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
    if (high < 0) {
      high = digit;
    } else {
      bytes.push_back(static_cast<std::uint8_t>(high * 16 + digit));
      high = -1;
    }
  }
  return bytes;
}

Bytes Frame(std::uint32_t records, const Bytes& body) {
  Bytes frame(16, 0);
  const auto length = static_cast<std::uint32_t>(16 + body.size());
  for (int i = 0; i < 4; ++i) {
    frame[static_cast<std::size_t>(i)] = static_cast<std::uint8_t>(length >> (8 * i));
    frame[static_cast<std::size_t>(4 + i)] = static_cast<std::uint8_t>(records >> (8 * i));
  }
  frame[8] = 9;
  frame.insert(frame.end(), body.begin(), body.end());
  return frame;
}

template <typename T>
T One(std::string_view hex) {
  const Bytes frame = Frame(1, Hex(hex));
  FrameReader reader(frame);
  Record record;
  EXPECT_TRUE(reader.Next(record));
  EXPECT_TRUE(std::holds_alternative<T>(record));
  Record none;
  EXPECT_FALSE(reader.Next(none));
  return std::get<T>(record);
}

// One record of each event code.
const std::string_view kEvents[] = {
    "0c 0300",
    "00 0807060504030201 03000000 613d31",
    "01 02 2900000000000000 00000000",
    "02 c4913a5d55590500 00000040 0000c03f 00 01 640ad2557c3bf091 da05840000000000 e02e0000 0100",
    "03 c4913a5d55590500 44480000 0a124a072b23 01",
    "04 c4913a5d55590500 02 0a124a072b23 03 44480000 01 00 03 cdcccc3e 00004040 52b81e3f",
    "05 192b6f0e226a0200",
    "06 4d000000",
    "07 44480000 0a124a072b23 00 01 0000803f",
    "08 05000000 0200 6869",
    "09",
    "0a 01000000 02000000 0000000000000000 0a124a072b23 00 0000803f 01 00 0000"
    "20145d0000000000 0a9011f25423 03 0000c03f 02 01 0400",
    "0b c4913a5d55590500 01 0a124a072b23 02 0000003f",
};

TEST(Codec, ReadsEveryEvent) {
  EXPECT_EQ(One<TargetInstance>(kEvents[0]).node, 3);
  const Bytes boot_frame = Frame(1, Hex(kEvents[1]));
  FrameReader boot_reader(boot_frame);
  Record boot;
  ASSERT_TRUE(boot_reader.Next(boot));
  EXPECT_EQ(std::get<Boot>(boot).seed, 0x0102030405060708u);
  EXPECT_EQ(std::get<Boot>(boot).params, "a=1");
  EXPECT_EQ(One<MembershipRef>(kEvents[2]).kind, ListKind::kCached);
  const auto request = One<Request>(kEvents[3]);
  EXPECT_EQ(request.id, 0x000559555d3a91c4u);
  EXPECT_EQ(request.slots, 2.0);
  EXPECT_EQ(request.memory, 1.5);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64u);
  EXPECT_EQ(request.deadline, 0x8405da);
  EXPECT_EQ(request.hint, 12000);
  EXPECT_EQ(request.tenant, 1);
  EXPECT_EQ(One<StreamStarted>(kEvents[4]).attempt, 1);
  const auto outcome = One<RawOutcome>(kEvents[5]);
  EXPECT_EQ(outcome.outcome.attempt, 2);
  EXPECT_EQ(outcome.outcome.worker, 0x232b074a120au);
  EXPECT_EQ(outcome.outcome.result, Result::kTimeout);
  EXPECT_EQ(outcome.outcome.latency, 0x4844);
  EXPECT_TRUE(outcome.outcome.finished);
  ASSERT_EQ(outcome.metrics.count, 3u);
  EXPECT_FLOAT_EQ(outcome.metrics.values[1], 3.0F);
  EXPECT_EQ(One<ClientGone>(kEvents[6]).id, 0x00026a220e6f2b19u);
  EXPECT_EQ(One<TimerDue>(kEvents[7]).label, 77u);
  const auto probe = One<RawProbeResult>(kEvents[8]);
  EXPECT_EQ(probe.result.worker, 0x232b074a120au);
  EXPECT_EQ(probe.metrics.count, 1u);
  One<PeerData>(kEvents[9]);
  One<Stop>(kEvents[10]);
  const auto roster = One<Roster>(kEvents[11]);
  EXPECT_EQ(roster.slot, 1u);
  ASSERT_EQ(roster.workers.size(), 2u);
  EXPECT_EQ(roster.workers[0].id, 0x232b074a120au);
  EXPECT_EQ(roster.workers[1].started_at, 0x5d1420);
  EXPECT_EQ(roster.workers[1].zone, 3);
  EXPECT_EQ(roster.workers[1].weight, 1.5);
  EXPECT_EQ(roster.workers[1].state, WorkerState::kDraining);
  EXPECT_EQ(roster.workers[1].kind, 1);
  EXPECT_EQ(roster.workers[1].cell, 4);
  const auto progress = One<AttemptProgress>(kEvents[12]);
  EXPECT_EQ(progress.attempt, 1);
  EXPECT_FALSE(progress.started);
  EXPECT_FLOAT_EQ(static_cast<float>(progress.share_done), 0.5F);
}

TEST(Codec, RejectsEveryTruncationOfAFrame) {
  for (const auto event : kEvents) {
    const Bytes body = Hex(event);
    for (std::size_t keep = 0; keep < body.size(); ++keep) {
      const Bytes frame = Frame(1, Bytes(body.begin(), body.begin() + static_cast<std::ptrdiff_t>(keep)));
      EXPECT_THROW(
          {
            FrameReader reader(frame);
            Record record;
            reader.Next(record);
          },
          WireError);
    }
  }
}

TEST(Codec, RejectsMalformedFrames) {
  const auto read = [](Bytes frame) {
    FrameReader reader(frame);
    Record record;
    while (reader.Next(record)) {
    }
  };
  EXPECT_THROW(read(Frame(1, Hex("63"))), WireError);                       // unknown code
  EXPECT_THROW(read(Frame(1, Hex("09 09"))), WireError);                    // bytes left over
  EXPECT_THROW(read(Frame(9, Hex("09"))), WireError);                       // more records than bytes
  EXPECT_THROW(read(Frame(1, Hex("0a 00000000 ffffffff 00"))), WireError);  // a count that does not fit
  EXPECT_THROW(read(Frame(1, Hex("0a 10000000 00000000"))), WireError);     // a roster slot out of range
  EXPECT_THROW(read(Frame(1, Hex("01 04 2900000000000000 00000000"))), WireError);
  EXPECT_THROW(read(Frame(1, Hex("07 44480000 0a124a072b23 08 00"))), WireError);  // unknown outcome
  try {
    read(Frame(2, Hex("09 63")));
    FAIL();
  } catch (const WireError& e) {
    EXPECT_STREQ(e.what(), "unknown record code at byte 17");
  }
}

TEST(Codec, WritesEveryAction) {
  ReplyWriter out;
  const auto body = [&out](const Action& action) {
    out.Clear();
    out.Write(action);
    const auto frame = out.Finish();
    return Bytes(frame.begin() + 8, frame.end());
  };
  const RequestId id = 0x000559555d3a91c4;
  EXPECT_EQ(body(Push{id, 0x232b074a120a, 80000}), Hex("00 c4913a5d55590500 80380100 0a124a072b23"));
  EXPECT_EQ(body(Push{id, 0x232b074a120a, -1}), Hex("00 c4913a5d55590500 00000000 0a124a072b23"));
  EXPECT_EQ(body(Shed{id, 5}), Hex("01 c4913a5d55590500 05000000"));
  EXPECT_EQ(body(Fail{id}), Hex("02 c4913a5d55590500"));
  EXPECT_EQ(body(Cancel{id, 2}), Hex("03 c4913a5d55590500 02"));
  EXPECT_EQ(body(ArmTimer{0x87fd7a, 77}), Hex("04 7afd870000000000 4d000000"));
  EXPECT_EQ(body(Probe{0x232b074a120a}), Hex("05 0a124a072b23"));
  EXPECT_EQ(body(Subscribe{}), Hex("0a 01"));
  out.Clear();
  out.WriteInstance(3);
  out.WriteFailure("no");
  const auto frame = out.Finish();
  EXPECT_EQ(Bytes(frame.begin(), frame.end()), Hex("02000000 10000000 0c 0300 09 0200 6e6f"));
}

constexpr std::string_view kSettings =
    "classes.count=1\nclasses.0.aim=400000\nclasses.0.deadline=10000000\nclasses.0.idempotency=idempotent\n"
    "limits.maxAttempts=3\nrules.coldFrom=0.3\nrules.warmUp=8900000\nrules.overloadFactor=4\nrules.fall="
    "1500000\n";

Bytes BootRecord(std::string_view params) {
  Bytes boot = Hex("00 0100000000000000");
  for (int i = 0; i < 4; ++i) boot.push_back(static_cast<std::uint8_t>(params.size() >> (8 * i)));
  boot.insert(boot.end(), params.begin(), params.end());
  return boot;
}
void Append(Bytes& to, const Bytes& more) { to.insert(to.end(), more.begin(), more.end()); }

TEST(InstanceHost, RestartsAnInstanceInOneFrameAndReplies) {
  InstanceHost host;
  Bytes body = Hex("0c 0300");
  Append(body, BootRecord(kSettings));
  Append(body, Hex("09"));
  Append(body, BootRecord(kSettings));
  Append(body, Hex("0a 00000000 01000000 0000000000000000 0a124a072b23 00 0000803f 01 00 0000"));
  Append(body, Hex("01 02 0100000000000000 00000000"));
  Append(body,
         Hex("02 0700000000000000 0000803f 00000000 00 00 0000000000000000 8096980000000000 00000000 0000"));
  const auto reply = host.Process(Frame(7, body));
  const Bytes got(reply.begin() + 8, reply.end());
  ASSERT_GE(got.size(), 22u);
  EXPECT_EQ(Bytes(got.begin(), got.begin() + 22), Hex("0c 0300 00 0700000000000000 00000000 0a124a072b23"));
}

TEST(InstanceHost, ReportsInvalidSettings) {
  InstanceHost host;
  Bytes body = Hex("0c 0300");
  Append(body, BootRecord("classes.count=1\n"));
  const auto reply = host.Process(Frame(2, body));
  const std::string text(reply.begin(), reply.end());
  EXPECT_NE(text.find("classes.0.aim is missing"), std::string::npos);
}

TEST(InstanceHost, IgnoresEventsOfAStoppedInstance) {
  InstanceHost host;
  const auto reply = host.Process(Frame(2, Hex("0c 0900 06 4d000000")));
  EXPECT_EQ(Bytes(reply.begin(), reply.end()), Hex("00000000 08000000"));
}

}  // namespace
}  // namespace pebblenotch::wire
