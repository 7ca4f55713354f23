#include "src/cluster/copies/log_content.h"

#include <algorithm>

#include "src/cluster/copies/replicated_store.h"
#include "src/durable/codec.h"
#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr int kFormatVersion = 1;

void PackBytes(pack::Packer& out, std::string_view bytes) {
  out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}
std::string_view Bytes(const msgpack::object& o) {
  pack::ArrayReader::Require(o.type == msgpack::type::BIN);
  return {o.via.bin.ptr, o.via.bin.size};
}
std::string ToString(const msgpack::sbuffer& bytes) { return {bytes.data(), bytes.size()}; }

template <typename T, typename Read>
std::optional<T> Decode(std::string_view bytes, Read read) {
  try {
    const msgpack::object_handle root = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(root.get(), 4);
    pack::ArrayReader::Require(in.Number<int>(1, 1 << 20) == kFormatVersion);
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
  out.pack(kFormatVersion).pack(batch.epoch).pack(batch.number);
  PackBytes(out, batch.records);
  return ToString(bytes);
}

std::optional<Batch> DecodeBatch(std::string_view bytes) {
  return Decode<Batch>(bytes, [](pack::ArrayReader& in) {
    Batch b;
    b.epoch = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
    b.number = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
    b.records = Bytes(in.Next());
    return b;
  });
}

bool IsEffective(const Batch& batch, const durable::Applied& applied) {
  if (batch.number == 0) return true;
  if ((batch.epoch & kFencedEpoch) == 0) return batch.epoch != applied.epoch || batch.number > applied.number;
  return batch.epoch == applied.epoch && batch.number > applied.number;
}

std::string Encode(const StoreContents& contents) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(7);
  out.pack(kFormatVersion).pack(contents.classes).pack(contents.clock_stepped_at);
  out.pack(contents.applied.index).pack(contents.applied.epoch).pack(contents.applied.number);
  out.pack_array(static_cast<std::uint32_t>(contents.jobs.size()));
  for (const auto& [id, job] : contents.jobs) {
    out.pack_array(2);
    out.pack(id);
    PackBytes(out, durable::Encode(job));
  }
  return ToString(bytes);
}

std::optional<StoreContents> DecodeStoreContents(std::string_view bytes) {
  return Decode<StoreContents>(bytes, [](pack::ArrayReader& in) {
    StoreContents contents;
    contents.classes = in.Next().as<std::vector<std::string>>();
    contents.clock_stepped_at = in.Next().as<durable::Micros>();
    contents.applied.index = in.Next().as<std::uint64_t>();
    contents.applied.epoch = in.Next().as<std::uint64_t>();
    contents.applied.number = in.Next().as<std::uint64_t>();
    const msgpack::object& jobs = in.Next();
    pack::ArrayReader::Require(jobs.type == msgpack::type::ARRAY);
    for (std::uint32_t i = 0; i < jobs.via.array.size; ++i) {
      pack::ArrayReader one(jobs.via.array.ptr[i], 2);
      std::string id = one.Next().as<std::string>();
      auto job = durable::DecodeJob(Bytes(one.Next()));
      pack::ArrayReader::Require(job.has_value());
      contents.jobs.emplace_back(std::move(id), std::move(*job));
    }
    return contents;
  });
}

StoreContents ReadContents(durable::SqliteStore& store) {
  StoreContents contents;
  durable::JobTable table(store.class_rules());
  store.Read({[&](durable::Micros at) { table.set_clock_stepped_at(at); },
              [&](const std::string& id, durable::Job job) { return table.Restore(id, std::move(job)); },
              [&](const durable::Record& r) { return table.Apply(r); },
              [&](const durable::Applied& at) { contents.applied = at; }});
  contents.classes = store.class_names();
  contents.clock_stepped_at = table.clock_stepped_at();
  for (const auto& [id, job] : table.jobs()) contents.jobs.emplace_back(id, job);
  return contents;
}

LogSection ReadLog(const log::Log& log, log::Index after, log::Index last) {
  LogSection section;
  if (log.snapshot() != nullptr && after < log.snapshot()->index) section.snapshot = log.snapshot();
  section.first = std::max(log.first_index(), after + 1);
  for (log::Index i = section.first; i <= last; ++i) section.entries.push_back(log.EntryAt(i));
  return section;
}

durable::Applied CatchUp(durable::SqliteStore& store, const LogSection& section) {
  durable::Applied applied = store.applied();
  if (section.snapshot != nullptr && applied.index < section.snapshot->index) {
    const auto contents = DecodeStoreContents(section.snapshot->data);
    if (!contents)
      throw durable::StoreError(durable::StoreError::Kind::kCorrupt,
                                "copies: the snapshot of " + store.file() + " cannot be read");
    // Jobs refer to their class by its position, so a snapshot with other classes or another order cannot be
    // used.
    if (contents->classes != store.class_names())
      throw durable::StoreError(durable::StoreError::Kind::kOther,
                                "copies: the snapshot has other job classes");
    applied = contents->applied;
    applied.index = section.snapshot->index;
    store.ReplaceContents(contents->clock_stepped_at, contents->jobs, applied);
  }
  log::Index index = section.first;
  for (const log::EntryPtr& e : section.entries) {
    if (e->kind == log::EntryKind::kData) ReplicatedStore::Apply(store, applied, {index, e->data});
    ++index;
  }
  return applied;
}

}  // namespace heronway::cluster::copies
