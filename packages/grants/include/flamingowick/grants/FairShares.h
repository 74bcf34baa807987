#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <unordered_map>

// The shares of organisations in a queue: start-time fair queueing, with weights that follow what each organisation
// usually asks for.
namespace flamingowick::grants {

struct OrganisationShare {
    // Virtual time at which the organisation's last served request ends.
    double virtualTime { 0 };
    // Exponentially decaying count of its requests.
    double recentRequests { 0 };
    TimePoint updatedAt;
};

// Holds the organisations with requests in the last minutes only.
struct FairShares {
    std::unordered_map<std::uint64_t, OrganisationShare> byOrganisation;
    // Virtual time of the last request that was served. An organisation that had no queued requests starts from it, so
    // that idle time earns no credit.
    double virtualTime { 0 };
    // The latest virtual time at which a served request ends.
    double latestEnd { 0 };
    // Exponentially decaying count of all requests.
    double recentRequests { 0 };
    TimePoint updatedAt;
    TimePoint cleanedAt;
};

// Records a request of the organisation. Amortised constant time.
void recordArrival(FairShares&, std::uint64_t organisation, TimePoint now);

// Returns the organisation's weight: its share of the recent requests relative to an equal share, at least a quarter.
// Constant time.
double weightOf(const FairShares&, std::uint64_t organisation) noexcept;

// Returns the virtual time at which the next request of the organisation starts. Constant time.
double nextStart(const FairShares&, std::uint64_t organisation) noexcept;

// Charges the organisation for a request that was served from the queue; cost 1 is that of a mean request. Constant time.
void recordService(FairShares&, std::uint64_t organisation, double cost);

// Records that the queue is empty: all organisations start equal in the next busy period. Constant time.
void endBusyPeriod(FairShares&) noexcept;

}
