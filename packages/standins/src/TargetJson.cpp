#include "flamingowick/standins/detail/TargetJson.h"

#include <nlohmann/json.hpp>

#include <array>

namespace flamingowick::standins::detail {

namespace {

    using nlohmann::json;

    template <typename Value>
    void readValue(const json& control, const char* name, Value& value)
    {
        if (control.contains(name))
            value = control.at(name).get<Value>();
    }

    void readMilliseconds(const json& control, const char* name, Duration& value)
    {
        if (control.contains(name))
            value = std::chrono::milliseconds(control.at(name).get<std::int64_t>());
    }

    void readSwitches(const json& control, TargetFaults& faults)
    {
        readValue(control, "errorShare", faults.errorShare);
        readValue(control, "slowFactor", faults.slowFactor);
        readValue(control, "requestsBad", faults.requestsBad);
        readMilliseconds(control, "flapPeriodMs", faults.flapPeriod);
        readValue(control, "freeze", faults.freeze);
        readValue(control, "oneWay", faults.oneWay);
        readValue(control, "drain", faults.drain);
        readValue(control, "shed", faults.shed);
        readValue(control, "acceptCancel", faults.acceptCancel);
        readValue(control, "crashMark", faults.crashMark);
        readMilliseconds(control, "crashDowntimeMs", faults.crashDowntime);
        readMilliseconds(control, "slowStartMs", faults.slowStart);
        readValue(control, "slowStartFactor", faults.slowStartFactor);
    }

    json renderRecord(const RunRecord& record)
    {
        constexpr std::array<std::string_view, 6> ends { "open", "answered", "failed", "unanswered", "cancelled", "crashed" };
        return {
            { "run", record.run },
            { "requestId", record.requestId },
            { "key", record.key },
            { "nonce", record.nonce },
            { "method", record.method },
            { "path", record.path },
            { "end", ends.at(static_cast<std::size_t>(record.end)) },
        };
    }

    std::string dump(const json& value)
    {
        return value.dump(-1, ' ', true, json::error_handler_t::replace);
    }

}

bool applyControl(std::string_view body, TargetFaults& faults)
{
    const json control = json::parse(body, nullptr, false);
    if (!control.is_object())
        return false;
    try {
        TargetFaults changed = faults;
        readSwitches(control, changed);
        faults = changed;
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

std::string renderLedger(const TargetLedger& ledger, bool withRuns)
{
    json rendered {
        { "dropped", ledger.dropped },
        { "shed", ledger.shed },
        { "refusedDraining", ledger.refusedDraining },
        { "probes", ledger.probes },
        { "crashes", ledger.crashes },
        { "running", ledger.running },
        { "maxRunning", ledger.maxRunning },
        { "openConnections", ledger.openConnections },
        { "maxConnections", ledger.maxConnections },
        { "runCount", ledger.runCount },
    };
    if (withRuns) {
        rendered["runs"] = json::array();
        for (const RunRecord& record : ledger.runs)
            rendered["runs"].push_back(renderRecord(record));
    }
    return dump(rendered);
}

std::string renderRun(const RunRecord& record, std::string_view target, std::size_t minBytes)
{
    json body { { "nonce", record.nonce }, { "target", target }, { "run", record.run } };
    std::string text = dump(body);
    if (text.size() < minBytes)
        body["padding"] = std::string(minBytes - text.size(), 'x');
    return dump(body);
}

}
