#include "flamingowick/ctl/Apply.h"

#include "flamingowick/configuration/Acceptance.h"
#include "flamingowick/configuration/StoreText.h"
#include "flamingowick/ctl/Commands.h"
#include "flamingowick/ctl/Stored.h"
#include "flamingowick/model/StableHash.h"

#include <algorithm>

namespace flamingowick::ctl {

namespace {

    constexpr Duration readBackInterval = std::chrono::milliseconds(200);

    using StoredObject = std::optional<platform::Object>;

    // One run of apply().
    struct Run {
        const Ports& ports;
        const ApplyRequest& request;
        const ApplyPolicy& policy;
        std::string service;
        // The platform's object before the first attempt.
        StoredObject before;
        // What was read back last.
        StoredObject after;
        // The accepted document's revision before the first attempt. Versions of the store may repeat
        // when an object is created anew, so older audit entries don't count.
        std::uint64_t revisionBefore { 0 };
        ApplyReport report;
    };

    WriteAnswer answerOf(const platform::Result& result)
    {
        if (std::holds_alternative<platform::Applied>(result))
            return WriteAnswer::Applied;
        if (std::holds_alternative<platform::Conflict>(result) || std::holds_alternative<platform::Absent>(result))
            return WriteAnswer::Conflict;
        if (std::holds_alternative<platform::Rejected>(result))
            return WriteAnswer::Rejected;
        if (std::holds_alternative<platform::Unavailable>(result))
            return WriteAnswer::Unavailable;
        return WriteAnswer::Unknown;
    }

    platform::Result write(Run& run)
    {
        platform::Object object = makeSource(run.service, run.request.text);
        object.changeId = run.request.changeId;
        object.changedBy = run.request.by;
        if (!run.before)
            return run.ports.callPlatform(platform::Create { 0, std::move(object) });
        object.resourceVersion = run.before->resourceVersion;
        return run.ports.callPlatform(platform::Put { 0, std::move(object) });
    }

    bool isSameVersion(const StoredObject& left, const StoredObject& right)
    {
        return left && right && left->resourceVersion == right->resourceVersion && left->changeId == right->changeId;
    }

    StoredState readBack(Run& run)
    {
        ReadObject read = readObject(run.ports, platform::Plural::ServiceDocuments, run.service);
        if (std::holds_alternative<FailureReport>(read))
            return StoredState::Unreadable;
        run.after = std::move(std::get<StoredObject>(read));
        if (run.after && run.after->changeId == run.request.changeId)
            return StoredState::Own;
        if (!run.before && !run.after)
            return StoredState::StillAbsent;
        return isSameVersion(run.before, run.after) ? StoredState::Unchanged : StoredState::Foreign;
    }

    void noteStored(ApplyReport& report, const StoredObject& stored)
    {
        report.storedVersion = stored ? stored->resourceVersion : std::string();
        report.storedBy = stored ? stored->changedBy : std::string();
    }

    std::string textOf(const StoredObject& stored)
    {
        std::string text = stored ? sourceText(*stored) : std::string();
        return text.empty() ? "{}" : text;
    }

    Report conflictReport(Run& run, const std::string& base, const StoredObject& theirs)
    {
        run.report.outcome = ApplyOutcome::Conflict;
        noteStored(run.report, theirs);
        run.report.changes = configuration::diffDocuments(base, run.request.text, textOf(theirs)).value;
        return run.report;
    }

    Report unknownReport(Run& run)
    {
        run.report.outcome = ApplyOutcome::Unknown;
        noteStored(run.report, run.after);
        return run.report;
    }

    // Returns a report when the condition that the caller set doesn't hold.
    std::optional<Report> checkCondition(Run& run)
    {
        const std::string held = run.before ? run.before->resourceVersion : std::string();
        if (run.request.expectedVersion && *run.request.expectedVersion != held)
            return conflictReport(run, run.request.baseText.value_or(textOf(run.before)), run.before);
        if (!run.request.baseText)
            return std::nullopt;
        auto changes = configuration::diffDocuments(*run.request.baseText, *run.request.baseText, textOf(run.before));
        if (!changes.accepted())
            return FailureReport { ExitCode::BadInput, "the base can't be compared: " + changes.findings.front().message };
        if (!changes.value.empty())
            return conflictReport(run, *run.request.baseText, run.before);
        return std::nullopt;
    }

    // Carries out one step and notes what is known after it.
    void takeStep(Run& run, WriteStep step, WriteFacts& facts, platform::Result& result)
    {
        if (step == WriteStep::ReadBack) {
            facts.stored = readBack(run);
            return;
        }
        result = write(run);
        facts.answer = answerOf(result);
        facts.stored = StoredState::NotRead;
        const bool isLost = facts.answer == WriteAnswer::Unknown;
        facts.anyUnknown = facts.anyUnknown || isLost;
        run.report.lostAnswers += isLost ? 1 : 0;
        if (auto* applied = std::get_if<platform::Applied>(&result))
            run.after = applied->object;
    }

