#include "kumquatmoor/node/node_settings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <random>

namespace kumquatmoor {
namespace {

constexpr char kValidSettings[] = R"({
  "id": "n1", "zone": "a",
  "caller_address": "127.0.0.1:7000", "data_address": "127.0.0.1:7001",
  "control_address": "127.0.0.1:7002", "admin_address": "127.0.0.1:7003",
  "platform_address": "127.0.0.1:7100", "seeds": ["127.0.0.2:7002"]
})";

auto ReadText(const std::string& text) {
  const std::string path = "node_settings_test.json";
  std::ofstream(path, std::ios::binary) << text;
  auto read = Attempt([&] { return ReadNodeSettings(path); });
  std::remove(path.c_str());
  return read;
}

// Returns the error message of reading settings with this text, or "".
std::string ReadProblem(const std::string& text) {
  const auto read = ReadText(text);
  const auto* failure = std::get_if<Failure>(&read);
  return failure == nullptr ? "" : failure->message;
}

std::string ValidSettingsWith(const std::string& old_text,
                              const std::string& new_text) {
  std::string text = kValidSettings;
  text.replace(text.find(old_text), old_text.size(), new_text);
  return text;
}

TEST_CASE("Valid settings are read without a problem") {
  CHECK(ReadProblem(kValidSettings).empty());
}

// Guards against requests that a drain cuts off long before SIGKILL where the
// deployment allows more than six seconds.
TEST_CASE("The times of a drain follow from the grace of a shutdown") {
  using std::chrono::milliseconds;
  const int grace_s = GENERATE(2, 6, 10, 30);
  const milliseconds grace(1'000 * grace_s);
  const std::string key = "\"shutdown_grace_s\": " + std::to_string(grace_s);
  const auto read =
      ReadText(ValidSettingsWith("\"seeds\"", key + ", \"seeds\""));
  const auto& settings = std::get<NodeSettings>(read);
  // Requests that run may take five sixths of the grace; the process needs some
  // time to end.
  CHECK(settings.drain_timeout >= grace * 5 / 6);
  CHECK(settings.drain_timeout <= grace * 9 / 10);
  CHECK(settings.caller_grace <= grace / 2);
  CHECK(settings.caller_grace >= std::min(milliseconds(3'000), grace / 2));
  // A time that is set explicitly has precedence.
  const auto other = ReadText(ValidSettingsWith(
      "\"seeds\"", key + ", \"drain_timeout_ms\": 700, \"seeds\""));
  CHECK(std::get<NodeSettings>(other).drain_timeout == milliseconds(700));
}

TEST_CASE("An invalid setting is reported with its key") {
  struct Case {
    const char* old_text;
    const char* new_text;
    const char* problem;
  };
  const Case cases[] = {
      {"\"zone\"", "\"zonee\"", "zone: is missing"},
      {"\"n1\"", "1", "id: expected a string"},
      {"127.0.0.1:7001", "127.0.0.1:7000",
       "data_address: is the same as caller_address"},
      {"\"seeds\"", "\"max_attempts\": 0, \"seeds\"",
       "max_attempts: expected 1 to 10, got 0"},
      {"\"seeds\"", "\"memory_mb\": -1, \"seeds\"",
       "memory_mb: expected 0 to 1000000, got -1"},
      {"\"seeds\"", "\"log_level\": \"loud\", \"seeds\"",
       "log_level: expected trace"},
      {"127.0.0.2:7002", "somewhere", "seeds[0]: expected IP:PORT"},
  };
  for (const auto& c : cases) {
    INFO(c.new_text);
    CHECK_THAT(ReadProblem(ValidSettingsWith(c.old_text, c.new_text)),
               Catch::Contains(c.problem));
  }
}

TEST_CASE("Garbage, truncated and oversized files are reported as such") {
  std::mt19937_64 rng(1);
  std::string garbage(500'000, ' ');
  for (char& c : garbage) c = static_cast<char>(rng());
  CHECK_THAT(ReadProblem(garbage), Catch::Contains("not valid JSON"));
  CHECK_THAT(ReadProblem(std::string(500'000, '[')),
             Catch::Contains("not valid JSON"));
  CHECK_THAT(ReadProblem(std::string(kValidSettings, 100)),
             Catch::Contains("not valid JSON"));
  CHECK_THAT(ReadProblem(std::string(5U << 20U, ' ')),
             Catch::Contains("larger than 4 MiB"));
  CHECK_THAT(ReadProblem(""), Catch::Contains("not valid JSON"));
}

}  // namespace
}  // namespace kumquatmoor
