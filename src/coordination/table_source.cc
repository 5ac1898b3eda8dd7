#include "kumquatmoor/coordination/table_source.h"

#include <utility>

#include "kumquatmoor/coordination/member_directory.h"

namespace kumquatmoor {
namespace {

constexpr char kHeadKey[] = "head";

}  // namespace

Result<Batch> TableSource::ReadBatchOf(const PlatformEntry& entry) {
  BOOST_LEAF_AUTO(head, ParseHead(entry));
  if (head.entries.empty()) return Batch();
  return m_store.ReadBatch(head.entries.front().key);
}

Result<SourceUpdate> TableSource::Load() {
  SourceUpdate update;
  BOOST_LEAF_AUTO(head, m_platform->Get(kHeadKey));
  BOOST_LEAF_AUTO(batch, ReadBatchOf(head));
  BOOST_LEAF_AUTO(marks, m_store.ReadMarks());
  BOOST_LEAF_AUTO(listed, m_platform->List(kDirectoryPrefix));
  BOOST_LEAF_AUTO(departures, m_platform->List(kDeparturePrefix));
  m_head_version = head.version;
  update.batch = std::move(batch);
  update.departures = ParseDepartures(departures.items);
  update.marks = marks.All();
  update.directory = ParseDirectory(listed.items);
  return update;
}

Result<SourceUpdate> TableSource::Await(std::chrono::milliseconds wait) {
  SourceUpdate update;
  BOOST_LEAF_AUTO(changes, m_platform->Watch(kHeadKey, m_head_version, wait));
  for (const auto& item : changes.items) {
    if (item.key != kHeadKey || item.entry.version <= m_head_version) continue;
    BOOST_LEAF_AUTO(batch, ReadBatchOf(item.entry));
    m_head_version = item.entry.version;
    update.batch = std::move(batch);
  }
  return update;
}

Result<bool> TableSource::Report(const MeshProgress& progress) {
  if (progress.marks.Hash() == m_reported_marks_hash) return false;
  BOOST_LEAF_AUTO(written, m_store.MergeMarks(progress.marks, *progress.batch));
  m_reported_marks_hash = progress.marks.Hash();
  return written;
}

}  // namespace kumquatmoor
