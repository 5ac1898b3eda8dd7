#include "kumquatmoor/node/move_controller.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

uint64_t RendezvousHash(const std::string& id, const std::string& subject) {
  const std::string text = subject + '\n' + id;
  return XXH3_64bits(text.data(), text.size());
}

bool IsOpen(const ServiceConfig& config, const Replica& replica) {
  return HasMove(config) &&
         !replica.Marks().IsRecalled(config.service(), config.move_revision());
}

// Another zone goes first in each move.
std::string PilotSubject(const ServiceConfig& config) {
  return fmt::format("pilot/{}/{}", config.service(), config.move_revision());
}

// Turns a ruling into the mark that says it to the others.
class DecisionToMark {
 public:
  DecisionToMark(const ServiceConfig& config,
                 const MoveControllerOptions& options, int64_t unix_ms)
      : m_config(config), m_options(options), m_unix_ms(unix_ms) {}

  MoveMark operator()(const RaiseStage& ruling) const {
    spdlog::info("move: {} rises to {} per mille in zone {}: {}",
                 m_config.service(), ruling.stage_permille, m_options.zone,
                 ruling.reason);
    MoveMark mark = Empty();
    (*mark.mutable_stage_permille())[m_options.zone] = ruling.stage_permille;
    return mark;
  }

  MoveMark operator()(const RecallVersion& ruling) const {
    spdlog::warn("move: {}/{} is taken back: {}", m_config.service(),
                 ruling.version, ruling.reason);
    MoveMark mark = Empty();
    Recall* recall = mark.add_recalls();
    recall->set_version(ruling.version);
    recall->set_reason(ruling.reason);
    recall->set_decided_by(m_options.id);
    recall->set_decided_ms(m_unix_ms);
    return mark;
  }

  MoveMark operator()(const SettleZone& /*ruling*/) const {
    spdlog::info("move: {} is settled in zone {}", m_config.service(),
                 m_options.zone);
    MoveMark mark = Empty();
    (*mark.mutable_settled())[m_options.zone] = true;
    return mark;
  }

  MoveMark operator()(const ExcludeTarget& ruling) const {
    spdlog::warn("move: the target of {} alone fails {}/{}: {}",
                 ruling.member_id, m_config.service(), ruling.version,
                 ruling.reason);
    MoveMark mark = Empty();
    mark.add_blamed(ruling.member_id);
    return mark;
  }

 private:
  MoveMark Empty() const {
    MoveMark mark;
    mark.set_service(m_config.service());
    mark.set_move_revision(m_config.move_revision());
    return mark;
  }

  const ServiceConfig& m_config;
  const MoveControllerOptions& m_options;
  int64_t m_unix_ms;
};

}  // namespace

std::vector<std::string> RendezvousTop(const std::vector<std::string>& ids,
                                       const std::string& subject,
                                       size_t count) {
  std::vector<std::string> order = ids;
  count = std::min(count, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
      order.end(), [&](const std::string& a, const std::string& b) {
        return RendezvousHash(a, subject) > RendezvousHash(b, subject);
      });
  order.resize(count);
  return order;
}

ReachableTargetCounts CountTargets(const ServiceConfig& config,
                                   const MoveProgress& progress,
                                   const std::vector<MemberRecord>& members) {
  ReachableTargetCounts targets;
  std::set<std::string> canary_zones;
  const auto rising = [&](const std::string& version) {
    return std::any_of(config.rows().begin(), config.rows().end(),
                       [&](const Row& row) {
                         return row.version() == version && IsCanary(row);
                       });
  };
  for (const auto& member : members) {
    if (member.status() != ALIVE) continue;
    for (const auto& endpoint : member.endpoints()) {
      if (endpoint.service() != config.service()) continue;
      if (endpoint.draining()) continue;
      targets.all_slots += endpoint.slots();
      if (!rising(endpoint.version())) continue;
      ++targets.canary_targets;
      const bool excluded = progress.excluded.count(member.id()) > 0;
      if (excluded) continue;
      targets.canary_slots += endpoint.slots();
      canary_zones.insert(member.zone());
    }
  }
  const auto pilot = RendezvousTop({canary_zones.begin(), canary_zones.end()},
                                   PilotSubject(config), 1);
  if (!pilot.empty()) targets.pilot_zone = pilot.front();
  return targets;
}

const Row* RowOf(const ServiceConfig& config, std::string_view version) {
  const Row* any_other = nullptr;
  for (const auto& row : config.rows()) {
    if (row.version() == version) return &row;
    if (row.version() == kAnyOtherVersion) any_other = &row;
  }
  return any_other;
}

