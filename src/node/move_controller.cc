// Analyzers and the pilot zone are selected by rendezvous hashing: each member
// computes the same selection from its own member list, and when a member
// fails, only the services that it analyzed get another analyzer.

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

// The subject contains the move's revision, so that the pilot zone differs from
// move to move.
std::string PilotSubject(const ServiceConfig& config) {
  return fmt::format("pilot/{}/{}", config.service(), config.move_revision());
}

// Converts a decision into the mark that replicates it to the other members.
class DecisionToMark {
 public:
  DecisionToMark(const ServiceConfig& config,
                 const MoveControllerOptions& options, int64_t unix_ms)
      : m_config(config), m_options(options), m_unix_ms(unix_ms) {}

  MoveMark operator()(const RaiseStage& decision) const {
    spdlog::info(
        "move: event=stage_raised service={} stage_permille={} zone={} "
        "reason=\"{}\"",
        m_config.service(), decision.stage_permille, m_options.zone,
        decision.reason);
    MoveMark mark = EmptyMark();
    (*mark.mutable_stage_permille())[m_options.zone] = decision.stage_permille;
    return mark;
  }

  MoveMark operator()(const RecallVersion& decision) const {
    spdlog::warn("move: event=recalled service={} version={} reason=\"{}\"",
                 m_config.service(), decision.version, decision.reason);
    MoveMark mark = EmptyMark();
    Recall* recall = mark.add_recalls();
    recall->set_version(decision.version);
    recall->set_reason(decision.reason);
    recall->set_decided_by(m_options.id);
    recall->set_decided_ms(m_unix_ms);
    return mark;
  }

  MoveMark operator()(const SettleZone& /*decision*/) const {
    spdlog::info("move: event=settled service={} zone={}", m_config.service(),
                 m_options.zone);
    MoveMark mark = EmptyMark();
    (*mark.mutable_settled())[m_options.zone] = true;
    return mark;
  }

  MoveMark operator()(const ExcludeTarget& decision) const {
    spdlog::warn(
        "move: event=target_excluded member={} service={} version={} "
        "reason=\"{}\"",
        decision.member_id, m_config.service(), decision.version,
        decision.reason);
    MoveMark mark = EmptyMark();
    mark.add_blamed(decision.member_id);
    return mark;
  }

