// Services and routes are sorted, so two batches are compared by merging their
// lists. The weights before a move are computed once, when the batch is written
// (BuildBatch): nodes need no history to find the weights that a recall
// restores.

#include "kumquatmoor/state/batch.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

namespace kumquatmoor {
namespace {

using RowsByService = std::map<std::string, std::vector<const TableRow*>>;

// True if every zone of the move is at full stage and no version was recalled.
bool IsMoveComplete(const MoveProgress& progress) {
  if (progress.IsRecalled() || progress.stage_permille.empty()) return false;
  return std::all_of(
      progress.stage_permille.begin(), progress.stage_permille.end(),
      [](const auto& zone) { return zone.second >= kFullStage; });
}

// The weights that are in force, by version: the goal of a completed move,
// otherwise the weights before the move.
std::map<std::string, uint32_t> WeightsInForce(const ServiceConfig& config,
                                               const MarkSet& marks) {
  const auto& progress =
      marks.Progress(config.service(), config.move_revision());
  const bool goal_in_force = !HasMove(config) || IsMoveComplete(progress);
  std::map<std::string, uint32_t> weights;
  for (const auto& row : config.rows()) {
    weights[row.version()] = goal_in_force ? row.weight() : row.from_weight();
  }
  return weights;
}

// True if `rows` equal the rows of `config` that operators see.
bool SameRows(const ServiceConfig& config,
              const std::vector<const TableRow*>& rows) {
  std::map<std::string, const TableRow*> wanted;
  for (const auto* row : rows) wanted[row->version] = row;
  size_t visible = 0;
  for (const auto& row : config.rows()) {
    if (row.retiring()) continue;
    ++visible;
    auto found = wanted.find(row.version());
    if (found == wanted.end()) return false;
    const TableRow& other = *found->second;
    if (row.weight() != other.weight ||
        row.max_concurrent() != other.max_concurrent ||
        row.max_rate() != other.max_rate ||
        row.move_by_ms() != other.move_by_ms) {
      return false;
    }
  }
  return visible == wanted.size();
}

// A row without a move: the weight before it equals the goal.
Row MakeRow(const TableRow& row, uint64_t revision) {
  Row made;
  made.set_version(row.version);
  made.set_weight(row.weight);
  made.set_from_weight(row.weight);
  made.set_max_concurrent(row.max_concurrent);
  made.set_max_rate(row.max_rate);
  made.set_move_by_ms(row.move_by_ms);
  made.set_revision(revision);
  return made;
}

// The rows of a service that changed, with the weights before the new move. A
// service without `previous` starts at its goal.
ServiceConfig BuildService(const std::string& service,
                           const std::vector<const TableRow*>& rows,
                           const ServiceConfig* previous, const MarkSet& marks,
                           uint64_t revision, int64_t now_ms) {
  std::map<std::string, Row> built;
  for (const auto* row : rows) built[row->version] = MakeRow(*row, revision);
  if (previous != nullptr) {
    for (auto& [version, row] : built) row.set_from_weight(0);
    for (const auto& [version, weight] : WeightsInForce(*previous, marks)) {
      auto found = built.find(version);
      if (found != built.end()) {
        found->second.set_from_weight(weight);
      } else if (weight > 0) {
        Row& row = built[version];
        row.set_version(version);
        row.set_from_weight(weight);
        row.set_revision(revision);
        row.set_retiring(true);
      }
    }
  }
  ServiceConfig config;
  config.set_service(service);
  config.set_move_revision(revision);
  config.set_accepted_ms(now_ms);
  for (auto& [version, row] : built) *config.add_rows() = std::move(row);
  return config;
}

void CheckService(const ServiceConfig& config, uint64_t revision,
                  std::vector<std::string>* problems) {
  const auto report = [&](const std::string& message) {
    problems->push_back("service " + config.service() + ": " + message);
  };
  if (config.rows_size() == 0) report("no rows");
  if (config.move_revision() > revision) report("move of a later revision");
  uint32_t goal = 0;
  uint32_t before = 0;
  std::set<std::string> versions;
  for (const auto& row : config.rows()) {
    if (row.version().empty()) report("a row without a version");
    if (!versions.insert(row.version()).second) report("a version named twice");
    goal += row.weight();
    before += row.from_weight();
  }
  if (goal != kFullWeight) report("weights do not add up");
  if (before != kFullWeight) report("weights before the move do not add up");
}

// Compares two lists that are sorted by `name`. Calls `changed` for each item
// of `to` that is new or differs from that in `from`, and `removed` for each
// name that is only in `from`.
template <typename Items, typename Name, typename Changed, typename Removed>
void CompareSorted(const Items& from, const Items& to, Name name,
                   Changed changed, Removed removed) {
  auto old = from.begin();
  for (const auto& item : to) {
    while (old != from.end() && name(*old) < name(item)) removed(name(*old++));
    const bool known = old != from.end() && name(*old) == name(item);
    if (!known || old->SerializeAsString() != item.SerializeAsString()) {
      changed(item);
    }
    if (known) ++old;
  }
  while (old != from.end()) removed(name(*old++));
}

// Adds the items of `base` without the `removed` names, and with `changed` in
// the place of those of the same name, to `result`, sorted by name.
template <typename Items, typename Names, typename Name>
void ReplaceByName(const Items& base, const Items& changed,
                   const Names& removed, Name name, Items* result) {
  std::map<std::string, const typename Items::value_type*> by_name;
  for (const auto& item : base) by_name[name(item)] = &item;
  for (const auto& item : changed) by_name[name(item)] = &item;
  for (const auto& item_name : removed) by_name.erase(item_name);
  for (const auto& [item_name, item] : by_name) *result->Add() = *item;
}

void CheckRoute(const HttpRoute& route, const Batch& batch,
                std::vector<std::string>* problems) {
  const auto report = [&](const std::string& message) {
    problems->push_back("route " + route.name() + ": " + message);
  };
  const std::string& prefix = route.prefix();
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    report("the prefix does not begin and end with a slash");
  }
  uint64_t weights = 0;
  for (const auto& part : route.parts()) {
    weights += part.weight();
    if (FindService(batch, part.service()) == nullptr) {
      report("no service " + part.service());
    }
  }
  if (weights == 0) report("no service with a weight");
}

}  // namespace

