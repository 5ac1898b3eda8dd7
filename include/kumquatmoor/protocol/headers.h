#ifndef KUMQUATMOOR_PROTOCOL_HEADERS_H_
#define KUMQUATMOOR_PROTOCOL_HEADERS_H_

// Names of the HTTP headers that callers, nodes and backend servers share.

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

}  // namespace kumquatmoor::headers

#endif  // KUMQUATMOOR_PROTOCOL_HEADERS_H_
