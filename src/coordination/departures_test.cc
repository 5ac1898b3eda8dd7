#include "kumquatmoor/coordination/departures.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

LeavingInstance Leaving(const std::string& instance, int64_t started_ms) {
  LeavingInstance leaving;
  leaving.set_instance(instance);
  leaving.set_started_ms(started_ms);
  return leaving;
}

PlatformItem ItemOf(const std::string& key, const std::string& value) {
  return {.key = key, .entry = {.value = value, .version = 1}};
}

TEST_CASE("An entry of departures is read as it was written") {
  DepartureEntry entry{.member_id = "n1", .zone = "z", .written_ms = 7};
  CHECK(AddDeparture(Leaving("i-1", 5), &entry));
  CHECK(AddDeparture(Leaving("i-2", 6), &entry));
  const PlatformItem item = ItemOf(DepartureKey("n1"), FormatDepartures(entry));
  const auto parsed = ParseDepartures(std::span(&item, 1));
  REQUIRE(parsed.size() == 1);
  CHECK(parsed[0].zone == "z");
  CHECK(parsed[0].written_ms == 7);
  CHECK(HasDeparture(parsed[0], Leaving("i-1", 5)));
  CHECK(HasDeparture(parsed[0], Leaving("i-2", 6)));
  CHECK_FALSE(HasDeparture(parsed[0], Leaving("i-1", 6)));
}

TEST_CASE("Entries of other writers are ignored, the others hold") {
  DepartureEntry entry{.member_id = "n1", .zone = "z"};
  AddDeparture(Leaving("i-1", 5), &entry);
  const std::string good = FormatDepartures(entry);
  for (const std::string& value :
       {std::string("\xff\xfe"), std::string("7"), std::string("{}"),
        std::string(R"({"id":"n1","zone":"z","written_ms":1,"leaving":7})"),
        std::string(R"({"id":"n1","zone":"z","leaving":[{"instance":7}]})"),
        std::string(R"({"id":"n2","zone":"z","written_ms":1,"leaving":[]})")}) {
    INFO(value);
    const std::vector<PlatformItem> items = {ItemOf("leaving/n1", value),
                                             ItemOf("leaving/n1", good)};
    CHECK(ParseDepartures(items).size() == 1);
  }
}

TEST_CASE("An entry holds the latest process of each of the last instances") {
  DepartureEntry entry;
  CHECK(AddDeparture(Leaving("i", 5), &entry));
  CHECK_FALSE(AddDeparture(Leaving("i", 4), &entry));
  CHECK(AddDeparture(Leaving("i", 6), &entry));
  CHECK(entry.leaving.size() == 1);
  for (size_t i = 0; i < kMaxDepartures; ++i) {
    CHECK(AddDeparture(Leaving("j" + std::to_string(i), 1), &entry));
  }
  CHECK(entry.leaving.size() == kMaxDepartures);
  CHECK_FALSE(HasDeparture(entry, Leaving("i", 6)));
}

}  // namespace
}  // namespace kumquatmoor
