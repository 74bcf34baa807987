#include "flamingowick/proxy/ProxySettingsText.h"

#include "flamingowick/model/TextForms.h"
#include "flamingowick/settings/detail/FieldReader.h"
#include "flamingowick/settings/detail/JsonParser.h"
#include "flamingowick/settings/detail/TextRules.h"

#include <array>
#include <optional>

namespace flamingowick::proxy {

namespace {

    using namespace settings::detail;
    using settings::FindingNumber;
    using settings::JsonValue;
    using std::chrono::milliseconds;
    using std::chrono::minutes;

    constexpr std::array fleetStages { Choice<FleetStage> { "unknown", FleetStage::Unknown }, Choice<FleetStage> { "starting", FleetStage::Starting }, Choice<FleetStage> { "running", FleetStage::Running } };

    constexpr std::array placementPolicies { Choice<PlacementPolicy> { "slots", PlacementPolicy::Slots }, Choice<PlacementPolicy> { "cost", PlacementPolicy::Cost } };
    constexpr std::array admissionPolicies { Choice<AdmissionPolicy> { "arrival", AdmissionPolicy::Arrival }, Choice<AdmissionPolicy> { "shares", AdmissionPolicy::Shares } };

    // Parses a duration such as "6s" or "1500ms".
    std::optional<Duration> parseDurationSetting(std::string_view text)
    {
        constexpr double maxNumber = 1e6;
        return parseDuration(text, maxNumber);
    }

    std::string_view checkDuration(std::string_view text) noexcept
    {
        return parseDurationSetting(text) ? "" : "must be a number with the unit ms or s";
    }

    void readDuration(ObjectReader& reader, std::string_view name, Duration& value)
    {
        std::string text;
        readText(reader, name, Presence::Optional, checkDuration, text);
        if (!text.empty())
            value = parseDurationSetting(text).value_or(value);
    }

    std::string_view acceptAnyText(std::string_view /*text*/) noexcept { return ""; }

    void readTexts(ObjectReader& reader, std::string_view name, std::vector<std::string>& values, FindingList& findings)
    {
        constexpr std::size_t maxTexts = 256;
        std::size_t index = 0;
        for (const JsonValue& item : readList(reader, name, Presence::Optional, { 0, maxTexts })) {
            const std::string pointer = "/" + std::string(name) + "/" + std::to_string(index++);
            if (checkText(item, pointer, acceptAnyText, findings))
                values.push_back(item.string);
        }
    }

    void checkAddressesDiffer(const ProxySettings& settings, const JsonValue& root, FindingList& findings)
    {
        const auto reportConflict = [&root, &findings](std::string_view pointer, std::string_view other) {
            addFinding(findings, FindingNumber::Contradiction, pointer, settings::lineOf(root, pointer), "must differ from " + std::string(other));
        };
        if (!settings.callerAddress.empty() && settings.callerAddress == settings.readyAddress)
            reportConflict("/readyAddress", "callerAddress");
        if (!settings.metricsAddress.empty() && (settings.metricsAddress == settings.callerAddress || settings.metricsAddress == settings.readyAddress))
            reportConflict("/metricsAddress", "callerAddress and readyAddress");
    }

}

Checked<ProxySettings> parseProxySettings(std::string_view text)
{
    Checked<ProxySettings> result;
    FindingList findings;
    if (const auto root = parseJson(text, findings)) {
        ProxySettings& settings = result.value;
        ObjectReader reader = openValue(*root, "", findings);
        readText(reader, "vm", Presence::Required, checkPlaceName, settings.vm);
        readText(reader, "failureDomain", Presence::Required, checkPlaceName, settings.failureDomain);
        readText(reader, "callerAddress", Presence::Required, checkAddress, settings.callerAddress);
        readText(reader, "readyAddress", Presence::Required, checkAddress, settings.readyAddress);
        readText(reader, "metricsAddress", Presence::Optional, checkAddress, settings.metricsAddress);
        readText(reader, "peerAddress", Presence::Required, checkAddress, settings.peerAddress);
        readText(reader, "storeAddress", Presence::Required, checkAddress, settings.storeAddress);
        readChoice<FleetStage>(reader, "fleetStage", fleetStages, settings.fleetStage);
        readNumber(reader, "linkMbps", { 0, 1e6 }, settings.linkMbps);
        readNumber(reader, "memoryMb", { 64, 1e6 }, settings.memoryMb);
        readDuration(reader, "stopGrace", settings.stopGrace);
        readMilliseconds(reader, "lapseGraceMs", { milliseconds(0), minutes(1) }, settings.lapseGrace);
        readNumber(reader, "retryRatio", { 0, 10 }, settings.retryRatio);
        readNumber(reader, "retryBurst", { 0, 1e6 }, settings.retryBurst);
        readTexts(reader, "terms", settings.terms, findings);
        readChoice<PlacementPolicy>(reader, "placement", placementPolicies, settings.placement);
        readChoice<AdmissionPolicy>(reader, "admission", admissionPolicies, settings.admission);
        readDuration(reader, "allotmentWindow", settings.allotmentWindow);
        readNumber(reader, "allotmentOverage", { 0, 10 }, settings.allotmentOverage);
        readNumber(reader, "allotmentSlack", { 0, 1e6 }, settings.allotmentSlack);
        readUnsigned(reader, "logLinesPerSecond", { 1, 100'000 }, settings.logLinesPerSecond);
        finishObject(reader);
        checkAddressesDiffer(settings, *root, findings);
    }
    result.findings = takeFindings(std::move(findings));
    return result;
}

}
