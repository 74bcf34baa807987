#pragma once

#include "flamingowick/organisations/Allotment.h"

// How what the bound allows above rate x window + burst is split. The parts make 1.
namespace flamingowick::organisations {

// Depth of the holder's bucket above the burst.
constexpr double depthPart = 0.2;
// Tokens with which a holder begins that doesn't know what was used before.
constexpr double takeoverPart = 0.2;
// Tokens that are lent ahead and not yet spent.
constexpr double aheadPart = 0.15;
// Tokens that entries spend without a holder before their share of the rate.
constexpr double alonePart = 0.1;
// The rest is for what two holders lend at the same time until all entries ask the same one.

// Time for which tokens may be spent.
constexpr Duration tokenLease = std::chrono::milliseconds(300);

// Time for which the next daemon is asked after the first has not replied.
constexpr Duration nextHolderTime = std::chrono::seconds(1);

// Returns what the bound allows in a window above rate x window + burst.
inline double spareOf(const AllotmentBound& bound, const Allotment& allotment)
{
    const double window = std::chrono::duration<double>(bound.window).count();
    return bound.overage * (allotment.ratePerSecond * window + allotment.burst) + bound.slack;
}

inline double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

inline Duration durationOf(double seconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }

// Spreads numbers that follow one another evenly over [0, 1).
inline double spreadOf(std::uint64_t number)
{
    number += 0x9e3779b97f4a7c15U;
    number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9U;
    number = (number ^ (number >> 27U)) * 0x94d049bb133111ebU;
    return static_cast<double>((number ^ (number >> 31U)) >> 11U) * 0x1p-53;
}

}
