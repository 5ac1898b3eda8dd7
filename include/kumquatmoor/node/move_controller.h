#ifndef KUMQUATMOOR_NODE_MOVE_CONTROLLER_H_
#define KUMQUATMOOR_NODE_MOVE_CONTROLLER_H_

// MoveController: a node's part in moves (progressive rollouts of versions). It
// reports the outcomes of requests to the local backend servers, and runs a
// CanaryAnalyzer for each move that this node is selected to analyze.
//
//   MoveController controller({.id = "node-1", .zone = "a"});
//   controller.SetBackendSlots("bookings", "v2", 10);
//   controller.OnOutcome(outcome);
//   for (auto& report : controller.TakeReports(replica, now)) {
//     Send(report.receiver, report.counts);
//   }
//   controller.OnOutcomeCounts("node-2", incarnation, counts);
//   for (auto& mark : controller.Analyze(replica, time)) {
//     replica.JoinMark(mark);
//   }
//
// Each zone has its own analyzers of a service: the live members of the zone
// with the highest rendezvous hashes for the service. In addition, the host of
// the service with the highest hash in the whole mesh receives the outcome
// counts of every zone. It detects a fault after a fraction of the requests
// that the analyzer of one zone needs, but it only recalls versions and
// excludes targets. Stages are raised by the analyzers of the zone alone, so a
// zone that is cut off still makes progress.
//
// No I/O; time is an argument. Not thread-safe; owned by the control thread.

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

// Time between two reports of a target to the analyzers of its zone, and to
// the mesh analyzer, which receives the reports of every target of the
// service. A move may have to end within 15 s, and the mesh analyzer needs
// several reports in that time.
inline constexpr std::chrono::milliseconds kZoneReportInterval{1'000};
inline constexpr std::chrono::milliseconds kMeshReportInterval{1'000};

struct MoveControllerOptions {
  std::string id;  // Member id of this node.
  std::string zone;
  // Members of a zone that analyze the same move. With more than one, the
  // analysis continues when a member fails.
  size_t analyzers_per_zone = 2;
};

// Outcome counts of one local target, addressed to one analyzer.
struct OutcomeReport {
  std::string receiver;  // Member id of the analyzer's node.
  Evidence counts;
};

// The `count` ids with the highest rendezvous hashes for `subject`.
std::vector<std::string> RendezvousTop(const std::vector<std::string>& ids,
                                       const std::string& subject,
                                       size_t count);

// Counts the targets of a service that `members` announce, without draining
// ones. The pilot zone is the zone with canary targets that has the highest
// rendezvous hash.
ReachableTargetCounts CountTargets(const ServiceConfig& config,
                                   const MoveProgress& progress,
                                   const std::vector<MemberRecord>& members);

// True if `row` loses its whole share by its move.
inline bool IsOutgoing(const Row& row) {
  return row.weight() == 0 && row.from_weight() > 0;
}

// The row of the table that applies to `version` of the service, or nullptr.
// A version without a row of its own has the row of "any other version".
const Row* RowOf(const ServiceConfig& config, std::string_view version);

// True if every zone with a live member is at full stage and settled.
bool IsSettledEverywhere(const MoveProgress& progress,
                         const MemberList& members);

// The outcome so far of each service's current move. A move is done when it is
// settled everywhere and every reachable target of an outgoing version has
// retired.
std::map<std::string, MoveOutcome> OutcomesOfMoves(const Replica& replica);

class MoveController {
 public:
  explicit MoveController(MoveControllerOptions options)
      : m_options(std::move(options)) {}

  // Counts the outcome of a request to a local backend server.
  void OnOutcome(const Outcome& outcome) { m_outcome_counters.Add(outcome); }
  // Sets the number of slots of a local backend server, which its reports
  // contain.
  void SetBackendSlots(const std::string& service, const std::string& version,
                       uint32_t slots);

  // The reports that are due at `now`. Only moves in progress are reported.
  std::vector<OutcomeReport> TakeReports(const Replica& replica, TimePoint now);
  // Stores a report from the target at member `reporter`. Reports of an earlier
  // incarnation than the latest one are ignored.
  void OnOutcomeCounts(const std::string& reporter, int64_t incarnation,
                       const Evidence& counts);
  // Runs the analyzers of this node and returns their decisions as marks. The
  // caller joins the marks into the replica.
  std::vector<MoveMark> Analyze(const Replica& replica, ClockReading time);

  // The reason why the move does not advance to its next stage, "" if there is
  // none or this node doesn't analyze the move.
  std::string StageHoldReason(const std::string& service) const;

 private:
  struct ActiveAnalyzer {
    uint64_t move_revision = 0;
    std::unique_ptr<CanaryAnalyzer> analyzer;
  };

  void RestartCounts(const Batch& batch);
  // Member ids of the nodes that analyze the service's moves in `zone`.
  std::vector<std::string> ZoneAnalyzers(const std::string& service,
                                         const std::string& zone,
                                         const MemberList& members) const;
  // Member ids of the nodes that receive the reports of every zone.
  std::vector<std::string> MeshAnalyzers(const ServiceConfig& config,
                                         const Replica& replica,
                                         TimePoint now) const;
  // Member id of the node that analyzes the service's moves over all zones, ""
  // if no host of the service is alive.
  std::string MeshAnalyzer(const std::string& service,
                           const MemberList& members) const;
  // The analyzer of the service's current move; created by the first call.
  CanaryAnalyzer& AnalyzerFor(const ServiceConfig& config, ClockReading time);
  // The end of a move that has a duration, nothing for any other move. The
  // duration counts from the first call for the move.
  std::optional<TimePoint> DeadlineOf(const ServiceConfig& config,
                                      TimePoint now);

  MoveControllerOptions m_options;
  OutcomeCounters m_outcome_counters;
  // Slots of the local backend servers, by (service, version).
  std::map<std::pair<std::string, std::string>, uint32_t> m_slots;
  // Report schedules of one local target, by (service, version).
  struct Pacers {
    ReportPacer zone{kZoneReportInterval};
    ReportPacer mesh{kMeshReportInterval};
  };
  std::map<std::pair<std::string, std::string>, Pacers> m_pacers;
  // Revision of the move that m_outcome_counters counts for, by service. The
  // counters restart with each move, so outcomes of an earlier move are never
  // analyzed.
  std::map<std::string, uint64_t> m_counted_move;
  std::map<std::string, ActiveAnalyzer> m_active_analyzers;  // By service.
  // When this node first saw a move that has a duration in place of a deadline.
  struct FirstSeen {
    uint64_t move_revision = 0;
    TimePoint at;
  };
  std::map<std::string, FirstSeen> m_first_seen;  // By service.
  // The latest report of each target, for analyzers that start later. By
  // service, then by (version, reporter).
  struct Received {
    int64_t incarnation = 0;
    Evidence counts;
  };
  std::map<std::string, std::map<std::pair<std::string, std::string>, Received>>
      m_received;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_MOVE_CONTROLLER_H_
