#include "src/cluster/copies/dump.h"

#include <algorithm>

#include "src/cluster/copies/own_group.h"
#include "src/durable/codec.h"
#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr int kForm = 1;

void PackBytes(pack::Packer& out, std::string_view bytes) {
  out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}
std::string_view Bytes(const msgpack::object& o) {
  pack::ArrayReader::Require(o.type == msgpack::type::BIN);
  return {o.via.bin.ptr, o.via.bin.size};
}
std::string Whole(const msgpack::sbuffer& bytes) { return {bytes.data(), bytes.size()}; }

template <typename T, typename Read>
std::optional<T> Decode(std::string_view bytes, Read read) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(whole.get(), 4);
    pack::ArrayReader::Require(in.Number<int>(1, 1 << 20) == kForm);
    return read(in);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const Batch& batch) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(4);
  out.pack(kForm).pack(batch.life).pack(batch.number);
  PackBytes(out, batch.records);
  return Whole(bytes);
}

std::optional<Batch> DecodeBatch(std::string_view bytes) {
  return Decode<Batch>(bytes, [](pack::ArrayReader& in) {
    Batch b;
    b.life = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
    b.number = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
    b.records = Bytes(in.Next());
    return b;
  });
}

bool Counts(const Batch& batch, const durable::Applied& at) {
  if (batch.number == 0) return true;
  if ((batch.life & kFenced) == 0) return batch.life != at.life || batch.number > at.number;
  return batch.life == at.life && batch.number > at.number;
}

std::string Encode(const Dump& dump) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(7);
  out.pack(kForm).pack(dump.classes).pack(dump.clock_broke);
  out.pack(dump.applied.index).pack(dump.applied.life).pack(dump.applied.number);
  out.pack_array(static_cast<std::uint32_t>(dump.jobs.size()));
  for (const auto& [id, job] : dump.jobs) {
    out.pack_array(2);
    out.pack(id);
    PackBytes(out, durable::Encode(job));
  }
  return Whole(bytes);
}

std::optional<Dump> DecodeDump(std::string_view bytes) {
  return Decode<Dump>(bytes, [](pack::ArrayReader& in) {
    Dump d;
    d.classes = in.Next().as<std::vector<std::string>>();
    d.clock_broke = in.Next().as<durable::Micros>();
    d.applied.index = in.Next().as<std::uint64_t>();
    d.applied.life = in.Next().as<std::uint64_t>();
    d.applied.number = in.Next().as<std::uint64_t>();
    const msgpack::object& jobs = in.Next();
    pack::ArrayReader::Require(jobs.type == msgpack::type::ARRAY);
    for (std::uint32_t i = 0; i < jobs.via.array.size; ++i) {
      pack::ArrayReader one(jobs.via.array.ptr[i], 2);
      std::string id = one.Next().as<std::string>();
      auto job = durable::DecodeJob(Bytes(one.Next()));
      pack::ArrayReader::Require(job.has_value());
      d.jobs.emplace_back(std::move(id), std::move(*job));
    }
    return d;
  });
}

Dump DumpOf(durable::SqliteStore& store) {
  Dump dump;
  durable::JobBook book(store.classes());
  store.Read({[&](durable::Micros at) { book.set_clock_broke(at); },
              [&](const std::string& id, durable::Job job) { return book.Restore(id, std::move(job)); },
              [&](const durable::Record& r) { return book.Apply(r); },
              [&](const durable::Applied& at) { dump.applied = at; }});
  dump.classes = store.names();
  dump.clock_broke = book.clock_broke();
  for (const auto& [id, job] : book.jobs()) dump.jobs.emplace_back(id, job);
  return dump;
}

Said SaidBy(const log::Log& log, log::Index after, log::Index last) {
  Said said;
  if (log.snapshot() != nullptr && after < log.snapshot()->index) said.snapshot = log.snapshot();
  said.first = std::max(log.first_index(), after + 1);
  for (log::Index i = said.first; i <= last; ++i) said.entries.push_back(log.EntryAt(i));
  return said;
}

durable::Applied CatchUp(durable::SqliteStore& store, const Said& said) {
  durable::Applied applied = store.applied();
  if (said.snapshot != nullptr && applied.index < said.snapshot->index) {
    const auto dump = DecodeDump(said.snapshot->data);
    if (!dump)
      throw durable::StoreError(durable::StoreError::Kind::kCorrupt,
                                "copies: the snapshot of " + store.file() + " cannot be read");
    // Guards jobs of another site's classes, or another order of them.
    if (dump->classes != store.names())
      throw durable::StoreError(durable::StoreError::Kind::kOther,
                                "copies: they are of other classes than here");
    applied = dump->applied;
    applied.index = said.snapshot->index;
    store.Refill(dump->clock_broke, dump->jobs, applied);
  }
  log::Index index = said.first;
  for (const log::EntryPtr& e : said.entries) {
    if (e->kind == log::EntryKind::kData) CopiedStore::Apply(store, applied, {index, e->data});
    ++index;
  }
  return applied;
}

}  // namespace heronway::cluster::copies
