#ifndef KUMQUATMOOR_STATE_HTTP_ROUTES_H_
#define KUMQUATMOOR_STATE_HTTP_ROUTES_H_

// HttpRouteIndex: finds the route of an HTTP request by its host and path.
//
//   HttpRouteIndex index(batch);
//   const HttpRoute* route = index.Find("huts.example", "/bookings/42?x=1");
//   if (route == nullptr) return NotFound();
//   const std::string& service = DrawService(*route, rng);
//
// Among the routes of the host, the one with the longest matching path prefix
// is chosen. Prefixes end with a slash, so they match whole path segments.
// Hosts are compared without case and without the port.
//
// Immutable; may be read from any thread. The index copies the routes and does
// not refer to the batch.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"

namespace kumquatmoor {

class HttpRouteIndex {
 public:
  explicit HttpRouteIndex(const Batch& batch);

  // Returns the route, or nullptr. `target` is the request target of HTTP: a
  // path, possibly with a query. The index keeps ownership of the route.
  const HttpRoute* Find(std::string_view host, std::string_view target) const;
  // True if requests are routed by host and path. A configuration may have lost
  // its last route; every request then finds none.
  bool IsInUse() const { return m_is_in_use; }
  size_t Size() const { return m_routes.size(); }
  // The batch's limits on callers' connections; a field that is 0 was not set.
  const CallerLimits& Limits() const { return m_limits; }

 private:
  using ByPrefix = std::map<std::string, const HttpRoute*, std::less<>>;

  std::vector<HttpRoute> m_routes;
  bool m_is_in_use;
  CallerLimits m_limits;
  std::map<std::string, ByPrefix, std::less<>> m_by_host;
};

// Returns a service of `route`, drawn at random by weight. `route.parts()` must
// not be empty.
const std::string& DrawService(const HttpRoute& route, std::mt19937_64& rng);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_HTTP_ROUTES_H_
