#ifndef KUMQUATMOOR_STATE_ORGANISATIONS_H_
#define KUMQUATMOOR_STATE_ORGANISATIONS_H_

// OrganisationIndex: the organisations of a batch by the hashes of their API
// keys.
//
//   OrganisationIndex index(batch);
//   const std::string hash = HashApiKey(key);
//   const CallerOrganisation* organisation = index.Find(hash);
//   if (organisation == nullptr) return Unauthorized();
//
// AuthenticateCaller decides what a caller's request may do:
//
//   const Authentication result = AuthenticateCaller(
//       index, {.credentials = "Token 7d1e", .scheme = "Token"});
//   if (result.outcome == Authentication::kUnknownKey) ...
//
// Keys are known only as hashes: a batch, and thus the index, has none. A
// lookup compares digests of a fixed length, so its duration says nothing about
// how much of a key was guessed.
//
// Immutable; may be read from any thread. The index does not refer to the
// batch.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace kumquatmoor {

// The first 16 bytes of the SHA-256 of an API key.
std::string HashApiKey(std::string_view key);

// What a request inherits from the organisation of its caller.
struct CallerOrganisation {
  std::string name;
  uint32_t priority = 0;  // 0 is the most urgent.
};

class OrganisationIndex {
 public:
  explicit OrganisationIndex(const Batch& batch);

  // Returns the organisation of the key with that hash, or nullptr.
  const CallerOrganisation* Find(std::string_view key_hash) const;
  // True if requests need a key, unless their route is public.
  bool RequiresKeys() const { return m_requires_keys; }

 private:
  struct Key {
    std::string hash;
    uint32_t organisation = 0;  // Index in m_organisations.
  };

  bool m_requires_keys;
  std::vector<CallerOrganisation> m_organisations;
  std::vector<Key> m_keys;  // Sorted by hash.
};

// How a request is related to those that run on this host, by its id.
enum class ParentState {
  kNone,     // The id is not one of a call.
  kRunning,  // The request that it names as its parent runs on this host.
  kUnknown,  // That request does not run here, as far as the node knows.
};

// What a request is authenticated by.
struct CallerCredentials {
  std::string_view credentials;  // Value of the header, "" if there is none.
  std::string_view scheme;       // Of valid credentials.
  bool is_ambiguous = false;     // The header is there several times.
  bool is_public = false;        // The route needs no key.
  ParentState parent = ParentState::kNone;
};

struct Authentication {
  enum Outcome {
    kOpen,           // Needs no key: the route is public, or all are.
    kOrganisation,   // Has a valid key.
    kCallOfBackend,  // A backend server of this host makes the request.
    kNoKey,          // Lacks a key.
    kUnknownKey,     // Has a key of no organisation, or other credentials.
    kUnknownParent,  // Lacks a key, and is possibly a call.
  };
  Outcome outcome = kOpen;
  // Set for kOrganisation. Points into the index.
  const CallerOrganisation* organisation = nullptr;
  std::string key_hash;
};

// A key is preferred to the id of a running request. An unknown key for a
// public route is ignored.
Authentication AuthenticateCaller(const OrganisationIndex& index,
                                  const CallerCredentials& caller);

// Name of the outcome, for the log and the metrics.
std::string_view AuthenticationName(Authentication::Outcome outcome);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_ORGANISATIONS_H_
