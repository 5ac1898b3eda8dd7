#include "kumquatmoor/protocol/json_reader.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

// Reads `text` with each kind of field and returns the problems.
std::vector<std::string> ReadProblems(const std::string& text) {
  const auto value = boost::json::parse(text);
  std::vector<std::string> problems;
  JsonReader reader(value, "", &problems);
  reader.RequiredString("id");
  reader.RequiredAddress("address");
  reader.Integer("count", {.fallback = 1, .minimum = 1, .maximum = 9});
  reader.Bool("flag", false);
  reader.Addresses("peers");
  JsonReader inner = reader.Object("limits");
  inner.Integer("slots", {.fallback = 1, .minimum = 1});
  inner.RejectUnknownKeys();
  reader.RejectUnknownKeys();
  return problems;
}

TEST_CASE("JsonReader reports each invalid field with the path of its key") {
  struct Case {
    const char* text;
    const char* problem;
  };
  const Case cases[] = {
      {R"({"address":"127.0.0.1:1"})", "id: is missing"},
      {R"({"id":"","address":"127.0.0.1:1"})", "id: is empty"},
      {R"({"id":7,"address":"127.0.0.1:1"})", "id: expected a string"},
      {R"({"id":"a","address":"localhost:1"})",
       "address: expected IP:PORT, got \"localhost:1\""},
      {R"({"id":"a","address":"127.0.0.1:0"})",
       "address: expected IP:PORT, got \"127.0.0.1:0\""},
      {R"({"id":"a","address":"127.0.0.1:1","count":10})",
       "count: expected 1 to 9, got 10"},
      {R"({"id":"a","address":"127.0.0.1:1","count":1.5})",
       "count: expected a whole number"},
      {R"({"id":"a","address":"127.0.0.1:1","flag":1})",
       "flag: expected true or false"},
      {R"({"id":"a","address":"127.0.0.1:1","peers":["x"]})",
       "peers[0]: expected IP:PORT"},
      {R"({"id":"a","address":"127.0.0.1:1","limits":{"slots":0}})",
       "limits.slots: expected 1 to 9223372036854775807, got 0"},
      {R"({"id":"a","address":"127.0.0.1:1","limits":{"x":0}})",
       "limits.x: unknown key"},
      {R"({"id":"a","address":"127.0.0.1:1","limits":[]})",
       "limits: expected an object"},
      {R"({"id":"a","address":"127.0.0.1:1","typo":0})", "typo: unknown key"},
  };
  for (const auto& c : cases) {
    INFO(c.text);
    CHECK(ReadProblems(c.text) == std::vector<std::string>{c.problem});
  }
  CHECK(ReadProblems(R"({"id":"a","address":"[::1]:80"})").empty());
}

}  // namespace
}  // namespace kumquatmoor
