#include "flamingowick/keys/IssuedKeys.h"

#include <algorithm>
#include <iterator>

namespace flamingowick::keys {

std::string issueKey(IssuedKeys& issued, const DaemonId& issuer, TimePoint now)
{
    std::uint64_t counter = issued.nextCounter;
    ++issued.nextCounter;
    if (issued.marks.empty() || now - issued.marks.back().issuedAt >= issueMarkStep)
        issued.marks.push_back({ counter, now });
    while (now - issued.marks.front().issuedAt > longestIssuedKeyLife)
        issued.marks.pop_front();
    return formatIssuedKey({ issuer, counter, issuedKeyCheck(issuer, counter, issued.secret) });
}

IssuedKeyAge judgeIssuedKey(const IssuedKeys& issued, const IssuedKey& key, const DaemonId& issuer, Duration limit, TimePoint now)
{
    bool ours = key.issuer == issuer && key.counter > 0 && key.counter < issued.nextCounter;
    if (!ours || key.check != issuedKeyCheck(issuer, key.counter, issued.secret))
        return IssuedKeyAge::NotOurs;
    auto after = std::upper_bound(issued.marks.begin(), issued.marks.end(), key.counter,
        [](std::uint64_t counter, const IssueMark& mark) { return counter < mark.counter; });
    if (after == issued.marks.begin())
        return IssuedKeyAge::TooOld;
    return now - std::prev(after)->issuedAt > limit ? IssuedKeyAge::TooOld : IssuedKeyAge::Usable;
}

}
