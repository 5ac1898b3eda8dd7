#ifndef KUMQUATMOOR_NODE_MOVE_CONTROLLER_H_
#define KUMQUATMOOR_NODE_MOVE_CONTROLLER_H_

// Mover: a node's part in the moves of versions. It reports the outcomes of
// the local backend servers to the judges of its zone and judges the moves
// that fall to it.
//
//   Mover mover({.id = "node-1", .zone = "a"});
//   mover.OnOutcome(outcome);
//   for (auto& report : mover.TakeReports(replica, now)) Send(report);
//   mover.OnOutcomeCounts("node-2", incarnation, evidence);
//   for (auto& mark : mover.Judge(replica, time)) replica.JoinMark(mark);
//
// The judges of a service in a zone are the live members of the zone with the
// highest rendezvous hashes. One more, the highest of the service's hosts, gets
// the evidence of every zone: it finds a fault in a fraction of the requests
// that one zone's judge needs, but only recalls, so that a zone which is cut
// off still decides for itself. Pure: no I/O. Not thread-safe; owned by the
// control thread.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/canary_analyzer.h"
#include "kumquatmoor/coordination/configuration_source.h"
#include "kumquatmoor/coordination/replica.h"
#include "kumquatmoor/state/outcome_counters.h"

namespace kumquatmoor {

// Time between reports to the judges of the zone, and to the mesh's, which
// hears every target of the service. A move may have to end within 15 s, of
// which the mesh's judge needs several reports.
inline constexpr std::chrono::milliseconds kZoneReportInterval{1'000};
inline constexpr std::chrono::milliseconds kMeshReportInterval{1'000};

struct MoveControllerOptions {
  std::string id;
  std::string zone;
  // Members that judge each move in a zone, so that one can die.
  size_t analyzers_per_zone = 2;
};

// Evidence on its way to a judge.
struct OutcomeReport {
  std::string judge;  // Member id.
  Evidence evidence;
};

// The `count` ids with the highest rendezvous hashes for `subject`.
std::vector<std::string> RendezvousTop(const std::vector<std::string>& ids,
                                       const std::string& subject,
                                       size_t count);

// The targets of a service that `members` have, drained ones left out. The
// pilot zone is the one with rising targets and the highest rendezvous hash.
ReachableTargetCounts CountTargets(const ServiceConfig& config,
                                   const MoveProgress& progress,
                                   const std::vector<MemberRecord>& members);

// True if `row` loses its whole share by its move.
inline bool IsOutgoing(const Row& row) {
  return row.weight() == 0 && row.from_weight() > 0;
}

// The row that `version` of the service belongs to, or nullptr.
const Row* RowOf(const ServiceConfig& config, std::string_view version);

// True if every zone with a live member is at full stage and settled.
bool IsSettledEverywhere(const MoveProgress& progress,
                         const MemberList& members);

// How each open move stands. One is done when it is settled everywhere and
// every reachable target of a version that lost its share has retired.
std::map<std::string, MoveOutcome> OutcomesOfMoves(const Replica& replica);

class MoveController {
 public:
  explicit MoveController(MoveControllerOptions options)
      : m_options(std::move(options)) {}

  void OnOutcome(const Outcome& outcome) { m_outcome_counters.Add(outcome); }
  // A local backend server and its slots, to report along.
  void SetBackendSlots(const std::string& service, const std::string& version,
                       uint32_t slots);

  // Reports for judges, for moves in progress only.
  std::vector<OutcomeReport> TakeReports(const Replica& replica, TimePoint now);
  void OnOutcomeCounts(const std::string& reporter, int64_t incarnation,
                       const Evidence& evidence);
  // Rules on the moves that this node judges; the marks that follow.
  std::vector<MoveMark> Judge(const Replica& replica, ClockReading time);

  // Why a move that this node judges is held, or "".
  std::string StageHoldReason(const std::string& service) const;

 private:
  struct ActiveAnalyzer {
    uint64_t move_revision = 0;
    std::unique_ptr<CanaryAnalyzer> judge;
  };

  void RestartCounts(const Batch& batch);
  // Judges of a zone, and of the whole mesh.
  std::vector<std::string> ZoneAnalyzers(const std::string& service,
                                         const std::string& zone,
                                         const MemberList& members) const;
  // Those that hear the targets of every zone.
  std::vector<std::string> MeshAnalyzers(const ServiceConfig& config,
                                         const Replica& replica,
                                         TimePoint now) const;
  std::string MeshAnalyzer(const std::string& service,
                           const MemberList& members) const;
  CanaryAnalyzer& AnalyzerFor(const ServiceConfig& config, ClockReading time);
  std::optional<TimePoint> DeadlineOf(const ServiceConfig& config,
                                      TimePoint now);

  MoveControllerOptions m_options;
  OutcomeCounters m_outcome_counters;
  std::map<std::pair<std::string, std::string>, uint32_t> m_slots;
  // When to report each version of a service.
  struct Pacers {
    ReportPacer zone{kZoneReportInterval};
    ReportPacer mesh{kMeshReportInterval};
  };
  std::map<std::pair<std::string, std::string>, Pacers> m_pacers;
  // The move that the ledger counts for, by service. Counts start anew with
  // each move, so evidence of another move is never judged.
  std::map<std::string, uint64_t> m_counted_move;
  std::map<std::string, ActiveAnalyzer> m_active_analyzers;  // By service.
  // When this node first heard of a move, by service, for moves that have a
  // duration in place of a deadline.
  struct FirstSeen {
    uint64_t move_revision = 0;
    TimePoint at;
  };
  std::map<std::string, FirstSeen> m_first_seen;
  // The latest evidence, for judges that start late. By service, then
  // (version, reporter).
  struct Received {
    int64_t incarnation = 0;
    Evidence evidence;
  };
  std::map<std::string, std::map<std::pair<std::string, std::string>, Received>>
      m_received;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_MOVE_CONTROLLER_H_
