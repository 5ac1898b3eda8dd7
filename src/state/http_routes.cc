// The prefixes of a host are keys of a sorted map. A lookup shortens the path
// to its last slash, one segment at a time, until it equals a prefix. The cost
// grows with the depth of the path, not with the number of routes.

#include "kumquatmoor/state/http_routes.h"

#include <algorithm>
#include <cctype>

namespace kumquatmoor {
namespace {

// The host without the port. An IPv6 address is in brackets and has colons.
std::string_view WithoutPort(std::string_view host) {
  const size_t bracket = host.rfind(']');
  const size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || bracket < colon);
  return has_port ? host.substr(0, colon) : host;
}

// The host in lower case, without the port and without the dot that ends a
// fully qualified name.
std::string NormalizedHost(std::string_view host) {
  host = WithoutPort(host);
  if (host.ends_with('.')) host.remove_suffix(1);
  std::string normalized(host);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalized;
}

}  // namespace

HttpRouteIndex::HttpRouteIndex(const Batch& batch)
    : m_routes(batch.routes().begin(), batch.routes().end()),
      m_is_in_use(batch.has_http_routes() || batch.routes_size() > 0),
      m_limits(batch.caller_limits()) {
  for (const auto& route : m_routes) {
    m_by_host[NormalizedHost(route.host())].emplace(route.prefix(), &route);
  }
}

const HttpRoute* HttpRouteIndex::Find(std::string_view host,
                                      std::string_view target) const {
  const auto found = m_by_host.find(NormalizedHost(host));
  if (found == m_by_host.end()) return nullptr;
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  while (!path.empty()) {
    const size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    const auto route = found->second.find(path.substr(0, slash + 1));
    if (route != found->second.end()) return route->second;
    path = path.substr(0, slash);
  }
  return nullptr;
}

const std::string& DrawService(const HttpRoute& route, std::mt19937_64& rng) {
  uint64_t sum = 0;
  for (const auto& part : route.parts()) sum += part.weight();
  std::uniform_int_distribution<uint64_t> draw(0,
                                               std::max<uint64_t>(sum, 1) - 1);
  uint64_t left = draw(rng);
  for (const auto& part : route.parts()) {
    if (left < part.weight()) return part.service();
    left -= part.weight();
  }
  return route.parts(0).service();
}

}  // namespace kumquatmoor
