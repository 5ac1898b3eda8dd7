#include "kumquatmoor/coordination/departures.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json.hpp>

#include "kumquatmoor/protocol/json_reader.h"

namespace kumquatmoor {
namespace {

namespace json = boost::json;

// Reads the list of an entry. Fields of another type make it invalid.
std::vector<LeavingInstance> ReadLeaving(const json::value& value,
                                         std::vector<std::string>* problems) {
  std::vector<LeavingInstance> leaving;
  const auto* object = value.if_object();
  const auto* list =
      object == nullptr ? nullptr : object->if_contains("leaving");
  if (list == nullptr || !list->is_array()) {
    problems->emplace_back("leaving is no list");
    return leaving;
  }
  for (const auto& item : list->as_array()) {
    if (leaving.size() == kMaxDepartures) break;
    JsonReader reader(item, "leaving", problems);
    LeavingInstance instance;
    instance.set_instance(reader.RequiredString("instance"));
    instance.set_started_ms(reader.Integer("started_ms", {}));
    leaving.push_back(std::move(instance));
  }
  return leaving;
}

}  // namespace

std::string DepartureKey(const std::string& member_id) {
  return kDeparturePrefix + member_id;
}

std::string FormatDepartures(const DepartureEntry& entry) {
  json::array leaving;
  for (const auto& instance : entry.leaving) {
    leaving.push_back({{"instance", instance.instance()},
                       {"started_ms", instance.started_ms()}});
  }
  return json::serialize(json::object{{"id", entry.member_id},
                                      {"zone", entry.zone},
                                      {"written_ms", entry.written_ms},
                                      {"leaving", std::move(leaving)}});
}

std::vector<DepartureEntry> ParseDepartures(
    std::span<const PlatformItem> items) {
  std::vector<DepartureEntry> entries;
  for (const auto& item : items) {
    if (!item.key.starts_with(kDeparturePrefix)) continue;
    if (item.entry.version == 0) continue;
    json::error_code error;
    const auto value = json::parse(item.entry.value, error);
    std::vector<std::string> problems;
    JsonReader reader(value, "", &problems);
    DepartureEntry entry;
    entry.member_id = reader.RequiredString("id");
    entry.zone = reader.RequiredString("zone");
    entry.written_ms = reader.Integer("written_ms", {});
    entry.leaving = ReadLeaving(value, &problems);
    const bool is_own_key = DepartureKey(entry.member_id) == item.key;
    if (error || !problems.empty() || !is_own_key) {
      spdlog::warn("departures: event=entry_ignored key={} problem=\"{}\"",
                   item.key, problems.empty() ? "damaged" : problems.front());
      continue;
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool HasDeparture(const DepartureEntry& entry, const LeavingInstance& leaving) {
  return std::any_of(entry.leaving.begin(), entry.leaving.end(),
                     [&](const auto& known) {
                       return known.instance() == leaving.instance() &&
                              known.started_ms() >= leaving.started_ms();
                     });
}

bool AddDeparture(const LeavingInstance& leaving, DepartureEntry* entry) {
  if (HasDeparture(*entry, leaving)) return false;
  std::erase_if(entry->leaving, [&](const auto& known) {
    return known.instance() == leaving.instance();
  });
  entry->leaving.push_back(leaving);
  if (entry->leaving.size() > kMaxDepartures) {
    entry->leaving.erase(entry->leaving.begin());
  }
  return true;
}

}  // namespace kumquatmoor