bool IsSettledEverywhere(const MoveProgress& progress,
                         const MemberList& members) {
  for (const auto& zone : members.Zones()) {
    if (members.AliveIn(zone).empty()) continue;
    const auto settled = progress.settled.find(zone);
    const bool full = progress.StageOf(zone) >= kFullStage;
    if (!full || settled == progress.settled.end() || !settled->second) {
      return false;
    }
  }
  return true;
}

namespace {

bool HasOutgoingTarget(const ServiceConfig& config,
                       const MemberRecord& member) {
  if (member.status() != ALIVE && member.status() != SUSPECT) return false;
  return std::any_of(member.endpoints().begin(), member.endpoints().end(),
                     [&](const Endpoint& endpoint) {
                       if (endpoint.service() != config.service()) return false;
                       const Row* row = RowOf(config, endpoint.version());
                       return row != nullptr && IsOutgoing(*row) &&
                              !endpoint.retired();
                     });
}

}  // namespace

std::map<std::string, MoveOutcome> OutcomesOfMoves(const Replica& replica) {
  std::map<std::string, MoveOutcome> outcomes;
  for (const auto& config : replica.CurrentBatch().services()) {
    if (!HasMove(config)) continue;
    const auto& progress =
        replica.Marks().Progress(config.service(), config.move_revision());
    MoveOutcome& outcome = outcomes[config.service()];
    outcome = MoveOutcome::kRunning;
    if (progress.IsRecalled()) {
      outcome = MoveOutcome::kRolledBack;
      continue;
    }
    if (!IsSettledEverywhere(progress, replica.Members())) continue;
    const auto members = replica.Members().MembersOf(config.service());
    const bool falling = std::any_of(
        members.begin(), members.end(), [&](const MemberRecord* member) {
          return HasOutgoingTarget(config, *member);
        });
    if (!falling) outcome = MoveOutcome::kDone;
  }
  return outcomes;
}

void MoveController::SetBackendSlots(const std::string& service,
                                     const std::string& version,
                                     uint32_t slots) {
  m_slots[{service, version}] = slots;
}

std::vector<std::string> MoveController::ZoneAnalyzers(
    const std::string& service, const std::string& zone,
    const MemberList& members) const {
  std::vector<std::string> ids;
  for (const auto* member : members.AliveIn(zone)) {
    ids.push_back(member->id());
  }
  return RendezvousTop(ids, "judge/" + service, m_options.analyzers_per_zone);
}

// Drawn from the hosts of the service, so that nobody has to walk over every
// member of the mesh.
std::string MoveController::MeshAnalyzer(const std::string& service,
                                         const MemberList& members) const {
  std::vector<std::string> ids;
  for (const auto* member : members.MembersOf(service)) {
    if (member->status() == ALIVE) ids.push_back(member->id());
  }
  const auto top = RendezvousTop(ids, "judge/" + service, 1);
  return top.empty() ? "" : top.front();
}

// While the pilot zone of a short move is ahead, the old version serves in the
// other zones only; without their evidence its judges could compare nothing.
std::vector<std::string> MoveController::MeshAnalyzers(
    const ServiceConfig& config, const Replica& replica, TimePoint now) const {
  const MemberList& members = replica.Members();
  std::vector<std::string> judges;
  if (config.move_within_ms() > 0) {
    const auto& progress =
        replica.Marks().Progress(config.service(), config.move_revision());
    const auto routable = replica.RoutableMembersOf(
        config.service(), replica.UnreachableZones(now));
    const std::string pilot =
        CountTargets(config, progress, routable).pilot_zone;
    if (!pilot.empty())
      judges = ZoneAnalyzers(config.service(), pilot, members);
  }
  judges.push_back(MeshAnalyzer(config.service(), members));
  return judges;
}

void MoveController::RestartCounts(const Batch& batch) {
  for (const auto& [key, slots] : m_slots) {
    const ServiceConfig* config = FindService(batch, key.first);
    if (config == nullptr) continue;
    uint64_t& move = m_counted_move[key.first];
    if (move == config->move_revision()) continue;
    move = config->move_revision();
    m_outcome_counters.Restart(key.first);
  }
}

std::vector<OutcomeReport> MoveController::TakeReports(const Replica& replica,
                                                       TimePoint now) {
  RestartCounts(replica.CurrentBatch());
  std::vector<OutcomeReport> reports;
  for (const auto& key : m_outcome_counters.Versions()) {
    const auto& [service, version] = key;
    const ServiceConfig* config = FindService(replica.CurrentBatch(), service);
    if (config == nullptr || !IsOpen(*config, replica)) continue;
    Evidence evidence = m_outcome_counters.Report(service, version);
    evidence.set_move_revision(config->move_revision());
    evidence.set_slots(m_slots[key]);
    Pacers& pacers = m_pacers[key];
    std::vector<std::string> judges;
    if (pacers.zone.Take(evidence, now)) {
      judges = ZoneAnalyzers(service, m_options.zone, replica.Members());
    }
    if (pacers.mesh.Take(evidence, now)) {
      for (auto& judge : MeshAnalyzers(*config, replica, now)) {
        const bool told =
            std::find(judges.begin(), judges.end(), judge) != judges.end();
        if (!told) judges.push_back(std::move(judge));
      }
    }
    for (const auto& judge : judges) {
      reports.push_back({.judge = judge, .evidence = evidence});
    }
  }
  return reports;
}