Batch BuildBatch(const Batch& current, std::span<const TableRow> rows,
                 const MarkSet& marks, const BuildOptions& options) {
  RowsByService by_service;
  for (const auto& row : rows) by_service[row.service].push_back(&row);
  Batch batch;
  batch.set_revision(current.revision() + 1);
  batch.set_base_revision(current.revision());
  batch.set_base_key(options.base_key);
  batch.set_write_id(options.write_id);
  batch.set_author(options.author);
  batch.set_written_ms(options.now_ms);
  for (const auto& [service, service_rows] : by_service) {
    const ServiceConfig* previous = FindService(current, service);
    if (previous != nullptr && SameRows(*previous, service_rows)) {
      *batch.add_services() = *previous;
      continue;
    }
    *batch.add_services() = BuildService(service, service_rows, previous, marks,
                                         batch.revision(), options.now_ms);
  }
  return batch;
}

uint64_t BatchDigest(const Batch& batch) {
  const std::string bytes = batch.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

uint64_t DecisionDigest(const Batch& batch) {
  std::string bytes;
  const auto append = [&bytes](const auto& message) {
    const std::string part = message.SerializeAsString();
    bytes += std::to_string(part.size()) + ':' + part;
  };
  for (ServiceConfig service : batch.services()) {
    service.clear_order_revision();
    // The weights before a move differ by its completion only.
    for (auto& row : *service.mutable_rows()) row.clear_from_weight();
    append(service);
  }
  for (const auto& route : batch.routes()) append(route);
  append(batch.caller_limits());
  for (const auto& organisation : batch.organisations()) append(organisation);
  Batch rest;
  rest.set_requires_keys(batch.requires_keys());
  rest.set_has_http_routes(batch.has_http_routes());
  *rest.mutable_evacuated_zones() = batch.evacuated_zones();
  append(rest);
  return std::max<uint64_t>(XXH3_64bits(bytes.data(), bytes.size()), 1);
}

BatchDelta MakeDelta(const Batch& from, const Batch& to) {
  BatchDelta delta;
  delta.set_base_revision(from.revision());
  delta.set_revision(to.revision());
  delta.set_digest(BatchDigest(to));
  delta.set_batch_base_revision(to.base_revision());
  delta.set_base_key(to.base_key());
  delta.set_write_id(to.write_id());
  delta.set_author(to.author());
  delta.set_written_ms(to.written_ms());
  delta.set_config_version(to.config_version());
  delta.set_carried_weight(to.carried_weight());
  CompareSorted(
      from.services(), to.services(),
      [](const ServiceConfig& config) { return config.service(); },
      [&](const ServiceConfig& config) { *delta.add_changed() = config; },
      [&](const std::string& name) { delta.add_removed(name); });
  CompareSorted(
      from.routes(), to.routes(),
      [](const HttpRoute& route) { return route.name(); },
      [&](const HttpRoute& route) { *delta.add_changed_routes() = route; },
      [&](const std::string& name) { delta.add_removed_routes(name); });
  CompareSorted(
      from.organisations(), to.organisations(),
      [](const Organisation& organisation) { return organisation.name(); },
      [&](const Organisation& organisation) {
        *delta.add_changed_organisations() = organisation;
      },
      [&](const std::string& name) { delta.add_removed_organisations(name); });
  if (to.has_caller_limits()) {
    *delta.mutable_caller_limits() = to.caller_limits();
  }
  delta.set_requires_keys(to.requires_keys());
  delta.set_has_http_routes(to.has_http_routes());
  *delta.mutable_evacuated_zones() = to.evacuated_zones();
  return delta;
}

std::optional<Batch> ApplyDelta(const Batch& base, const BatchDelta& delta) {
  if (base.revision() != delta.base_revision()) return std::nullopt;
  Batch batch;
  batch.set_revision(delta.revision());
  batch.set_base_revision(delta.batch_base_revision());
  batch.set_base_key(delta.base_key());
  batch.set_write_id(delta.write_id());
  batch.set_author(delta.author());
  batch.set_written_ms(delta.written_ms());
  batch.set_config_version(delta.config_version());
  batch.set_carried_weight(delta.carried_weight());
  ReplaceByName(
      base.services(), delta.changed(), delta.removed(),
      [](const ServiceConfig& config) { return config.service(); },
      batch.mutable_services());
  ReplaceByName(
      base.routes(), delta.changed_routes(), delta.removed_routes(),
      [](const HttpRoute& route) { return route.name(); },
      batch.mutable_routes());
  ReplaceByName(
      base.organisations(), delta.changed_organisations(),
      delta.removed_organisations(),
      [](const Organisation& organisation) { return organisation.name(); },
      batch.mutable_organisations());
  batch.set_requires_keys(delta.requires_keys());
  batch.set_has_http_routes(delta.has_http_routes());
  *batch.mutable_evacuated_zones() = delta.evacuated_zones();
  if (delta.has_caller_limits()) {
    *batch.mutable_caller_limits() = delta.caller_limits();
  }
  if (BatchDigest(batch) != delta.digest()) return std::nullopt;
  return batch;
}

std::vector<std::string> CheckBatch(const Batch& batch) {
  std::vector<std::string> problems;
  if (batch.revision() == 0) problems.emplace_back("revision is 0");
  std::string last;
  for (const auto& config : batch.services()) {
    if (config.service() <= last) problems.emplace_back("services not sorted");
    last = config.service();
    CheckService(config, batch.revision(), &problems);
  }
  last.clear();
  for (const auto& route : batch.routes()) {
    if (route.name() <= last) problems.emplace_back("routes not sorted");
    last = route.name();
    CheckRoute(route, batch, &problems);
  }
  last.clear();
  for (const auto& organisation : batch.organisations()) {
    if (organisation.name() <= last) {
      problems.emplace_back("organisations not sorted");
    }
    last = organisation.name();
  }
  return problems;
}

const ServiceConfig* FindService(const Batch& batch, std::string_view service) {
  const auto& services = batch.services();
  auto found =
      std::lower_bound(services.begin(), services.end(), service,
                       [](const ServiceConfig& config, std::string_view name) {
                         return config.service() < name;
                       });
  if (found == services.end() || found->service() != service) return nullptr;
  return &*found;
}

bool HasMove(const ServiceConfig& config) {
  return std::any_of(config.rows().begin(), config.rows().end(), IsCanary);
}

int64_t MoveDeadline(const ServiceConfig& config) {
  int64_t deadline = 0;
  for (const auto& row : config.rows()) {
    if (IsCanary(row)) deadline = std::max(deadline, row.move_by_ms());
  }
  return deadline;
}

}  // namespace kumquatmoor
