#include "kumquatmoor/state/organisations.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace kumquatmoor {
namespace {

Batch MakeBatch(
    const std::vector<std::pair<std::string, std::vector<std::string>>>& keys) {
  Batch batch;
  batch.set_requires_keys(true);
  for (const auto& [name, list] : keys) {
    Organisation* organisation = batch.add_organisations();
    organisation->set_name(name);
    organisation->set_priority(3);
    for (const auto& key : list) organisation->add_key_hashes(HashApiKey(key));
  }
  return batch;
}

// Guards against nodes that compute different hashes, so that keys which one
// has read are unknown to the others. The value is that of sha256sum.
TEST_CASE("The hash of a key is the beginning of its SHA-256") {
  const std::string hash = HashApiKey("abc");
  CHECK(hash == std::string("\xba\x78\x16\xbf\x8f\x01\xcf\xea"
                            "\x41\x41\x40\xde\x5d\xae\x22\x23"));
}

// Guards against a request that is routed without a key, or for another
// organisation than that of its key.
TEST_CASE("A request is authenticated by its key, its route or its parent") {
  const OrganisationIndex index(
      MakeBatch({{"a", {"k1", "k2"}}, {"b", {"k3", "k9"}}, {"c", {"k9"}}}));
  using Outcome = Authentication::Outcome;
  struct Case {
    const char* credentials;
    bool is_public;
    ParentState parent;
    Outcome outcome;
    const char* organisation = "";
  };
  const auto none = ParentState::kNone;
  const auto running = ParentState::kRunning;
  const auto unknown = ParentState::kUnknown;
  const Case cases[] = {
      {"Token k2", false, none, Outcome::kOrganisation, "a"},
      {"token  k3 ", false, none, Outcome::kOrganisation, "b"},
      {"Token k1", true, none, Outcome::kOrganisation, "a"},
      {"Token k1", false, running, Outcome::kOrganisation, "a"},
      {"Token k4", false, none, Outcome::kUnknownKey},
      {"Token k9", false, none, Outcome::kUnknownKey},
      {"Bearer k1", false, none, Outcome::kUnknownKey},
      {"Tokenk1", false, none, Outcome::kUnknownKey},
      {"k1", false, none, Outcome::kUnknownKey},
      {"Token k4", true, none, Outcome::kOpen},
      {"Token k4", false, running, Outcome::kUnknownKey},
      {"Token k4", false, unknown, Outcome::kUnknownKey},
      {"Token", false, none, Outcome::kUnknownKey},
      {"", false, none, Outcome::kNoKey},
      {"", true, none, Outcome::kOpen},
      {"", false, running, Outcome::kCallOfBackend},
      {"", true, running, Outcome::kCallOfBackend},
      {"", false, unknown, Outcome::kUnknownParent},
      {"", true, unknown, Outcome::kOpen},
  };
  for (const auto& c : cases) {
    INFO(c.credentials << " public=" << c.is_public
                       << " parent=" << static_cast<int>(c.parent));
    const Authentication result =
        AuthenticateCaller(index, {.credentials = c.credentials,
                                   .scheme = "Token",
                                   .is_public = c.is_public,
                                   .parent = c.parent});
    CHECK(AuthenticationName(result.outcome) == AuthenticationName(c.outcome));
    const bool is_named = result.organisation != nullptr;
    CHECK((is_named ? result.organisation->name : "") == c.organisation);
    CHECK((is_named ? result.organisation->priority : 3) == 3);
    CHECK(result.key_hash.empty() != is_named);
  }
  // Which of several keys a backend server or a log would see is not known.
  CHECK(AuthenticateCaller(index, {.credentials = "Token k1",
                                   .scheme = "Token",
                                   .is_ambiguous = true})
            .outcome == Outcome::kUnknownKey);
}

// Guards against a change for deployments without organisations.
TEST_CASE("Without organisations every request is open") {
  const OrganisationIndex index((Batch()));
  CHECK(AuthenticateCaller(index, {.credentials = "Token k", .scheme = "Token"})
            .outcome == Authentication::kOpen);
}

}  // namespace
}  // namespace kumquatmoor
