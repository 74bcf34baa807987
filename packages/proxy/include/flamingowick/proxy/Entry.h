#pragma once

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/Configuration.h"
#include "flamingowick/proxy/DispatcherHost.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/proxy/TargetDirectory.h"
#include "flamingowick/proxy/TargetLinks.h"
#include "flamingowick/telemetry/EventLog.h"
#include "flamingowick/telemetry/Metrics.h"

#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

// The entry: takes a caller's request through to its answer.
namespace flamingowick::proxy {

// Configuration in force, with its index.
struct ConfigurationInForce {
    Configuration configuration;
    RouteIndex routes;
    TimePoint since;
};

// What the entry works with; all outlive it.
struct EntryContext {
    asio::io_context& io;
    const ProxySettings& settings;
    // Null until a configuration is known.
    std::shared_ptr<const ConfigurationInForce>& inForce;
    TargetDirectory& directory;
    Fleet& fleet;
    PeerLink& peers;
    // Pools of the groups for which this daemon dispatches.
    DispatcherHost& hosted;
    // Pools by which this daemon decides when it reaches no dispatcher.
    DispatcherHost& own;
    TargetLinks& links;
    telemetry::EventLog& log;
    telemetry::Metrics& metrics;
    // Differs between lives of this daemon.
    std::uint64_t sender { 0 };
    // Called when a member has become suspected.
    std::function<void()> onSuspicion;
};

class RequestCourse;

// Stands for the granter of a request on which this daemon decided without a dispatcher.
inline constexpr std::string_view decidedAlone { "alone" };

class Entry {
public:
    explicit Entry(EntryContext&);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    // Takes a caller's request; it is answered exactly once unless the caller leaves.
    void serve(const std::shared_ptr<CallerConnection>&);

    // Takes in a word on one of this daemon's requests. granter: the dispatcher's name.
    void takeWord(const std::string& granter, const WordMessage&);

    // Tells a dispatcher about the attempts that run in its group, since it can't know of them. An
    // empty group stands for all for which the member is the first choice.
    void reportRunning(const std::string& member, std::string_view group);

    std::size_t running() const noexcept { return this->courses.size(); }

private:
    friend class RequestCourse;

    std::uint64_t nextNumber();
    // Tells a member, or this daemon's own pools, that an attempt has ended.
    void sendEnd(const std::string& member, const EndMessage&);
    std::size_t choosePart(const Route&);

    EntryContext& context;
    std::unordered_map<const RequestCourse*, std::shared_ptr<RequestCourse>> courses;
    // Courses that wait for a word, by the number of their question.
    std::unordered_map<std::uint64_t, RequestCourse*> asking;
    // Numbers of the attempts that run.
    std::unordered_set<std::uint64_t> activeNumbers;
    // Split rotations by route; a changed split starts anew.
    struct Rotation {
        std::vector<double> weights;
        grants::SplitRotation rotation;
    };
    std::unordered_map<std::string, Rotation> rotations;
    std::mt19937_64 random;
    std::uint64_t lastNumber { 0 };
};

}
