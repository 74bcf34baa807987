#include "flamingowick/configuration/OperatorText.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace flamingowick::configuration {

namespace {

    std::string printable(std::string_view text)
    {
        std::string shown(text);
        std::ranges::replace_if(
            shown, [](char byte) { return static_cast<unsigned char>(byte) < 0x20U || byte == 0x7f; }, '?');
        return shown;
    }

    std::string_view nameOf(ChangeSide side)
    {
        switch (side) {
        case ChangeSide::Mine:
            return "mine";
        case ChangeSide::Theirs:
            return "theirs";
        case ChangeSide::Both:
            return "both";
        case ChangeSide::Conflict:
            return "CONFLICT";
        }
        return "";
    }

    std::string valueLine(std::string_view label, std::string_view value)
    {
        return "    " + std::string(label) + ": " + (value.empty() ? "(absent)" : printable(value)) + "\n";
    }

    std::string versionsOf(const AuditEntry& entry)
    {
        if (!entry.accepted)
            return "refused, version " + std::to_string(entry.toVersion) + " stays";
        return "version " + std::to_string(entry.fromVersion) + " -> " + std::to_string(entry.toVersion);
    }

}

std::string renderUtcTime(std::int64_t milliseconds)
{
    constexpr std::int64_t msPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(milliseconds / msPerSecond);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date {};
    const std::size_t length = std::strftime(date.data(), date.size(), "%Y-%m-%d %H:%M:%S", &parts);
    std::string fraction = std::to_string(milliseconds % msPerSecond);
    fraction.insert(0, 3 - std::min<std::size_t>(3, fraction.size()), '0');
    return std::string(date.data(), length) + "." + fraction;
}

std::string renderChanges(std::span<const DocumentChange> changes)
{
    std::string output;
    for (const DocumentChange& change : changes) {
        output += std::string(nameOf(change.side)) + " " + printable(change.pointer) + "\n";
        output += valueLine("base", change.base);
        if (change.mine != change.base)
            output += valueLine("mine", change.mine);
        if (change.theirs != change.base)
            output += valueLine("theirs", change.theirs);
    }
    return output;
}

std::string renderAudit(std::span<const AuditEntry> entries)
{
    std::string output;
    for (const AuditEntry& entry : entries) {
        const std::string who = entry.who.empty() ? "(unknown)" : printable(entry.who);
        output += renderUtcTime(entry.whenMs) + "  " + who + "  " + versionsOf(entry) + "  " + printable(entry.changeId) + "\n";
        for (const Finding& finding : entry.findings)
            output += "    line " + std::to_string(finding.line) + " " + printable(finding.pointer) + ": " + printable(finding.message) + "\n";
    }
    return output;
}

std::string renderStatus(std::span<const FleetServiceStatus> services)
{
    std::string output;
    for (const FleetServiceStatus& status : services) {
        output += printable(status.service) + "  version " + std::to_string(status.version);
        output += status.deleted ? " (withdrawn)" : "";
        output += "  in force on " + std::to_string(status.inForce) + " of " + std::to_string(status.daemons);
        for (const std::string& domain : status.behind)
            output += (&domain == &status.behind.front() ? "  behind: " : ", ") + printable(domain);
        output += "\n";
    }
    return output;
}

}
