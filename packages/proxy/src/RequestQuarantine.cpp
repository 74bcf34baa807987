#include "flamingowick/proxy/RequestQuarantine.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace flamingowick::proxy {

namespace {

    using telemetry::EventFields;
    using telemetry::EventScope;

    // Members that count the crashes of one request. With three, a restart of any two keeps the count.
    constexpr std::size_t counterCount = 3;
    // Fingerprints are spread over so many rendezvous orders; each order is cached, so that there can't be one for each.
    constexpr std::uint64_t orderCount = 16;
    // Delay after which the second counter stores a refusal that the first has not stored; twice that for the third.
    constexpr Duration storeTakeoverDelay { std::chrono::milliseconds(1500) };
    constexpr std::size_t fingerprintDigits = 16;

}

std::string fingerprintText(std::uint64_t fingerprint)
{
    std::array<char, fingerprintDigits> digits {};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint, 16);
    const auto count = static_cast<std::size_t>(result.ptr - digits.data());
    return std::string(fingerprintDigits - count, '0').append(digits.data(), count);
}

std::optional<std::uint64_t> parseFingerprint(std::string_view text)
{
    std::uint64_t fingerprint = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
    if (text.size() != fingerprintDigits || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return fingerprint;
}

std::vector<std::string> crashCountersFor(Fleet& fleet, std::uint64_t fingerprint)
{
    std::vector<std::string> counters = dispatchersFor(fleet, "crashes/" + std::to_string(fingerprint % orderCount));
    if (counters.size() > counterCount)
        counters.resize(counterCount);
    return counters;
}

RequestQuarantine::RequestQuarantine(Fleet& knownFleet, telemetry::EventLog& eventLog, telemetry::Metrics& daemonMetrics, QuarantineCallbacks quarantineCallbacks)
    : fleet(knownFleet)
    , log(eventLog)
    , metrics(daemonMetrics)
    , callbacks(std::move(quarantineCallbacks))
{
}

std::optional<Duration> RequestQuarantine::refusedFor(std::uint64_t fingerprint) const
{
    const TimePoint now = Clock::now();
    const std::optional<TimePoint> end = quarantine::refusal(this->ledger, fingerprint, now);
    return end ? std::optional<Duration>(*end - now) : std::nullopt;
}

template <typename Send>
void RequestQuarantine::forEachOtherCounter(std::uint64_t fingerprint, Send send)
{
    for (const std::string& name : crashCountersFor(this->fleet, fingerprint)) {
        const auto member = this->fleet.members.find(name);
        if (name != this->fleet.self && member != this->fleet.members.end())
            send(member->second.address);
    }
}

void RequestQuarantine::handleCrash(const CrashMessage& crash, std::string_view requestId)
{
    this->log.write(EventScope::Process, "quarantine", "target-crashed",
        EventFields().text("fingerprint", fingerprintText(crash.report.fingerprint)).text("request", requestId).text("target", crash.report.target).milliseconds("lastedMs", crash.age));
    this->metrics.increment("flamingowick_crashes_total");
    this->forEachOtherCounter(crash.report.fingerprint, [&](const std::string& address) { this->callbacks.sendCrash(address, crash); });
    this->recordCrash(crash);
}

void RequestQuarantine::handleReportedCrash(const std::string& address, const CrashMessage& crash)
{
    this->recordCrash(crash);
    if (const std::optional<Duration> remaining = this->refusedFor(crash.report.fingerprint))
        this->callbacks.sendNotice(address, { crash.report.fingerprint, *remaining });
}

void RequestQuarantine::recordCrash(const CrashMessage& crash)
{
    const std::uint64_t fingerprint = crash.report.fingerprint;
    if (this->refusedFor(fingerprint))
        return;
    const TimePoint now = Clock::now();
    if (!quarantine::recordCrash(this->ledger, fingerprint, crash.report.target, now - crash.age, this->policy, now))
        return;
    this->refuse(fingerprint, this->policy.refuseFor, "counted");
    for (const auto& [name, member] : this->fleet.members) {
        if (name != this->fleet.self)
            this->callbacks.sendNotice(member.address, { fingerprint, this->policy.refuseFor });
    }
}

void RequestQuarantine::handleSurvival(std::uint64_t fingerprint)
{
    if (quarantine::crashCount(this->ledger, fingerprint, this->policy, Clock::now()) == 0)
        return;
    quarantine::recordSurvival(this->ledger, fingerprint);
    this->forEachOtherCounter(fingerprint, [&](const std::string& address) { this->callbacks.sendSurvival(address, { fingerprint }); });
}

void RequestQuarantine::handleReportedSurvival(const SurvivalMessage& message)
{
    quarantine::recordSurvival(this->ledger, message.fingerprint);
}

void RequestQuarantine::handleNotice(const quarantine::QuarantineNotice& notice)
{
    const Duration remaining = std::min(notice.remaining, this->policy.refuseFor);
    if (remaining <= Duration::zero() || this->refusedFor(notice.fingerprint))
        return;
    this->refuse(notice.fingerprint, remaining, "told");
}

void RequestQuarantine::refuse(std::uint64_t fingerprint, Duration remaining, std::string_view source)
{
    quarantine::refuse(this->ledger, fingerprint, Clock::now() + remaining);
    this->log.write(EventScope::Process, "quarantine", "refusal-began",
        EventFields().text("fingerprint", fingerprintText(fingerprint)).text("source", source).number("crashes", this->policy.distinctTargets).milliseconds("remainingMs", remaining));
    if (this->callbacks.onRefusalsChange)
        this->callbacks.onRefusalsChange();
}

void RequestQuarantine::release(std::uint64_t fingerprint)
{
    if (!this->refusedFor(fingerprint))
        return;
    quarantine::release(this->ledger, fingerprint);
    this->log.write(EventScope::Process, "quarantine", "refusal-released", EventFields().text("fingerprint", fingerprintText(fingerprint)));
    if (this->callbacks.onRefusalsChange)
        this->callbacks.onRefusalsChange();
}

std::vector<RefusedRequest> RequestQuarantine::refusedRequests() const
{
    const TimePoint now = Clock::now();
    std::vector<RefusedRequest> refused;
    for (const auto& [fingerprint, end] : this->ledger.refusedUntil) {
        if (end > now)
            refused.push_back({ fingerprint, end - now });
    }
    return refused;
}

void RequestQuarantine::sendRefusalsTo(const std::string& address) const
{
    for (const RefusedRequest& refused : this->refusedRequests())
        this->callbacks.sendNotice(address, { refused.fingerprint, refused.remaining });
}

std::optional<TimePoint> RequestQuarantine::storeTime(const RefusedRequest& refused) const
{
    const std::vector<std::string> counters = crashCountersFor(this->fleet, refused.fingerprint);
    const auto self = std::find(counters.begin(), counters.end(), this->fleet.self);
    if (self == counters.end())
        return std::nullopt;
    const TimePoint refusedSince = Clock::now() + refused.remaining - this->policy.refuseFor;
    return refusedSince + storeTakeoverDelay * std::distance(counters.begin(), self);
}

bool RequestQuarantine::removesFromStore(std::uint64_t fingerprint) const
{
    const std::vector<std::string> counters = crashCountersFor(this->fleet, fingerprint);
    return !counters.empty() && counters.front() == this->fleet.self;
}

}
