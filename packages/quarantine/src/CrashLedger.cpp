#include "flamingowick/quarantine/CrashLedger.h"

#include <algorithm>

namespace flamingowick::quarantine {

namespace {

    constexpr std::size_t maxSuspects = 4096;
    constexpr std::size_t maxRefusals = 4096;

    void evictOldestSuspect(CrashLedger& ledger)
    {
        auto oldest = std::min_element(ledger.suspects.begin(), ledger.suspects.end(),
            [](const auto& left, const auto& right) { return left.second.lastCrash < right.second.lastCrash; });
        ledger.suspects.erase(oldest);
    }

    void evictFirstExpiringRefusal(CrashLedger& ledger)
    {
        auto first = std::min_element(ledger.refusedUntil.begin(), ledger.refusedUntil.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        ledger.refusedUntil.erase(first);
    }

}

bool recordCrash(CrashLedger& ledger, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt, const CrashPolicy& policy, TimePoint now)
{
    if (crashCount(ledger, fingerprint, policy, now) == 0)
        ledger.suspects.erase(fingerprint);
    CrashLedger::Suspect& suspect = ledger.suspects[fingerprint];
    auto [last, first] = suspect.crashed.try_emplace(target, now);
    bool countsAsNew = first || startedAt > last->second;
    suspect.crashes += countsAsNew;
    last->second = now;
    suspect.lastCrash = now;
    if (suspect.crashes >= policy.distinctTargets) {
        ledger.suspects.erase(fingerprint);
        refuse(ledger, fingerprint, now + policy.refuseFor);
        return true;
    }
    if (ledger.suspects.size() > maxSuspects)
        evictOldestSuspect(ledger);
    return false;
}

void recordSurvival(CrashLedger& ledger, std::uint64_t fingerprint)
{
    ledger.suspects.erase(fingerprint);
}

void refuse(CrashLedger& ledger, std::uint64_t fingerprint, TimePoint until)
{
    TimePoint& end = ledger.refusedUntil.try_emplace(fingerprint, until).first->second;
    end = std::max(end, until);
    if (ledger.refusedUntil.size() > maxRefusals)
        evictFirstExpiringRefusal(ledger);
}

void release(CrashLedger& ledger, std::uint64_t fingerprint)
{
    ledger.suspects.erase(fingerprint);
    ledger.refusedUntil.erase(fingerprint);
}

std::optional<TimePoint> refusal(const CrashLedger& ledger, std::uint64_t fingerprint, TimePoint now)
{
    auto found = ledger.refusedUntil.find(fingerprint);
    if (found == ledger.refusedUntil.end() || found->second <= now)
        return std::nullopt;
    return found->second;
}

std::size_t crashCount(const CrashLedger& ledger, std::uint64_t fingerprint, const CrashPolicy& policy, TimePoint now)
{
    auto found = ledger.suspects.find(fingerprint);
    if (found == ledger.suspects.end() || now - found->second.lastCrash > policy.refuseFor)
        return 0;
    return found->second.crashes;
}

}
