#ifndef KUMQUATMOOR_STATE_ROUTES_H_
#define KUMQUATMOOR_STATE_ROUTES_H_

// RouteTable: an immutable snapshot of the targets and traffic shares of each
// service, as seen from one zone.
//
//   auto routes = BuildRoutes(batch, marks, members, "zone-a");
//   const ServiceRoutes* service = routes->Find("bookings");
//
// Routes are computed from the rows of the batch, the progress of moves, and
// the live targets that this node has discovered. Every route thus has a row
// and at least one target. A new snapshot replaces the previous one as a whole.
// Snapshots may be read from any thread.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/evacuation.h"
#include "kumquatmoor/state/http_routes.h"
#include "kumquatmoor/state/marks.h"
#include "kumquatmoor/state/organisations.h"

namespace kumquatmoor {

// One backend server, reached through the node beside it.
struct Target {
  std::string member_id;  // Of the node.
  std::string zone;
  std::string version;
  std::string data_address;  // Of the node's proxy.
  int64_t incarnation = 0;   // Of the node.
  uint32_t slots = 1;        // Requests that the backend server runs at once.
  // Requests per second that the backend server gets while it is cold, 0 if it
  // is not.
  double cold_rate = 0;
};

// The targets of one version and its share of the traffic.
struct VersionRoutes {
  // The version of the row. Targets of a row with kAnyOtherVersion have others.
  std::string version;
  double read_share = 0;        // Of idempotent requests, 0 to 1.
  double write_share = 0;       // Of other requests; lags by one stage.
  uint32_t max_concurrent = 0;  // Requests at once, 0: no limit.
  uint32_t max_rate = 0;        // Requests per second, 0: no limit.
  // Targets are filled one after the other instead of evenly, so that a small
  // share puts the load of a large one on some of them. Set for a canary
  // version in the pilot zone, which goes ahead of the other zones, until the
  // pilot zone has settled.
  bool packed = false;
  std::vector<Target> targets;  // Never empty.
};

struct ServiceRoutes {
  std::string service;
  uint64_t move_revision = 0;
  std::vector<VersionRoutes> versions;  // Those with a target and a share.

  // Returns nullptr if the version has no routes.
  const VersionRoutes* Find(std::string_view version) const;
};

struct RouteTable {
  uint64_t revision = 0;  // Of the batch.
  // Routes by host and path; empty if the batch has none.
  std::shared_ptr<const HttpRouteIndex> http_routes;
  // By the keys of the same batch.
  std::shared_ptr<const OrganisationIndex> organisations;
  std::string zone;  // Of the node that routes by this table.
  // Zones whose targets are left out, and whose nodes refuse requests.
  ZoneSet evacuated_zones;
  // Unchanged services are shared with the previous snapshot.
  std::map<std::string, std::shared_ptr<const ServiceRoutes>, std::less<>>
      services;
  // Recalled (service, version) pairs; the nodes of their targets refuse
  // requests for them.
  std::set<std::pair<std::string, std::string>> recalled;

  // Returns nullptr if the service has no routes.
  const ServiceRoutes* Find(std::string_view service) const;
};

// The stages that a move goes through, in thousandths of the move.
inline constexpr uint32_t kStages[] = {0, 10, 50, 200, 500, 1000};

// The stage after `stage`; kFullStage if it is the last.
uint32_t NextStage(uint32_t stage);
// The stage before `stage`, or 0. At kFullStage no share lags, so it stays.
uint32_t PreviousStage(uint32_t stage);

// The share of `row`, 0 to 1, at the given stage of its move. The share before
// the move if the move was recalled.
double ShareAt(const Row& row, uint32_t stage_permille, bool recalled);

// Builds the snapshot for a node in `zone`. Skips members that are not alive,
// endpoints that drain or have retired, and the targets of evacuated zones:
// those of the batch and of `kept_zones`.
std::shared_ptr<const RouteTable> BuildRoutes(
    const Batch& batch, const MarkSet& marks,
    std::span<const MemberRecord> members, const std::string& zone,
    const ZoneSet& kept_zones = {});

// Returns the members that may have targets of a service.
using MembersOfService =
    std::function<std::vector<MemberRecord>(const std::string& service)>;

// Builds the snapshot after `previous`: recomputes the services in `changed`
// only, and the routes by host and path if the batch is a new one. Recomputes
// all services if the evacuated zones are others.
std::shared_ptr<const RouteTable> UpdateRoutes(
    const RouteTable& previous, const Batch& batch, const MarkSet& marks,
    const std::set<std::string>& changed, const MembersOfService& members_of,
    const ZoneSet& kept_zones = {});

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_ROUTES_H_
