#include "flamingowick/settings/DaemonSettingsText.h"
#include "flamingowick/settings/detail/FieldReader.h"
#include "flamingowick/settings/detail/JsonParser.h"
#include "flamingowick/settings/detail/TextRules.h"

#include <set>

// Reads a daemon's settings, with the range of each.
namespace flamingowick::settings {

namespace {

    using namespace detail;
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;

    constexpr std::size_t maxSeeds = 64;

    void readSeeds(ObjectReader& reader, std::vector<std::string>& seeds)
    {
        const std::string listPointer = childPointer(reader.pointer, "seeds");
        std::set<std::string> seen;
        std::size_t index = 0;
        for (const JsonValue& value : readList(reader, "seeds", Presence::Optional, { 0, maxSeeds })) {
            const std::string pointer = childPointer(listPointer, std::to_string(index));
            ++index;
            if (!checkText(value, pointer, checkAddress, *reader.findings))
                continue;
            if (!seen.insert(value.string).second)
                addFinding(*reader.findings, FindingNumber::DuplicateEntry, pointer, value.line, "the seed stands twice");
            seeds.push_back(value.string);
        }
    }

    DaemonSettings readSettings(const JsonValue& root, FindingList& findings)
    {
        DaemonSettings settings;
        ObjectReader reader = openValue(root, "", findings);
        readText(reader, "vm", Presence::Required, checkPlaceName, settings.vm);
        readText(reader, "failureDomain", Presence::Required, checkPlaceName, settings.failureDomain);
        readText(reader, "entryAddress", Presence::Required, checkAddress, settings.entryAddress);
        readText(reader, "peerAddress", Presence::Required, checkAddress, settings.peerAddress);
        readText(reader, "adminAddress", Presence::Required, checkAddress, settings.adminAddress);
        readText(reader, "adminToken", Presence::Required, checkToken, settings.adminToken);
        readText(reader, "platformUrl", Presence::Required, checkPlatformUrl, settings.platformUrl);
        readSeeds(reader, settings.seeds);
        readMilliseconds(reader, "shutdownGraceMs", { milliseconds(0), minutes(10) }, settings.shutdownGrace);
        readMilliseconds(reader, "shutdownLimitMs", { milliseconds(0), hours(1) }, settings.shutdownLimit);
        readUnsigned(reader, "maxConnections", { 1, 1'000'000 }, settings.maxConnections);
        finishObject(reader);
        return settings;
    }

    void reportContradiction(const JsonValue& root, std::string_view pointer, std::string message, FindingList& findings)
    {
        addFinding(findings, FindingNumber::Contradiction, pointer, lineOf(root, pointer), std::move(message));
    }

    void checkSettings(const DaemonSettings& settings, const JsonValue& root, FindingList& findings)
    {
        if (settings.shutdownGrace > settings.shutdownLimit)
            reportContradiction(root, "/shutdownGraceMs", "must not exceed shutdownLimitMs", findings);
        if (!settings.peerAddress.empty() && settings.peerAddress == settings.entryAddress)
            reportContradiction(root, "/peerAddress", "must differ from entryAddress", findings);
        if (!settings.adminAddress.empty() && settings.adminAddress == settings.entryAddress)
            reportContradiction(root, "/adminAddress", "must differ from entryAddress", findings);
        if (!settings.adminAddress.empty() && settings.adminAddress == settings.peerAddress)
            reportContradiction(root, "/adminAddress", "must differ from peerAddress", findings);
    }

}

Checked<DaemonSettings> parseDaemonSettings(std::string_view text)
{
    Checked<DaemonSettings> result;
    FindingList findings;
    if (const auto root = parseJson(text, findings)) {
        result.value = readSettings(*root, findings);
        checkSettings(result.value, *root, findings);
    }
    result.findings = takeFindings(std::move(findings));
    return result;
}

}
