// What the proxy does while the node knows of a newer configuration than that
// of its routes. For a short time it routes by what it has: nearly all of it is
// still right, and a refused request is worth less than one that is served. It
// denies nothing by it, since a caller takes a 404 or 413 for final and a 503
// with a Retry-After for a reason to come back. After a longer time it refuses
// every request, as the newer configuration has to be in force by then.

#include <boost/asio/post.hpp>
#include <utility>

#include "kumquatmoor/node/proxy.h"

namespace kumquatmoor {
namespace {

// True for the statuses that follow from routes or limits.
bool FollowsFromConfiguration(unsigned status) {
  return status == 404 || status == 413 || status == 431;
}

}  // namespace

void Proxy::SetBehindSince(std::optional<TimePoint> since) {
  boost::asio::post(m_context, [this, since] { m_behind_since = since; });
}

bool Proxy::IsTooFarBehind(std::optional<TimePoint> since,
                           TimePoint now) const {
  return since && now - *since >= m_options.max_time_behind_serving;
}

std::optional<Proxy::Rejection> Proxy::RefuseWhileBehind() const {
  if (!IsTooFarBehind(m_behind_since, Clock::now())) return std::nullopt;
  return Rejection{.status = 503,
                   .reason = "a newer configuration is in force",
                   .is_behind = true};
}

Proxy::Rejection Proxy::WithoutDenialWhileBehind(Rejection rejection) const {
  if (!m_behind_since || !FollowsFromConfiguration(rejection.status)) {
    return rejection;
  }
  return {.status = 503,
          .reason = "a newer configuration is in force, by an older one: " +
                    rejection.reason,
          .is_behind = true};
}

}  // namespace kumquatmoor
