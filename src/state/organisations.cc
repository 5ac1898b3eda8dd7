// The hashes of all keys are in one sorted vector, which a lookup searches by
// bisection. A batch in which two organisations have the same key is built by
// no gateway; if one arrives nevertheless, the key belongs to neither.

#include "kumquatmoor/state/organisations.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <iterator>
#include <tuple>
#include <utility>

namespace kumquatmoor {
namespace {

constexpr size_t kKeyHashBytes = 16;
constexpr std::string_view kSpaces = " \t";

std::string_view Trimmed(std::string_view text) {
  const size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

// The key in credentials such as "Token 7d1e"; empty if they have none.
std::string_view KeyOf(const CallerCredentials& caller) {
  const std::string_view text = Trimmed(caller.credentials);
  const size_t end = text.find_first_of(kSpaces);
  if (caller.is_ambiguous || end == std::string_view::npos ||
      !boost::algorithm::iequals(text.substr(0, end), caller.scheme)) {
    return {};
  }
  return Trimmed(text.substr(end));
}

Authentication::Outcome OutcomeWithoutKey(const CallerCredentials& caller) {
  if (caller.is_public) return Authentication::kOpen;
  if (!Trimmed(caller.credentials).empty()) return Authentication::kUnknownKey;
  return caller.parent == ParentState::kUnknown ? Authentication::kUnknownParent
                                                : Authentication::kNoKey;
}

}  // namespace

std::string HashApiKey(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return {digest.begin(), digest.begin() + kKeyHashBytes};
}

OrganisationIndex::OrganisationIndex(const Batch& batch)
    : m_requires_keys(batch.requires_keys()) {
  m_organisations.reserve(batch.organisations_size());
  for (const auto& organisation : batch.organisations()) {
    const auto position = static_cast<uint32_t>(m_organisations.size());
    m_organisations.push_back(
        {.name = organisation.name(), .priority = organisation.priority()});
    for (const auto& hash : organisation.key_hashes()) {
      m_keys.push_back({.hash = hash, .organisation = position});
    }
  }
  std::sort(m_keys.begin(), m_keys.end(), [](const Key& a, const Key& b) {
    return std::tie(a.hash, a.organisation) < std::tie(b.hash, b.organisation);
  });
}

const CallerOrganisation* OrganisationIndex::Find(
    std::string_view key_hash) const {
  const auto found = std::lower_bound(
      m_keys.begin(), m_keys.end(), key_hash,
      [](const Key& key, std::string_view hash) { return key.hash < hash; });
  if (found == m_keys.end() || found->hash != key_hash) return nullptr;
  // Equal hashes are adjacent, those of the same organisation first.
  for (auto next = std::next(found);
       next != m_keys.end() && next->hash == key_hash; ++next) {
    if (next->organisation != found->organisation) return nullptr;
  }
  return &m_organisations[found->organisation];
}

Authentication AuthenticateCaller(const OrganisationIndex& index,
                                  const CallerCredentials& caller) {
  if (!index.RequiresKeys()) return {};
  if (const std::string_view key = KeyOf(caller); !key.empty()) {
    std::string hash = HashApiKey(key);
    if (const CallerOrganisation* organisation = index.Find(hash)) {
      return {.outcome = Authentication::kOrganisation,
              .organisation = organisation,
              .key_hash = std::move(hash)};
    }
  } else if (caller.credentials.empty() &&
             caller.parent == ParentState::kRunning) {
    return {.outcome = Authentication::kCallOfBackend};
  }
  return {.outcome = OutcomeWithoutKey(caller)};
}

std::string_view AuthenticationName(Authentication::Outcome outcome) {
  switch (outcome) {
    case Authentication::kOpen:
      return "open";
    case Authentication::kOrganisation:
      return "organisation";
    case Authentication::kCallOfBackend:
      return "call";
    case Authentication::kNoKey:
      return "no_key";
    case Authentication::kUnknownKey:
      return "unknown_key";
    case Authentication::kUnknownParent:
      return "unknown_parent";
  }
  return "";
}

}  // namespace kumquatmoor
