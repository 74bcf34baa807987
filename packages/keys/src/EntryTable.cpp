#include "flamingowick/keys/EntryTable.h"

#include "flamingowick/model/Invariant.h"
#include "flamingowick/model/StableHash.h"

#include <algorithm>

namespace flamingowick::keys {

namespace {

    // Memory of the containers and fixed parts of an entry, in bytes.
    constexpr std::size_t entryOverheadBytes = 768;

    std::size_t answerBytes(const Answer& answer) noexcept
    {
        std::size_t bytes = sizeof(Answer) + answer.body.size() + answer.reason.size() + answer.target.size();
        for (const Header& header : answer.headers)
            bytes += sizeof(Header) + header.name.size() + header.value.size();
        return bytes;
    }

    std::size_t textBytes(std::string_view key, std::string_view caller) noexcept
    {
        return entryOverheadBytes + 3 * key.size() + caller.size();
    }

    std::size_t entryBytes(const KeyEntry& entry) noexcept
    {
        return textBytes(entry.key, entry.caller) + (entry.answer ? answerBytes(*entry.answer) : 0);
    }

}

KeyEntry* findEntry(EntryTable& table, const RangeId& range, const std::string& key)
{
    auto entries = table.ranges.find(range);
    if (entries == table.ranges.end())
        return nullptr;
    auto entry = entries->second.entries.find(key);
    return entry == entries->second.entries.end() ? nullptr : &entry->second;
}

KeyEntry* findRunner(EntryTable& table, const RequestId& id, RangeId& range)
{
    auto runner = table.runners.find(id);
    if (runner == table.runners.end())
        return nullptr;
    range = runner->second.first;
    return findEntry(table, range, runner->second.second);
}

bool hasRoom(const EntryTable& table, const EntryLimits& limits, const Request& request) noexcept
{
    std::size_t bytes = table.byteCount + textBytes(request.idempotencyKey, request.caller);
    return table.entryCount < limits.maxEntries && bytes <= limits.maxBytes;
}

KeyEntry& addEntry(EntryTable& table, const RangeId& range, const KeyEntry& entry)
{
    RangeEntries& entries = table.ranges[range];
    auto [position, added] = entries.entries.try_emplace(entry.key, entry);
    checkInvariant(added, Invariant::AtMostOnce, "second entry added for a key");
    table.expiries.insert({ position->second.expiresAt, { range, entry.key } });
    ++table.entryCount;
    table.byteCount += entryBytes(position->second);
    return position->second;
}

void setExpiry(EntryTable& table, const RangeId& range, KeyEntry& entry, TimePoint expiresAt)
{
    table.expiries.erase({ entry.expiresAt, { range, entry.key } });
    entry.expiresAt = expiresAt;
    table.expiries.insert({ expiresAt, { range, entry.key } });
}

void extendExpiries(EntryTable& table, std::string_view service, Duration by)
{
    for (auto& [range, entries] : table.ranges) {
        if (range.service != service)
            continue;
        for (auto& item : entries.entries) {
            if (item.second.state != EntryState::Running)
                setExpiry(table, range, item.second, item.second.expiresAt + by);
        }
    }
}

void keepAnswer(EntryTable& table, const EntryLimits& limits, KeyEntry& entry, const Answer& answer)
{
    std::size_t bytes = answerBytes(answer);
    if (table.byteCount + bytes > limits.maxBytes)
        return;
    entry.answer = answer;
    table.byteCount += bytes;
}

void eraseEntry(EntryTable& table, const RangeId& range, const std::string& key)
{
    KeyEntry* entry = findEntry(table, range, key);
    if (entry == nullptr)
        return;
    table.byteCount -= entryBytes(*entry);
    --table.entryCount;
    table.expiries.erase({ entry->expiresAt, { range, key } });
    table.runners.erase(entry->runner);
    table.ranges[range].entries.erase(key);
}

void eraseRange(EntryTable& table, const RangeId& range)
{
    auto entries = table.ranges.find(range);
    if (entries == table.ranges.end())
        return;
    std::vector<std::string> keys;
    for (const auto& entry : entries->second.entries)
        keys.push_back(entry.first);
    for (const std::string& key : keys)
        eraseEntry(table, range, key);
    table.refusalCount -= entries->second.refusals.size();
    table.ranges.erase(range);
}

std::vector<std::pair<RangeId, std::string>> dueEntries(const EntryTable& table, TimePoint now)
{
    std::vector<std::pair<RangeId, std::string>> due;
    for (const auto& expiry : table.expiries) {
        if (expiry.first > now)
            break;
        due.push_back(expiry.second);
    }
    return due;
}

bool hasRunners(const EntryTable& table, const RangeId& range)
{
    auto inRange = [&](const auto& runner) { return runner.second.first == range; };
    return std::any_of(table.runners.begin(), table.runners.end(), inRange);
}

void forgetRunner(EntryTable& table, const RequestId& id)
{
    table.runners.erase(id);
}

void rememberRefusal(EntryTable& table, const EntryLimits& limits, const RangeId& range, std::string_view key, TimePoint now)
{
    RangeEntries& entries = table.ranges[range];
    std::uint64_t hash = stableHash(key);
    auto known = entries.refusals.find(hash);
    if (known != entries.refusals.end()) {
        known->second = now;
        return;
    }
    if (table.refusalCount >= limits.maxRefusals) {
        entries.refusalFloor = now;
        return;
    }
    entries.refusals.emplace(hash, now);
    ++table.refusalCount;
}

RefusalMatch matchRefusal(const RangeEntries& entries, std::string_view key, TimePoint stamp, Duration hold, AcceptedAfterRefusal isLater) noexcept
{
    auto refusal = entries.refusals.find(stableHash(key));
    if (refusal != entries.refusals.end() && !isLater(stamp, refusal->second, hold))
        return RefusalMatch::SameKey;
    if (entries.refusalFloor && !isLater(stamp, *entries.refusalFloor, hold))
        return RefusalMatch::AnyKey;
    return RefusalMatch::None;
}

void expireRefusals(EntryTable& table, TimePoint now, Duration limit)
{
    for (auto& entries : table.ranges) {
        auto& refusals = entries.second.refusals;
        table.refusalCount -= std::erase_if(refusals, [&](const auto& refusal) { return now - refusal.second > limit; });
        auto& floor = entries.second.refusalFloor;
        if (floor && now - *floor > limit)
            floor.reset();
    }
}

}
