// What the proxy does while the node knows of a newer configuration than that
// of its routes. For a short time it routes by what it has: nearly all of it is
// still right, and a refused request is worth less than one that is served. It
// denies nothing by it, since a caller takes a 404 or 413 for final and a 503
// with a Retry-After for a reason to come back. After a longer time it refuses
// every request, as the newer configuration has to be in force by then.
//
// The control thread extends the time for which the proxy may decide again and
// again. A process that was stopped knows nothing of what happened meanwhile:
// it finds the time expired, whichever of its threads runs first, and refuses
// what arrived until the control thread has heard of other nodes.

#include <boost/asio/post.hpp>
#include <utility>

#include "kumquatmoor/node/proxy.h"

namespace kumquatmoor {
namespace {

// True for the statuses that follow from limits.
bool FollowsFromLimits(unsigned status) {
  return status == 413 || status == 431;
}

// True for the statuses that follow from routes, keys or limits.
bool FollowsFromConfiguration(unsigned status) {
  return status == 401 || status == 404 || FollowsFromLimits(status);
}

}  // namespace

void Proxy::SetBehindSince(std::optional<TimePoint> since) {
  boost::asio::post(m_context, [this, since] { m_behind_since = since; });
}

void Proxy::SetDecidesUntil(TimePoint until) {
  boost::asio::post(m_context, [this, until] { m_decides_until = until; });
}

bool Proxy::IsTooFarBehind(std::optional<TimePoint> since,
                           TimePoint now) const {
  return since && now - *since >= m_options.max_time_behind_serving;
}

std::optional<Proxy::Rejection> Proxy::RefuseWhileBehind() const {
  const TimePoint now = Clock::now();
  if (now >= m_decides_until) {
    return Rejection{.status = 503,
                     .reason =
                         "the node was stopped and has not heard of "
                         "others since",
                     .is_behind = true};
  }
  if (!IsTooFarBehind(m_behind_since, now)) return std::nullopt;
  return Rejection{.status = 503,
                   .reason = "a newer configuration is in force",
                   .is_behind = true};
}

Proxy::Rejection Proxy::WithoutDenialWhileBehind(Rejection rejection) const {
  const bool is_outdated = m_behind_since || Clock::now() >= m_decides_until;
  if (!is_outdated || !FollowsFromConfiguration(rejection.status)) {
    return rejection;
  }
  return {.status = 503,
          .reason = "a newer configuration may be in force, by an older one: " +
                    rejection.reason,
          .is_behind = true};
}

// While there is no configuration, a request is read by default limits.
Proxy::Rejection Proxy::WithoutDenialByDefaults(Rejection rejection) const {
  const bool is_denial =
      rejection.status == 400 || FollowsFromConfiguration(rejection.status);
  if (HasConfiguration() || !is_denial) return rejection;
  return {
      .status = 503,
      .reason = "this node holds no configuration yet: " + rejection.reason};
}

// A request is read by the limits that were in force when it began. They may be
// those of a node without a configuration, or of one that was behind.
Proxy::Rejection Proxy::WithoutDenialByReplacedLimits(
    const InboundRequest& inbound, Rejection rejection) const {
  if (!FollowsFromLimits(rejection.status) || inbound.Bounds() == m_bounds) {
    return rejection;
  }
  return {.status = 503,
          .reason = "the limits have changed since: " + rejection.reason};
}

}  // namespace kumquatmoor