 private:
  MoveMark EmptyMark() const {
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
  const auto is_canary = [&](const std::string& version) {
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
      if (!is_canary(endpoint.version())) continue;
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
  const Row* default_row = nullptr;
  for (const auto& row : config.rows()) {
    if (row.version() == version) return &row;
    if (row.version() == kAnyOtherVersion) default_row = &row;
  }
  return default_row;
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

// True if the member has a target of an outgoing version that still has to
// retire.
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
    const bool outgoing = std::any_of(
        members.begin(), members.end(), [&](const MemberRecord* member) {
          return HasOutgoingTarget(config, *member);
        });
    if (!outgoing) outcome = MoveOutcome::kDone;
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

// Selected among the hosts of the service, so that the cost doesn't grow with
// the number of members of the mesh.
std::string MoveController::MeshAnalyzer(const std::string& service,
                                         const MemberList& members) const {
  std::vector<std::string> ids;
  for (const auto* member : members.MembersOf(service)) {
    if (member->status() == ALIVE) ids.push_back(member->id());
  }
  const auto top = RendezvousTop(ids, "judge/" + service, 1);
  return top.empty() ? "" : top.front();
}

// In a move with a duration, the analyzers of the pilot zone receive the
// reports of every zone as well. While the pilot zone is ahead, the baseline
// versions run in the other zones only, so its analyzers would have nothing to
// compare the canary versions with.
std::vector<std::string> MoveController::MeshAnalyzers(
    const ServiceConfig& config, const Replica& replica, TimePoint now) const {
  const MemberList& members = replica.Members();
  std::vector<std::string> analyzers;
  if (config.move_within_ms() > 0) {
    const auto& progress =
        replica.Marks().Progress(config.service(), config.move_revision());
    const auto routable = replica.RoutableMembersOf(
        config.service(), replica.UnreachableZones(now));
    const std::string pilot =
        CountTargets(config, progress, routable).pilot_zone;
    if (!pilot.empty())
      analyzers = ZoneAnalyzers(config.service(), pilot, members);
  }
  analyzers.push_back(MeshAnalyzer(config.service(), members));
  return analyzers;
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
    Evidence counts = m_outcome_counters.Report(service, version);
    counts.set_move_revision(config->move_revision());
    counts.set_slots(m_slots[key]);
    Pacers& pacers = m_pacers[key];
    std::vector<std::string> receivers;
    if (pacers.zone.Take(counts, now)) {
      receivers = ZoneAnalyzers(service, m_options.zone, replica.Members());
    }
    if (pacers.mesh.Take(counts, now)) {
      for (auto& analyzer : MeshAnalyzers(*config, replica, now)) {
        const bool listed = std::find(receivers.begin(), receivers.end(),
                                      analyzer) != receivers.end();
        if (!listed) receivers.push_back(std::move(analyzer));
      }
    }
    for (const auto& receiver : receivers) {
      reports.push_back({.receiver = receiver, .counts = counts});
    }
  }
  return reports;
}

void MoveController::OnOutcomeCounts(const std::string& reporter,
                                     int64_t incarnation,
                                     const Evidence& counts) {
  Received& received =
      m_received[counts.service()][{counts.version(), reporter}];
  if (incarnation < received.incarnation) return;
  received = {.incarnation = incarnation, .counts = counts};
  auto found = m_active_analyzers.find(counts.service());
  if (found == m_active_analyzers.end()) return;
  if (counts.move_revision() != found->second.move_revision) return;
  found->second.analyzer->OnOutcomeCounts(reporter, incarnation, counts);
}

std::vector<MoveMark> MoveController::Analyze(const Replica& replica,
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
    // Starts the move's duration on every node, so that a node that becomes an
    // analyzer later computes the deadline from the start of the move.
    DeadlineOf(config, time.now);
    const MemberList& members = replica.Members();
    const auto zone_analyzers =
        ZoneAnalyzers(config.service(), m_options.zone, members);
    const bool analyzes_zone =
        std::find(zone_analyzers.begin(), zone_analyzers.end(), m_options.id) !=
        zone_analyzers.end();
    if (!analyzes_zone &&
        MeshAnalyzer(config.service(), members) != m_options.id) {
      m_active_analyzers.erase(config.service());
      continue;
    }
    CanaryAnalyzer& analyzer = AnalyzerFor(config, time);
    const auto& progress =
        replica.Marks().Progress(config.service(), config.move_revision());
    const auto routable =
        replica.RoutableMembersOf(config.service(), unreachable);
    const DecisionToMark to_mark(config, m_options, time.unix_ms);
    const auto targets = CountTargets(config, progress, routable);
    for (const auto& decision : analyzer.Tick(time, progress, targets)) {
      const bool is_zone_decision =
          std::holds_alternative<RaiseStage>(decision) ||
          std::holds_alternative<SettleZone>(decision);
      if (is_zone_decision && !analyzes_zone) continue;
      marks.push_back(std::visit(to_mark, decision));
    }
  }
  return marks;
}

std::optional<TimePoint> MoveController::DeadlineOf(const ServiceConfig& config,
                                                    TimePoint now) {
  if (config.move_within_ms() == 0) return std::nullopt;
  FirstSeen& first_seen = m_first_seen[config.service()];
  if (first_seen.move_revision != config.move_revision()) {
    first_seen = {.move_revision = config.move_revision(), .at = now};
  }
  return first_seen.at + std::chrono::milliseconds(config.move_within_ms());
}

CanaryAnalyzer& MoveController::AnalyzerFor(const ServiceConfig& config,
                                            ClockReading time) {
  ActiveAnalyzer& active = m_active_analyzers[config.service()];
  if (active.analyzer != nullptr) return *active.analyzer;
  active.move_revision = config.move_revision();
  const auto deadline = DeadlineOf(config, time.now);
  CanaryAnalyzerOptions options =
      deadline ? ShortMoveOptions(m_options.zone, *deadline)
               : CanaryAnalyzerOptions{.zone = m_options.zone};
  active.analyzer =
      std::make_unique<CanaryAnalyzer>(config, std::move(options), time);
  for (const auto& [key, received] : m_received[config.service()]) {
    const auto& [version, reporter] = key;
    if (received.counts.move_revision() != config.move_revision()) continue;
    active.analyzer->OnOutcomeCounts(reporter, received.incarnation,
                                     received.counts);
  }
  return *active.analyzer;
}

std::string MoveController::StageHoldReason(const std::string& service) const {
  auto found = m_active_analyzers.find(service);
  return found == m_active_analyzers.end()
             ? ""
             : found->second.analyzer->StageHoldReason();
}

}  // namespace kumquatmoor
