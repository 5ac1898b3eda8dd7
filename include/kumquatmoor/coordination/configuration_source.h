#ifndef KUMQUATMOOR_COORDINATION_CONFIGURATION_SOURCE_H_
#define KUMQUATMOOR_COORDINATION_CONFIGURATION_SOURCE_H_

// ConfigurationSource: where batches come from and the outcomes of moves go.
//
//   auto news = Attempt([&] { return source.Load(); });
//   auto more = Attempt([&] { return source.Await(2s); });
//   Attempt([&] { return source.Report(progress); });
//
// TableSource reads what kumquatmoorctl wrote; an adapter of a deployment may
// read what its operators write elsewhere. Two nodes that read the same
// revision make the same batch, so it does not matter which of them spreads it.
// Calls block and fail as those of Platform do. Used by one thread at a time.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/protocol/failure.h"
#include "kumquatmoor/state/marks.h"

namespace kumquatmoor {

// A node that others can join through.
struct DirectoryEntry {
  std::string key;  // On the platform.
  uint64_t version = 0;
  MemberRecord member;
};

// What the platform holds, as far as it changed since the last call.
struct SourceUpdate {
  std::optional<Batch> batch;
  std::vector<MoveMark> marks;
  // The whole directory of members, if it changed.
  std::optional<std::vector<DirectoryEntry>> directory;
};

enum class MoveOutcome { kRunning, kDone, kRolledBack };

// How the moves of the batch in force stand.
struct MeshProgress {
  std::shared_ptr<const Batch> batch;
  MarkSet marks;
  std::map<std::string, MoveOutcome> outcomes;  // By service.
};

class ConfigurationSource {
 public:
  ConfigurationSource() = default;
  ConfigurationSource(const ConfigurationSource&) = delete;
  ConfigurationSource& operator=(const ConfigurationSource&) = delete;
  virtual ~ConfigurationSource() = default;

  // Reads everything.
  virtual Result<SourceUpdate> Load() = 0;
  // Waits for changes after the last call, for `wait` at most.
  virtual Result<SourceUpdate> Await(std::chrono::milliseconds wait) = 0;
  // Writes what of `progress` the platform lacks. True if it wrote.
  virtual Result<bool> Report(const MeshProgress& progress) = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_CONFIGURATION_SOURCE_H_
