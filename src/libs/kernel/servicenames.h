// Names by which the daemon's services are looked up in the ServiceRegistry.
#pragma once

namespace Kernel::ServiceNames {

constexpr char PLATFORM_CLIENT[] = "platformclient";
constexpr char UPSTREAM_CLIENT[] = "upstreamclient";
constexpr char PEER_LINK[] = "peerlink";
constexpr char CLUSTER[] = "cluster";
constexpr char MANIFEST[] = "manifest";
constexpr char MEMBERSHIP[] = "membership";
constexpr char OWNERSHIP[] = "ownership";
constexpr char JOBS[] = "jobs";
constexpr char REQUEST_ROUTER[] = "requestrouter";
constexpr char CALLER_GATEWAY[] = "callergateway";
constexpr char OPERATOR_GATEWAY[] = "operatorgateway";
constexpr char DISPATCH[] = "dispatch";
constexpr char PLATFORM[] = "platform";
constexpr char TELEMETRY[] = "telemetry";

} // namespace Kernel::ServiceNames
