#include "flamingowick/peers/detail/WireTargets.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/peers/detail/WireModel.h"

namespace flamingowick::peers::detail {

namespace {

    void bucketToWire(const health::Bucket& bucket, wire::Bucket& wire)
    {
        wire.set_index(bucket.index);
        wire.mutable_counts()->set_total(bucket.counts.total);
        wire.mutable_counts()->set_errors(bucket.counts.errors);
        wire.mutable_counts()->set_slow(bucket.counts.slow);
        wire.mutable_counts()->set_forgiven(bucket.counts.forgiven);
    }

    health::Bucket bucketFromWire(const wire::Bucket& wire)
    {
        const wire::Counts& counts = wire.counts();
        return { wire.index(), { counts.total(), counts.errors(), counts.slow(), counts.forgiven() } };
    }

    void countersToWire(const health::TargetCounters& counters, wire::TargetCounters& wire)
    {
        wire.set_target(counters.target);
        for (const health::Bucket& bucket : counters.fine)
            bucketToWire(bucket, *wire.add_fine());
        for (const health::Bucket& bucket : counters.coarse)
            bucketToWire(bucket, *wire.add_coarse());
    }

    health::TargetCounters countersFromWire(const wire::TargetCounters& wire)
    {
        health::TargetCounters counters;
        counters.target = wire.target();
        for (const wire::Bucket& bucket : wire.fine())
            counters.fine.push_back(bucketFromWire(bucket));
        for (const wire::Bucket& bucket : wire.coarse())
            counters.coarse.push_back(bucketFromWire(bucket));
        return counters;
    }

    std::int64_t timeToWire(TimePoint time) { return time.time_since_epoch().count(); }

    TimePoint timeFromWire(std::int64_t time) { return TimePoint(Duration(time)); }

    void recordToWire(const health::ScopedRecord& scoped, wire::EjectionRecord& wire)
    {
        const health::EjectionRecord& record = scoped.record;
        wire.set_target(scoped.scope.target);
        wire.set_from_failure_domain(scoped.scope.fromFailureDomain);
        wire.set_ejected_at(timeToWire(record.ejectedAt));
        wire.set_phase(static_cast<std::uint32_t>(record.phase));
        wire.set_until(timeToWire(record.until));
        wire.set_changed_at(timeToWire(record.changedAt));
        wire.set_severity(record.severity);
        wire.set_repeats(record.repeats);
        wire.set_evidence_from(timeToWire(record.evidenceFrom));
        wire::EjectionReason& reason = *wire.mutable_reason();
        reason.set_symptom(static_cast<std::uint32_t>(record.reason.symptom));
        reason.set_bad(record.reason.bad);
        reason.set_total(record.reason.total);
        reason.set_score(record.reason.score);
        reason.set_threshold(record.reason.threshold);
    }

    health::EjectionReason reasonFromWire(const wire::EjectionReason& wire)
    {
        if (wire.symptom() >= health::symptomCount)
            throw PeerError(301, "An ejection has no known symptom");
        return { static_cast<health::Symptom>(wire.symptom()), wire.bad(), wire.total(), wire.score(), wire.threshold() };
    }

    health::ScopedRecord recordFromWire(const wire::EjectionRecord& wire)
    {
        if (wire.phase() > static_cast<std::uint32_t>(health::Phase::Cancelled))
            throw PeerError(301, "An ejection has no known phase");
        health::EjectionRecord record;
        record.ejectedAt = timeFromWire(wire.ejected_at());
        record.phase = static_cast<health::Phase>(wire.phase());
        record.until = timeFromWire(wire.until());
        record.changedAt = timeFromWire(wire.changed_at());
        record.severity = wire.severity();
        record.repeats = wire.repeats();
        record.evidenceFrom = timeFromWire(wire.evidence_from());
        record.reason = reasonFromWire(wire.reason());
        return { { wire.target(), wire.from_failure_domain() }, record };
    }

}

void toWire(const HealthSummary& message, wire::HealthSummary& wire)
{
    wire.set_service(message.service);
    toWire(message.summary.observer.daemon, *wire.mutable_observer());
    wire.set_observer_domain(message.summary.observer.failureDomain);
    for (const health::TargetCounters& counters : message.summary.counters)
        countersToWire(counters, *wire.add_counters());
    for (const health::ScopedRecord& record : message.summary.records)
        recordToWire(record, *wire.add_records());
}

HealthSummary fromWire(const wire::HealthSummary& wire)
{
    HealthSummary message;
    message.service = wire.service();
    message.summary.observer = { fromWire(wire.observer()), wire.observer_domain() };
    for (const wire::TargetCounters& counters : wire.counters())
        message.summary.counters.push_back(countersFromWire(counters));
    for (const wire::EjectionRecord& record : wire.records())
        message.summary.records.push_back(recordFromWire(record));
    return message;
}

void toWire(const ServiceCrashReport& message, wire::CrashReport& wire)
{
    wire.set_service(message.service);
    wire.set_fingerprint(message.report.fingerprint);
    wire.set_target(message.report.target);
}

ServiceCrashReport fromWire(const wire::CrashReport& wire)
{
    return { wire.service(), { wire.fingerprint(), wire.target() } };
}

void toWire(const ServiceQuarantine& message, wire::QuarantineNotice& wire)
{
    wire.set_service(message.service);
    wire.set_fingerprint(message.notice.fingerprint);
    wire.set_remaining(message.notice.remaining.count());
}

ServiceQuarantine fromWire(const wire::QuarantineNotice& wire)
{
    return { wire.service(), { wire.fingerprint(), Duration(wire.remaining()) } };
}

void toWire(const LeavingNotice& message, wire::TargetLeaving& wire)
{
    wire.set_service(message.service);
    wire.set_address(message.leaving.address);
    wire.set_start(message.leaving.start);
}

LeavingNotice fromWire(const wire::TargetLeaving& wire)
{
    return { wire.service(), { wire.address(), wire.start() } };
}

void toWire(const TargetListShare& message, wire::TargetListShare& wire)
{
    wire.set_service(message.service);
    wire.set_version(message.version);
    for (const Target& target : message.targets) {
        wire::TargetListShare::Entry& entry = *wire.add_targets();
        entry.set_address(target.address);
        entry.set_failure_domain(target.failureDomain);
        entry.set_leaving(target.leaving);
    }
}

TargetListShare fromWire(const wire::TargetListShare& wire)
{
    TargetListShare message { wire.service(), wire.version(), {} };
    for (const wire::TargetListShare::Entry& entry : wire.targets())
        message.targets.push_back({ entry.address(), entry.failure_domain(), entry.leaving() });
    return message;
}

}
