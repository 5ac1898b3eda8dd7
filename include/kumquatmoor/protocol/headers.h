#ifndef KUMQUATMOOR_PROTOCOL_HEADERS_H_
#define KUMQUATMOOR_PROTOCOL_HEADERS_H_

// Names of the HTTP headers that callers, nodes and backend servers exchange.
//
// Each comment states which messages carry the header.

#include <string>

namespace kumquatmoor::headers {

// Request: the service to call. If absent, the first segment of the path is the
// service.
inline constexpr char kService[] = "Kumquatmoor-Service";
// Request and response: id of the request, unique for each attempt of the
// caller. Retries by a node keep the id.
inline constexpr char kRequestId[] = "Kumquatmoor-Request-Id";
// Request: milliseconds until the caller's deadline.
inline constexpr char kDeadlineMs[] = "Kumquatmoor-Deadline-Ms";
// Request between nodes: the version that the caller's node selected.
inline constexpr char kVersion[] = "Kumquatmoor-Version";
// Request between nodes: the configuration revision of the caller's node.
inline constexpr char kRevision[] = "Kumquatmoor-Revision";
// Response: NotRun, MayHaveRun or Ran; see Verdict.
inline constexpr char kVerdict[] = "Kumquatmoor-Verdict";
// Response: why a node refused the request or could not complete it.
inline constexpr char kReason[] = "Kumquatmoor-Reason";
// Response between nodes: requests in flight and slots, such as "3/10".
inline constexpr char kLoad[] = "Kumquatmoor-Load";
// Response between nodes: milliseconds that the sender's link needs for the
// responses to the requests that it has admitted. Absent: less than one.
inline constexpr char kLinkWaitMs[] = "Kumquatmoor-Link-Wait-Ms";
// Response between nodes: "1" if the request was refused because its response
// would not get through the sender's link in time. Retry-After has the time
// until the link is idle enough.
inline constexpr char kLinkFull[] = "Kumquatmoor-Link-Full";
// Response between nodes: the expected run time of a request on this route, in
// milliseconds. Absent: not known.
inline constexpr char kRunTimeMs[] = "Kumquatmoor-Run-Time-Ms";
// Response: the version that served the request.
inline constexpr char kServedBy[] = "Kumquatmoor-Served-By";
// Request between nodes: the name of the route.
inline constexpr char kRoute[] = "Kumquatmoor-Route";
// Request between nodes: "1" if the request is idempotent.
inline constexpr char kIdempotent[] = "Kumquatmoor-Idempotent";
// Request between nodes: the priority of the route; 0 is the highest.
inline constexpr char kPriority[] = "Kumquatmoor-Priority";
// Request between nodes: milliseconds that remain of the latency objective.
inline constexpr char kObjectiveMs[] = "Kumquatmoor-Objective-Ms";
// Request between nodes: see AttemptKind. Absent: a first attempt.
inline constexpr char kAttemptKind[] = "Kumquatmoor-Attempt-Kind";
// Request and response between nodes: the process of the backend server that
// the headers about a backend server's notice are about.
inline constexpr char kInstance[] = "Kumquatmoor-Instance";
// Request between nodes, and reply of a node to another: the limit that the
// backend server named in the last response that the sender knows of; see
// BackendNotice.
inline constexpr char kBackendLimit[] = "Kumquatmoor-Backend-Limit";
// Request between nodes, and reply of a node to another: "1" if the backend
// server has said that it leaves.
inline constexpr char kBackendLeaving[] = "Kumquatmoor-Backend-Leaving";
// Response between nodes: "1" if the request was refused because of the limit
// that the backend server names. Retry-After has the time until the next one is
// admitted.
inline constexpr char kLimited[] = "Kumquatmoor-Limited";
// Response between nodes: "1" if the request was refused because it is not a
// first attempt and the retry budget is used up.
inline constexpr char kRetryDenied[] = "Kumquatmoor-Retry-Denied";
// Request between nodes: the key that identifies repetitions of a request; see
// RequestKey().
inline constexpr char kRequestKey[] = "Kumquatmoor-Request-Key";
// Request between nodes: backend servers that have crashed while they ran the
// request, as far as the sender knows. Absent: none.
inline constexpr char kKnownCrashes[] = "Kumquatmoor-Known-Crashes";
// Response between nodes: "1" if the backend server crashed while it ran the
// request.
inline constexpr char kCrashed[] = "Kumquatmoor-Crashed";
// Response between nodes: "1" if the request was refused because it crashes
// backend servers or, with Retry-After, because another suspected one runs.
inline constexpr char kBlocked[] = "Kumquatmoor-Blocked";
// Response between nodes: "1" if the request was sent to a backend server.
inline constexpr char kOffered[] = "Kumquatmoor-Offered";
// Request between nodes: the organisation of the caller. Absent: none.
inline constexpr char kOrganisation[] = "Kumquatmoor-Organisation";
// Request between nodes: the priority of that organisation; 0 is the highest.
inline constexpr char kOrganisationPriority[] =
    "Kumquatmoor-Organisation-Priority";
// Request between nodes: "1" if a backend server makes the request while it
// runs another one.
inline constexpr char kNestedCall[] = "Kumquatmoor-Nested-Call";
// Request between nodes: "1" if the node beside the target may refuse the
// request because another target is probably faster.
inline constexpr char kMayHandBack[] = "Kumquatmoor-May-Hand-Back";
// Response between nodes: set if the request was refused for that reason, to
// the expected time until its response, in milliseconds.
inline constexpr char kHandedBack[] = "Kumquatmoor-Handed-Back";
// Response between nodes: "1" if the request was refused because the calls that
// it would make probably fail, which no other target changes.
inline constexpr char kShed[] = "Kumquatmoor-Shed";

}  // namespace kumquatmoor::headers

namespace kumquatmoor {

// Names of the headers that the callers and backend servers of a deployment
// use. An empty name means that the deployment has no such header.
struct CallHeaders {
  std::string request_id = headers::kRequestId;
  std::string deadline_ms = headers::kDeadlineMs;
  // Request to a backend server: the only instance that may execute it.
  std::string expected_instance;
  // Request to a backend server: the service that runs on the caller's host.
  std::string caller_service;
  // A call that a backend server makes while it runs a request has the id of
  // that request, this separator and a suffix as its id. Not a header.
  std::string call_id_separator;
  // Response of a backend server: present if it did not execute the request.
  std::string not_run;
  // Response of a backend server: the requests per second, a decimal number,
  // that it accepts from all hosts together for as long as its responses say
  // so.
  std::string backend_limit;
  // Response of a backend server: "1" if it leaves and must get no new
  // requests.
  std::string backend_leaving;
  // Response of a backend server: present in every complete response. A
  // successful response without it counts as incomplete.
  std::string signature;
  // Request of a caller: its credentials, the scheme and an API key. Removed
  // where the configuration has organisations.
  std::string authorization;
  std::string authorization_scheme;  // Not a header.
  // Request to a backend server: the organisation of the caller.
  std::string organisation;
  // Response of a backend server: the requests that it runs, those that wait,
  // its slots and, for some services, the time that work takes on its host in
  // per cent of the usual time; separated by commas.
  std::string server_load;
  // Response to a health check: milliseconds for which the backend server
  // stays cold.
  std::string cold_ms;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_HEADERS_H_
