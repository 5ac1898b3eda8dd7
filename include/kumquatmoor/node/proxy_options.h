#ifndef KUMQUATMOOR_NODE_PROXY_OPTIONS_H_
#define KUMQUATMOOR_NODE_PROXY_OPTIONS_H_

// ProxyOptions: what a Proxy needs to know of its node, its host and the
// deployment. Every member has a default that suits tests, except for the id,
// the zone and the addresses.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/protocol/headers.h"

namespace kumquatmoor {

struct ProxyOptions {
  std::string id;  // Member id of this node.
  std::string zone;
  std::string caller_address;  // "IP:PORT" where callers connect.
  std::string data_address;    // "IP:PORT" where other nodes connect.
  // Service of the backend server on this host. Sent with each request as the
  // caller's service, if the deployment has a header for it.
  std::string service;
  CallHeaders headers;  // Header names of the deployment.
  std::chrono::milliseconds default_deadline{2'000};
  int64_t max_attempts = 3;  // Of requests without a configured route.
  AdmissionOptions admission;
  // Time after the start of a drain for which new requests of callers are still
  // served. Callers switch to other nodes in this time.
  std::chrono::milliseconds caller_grace{1'500};
  // Time after the start of a drain at which the remaining requests are
  // aborted. Their callers receive a response that states whether the request
  // may have run.
  std::chrono::milliseconds drain_timeout{10'000};
  // Time after which a node that knows of a newer configuration than its own
  // serves no callers.
  std::chrono::milliseconds max_time_behind_serving{1'000};
  // Time for which a key may still be accepted after a configuration without it
  // is in force in the store. 0: keys are accepted however old the
  // configuration of this node is.
  std::chrono::milliseconds key_revocation{0};
  // Time after the drain timeout in which responses can be written, also to
  // callers that read slowly.
  std::chrono::milliseconds reply_timeout{200};
  // Rate of the host's link in bytes per second, 0 if unknown.
  double link_rate = 0;
  // Responses to callers leave by this link, too. False if callers run on this
  // host and connect over loopback.
  bool callers_use_link = false;
  // Hedged requests for 100 requests of callers; 0: none.
  double hedge_percent = 0;
  // Bytes of requests and responses that all connections together may hold.
  size_t buffer_bytes = 64U << 20U;
  uint64_t seed = 1;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_PROXY_OPTIONS_H_
