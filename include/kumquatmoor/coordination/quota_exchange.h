#ifndef KUMQUATMOOR_COORDINATION_QUOTA_EXCHANGE_H_
#define KUMQUATMOOR_COORDINATION_QUOTA_EXCHANGE_H_

// QuotaExchange: the messages of quotas that a node sends and receives, as a
// node that needs tokens and as an authority.
//
//   QuotaExchange exchange("node-7", now);
//   exchange.SetLimits(limits);
//   exchange.SetMembers(members, now);  // On a change.
//   exchange.Advance(now);              // On each tick.
//   for (auto& message : exchange.Ask(requests, now, now).messages) ...
//   const auto result = exchange.OnDatagram(datagram, now);
//
// Does no I/O: messages to other members are returned. A request for which this
// node is the authority is answered without one. What is asked of one member at
// the same time becomes one datagram. Time as in quota_client.h. Not
// thread-safe.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/coordination/member_list.h"
#include "kumquatmoor/coordination/quota_authority.h"
#include "kumquatmoor/coordination/quota_limits.h"

namespace kumquatmoor {

class QuotaExchange {
 public:
  // Requests in one datagram.
  static constexpr int kMaxRequests = 32;

  // A datagram for a member. `kind`, `sequence` and the quotas are set.
  struct Message {
    std::string to;
    Datagram datagram;
  };
  struct Result {
    std::vector<Message> messages;
    std::vector<QuotaGrant> grants;  // Of this node.
    TimePoint sent;                  // When their requests were made.
  };

  QuotaExchange(std::string id, TimePoint now);

  // Replaces the quotas, which apply at once to what this node grants.
  void SetLimits(std::shared_ptr<const QuotaLimits> limits) {
    m_limits = std::move(limits);
  }
  // Compares the members with those of the last call. Returns true if the
  // authority of an organisation, or the number of known members, may have
  // changed.
  bool SetMembers(const MemberList& members, TimePoint now);
  size_t KnownMembers() const { return m_members.known; }
  void Advance(TimePoint now) { m_authority.Advance(now); }
  // Asks the authorities for what this node requested at `sent`.
  Result Ask(std::span<const QuotaRequest> requests, TimePoint sent,
             TimePoint now);
  // Handles a datagram of another member: grants what it asks for, or takes
  // over what it grants. Replies to unknown requests and to requests of which
  // the tokens have expired are ignored.
  Result OnDatagram(const Datagram& datagram, TimePoint now);
  // Organisations that this node keeps a bucket for.
  size_t Buckets() const { return m_authority.Size(); }

 private:
  struct Asked {
    std::string to;
    TimePoint sent;  // When the request was made.
  };

  // Returns nullptr if there is no live member.
  const std::string* AuthorityOf(std::string_view organisation);
  void Send(const std::string& to, std::span<const QuotaRequest> requests,
            TimePoint sent, Result* result);

  std::string m_id;
  QuotaAuthority m_authority;
  std::shared_ptr<const QuotaLimits> m_limits;
  QuotaMembers m_members;
  std::vector<std::string> m_alive;
  uint64_t m_alive_version = 0;  // Of the last comparison.
  uint64_t m_alive_hash = 0;
  // Indexes into m_alive by organisation, of those that were asked for.
  std::unordered_map<std::string, size_t> m_authorities;
  uint64_t m_sequence = 0;
  // Requests without a reply, by sequence. The oldest first.
  std::map<uint64_t, Asked> m_asked;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_QUOTA_EXCHANGE_H_
