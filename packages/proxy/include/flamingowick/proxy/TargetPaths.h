#pragma once

#include "flamingowick/proxy/Fleet.h"

#include <map>
#include <set>
#include <unordered_map>

// Tells a fault of this daemon's network paths to the targets from faults of targets. A daemon that is cut off from all
// targets is still reached by callers, by the store and by the other daemons: it then connects to targets through these.
// Deterministic, no I/O.
namespace flamingowick::proxy {

struct PathLimits {
    // Targets reached only through another daemon, with no direct connection in between, after which this daemon counts as cut
    // off. A single one may be due to a lost packet.
    std::size_t faultsBeforeCutOff { 2 };
    // Interval of direct connections while this daemon is cut off; the first that succeeds ends that.
    Duration directProbeInterval { std::chrono::milliseconds(500) };
    // How long no other daemon is asked for a target that one could not reach either.
    Duration unreachableTime { std::chrono::seconds(1) };
    // How long a daemon that could not help is not asked again.
    Duration unusableMemberTime { std::chrono::seconds(3) };
};

struct TargetPaths {
    PathLimits limits;
    // Targets that were reached only through another daemon since the last direct connection to any target.
    std::set<std::string, std::less<>> faults;
    std::optional<TimePoint> cutOffSince;
    TimePoint nextDirectProbeAt;
    // Targets that another daemon could not reach, and daemons that could not help, by the time until which that counts.
    std::unordered_map<std::string, TimePoint> unreachableUntil;
    std::map<std::string, TimePoint, std::less<>> unusableMembersUntil;
};

// How to connect to a target. At least one of the two is set.
struct ConnectPlan {
    // Connect directly, at once.
    bool direct { false };
    // Connect through another daemon: at once if not direct too or if this daemon is cut off, otherwise when the direct
    // connection fails or is late.
    bool throughMember { false };
};

inline bool isCutOff(const TargetPaths& paths) noexcept { return paths.cutOffSince.has_value(); }

// Whether a direct connection that was opened before may lead nowhere. The next direct connection that is established ends the
// doubt; until then a request on an older one could be lost.
inline bool areDirectConnectionsDoubtful(const TargetPaths& paths) noexcept { return isCutOff(paths) || !paths.faults.empty(); }

// Chooses how to connect to a target now; while this daemon is cut off it also plans the next direct connection. Amortized
// constant.
ConnectPlan planConnection(TargetPaths&, const std::string& instance, TimePoint now);

// Records a direct connection to a target. Returns whether it ends that this daemon was cut off.
bool recordDirectConnection(TargetPaths&) noexcept;

// Records that a target was reached through another daemon after the direct connection had failed or was late. Returns
// whether this daemon counts as cut off from now on.
bool recordPathFault(TargetPaths&, const std::string& instance, TimePoint now);

// Records that another daemon, which isn't cut off, could not reach the target either.
void recordUnreachable(TargetPaths&, const std::string& instance, TimePoint now);

// Records that the member did not help, because it is cut off itself, gave no answer or is of an earlier release.
void recordUnusableMember(TargetPaths&, const std::string& member, TimePoint now);

// Chooses the member through which to connect: in turn one of another failure domain and one of this daemon's, since a whole
// failure domain may be cut off. random is any number. None if no member is left. Linear in the members.
std::optional<std::string> chooseTunnelMember(const Fleet&, TargetPaths&, std::string_view ownDomain, std::span<const std::string> tried, std::uint64_t random, TimePoint now);

}
