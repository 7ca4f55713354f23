// Fuzzes the replicated log's codec and message handling. Whatever decodes must round-trip, and a leader and
// a follower must handle any decoded message without losing or changing committed entries.
#include <cstdlib>

#include "src/cluster/log/codec.h"
#include "src/cluster/log/log.h"

namespace {

using namespace heronway::cluster::log;

void Sync(Log& log, Micros now, std::vector<Effect>& effects) {
  for (std::size_t i = 0; i < effects.size(); ++i) {
    if (const auto* p = std::get_if<Persist>(&effects[i])) {
      const std::uint64_t number = p->number;
      log.Handle(now, Persisted{number}, effects);
    }
  }
  effects.clear();
}

// A leader of a group of two with one committed entry, or a follower with one committed entry of two.
Log Make(bool leads) {
  auto initial = std::make_shared<Snapshot>();
  initial->configuration.voters = {1, 2};
  Log log({}, 1, PersistentState{{}, initial, {}}, 1, 0);
  std::vector<Effect> effects;
  Micros now = 3'000'000;
  Message m;
  m.from = 2;
  m.to = 1;
  if (leads) {
    log.Handle(now, Tick{}, effects);
    m.kind = MessageKind::kPreVoteReply;
    m.term = 1;
    m.accepted = true;
    log.Handle(now, Received{m}, effects);
    Sync(log, now, effects);
    m.kind = MessageKind::kRequestVoteReply;
    log.Handle(now, Received{m}, effects);
    log.Handle(now, Propose{1, "one"}, effects);
    Sync(log, now, effects);
    m.kind = MessageKind::kAppendEntriesReply;
    m.index = 1;
  } else {
    m.kind = MessageKind::kAppendEntries;
    m.term = 1;
    m.leader_commit = 1;
    for (const char* data : {"one", "two"}) {
      auto e = std::make_shared<Entry>();
      e->term = 1;
      e->data = data;
      m.entries.push_back(e);
    }
  }
  log.Handle(now, Received{m}, effects);
  Sync(log, now, effects);
  return log;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto entry = DecodeEntry(bytes); entry && !DecodeEntry(Encode(*entry))) std::abort();
  if (const auto snapshot = DecodeSnapshot(bytes); snapshot && !DecodeSnapshot(Encode(*snapshot)))
    std::abort();
  const auto read = DecodeMessage(bytes);
  if (!read) return 0;
  const auto again = DecodeMessage(Encode(*read));
  if (!again || DigestOf(*again) != DigestOf(*read)) std::abort();
  Message m = *read;
  m.to = 1;
  if (m.from == 1) m.from = 2;
  for (const bool leads : {true, false}) {
    Log log = Make(leads);
    const Index committed = log.commit_index();
    if (committed != 1) std::abort();
    const std::uint64_t first = DigestOf(log.At(1));
    std::vector<Effect> effects;
    log.Handle(3'100'000, Received{m}, effects);
    log.Handle(3'200'000, Received{m}, effects);
    Sync(log, 3'300'000, effects);
    for (Micros now = 3'400'000; now < 8'000'000; now += 200'000) {
      log.Handle(now, Tick{}, effects);
      Sync(log, now, effects);
    }
    if (log.commit_index() < committed || log.commit_index() > log.last_index()) std::abort();
    if (log.first_index() <= 1 && DigestOf(log.At(1)) != first) std::abort();
  }
  return 0;
}
