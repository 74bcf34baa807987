#include "flamingowick/dispatch/TargetChoice.h"

namespace flamingowick::dispatch {

namespace {

    // Compares the shares of slots in use, without division. Negative if left is less loaded.
    int compareLoad(const Candidate& left, const Candidate& right) noexcept
    {
        std::uint64_t leftLoad = std::uint64_t { left.inFlight } * right.slots;
        std::uint64_t rightLoad = std::uint64_t { right.inFlight } * left.slots;
        if (leftLoad == rightLoad)
            return 0;
        return leftLoad < rightLoad ? -1 : 1;
    }

    bool isBetter(const Candidate& left, const Candidate& right, std::string_view originDomain) noexcept
    {
        int load = compareLoad(left, right);
        if (load != 0)
            return load < 0;
        return left.failureDomain == originDomain && right.failureDomain != originDomain;
    }

}

std::size_t chooseLeastLoaded(std::span<const Candidate> candidates, std::string_view originDomain, std::uint64_t random) noexcept
{
    std::size_t first = random % candidates.size();
    std::size_t best = first;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        std::size_t index = (first + step) % candidates.size();
        if (isBetter(candidates[index], candidates[best], originDomain))
            best = index;
    }
    return best;
}

std::size_t choosePowerOfTwo(std::span<const Candidate> candidates, std::string_view, std::uint64_t random) noexcept
{
    std::size_t first = (random & 0xffffffffU) % candidates.size();
    std::size_t second = (random >> 32U) % candidates.size();
    return compareLoad(candidates[second], candidates[first]) < 0 ? second : first;
}

}