void MoveController::OnOutcomeCounts(const std::string& reporter,
                                     int64_t incarnation,
                                     const Evidence& evidence) {
  Received& received =
      m_received[evidence.service()][{evidence.version(), reporter}];
  if (incarnation < received.incarnation) return;
  received = {.incarnation = incarnation, .evidence = evidence};
  auto found = m_active_analyzers.find(evidence.service());
  if (found == m_active_analyzers.end()) return;
  if (evidence.move_revision() != found->second.move_revision) return;
  found->second.judge->OnOutcomeCounts(reporter, incarnation, evidence);
}

std::vector<MoveMark> MoveController::Judge(const Replica& replica,
                                            ClockReading time) {
  std::vector<MoveMark> marks;
  const Batch& batch = replica.CurrentBatch();
  std::erase_if(m_active_analyzers, [&](const auto& item) {
    const ServiceConfig* config = FindService(batch, item.first);
    return config == nullptr || !IsOpen(*config, replica) ||
           config->move_revision() != item.second.move_revision;
  });
  const auto unreachable = replica.UnreachableZones(time.now);
  for (const auto& config : batch.services()) {
    if (!IsOpen(config, replica)) continue;
    DeadlineOf(config, time.now);  // Counts from now, whoever judges.
    const MemberList& members = replica.Members();
    const auto zone_judges =
        ZoneAnalyzers(config.service(), m_options.zone, members);
    const bool analyzes_zone = std::find(zone_judges.begin(), zone_judges.end(),
                                         m_options.id) != zone_judges.end();
    if (!analyzes_zone &&
        MeshAnalyzer(config.service(), members) != m_options.id) {
      m_active_analyzers.erase(config.service());
      continue;
    }
    CanaryAnalyzer& judge = AnalyzerFor(config, time);
    const auto& progress =
        replica.Marks().Progress(config.service(), config.move_revision());
    const auto routable =
        replica.RoutableMembersOf(config.service(), unreachable);
    const DecisionToMark to_mark(config, m_options, time.unix_ms);
    const auto targets = CountTargets(config, progress, routable);
    for (const auto& ruling : judge.Tick(time, progress, targets)) {
      const bool is_zone_decision =
          std::holds_alternative<RaiseStage>(ruling) ||
          std::holds_alternative<SettleZone>(ruling);
      if (is_zone_decision && !analyzes_zone) continue;
      marks.push_back(std::visit(to_mark, ruling));
    }
  }
  return marks;
}

std::optional<TimePoint> MoveController::DeadlineOf(const ServiceConfig& config,
                                                    TimePoint now) {
  if (config.move_within_ms() == 0) return std::nullopt;
  FirstSeen& heard = m_first_seen[config.service()];
  if (heard.move_revision != config.move_revision()) {
    heard = {.move_revision = config.move_revision(), .at = now};
  }
  return heard.at + std::chrono::milliseconds(config.move_within_ms());
}

CanaryAnalyzer& MoveController::AnalyzerFor(const ServiceConfig& config,
                                            ClockReading time) {
  ActiveAnalyzer& judged = m_active_analyzers[config.service()];
  if (judged.judge != nullptr) return *judged.judge;
  judged.move_revision = config.move_revision();
  const auto deadline = DeadlineOf(config, time.now);
  CanaryAnalyzerOptions options =
      deadline ? ShortMoveOptions(m_options.zone, *deadline)
               : CanaryAnalyzerOptions{.zone = m_options.zone};
  judged.judge =
      std::make_unique<CanaryAnalyzer>(config, std::move(options), time);
  for (const auto& [key, received] : m_received[config.service()]) {
    const auto& [version, reporter] = key;
    if (received.evidence.move_revision() != config.move_revision()) continue;
    judged.judge->OnOutcomeCounts(reporter, received.incarnation,
                                  received.evidence);
  }
  return *judged.judge;
}

std::string MoveController::StageHoldReason(const std::string& service) const {
  auto found = m_active_analyzers.find(service);
  return found == m_active_analyzers.end()
             ? ""
             : found->second.judge->StageHoldReason();
}

}  // namespace kumquatmoor
