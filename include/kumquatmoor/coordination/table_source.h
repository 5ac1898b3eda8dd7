#ifndef KUMQUATMOOR_COORDINATION_TABLE_SOURCE_H_
#define KUMQUATMOOR_COORDINATION_TABLE_SOURCE_H_

// TableSource: the ConfigurationSource that reads the tables which
// kumquatmoorctl wrote.
//
//   TableSource source(&platform);
//
// Refers to the platform, which must outlive the source. Await() returns only
// new batches; marks and the member directory are read by Load().

#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/coordination/table_store.h"

namespace kumquatmoor {

class TableSource : public ConfigurationSource {
 public:
  explicit TableSource(Platform* platform)
      : m_platform(platform), m_store(platform) {}

  Result<SourceUpdate> Load() override;
  Result<SourceUpdate> Await(std::chrono::milliseconds wait) override;
  Result<bool> Report(const MeshProgress& progress) override;

 private:
  Result<Batch> ReadBatchOf(const PlatformEntry& head);

  Platform* m_platform;
  TableStore m_store;
  uint64_t m_head_version = 0;         // Of the last head that was read.
  uint64_t m_reported_marks_hash = 0;  // Of the last marks that were reported.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_TABLE_SOURCE_H_
