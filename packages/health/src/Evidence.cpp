#include "flamingowick/health/Evidence.h"

#include <algorithm>

namespace flamingowick::health {

namespace {

    std::size_t ringPosition(const Ring& ring, std::int64_t index) noexcept
    {
        return static_cast<std::size_t>(index) % ring.buckets.size();
    }

    Counts difference(const Counts& after, const Counts& before) noexcept
    {
        return {
            after.total - before.total,
            after.errors - before.errors,
            after.slow - before.slow,
            after.forgiven - before.forgiven,
        };
    }

    // Returns the bucket with the given index, cleared if it held an older one, or nullptr if a newer bucket has replaced
    // it.
    Bucket* acquireBucket(Ring& ring, std::int64_t index) noexcept
    {
        auto& bucket = ring.buckets[ringPosition(ring, index)];
        if (bucket.index > index)
            return nullptr;
        if (bucket.index < index) {
            ring.sum = difference(ring.sum, bucket.counts);
            bucket = Bucket { index, {} };
        }
        ring.newest = std::max(ring.newest, index);
        return &bucket;
    }

    void add(Counts& sum, const Counts& added) noexcept
    {
        sum.total += added.total;
        sum.errors += added.errors;
        sum.slow += added.slow;
        sum.forgiven += added.forgiven;
    }

    void addToBucket(Ring& ring, std::int64_t index, const Counts& added) noexcept
    {
        if (auto* bucket = acquireBucket(ring, index)) {
            add(bucket->counts, added);
            add(ring.sum, added);
        }
    }

    Counts elementwiseMax(const Counts& a, const Counts& b) noexcept
    {
        return {
            std::max(a.total, b.total),
            std::max(a.errors, b.errors),
            std::max(a.slow, b.slow),
            std::max(a.forgiven, b.forgiven),
        };
    }

    bool isInWindow(const Ring& ring, std::int64_t index, TimePoint now) noexcept
    {
        const auto newest = bucketIndex(now + clockTolerance, ring.width);
        const auto oldest = bucketIndex(now, ring.width) - static_cast<std::int64_t>(ring.buckets.size());
        return index > oldest && index <= newest && index >= 0;
    }

    // The three rings of one width that an observer's counters are added to.
    struct RingSet {
        Ring& observer;
        Ring& domain;
        Ring& pooled;
    };

    // Returns the counts that were added.
    Counts mergeBucket(const RingSet& rings, const Bucket& incoming, TimePoint now) noexcept
    {
        if (!isInWindow(rings.observer, incoming.index, now))
            return {};
        auto* bucket = acquireBucket(rings.observer, incoming.index);
        if (!bucket)
            return {};
        const auto merged = elementwiseMax(bucket->counts, incoming.counts);
        const auto added = difference(merged, bucket->counts);
        addToBucket(rings.observer, incoming.index, added);
        addToBucket(rings.domain, incoming.index, added);
        addToBucket(rings.pooled, incoming.index, added);
        return added;
    }

    Counts mergeBuckets(const RingSet& rings, std::span<const Bucket> incoming, TimePoint now) noexcept
    {
        Counts sum;
        for (const auto& bucket : incoming)
            add(sum, mergeBucket(rings, bucket, now));
        return sum;
    }

    bool isStaleRing(const Ring& ring, TimePoint now) noexcept
    {
        return !isInWindow(ring, ring.newest, now);
    }

    std::vector<Bucket> bucketsSince(const Ring& ring, TimePoint since)
    {
        const auto oldest = bucketIndex(since, ring.width);
        std::vector<Bucket> buckets;
        for (const auto& bucket : ring.buckets) {
            if (bucket.index >= 0 && bucket.index >= oldest)
                buckets.push_back(bucket);
        }
        return buckets;
    }

}

std::int64_t bucketIndex(TimePoint time, Duration width) noexcept
{
    return time.time_since_epoch() / width;
}

Counts countsAt(const Ring& ring, std::int64_t index) noexcept
{
    if (index < 0)
        return {};
    const auto& bucket = ring.buckets[ringPosition(ring, index)];
    return bucket.index == index ? bucket.counts : Counts {};
}

void addCounts(TargetEvidence& evidence, const ObserverId& observer, TimePoint time, const Counts& added)
{
    auto& observerRings = evidence.byObserver[observer];
    auto& domain = evidence.byFailureDomain[observer.failureDomain];
    const auto fine = bucketIndex(time, fineWidth);
    const auto coarse = bucketIndex(time, coarseWidth);
    for (auto* rings : { &observerRings, &domain, &evidence.pooled }) {
        addToBucket(rings->fine, fine, added);
        addToBucket(rings->coarse, coarse, added);
    }
}

Counts mergeCounters(TargetEvidence& evidence, const ObserverId& observer, const TargetCounters& counters, TimePoint now)
{
    auto& observerRings = evidence.byObserver[observer];
    auto& domain = evidence.byFailureDomain[observer.failureDomain];
    const RingSet fine { observerRings.fine, domain.fine, evidence.pooled.fine };
    const RingSet coarse { observerRings.coarse, domain.coarse, evidence.pooled.coarse };
    const auto addedFine = mergeBuckets(fine, counters.fine, now);
    const auto addedCoarse = mergeBuckets(coarse, counters.coarse, now);
    return elementwiseMax(addedFine, addedCoarse);
}

TargetCounters countersSince(std::string_view target, const Rings& rings, TimePoint since)
{
    return { std::string(target), bucketsSince(rings.fine, since), bucketsSince(rings.coarse, since) };
}

bool isStale(const TargetEvidence& evidence, TimePoint now) noexcept
{
    return isStaleRing(evidence.pooled.coarse, now);
}

void dropStaleObservers(TargetEvidence& evidence, TimePoint now)
{
    std::erase_if(evidence.byObserver, [&](const auto& entry) { return isStaleRing(entry.second.coarse, now); });
    std::erase_if(evidence.byFailureDomain, [&](const auto& entry) { return isStaleRing(entry.second.coarse, now); });
}

}
