// A node that is asked grants tokens only if it is the authority in its own
// view, and does not reply otherwise. While two nodes disagree, which lasts as
// long as the news of a member takes, the one that asks repeats its request or
// falls back.
//
// The order of live members changes with each record, so that their ids are
// compared by the sum of their hashes, which does not depend on the order.

#include "kumquatmoor/coordination/quota_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquatmoor {
namespace {

// Replies that are awaited. Above it the oldest are forgotten.
constexpr size_t kMaxAsked = 4'096;

}  // namespace

// The sequence numbers of an earlier process differ, so that a late reply to it
// is not taken for one to this process.
QuotaExchange::QuotaExchange(std::string id, TimePoint now)
    : m_id(std::move(id)),
      m_authority(now),
      m_sequence(static_cast<uint64_t>(now.time_since_epoch().count()) &
                 0xFFFF'FFFFU) {}

bool QuotaExchange::SetMembers(const MemberList& members, TimePoint now) {
  if (m_limits == nullptr || m_limits->empty()) return false;
  if (m_alive_version == members.AliveVersion() && !m_alive.empty()) {
    return false;
  }
  m_alive_version = members.AliveVersion();
  uint64_t hash = 0;
  for (const auto* member : members.Alive()) {
    hash += XXH3_64bits(member->id().data(), member->id().size());
  }
  const QuotaMembers counts{
      .visible = members.Alive().size(),
      .known = members.Alive().size() + members.SuspectedOrDead().size()};
  if (hash == m_alive_hash && counts == m_members) return false;
  m_alive_hash = hash;
  m_members = counts;
  m_alive.clear();
  for (const auto* member : members.Alive()) m_alive.push_back(member->id());
  m_authorities.clear();
  m_authority.SetMembers(counts, now);
  m_authority.Forget([&](std::string_view organisation) {
    const std::string* authority = AuthorityOf(organisation);
    return authority != nullptr && *authority == m_id;
  });
  return true;
}

const std::string* QuotaExchange::AuthorityOf(std::string_view organisation) {
  const std::string name(organisation);
  const auto known = m_authorities.find(name);
  if (known != m_authorities.end()) return &m_alive[known->second];
  const std::string* authority = QuotaAuthorityOf(m_alive, organisation);
  if (authority == nullptr) return nullptr;
  if (m_authorities.size() < kMaxQuotaOrganisations) {
    m_authorities[name] = static_cast<size_t>(authority - m_alive.data());
  }
  return authority;
}

void QuotaExchange::Send(const std::string& to,
                         std::span<const QuotaRequest> requests, TimePoint sent,
                         Result* result) {
  Message message{.to = to};
  message.datagram.set_kind(Datagram::QUOTA);
  message.datagram.set_sequence(++m_sequence);
  for (const auto& request : requests) {
    *message.datagram.add_quota_requests() = request;
  }
  result->messages.push_back(std::move(message));
  if (m_asked.size() >= kMaxAsked) m_asked.erase(m_asked.begin());
  m_asked[m_sequence] = {.to = to, .sent = sent};
}

QuotaExchange::Result QuotaExchange::Ask(std::span<const QuotaRequest> requests,
                                         TimePoint sent, TimePoint now) {
  Result result{.sent = sent};
  // Requests whose tokens would have expired are not answered any more.
  while (!m_asked.empty() &&
         m_asked.begin()->second.sent + kQuotaValidity <= now) {
    m_asked.erase(m_asked.begin());
  }
  std::map<std::string, std::vector<QuotaRequest>> by_authority;
  for (const auto& request : requests) {
    if (const std::string* authority = AuthorityOf(request.organisation())) {
      by_authority[*authority].push_back(request);
    }
  }
  for (const auto& [authority, asked] : by_authority) {
    if (authority == m_id) {
      for (const auto& request : asked) {
        const QuotaLimit* limit = FindQuota(*m_limits, request.organisation());
        if (limit == nullptr) continue;
        auto grant = m_authority.Answer(m_id, request, *limit, now);
        if (grant) result.grants.push_back(std::move(*grant));
      }
      continue;
    }
    for (size_t first = 0; first < asked.size(); first += kMaxRequests) {
      const size_t count = std::min<size_t>(kMaxRequests, asked.size() - first);
      Send(authority, std::span(asked).subspan(first, count), sent, &result);
    }
  }
  return result;
}

QuotaExchange::Result QuotaExchange::OnDatagram(const Datagram& datagram,
                                                TimePoint now) {
  Result result;
  Message reply{.to = datagram.from()};
  reply.datagram.set_kind(Datagram::QUOTA);
  reply.datagram.set_sequence(datagram.sequence());
  for (const auto& request : datagram.quota_requests()) {
    const QuotaLimit* limit =
        m_limits == nullptr ? nullptr
                            : FindQuota(*m_limits, request.organisation());
    if (limit == nullptr) continue;
    const std::string* authority = AuthorityOf(request.organisation());
    if (authority == nullptr || *authority != m_id) continue;
    auto grant = m_authority.Answer(datagram.from(), request, *limit, now);
    if (grant) *reply.datagram.add_quota_grants() = std::move(*grant);
  }
  if (reply.datagram.quota_grants_size() > 0) {
    result.messages.push_back(std::move(reply));
  }
  if (datagram.quota_grants_size() == 0) return result;
  const auto asked = m_asked.find(datagram.sequence());
  if (asked == m_asked.end() || asked->second.to != datagram.from()) {
    return result;
  }
  result.sent = asked->second.sent;
  m_asked.erase(asked);
  result.grants = {datagram.quota_grants().begin(),
                   datagram.quota_grants().end()};
  return result;
}

}  // namespace kumquatmoor
