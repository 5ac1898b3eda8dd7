#ifndef KUMQUATMOOR_COORDINATION_CONFIGURATION_SOURCE_H_
#define KUMQUATMOOR_COORDINATION_CONFIGURATION_SOURCE_H_

// ConfigurationSource: the interface through which a gateway reads batches from
// the platform and reports the progress of moves to it.
//
//   auto update = Attempt([&] { return source.Load(); });
//   auto changes = Attempt([&] { return source.Await(2s); });
//   Attempt([&] { return source.Report(progress); });
//
// TableSource reads what kumquatmoorctl wrote. The adapter of a deployment may
// read a configuration that its operators write in another format. Two nodes
// that read the same revision must build the same batch, so that it does not
// matter which of them disseminates it. Calls block and fail like those of
// Platform. Not thread-safe.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/departures.h"
#include "kumquatmoor/protocol/failure.h"
#include "kumquatmoor/state/marks.h"

namespace kumquatmoor {

// An entry of the member directory: a node that others can join the mesh
// through.
struct DirectoryEntry {
  std::string key;  // The entry's key on the platform.
  uint64_t version = 0;
  MemberRecord member;
};

// What changed on the platform since the last call.
struct SourceUpdate {
  std::optional<Batch> batch;
  std::vector<MoveMark> marks;
  // The complete member directory, if an entry of it changed.
  std::optional<std::vector<DirectoryEntry>> directory;
  // The departures that all nodes have written, if one of them changed.
  std::optional<std::vector<DepartureEntry>> departures;
  uint64_t generation = 0;  // Of the store; 0 if it names none.
  // Revision of the store that was read, with its generation; 0 if unknown. All
  // changes up to it are in this update or in earlier ones.
  uint64_t read_revision = 0;
};

enum class MoveOutcome { kRunning, kDone, kRolledBack };

// The progress of the moves of the current batch.
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

  // Reads the complete state.
  virtual Result<SourceUpdate> Load() = 0;
  // Waits up to `wait` for changes since the last call, and returns them.
  virtual Result<SourceUpdate> Await(std::chrono::milliseconds wait) = 0;
  // Writes the part of `progress` that the platform lacks. Returns true if
  // there was one.
  virtual Result<bool> Report(const MeshProgress& progress) = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_CONFIGURATION_SOURCE_H_