    // Writes until it is settled. Returns a report unless the write took effect.
    std::optional<Report> settleWrite(Run& run)
    {
        const TimePoint deadline = Clock::now() + run.request.wait;
        WriteFacts facts;
        platform::Result result;
        WriteStep step = WriteStep::WriteAgain;
        while (step == WriteStep::WriteAgain || step == WriteStep::ReadBack) {
            takeStep(run, step, facts, result);
            facts.timeLeft = Clock::now() < deadline;
            step = run.policy.nextStep(facts);
            if (facts.stored != StoredState::NotRead && facts.stored != StoredState::Own)
                run.ports.pause(readBackInterval);
        }
        if (step == WriteStep::Applied)
            return std::nullopt;
        if (step == WriteStep::Conflict)
            return conflictReport(run, textOf(run.before), run.after);
        return step == WriteStep::Unknown ? unknownReport(run) : Report(failureOf(result));
    }

    std::optional<configuration::AcceptedDocument> readAccepted(const Run& run)
    {
        ReadObject read = readObject(run.ports, platform::Plural::AcceptedDocuments, run.service);
        const auto* stored = std::get_if<StoredObject>(&read);
        if (stored == nullptr || !*stored)
            return std::nullopt;
        auto accepted = configuration::parseAcceptedDocument((*stored)->specJson);
        if (!accepted.accepted())
            return std::nullopt;
        return std::move(accepted.value);
    }

    // Returns whether the accepted document tells what became of the stored text.
    bool takeVerdict(Run& run, const configuration::AcceptedDocument& accepted)
    {
        const bool isChecked = accepted.checked.present && accepted.checked.resourceVersion == run.report.storedVersion
            && accepted.checked.textHash == stableHash(run.request.text);
        if (isChecked && accepted.text == run.request.text && !accepted.deleted) {
            run.report.outcome = ApplyOutcome::Accepted;
            run.report.acceptedVersion = accepted.version;
            return true;
        }
        auto isOurs = [&](const configuration::AuditEntry& entry) {
            return entry.sourceVersion == run.report.storedVersion && (isChecked || entry.revision > run.revisionBefore);
        };
        auto entry = std::find_if(accepted.audit.rbegin(), accepted.audit.rend(), isOurs);
        if (entry == accepted.audit.rend())
            return false;
        run.report.outcome = entry->accepted ? ApplyOutcome::Accepted : ApplyOutcome::Refused;
        run.report.acceptedVersion = entry->accepted ? entry->toVersion : 0;
        run.report.findings = entry->findings;
        return true;
    }

    bool readVerdict(Run& run)
    {
        auto accepted = readAccepted(run);
        return accepted && takeVerdict(run, *accepted);
    }

    Report awaitVerdict(Run& run)
    {
        noteStored(run.report, run.after);
        const TimePoint deadline = Clock::now() + run.request.wait;
        while (!readVerdict(run)) {
            if (Clock::now() >= deadline) {
                const StoredObject written = run.after;
                const bool isReplaced = readBack(run) != StoredState::Unreadable && !isSameVersion(written, run.after);
                run.report.outcome = isReplaced ? ApplyOutcome::Superseded : ApplyOutcome::Pending;
                break;
            }
            run.ports.pause(readBackInterval);
        }
        return run.report;
    }

}

WriteStep nextWriteStep(const WriteFacts& facts) noexcept
{
    if (facts.answer == WriteAnswer::Applied || facts.stored == StoredState::Own)
        return WriteStep::Applied;
    if (!facts.anyUnknown && facts.answer == WriteAnswer::Rejected)
        return WriteStep::Refused;
    if (!facts.anyUnknown && facts.answer == WriteAnswer::Unavailable)
        return WriteStep::Unreachable;
    if (facts.stored == StoredState::NotRead)
        return WriteStep::ReadBack;
    if (!facts.anyUnknown)
        return facts.stored == StoredState::Unreadable && facts.timeLeft ? WriteStep::ReadBack : WriteStep::Conflict;
    // The write may have taken effect before the other change replaced it.
    if (facts.stored == StoredState::Foreign || !facts.timeLeft)
        return WriteStep::Unknown;
    return facts.stored == StoredState::Unchanged ? WriteStep::WriteAgain : WriteStep::ReadBack;
}

Report apply(const Ports& ports, const ApplyRequest& request, const ApplyPolicy& policy)
{
    Report checked = validate(request.text, request.fileName);
    if (exitCodeOf(checked) != ExitCode::Ok)
        return checked;
    Run run { ports, request, policy, std::get<ValidateReport>(checked).service, {}, {}, 0, {} };
    run.report.service = run.service;
    run.report.changeId = request.changeId;
    ReadObject read = readObject(ports, platform::Plural::ServiceDocuments, run.service);
    if (auto* failure = std::get_if<FailureReport>(&read))
        return *failure;
    run.before = std::move(std::get<StoredObject>(read));
    if (auto refused = checkCondition(run))
        return *refused;
    if (auto accepted = readAccepted(run))
        run.revisionBefore = accepted->revision;
    if (run.before && sourceText(*run.before) == request.text) {
        run.report.unchanged = true;
        run.after = run.before;
    } else if (auto unsettled = settleWrite(run)) {
        return *unsettled;
    }
    return awaitVerdict(run);
}

}
