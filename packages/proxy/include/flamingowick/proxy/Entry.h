#pragma once

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/Configuration.h"
#include "flamingowick/proxy/DispatcherHost.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/proxy/TargetConnections.h"
#include "flamingowick/proxy/TargetDirectory.h"
#include "flamingowick/telemetry/EventLog.h"
#include "flamingowick/telemetry/Metrics.h"

#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

// The entry accepts callers' requests, routes them, and responds once a target has.
namespace flamingowick::proxy {

// The configuration that is currently applied, with its route index.
struct ConfigurationInForce {
    Configuration configuration;
    RouteIndex routes;
    // When it was applied.
    TimePoint since;
};

// References to the parts that the entry uses. All of them outlive the entry.
struct EntryContext {
    asio::io_context& io;
    const ProxySettings& settings;
    // Null until the first configuration is applied.
    std::shared_ptr<const ConfigurationInForce>& inForce;
    TargetDirectory& directory;
    Fleet& fleet;
    PeerLink& peers;
    // Pools of the groups for which this daemon dispatches.
    DispatcherHost& hosted;
    // Local pools, by which this daemon decides when it reaches no dispatcher.
    DispatcherHost& own;
    TargetLinks& links;
    telemetry::EventLog& log;
    telemetry::Metrics& metrics;
    // Identifies this incarnation of the daemon.
    std::uint64_t sender { 0 };
    // Called when a member becomes suspected.
    std::function<void()> onSuspicion;
};

class RequestCourse;

// Replaces the dispatcher's name in decisions of the local pool, also in logs.
inline constexpr std::string_view decidedAlone { "alone" };

class Entry {
public:
    explicit Entry(EntryContext&);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    // Handles a caller's request. The caller gets exactly one response, unless it disconnects before.
    void serve(const std::shared_ptr<CallerConnection>&);

    // Handles the named dispatcher's reply to a grant request of this daemon. A grant that arrives too late to be
    // used is returned to the dispatcher.
    void takeWord(const std::string& dispatcher, const WordMessage&);

    // Reports this daemon's attempts in flight in the group to a dispatcher that did not grant them and therefore
    // does not count their slots as occupied. An empty group means all groups of which the member is the preferred
    // dispatcher. Linear in the active requests.
    void reportRunning(const std::string& member, std::string_view group);

    // Number of requests without a response.
    std::size_t running() const noexcept { return this->courses.size(); }

private:
    friend class RequestCourse;

    std::uint64_t nextNumber();
    // Reports the end of an attempt to its dispatcher: a member, or this daemon's hosted pools. Other names are
    // ignored.
    void sendEnd(const std::string& member, const EndMessage&);
    // Returns the index of the part of a split route that gets the next request.
    std::size_t choosePart(const Route&);

    EntryContext& context;
    std::unordered_map<const RequestCourse*, std::shared_ptr<RequestCourse>> courses;
    // Requests that wait for a grant reply, by the number of their grant request.
    std::unordered_map<std::uint64_t, RequestCourse*> asking;
    // Numbers of the attempts in flight.
    std::unordered_set<std::uint64_t> activeNumbers;
    // Split rotations by host and path prefix. A rotation restarts when the weights change.
    struct Rotation {
        std::vector<double> weights;
        grants::SplitRotation rotation;
    };
    std::unordered_map<std::string, Rotation> rotations;
    std::mt19937_64 random;
    std::uint64_t lastNumber { 0 };
};

}
