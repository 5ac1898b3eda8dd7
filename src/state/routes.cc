// Targets are grouped by (service, version) and assigned to the rows of the
// batch. The share of a row is interpolated between its weights before and
// after the move, by the stage of the zone. The share of requests with side
// effects lags by one stage: a canary version gets idempotent requests first.

#include "kumquatmoor/state/routes.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "kumquatmoor/state/batch.h"

namespace kumquatmoor {
namespace {

using TargetMap = std::map<std::pair<std::string, std::string>,
                           std::vector<Target>>;  // By (service, version).

TargetMap CollectTargets(std::span<const MemberRecord> members,
                         const ZoneSet& evacuated_zones) {
  TargetMap targets;
  for (const auto& member : members) {
    if (member.status() != ALIVE) continue;
    if (evacuated_zones.contains(member.zone())) continue;
    for (const auto& endpoint : member.endpoints()) {
      if (endpoint.draining() || endpoint.retired()) continue;
      targets[{endpoint.service(), endpoint.version()}].push_back(
          {.member_id = member.id(),
           .zone = member.zone(),
           .version = endpoint.version(),
           .data_address = member.data_address(),
           .incarnation = member.incarnation(),
           .slots = std::max(1U, endpoint.slots()),
           .cold_rate = endpoint.cold_rate()});
    }
  }
  return targets;
}

// The targets that `row` applies to.
std::vector<Target> TargetsOfRow(const ServiceConfig& config, const Row& row,
                                 const TargetMap& targets) {
  std::vector<Target> found;
  const auto has_row = [&](const std::string& version) {
    return std::any_of(
        config.rows().begin(), config.rows().end(),
        [&](const Row& other) { return other.version() == version; });
  };
  const bool any_other = row.version() == kAnyOtherVersion;
  for (auto it = targets.lower_bound({config.service(), ""});
       it != targets.end() && it->first.first == config.service(); ++it) {
    const std::string& version = it->first.second;
    const bool wanted =
        any_other ? !has_row(version) : version == row.version();
    if (!wanted) continue;
    found.insert(found.end(), it->second.begin(), it->second.end());
  }
  return found;
}

// The targets of a canary version without the excluded ones, which get requests
// again once the zone has settled. If all targets are excluded, the version is
// at fault and none is left out.
std::vector<Target> WithoutExcluded(const std::vector<Target>& targets,
                                    const MoveProgress& progress) {
  std::vector<Target> kept = targets;
  std::erase_if(kept, [&](const Target& target) {
    return progress.excluded.count(target.member_id) > 0;
  });
  return kept.empty() ? targets : kept;
}

// True if `zone` is more than one stage ahead of another zone: it is the pilot
// zone. Without a pilot, zones may still differ by one stage, as they do not
// reach a stage at the same moment.
bool IsPilotZone(const MoveProgress& progress, const std::string& zone) {
  const uint32_t stage = progress.StageOf(zone);
  return std::any_of(
      progress.stage_permille.begin(), progress.stage_permille.end(),
      [&](const auto& other) { return NextStage(other.second) < stage; });
}

ServiceRoutes BuildService(const ServiceConfig& config,
                           const MoveProgress& progress,
                           const TargetMap& targets, const std::string& zone) {
  ServiceRoutes routes;
  routes.service = config.service();
  routes.move_revision = config.move_revision();
  const uint32_t stage = progress.StageOf(zone);
  const bool recalled = progress.IsRecalled();
  const bool settled = progress.settled.count(zone) > 0;
  const bool is_pilot = IsPilotZone(progress, zone);
  for (const auto& row : config.rows()) {
    std::vector<Target> found = TargetsOfRow(config, row, targets);
    if (found.empty()) continue;
    const double read_share = ShareAt(row, stage, recalled);
    const double write_share = ShareAt(row, PreviousStage(stage), recalled);
    if (read_share <= 0 && write_share <= 0) continue;
    const bool under_test = IsCanary(row) && !settled;
    routes.versions.push_back({.version = row.version(),
                               .read_share = read_share,
                               .write_share = write_share,
                               .max_concurrent = row.max_concurrent(),
                               .max_rate = row.max_rate(),
                               .packed = under_test && is_pilot,
                               .targets = under_test
                                              ? WithoutExcluded(found, progress)
                                              : std::move(found)});
  }
  return routes;
}

}  // namespace

const VersionRoutes* ServiceRoutes::Find(std::string_view version) const {
  auto found = std::find_if(
      versions.begin(), versions.end(),
      [&](const auto& routes) { return routes.version == version; });
  return found == versions.end() ? nullptr : &*found;
}

const ServiceRoutes* RouteTable::Find(std::string_view service) const {
  auto found = services.find(service);
  return found == services.end() ? nullptr : found->second.get();
}

uint32_t NextStage(uint32_t stage) {
  const auto* next =
      std::upper_bound(std::begin(kStages), std::end(kStages), stage);
  return next == std::end(kStages) ? kFullStage : *next;
}

uint32_t PreviousStage(uint32_t stage) {
  // At full stage the new weights apply to all requests, idempotent or not.
  if (stage >= kFullStage) return kFullStage;
  const auto* at =
      std::lower_bound(std::begin(kStages), std::end(kStages), stage);
  return at == std::begin(kStages) ? 0 : *std::prev(at);
}

double ShareAt(const Row& row, uint32_t stage_permille, bool recalled) {
  const double from = row.from_weight();
  const double goal = recalled ? from : row.weight();
  const double share =
      from + (goal - from) * stage_permille / static_cast<double>(kFullStage);
  return share / kFullWeight;
}

namespace {

// Replaces the routes of one service in `table`; removes the service if it has
// no routes.
void RebuildService(const std::string& service, const Batch& batch,
                    const MarkSet& marks, const TargetMap& targets,
                    RouteTable* table) {
  table->services.erase(service);
  std::erase_if(table->recalled,
                [&](const auto& item) { return item.first == service; });
  const ServiceConfig* config = FindService(batch, service);
  if (config == nullptr) return;
  const auto& progress = marks.Progress(service, config->move_revision());
  for (const auto& [version, recall] : progress.recalls) {
    table->recalled.emplace(service, version);
  }
  // A version without weight before and after the move counts as recalled: an
  // earlier move rolled it back.
  for (const auto& row : config->rows()) {
    if (row.weight() == 0 && row.from_weight() == 0) {
      table->recalled.emplace(service, row.version());
    }
  }
  ServiceRoutes routes = BuildService(*config, progress, targets, table->zone);
  if (routes.versions.empty()) return;
  table->services.emplace(
      service, std::make_shared<const ServiceRoutes>(std::move(routes)));
}

ZoneSet EvacuatedZonesOf(const Batch& batch, const ZoneSet& kept_zones) {
  ZoneSet zones = EvacuatedZonesOf(batch);
  zones.insert(kept_zones.begin(), kept_zones.end());
  return zones;
}

// The services of the batch and of the table.
std::set<std::string> AllServices(const Batch& batch, const RouteTable& table) {
  std::set<std::string> all;
  for (const auto& config : batch.services()) all.insert(config.service());
  for (const auto& [service, routes] : table.services) all.insert(service);
  return all;
}

}  // namespace

std::shared_ptr<const RouteTable> BuildRoutes(
    const Batch& batch, const MarkSet& marks,
    std::span<const MemberRecord> members, const std::string& zone,
    const ZoneSet& kept_zones) {
  auto table = std::make_shared<RouteTable>();
  table->evacuated_zones = EvacuatedZonesOf(batch, kept_zones);
  const TargetMap targets = CollectTargets(members, table->evacuated_zones);
  table->revision = batch.revision();
  table->zone = zone;
  table->http_routes = std::make_shared<const HttpRouteIndex>(batch);
  table->organisations = std::make_shared<const OrganisationIndex>(batch);
  for (const auto& config : batch.services()) {
    RebuildService(config.service(), batch, marks, targets, table.get());
  }
  return table;
}

std::shared_ptr<const RouteTable> UpdateRoutes(
    const RouteTable& previous, const Batch& batch, const MarkSet& marks,
    const std::set<std::string>& changed, const MembersOfService& members_of,
    const ZoneSet& kept_zones) {
  auto table = std::make_shared<RouteTable>(previous);
  table->evacuated_zones = EvacuatedZonesOf(batch, kept_zones);
  const bool has_other_zones =
      table->evacuated_zones != previous.evacuated_zones;
  if (table->revision != batch.revision()) {
    table->revision = batch.revision();
    table->http_routes = std::make_shared<const HttpRouteIndex>(batch);
    table->organisations = std::make_shared<const OrganisationIndex>(batch);
  }
  for (const auto& service :
       has_other_zones ? AllServices(batch, previous) : changed) {
    const auto members = members_of(service);
    RebuildService(service, batch, marks,
                   CollectTargets(members, table->evacuated_zones),
                   table.get());
  }
  return table;
}

}  // namespace kumquatmoor
