#pragma once

#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/quarantine/CrashLedger.h"
#include "flamingowick/telemetry/EventLog.h"
#include "flamingowick/telemetry/Metrics.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// Recognises requests that crash the targets which run them, and keeps them from all targets, whichever daemon they
// reach.
//
// A request is identified by its fingerprint, a digest of its content. Daemons report each crash to the counters of the
// fingerprint, a few members in rendezvous order, so that the count outlives any one daemon. The counter at which the
// limit is reached tells all members, and the refusal is stored, which covers daemons that start later or missed it.
namespace flamingowick::proxy {

// A refused request.
struct RefusedRequest {
    std::uint64_t fingerprint { 0 };
    Duration remaining { 0 };
};

// Returns 16 hexadecimal digits.
std::string fingerprintText(std::uint64_t fingerprint);

// Returns the fingerprint that the text was made from; nothing when it is not 16 hexadecimal digits.
std::optional<std::uint64_t> parseFingerprint(std::string_view text);

// Returns the members that count the crashes of a request, the preferred one first. Suspected and leaving members are
// left out. Linear in the members.
std::vector<std::string> crashCountersFor(Fleet&, std::uint64_t fingerprint);

struct QuarantineCallbacks {
    std::function<void(const std::string& address, const CrashMessage&)> sendCrash;
    std::function<void(const std::string& address, const SurvivalMessage&)> sendSurvival;
    std::function<void(const std::string& address, const quarantine::QuarantineNotice&)> sendNotice;
    // Called when a refusal begins or is released, so that it can be stored or removed from the store.
    std::function<void()> onRefusalsChange;
};

class RequestQuarantine {
public:
    RequestQuarantine(Fleet&, telemetry::EventLog&, telemetry::Metrics&, QuarantineCallbacks);

    // Returns for how long requests with the fingerprint are still refused; nothing when they are not. Logarithmic.
    std::optional<Duration> refusedFor(std::uint64_t fingerprint) const;

    // Handles that a target crashed while it ran a request that this daemon had sent.
    void handleCrash(const CrashMessage&, std::string_view requestId);

    // Handles that a target has run a request without an error. Tells the counters when the request is suspected here.
    void handleSurvival(std::uint64_t fingerprint);

    // Handle messages of other daemons. A daemon that reports a crash by a refused request is told of the refusal.
    void handleReportedCrash(const std::string& address, const CrashMessage&);
    void handleReportedSurvival(const SurvivalMessage&);
    void handleNotice(const quarantine::QuarantineNotice&);

    // Ends the refusal of a request on this daemon.
    void release(std::uint64_t fingerprint);

    // Returns the refused requests, in order of their fingerprints. Linear in these.
    std::vector<RefusedRequest> refusedRequests() const;

    // Tells the daemon at the address of all refused requests.
    void sendRefusalsTo(const std::string& address) const;

    // Returns when this daemon has to store the refusal, unless the store has it by then; nothing when that is up to
    // others. Linear in the members.
    std::optional<TimePoint> storeTime(const RefusedRequest&) const;

    // Returns whether this daemon removes the refusal from the store after its end. Linear in the members.
    bool removesFromStore(std::uint64_t fingerprint) const;

    const CrashPolicy& crashPolicy() const noexcept { return this->policy; }

private:
    void recordCrash(const CrashMessage&);
    void refuse(std::uint64_t fingerprint, Duration remaining, std::string_view source);
    template <typename Send>
    void forEachOtherCounter(std::uint64_t fingerprint, Send send);

    Fleet& fleet;
    telemetry::EventLog& log;
    telemetry::Metrics& metrics;
    QuarantineCallbacks callbacks;
    // A target that ends for another reason takes all of its requests with it, and two such ends in a row are within
    // reach of a harmless request that is retried.
    CrashPolicy policy { 3, std::chrono::minutes(10) };
    quarantine::CrashLedger ledger;
};

}
