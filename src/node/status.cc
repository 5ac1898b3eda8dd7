#include "kumquatmoor/node/status.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

#include "kumquatmoor/state/batch.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {
namespace {

std::set<std::string> ZonesOf(const std::vector<MemberRecord>& live) {
  std::set<std::string> zones;
  for (const auto& member : live) zones.insert(member.zone());
  return zones;
}

bool IsFullEverywhere(const MoveProgress& progress,
                      const std::vector<MemberRecord>& live) {
  const auto zones = ZonesOf(live);
  return std::all_of(zones.begin(), zones.end(), [&](const auto& zone) {
    return progress.StageOf(zone) >= kFullStage;
  });
}

bool IsSettledEverywhere(const MoveProgress& progress,
                         const std::vector<MemberRecord>& live) {
  const auto zones = ZonesOf(live);
  return !zones.empty() &&
         std::all_of(zones.begin(), zones.end(), [&](const auto& zone) {
           return progress.settled.count(zone) > 0;
         });
}

std::string RecallText(const MoveProgress& progress) {
  const auto& [version, recall] = *progress.recalls.begin();
  return fmt::format("{}: {} (by {} at {})", version, recall.reason(),
                     recall.decided_by(), FormatTime(recall.decided_ms()));
}

VersionStatus MakeVersionStatus(const Row& row, const std::string& service,
                                const std::vector<MemberRecord>& live) {
  VersionStatus status;
  status.set_version(row.version());
  status.set_weight(row.weight());
  status.set_from_weight(row.from_weight());
  for (const auto& member : live) {
    for (const auto& endpoint : member.endpoints()) {
      if (endpoint.service() != service) continue;
      if (endpoint.version() != row.version() || endpoint.draining()) continue;
      status.set_targets(status.targets() + 1);
      status.set_slots(status.slots() + endpoint.slots());
    }
  }
  return status;
}

// The names of the excluded targets as text, or "" if there are none.
std::string ExcludedText(const MoveProgress& progress) {
  if (progress.excluded.empty()) return "";
  return fmt::format("set aside, as they alone fail: the targets of {}",
                     fmt::join(progress.excluded, ", "));
}

// Why the move may miss its deadline, according to the state that every node
// has; "no deadline" if it has none, "" if no risk is known.
std::string DeadlineRiskText(const ServiceStatus& status,
                             const ServiceConfig& config) {
  uint32_t total_slots = 0;
  for (const auto& version : status.versions()) total_slots += version.slots();
  for (const auto& version : status.versions()) {
    if (version.weight() <= version.from_weight()) continue;
    if (version.targets() == 0) {
      return fmt::format("{} has no live target", version.version());
    }
    // The version's share of all slots is less than half of its share of the
    // traffic.
    if (version.slots() * 2 * kFullWeight < version.weight() * total_slots) {
      return fmt::format("{} has {} of {} slots for {}% of the traffic",
                         version.version(), version.slots(), total_slots,
                         version.weight());
    }
  }
  return MoveDeadline(config) == 0 ? "no deadline" : "";
}

}  // namespace

ServiceStatus MakeServiceStatus(const ServiceConfig& config,
                                const Replica& replica,
                                const MoveController& move_controller,
                                int64_t unix_ms) {
  const auto live = replica.LiveMembers();
  const auto& progress =
      replica.Marks().Progress(config.service(), config.move_revision());
  ServiceStatus status;
  status.set_service(config.service());
  status.set_move_revision(config.move_revision());
  status.set_move_by_ms(MoveDeadline(config));
  for (const auto& [zone, stage] : progress.stage_permille) {
    (*status.mutable_stage_permille())[zone] = stage;
  }
  for (const auto& row : config.rows()) {
    *status.add_versions() = MakeVersionStatus(row, config.service(), live);
  }
  if (!HasMove(config)) {
    status.set_outcome("steady");
  } else if (progress.IsRecalled()) {
    status.set_outcome("taken back");
    status.set_reason(RecallText(progress));
  } else if (IsSettledEverywhere(progress, live)) {
    status.set_outcome("done");
  } else {
    const int64_t deadline = MoveDeadline(config);
    const bool late =
        deadline > 0 && unix_ms > deadline && !IsFullEverywhere(progress, live);
    status.set_outcome(late ? "late" : "moving");
    const std::string hold_reason =
        move_controller.StageHoldReason(config.service());
    std::string reason =
        hold_reason.empty() ? DeadlineRiskText(status, config) : hold_reason;
    const std::string excluded = ExcludedText(progress);
    if (!reason.empty() && !excluded.empty()) reason += "; ";
    status.set_reason(reason + excluded);
  }
  return status;
}

std::vector<std::string> ExplainService(const std::string& service,
                                        const Replica& replica,
                                        const std::string& zone) {
  std::vector<std::string> lines;
  const ServiceConfig* config = FindService(replica.CurrentBatch(), service);
  if (config == nullptr) {
    lines.push_back("The table has no row for " + service + ".");
    return lines;
  }
  const auto live = replica.RoutableMembers(Clock::now());
  const auto table =
      BuildRoutes(replica.CurrentBatch(), replica.Marks(), live, zone);
  const auto& progress =
      replica.Marks().Progress(service, config->move_revision());
  lines.push_back(fmt::format(
      "Revision {}, move of revision {}, stage {} per mille in zone {}.",
      FormatRevision(replica.CurrentBatch().revision()),
      FormatRevision(config->move_revision()), progress.StageOf(zone), zone));
  if (progress.IsRecalled()) {
    lines.push_back("Taken back: " + RecallText(progress) + ".");
  }
  if (const std::string excluded = ExcludedText(progress); !excluded.empty()) {
    lines.push_back("Until the move is settled " + excluded + ".");
  }
  const ServiceRoutes* routes = table->Find(service);
  for (const auto& row : config->rows()) {
    const VersionRoutes* version =
        routes == nullptr ? nullptr : routes->Find(row.version());
    if (version == nullptr) {
      lines.push_back(
          fmt::format("{}: gets no request; it has no live target or no share.",
                      row.version()));
      continue;
    }
    lines.push_back(fmt::format(
        "{}: {:.1f}% of idempotent and {:.1f}% of other requests.",
        row.version(), version->read_share * 100, version->write_share * 100));
    for (const auto& target : version->targets) {
      lines.push_back(fmt::format("  target {} in zone {} at {}, {} slots{}.",
                                  target.member_id, target.zone,
                                  target.data_address, target.slots,
                                  target.zone == zone ? ", preferred" : ""));
    }
  }
  return lines;
}

RecallMark MakeRecallMark(const RecallRequest& request, const Batch& batch,
                          int64_t unix_ms) {
  RecallMark result;
  const ServiceConfig* config = FindService(batch, request.service());
  if (config == nullptr) {
    result.problem = "the table has no service " + request.service();
    return result;
  }
  const bool is_canary = std::any_of(
      config->rows().begin(), config->rows().end(), [&](const Row& row) {
        return row.version() == request.version() && IsCanary(row);
      });
  if (!is_canary) {
    result.problem = fmt::format(
        "{}/{} is not being moved to; change its weight with `table edit`",
        request.service(), request.version());
    return result;
  }
  result.mark.set_service(request.service());
  result.mark.set_move_revision(config->move_revision());
  Recall* recall = result.mark.add_recalls();
  recall->set_version(request.version());
  recall->set_reason(request.reason());
  recall->set_decided_by(request.author());
  recall->set_decided_ms(unix_ms);
  return result;
}

}  // namespace kumquatmoor
