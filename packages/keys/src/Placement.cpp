#include "flamingowick/keys/Placement.h"

#include "flamingowick/model/StableHash.h"

namespace flamingowick::keys {

namespace {

    std::vector<std::uint64_t> hashesOf(std::span<const std::string> names)
    {
        std::vector<std::uint64_t> hashes;
        hashes.reserve(names.size());
        for (const std::string& name : names)
            hashes.push_back(stableHash(name));
        return hashes;
    }

    std::uint64_t rangeHash(std::string_view service, std::uint32_t range)
    {
        return combineHashes(stableHash(service), range);
    }

    // Returns whether the first VM ranks before the other: by greater weight, then by name.
    bool precedes(std::uint64_t weight, std::string_view vm, std::uint64_t otherWeight, std::string_view otherVm)
    {
        return weight != otherWeight ? weight > otherWeight : vm < otherVm;
    }

    std::string_view bestOf(std::uint64_t hash, std::span<const std::string> vms, std::span<const std::uint64_t> vmHashes)
    {
        std::string_view best;
        std::uint64_t bestWeight = 0;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            std::uint64_t weight = combineHashes(hash, vmHashes[index]);
            if (best.empty() || precedes(weight, vms[index], bestWeight, best)) {
                best = vms[index];
                bestWeight = weight;
            }
        }
        return best;
    }

}

std::string_view preferredOwner(const RangeId& id, std::span<const std::string> liveVms)
{
    return bestOf(rangeHash(id.service, id.range), liveVms, hashesOf(liveVms));
}

std::vector<RangeId> rangesToClaim(std::span<const std::string> services, std::span<const std::string> liveVms,
    std::string_view selfVm, std::uint32_t rangesPerService)
{
    std::vector<std::uint64_t> vmHashes = hashesOf(liveVms);
    std::vector<RangeId> ranges;
    for (const std::string& service : services) {
        for (std::uint32_t range = 0; range < rangesPerService; ++range) {
            if (bestOf(rangeHash(service, range), liveVms, vmHashes) == selfVm)
                ranges.push_back({ service, range });
        }
    }
    return ranges;
}

}
