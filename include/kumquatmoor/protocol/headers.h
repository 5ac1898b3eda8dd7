#ifndef KUMQUATMOOR_PROTOCOL_HEADERS_H_
#define KUMQUATMOOR_PROTOCOL_HEADERS_H_

// Names of the HTTP headers that callers, nodes and backend servers share.

#include <string>

namespace kumquatmoor::headers {

// Request: service that the caller wants. Without it, the first segment of the
// path names the service.
inline constexpr char kService[] = "Kumquatmoor-Service";
// Request and response: id of the request, unique for each attempt to do it.
inline constexpr char kRequestId[] = "Kumquatmoor-Request-Id";
// Request: milliseconds left until the caller stops waiting.
inline constexpr char kDeadlineMs[] = "Kumquatmoor-Deadline-Ms";
// Request between nodes: version that the first node chose.
inline constexpr char kVersion[] = "Kumquatmoor-Version";
// Request between nodes: revision of the first node's configuration.
inline constexpr char kRevision[] = "Kumquatmoor-Revision";
// Response: NotRun, MayHaveRun or Ran.
inline constexpr char kVerdict[] = "Kumquatmoor-Verdict";
// Response: why a node refused or gave up.
inline constexpr char kReason[] = "Kumquatmoor-Reason";
// Response between nodes: requests in flight and slots, as "3/10".
inline constexpr char kLoad[] = "Kumquatmoor-Load";
// Response: version that served the request.
inline constexpr char kServedBy[] = "Kumquatmoor-Served-By";
// Request between nodes: name of the route.
inline constexpr char kRoute[] = "Kumquatmoor-Route";
// Request between nodes: "1" if running the request twice does no harm.
inline constexpr char kIdempotent[] = "Kumquatmoor-Idempotent";
// Request between nodes: priority of the route, 0 is the most urgent.
inline constexpr char kPriority[] = "Kumquatmoor-Priority";
// Request between nodes: milliseconds left of the latency objective.
inline constexpr char kObjectiveMs[] = "Kumquatmoor-Objective-Ms";
// Response between nodes: "1" if a backend server was handed the request.
inline constexpr char kOffered[] = "Kumquatmoor-Offered";

}  // namespace kumquatmoor::headers

namespace kumquatmoor {

// Headers that callers and backend servers of a deployment use. An empty name
// means that the deployment has no such header.
struct CallHeaders {
  std::string request_id = headers::kRequestId;
  std::string deadline_ms = headers::kDeadlineMs;
  // Request to a backend server: the instance that may run it.
  std::string expected_instance;
  // Request to a backend server: service of the host where the call began.
  std::string caller_service;
  // Answer of a backend server: it did not run the request.
  std::string not_run;
  // Answer of a backend server: every complete one has it.
  std::string signature;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_HEADERS_H_
