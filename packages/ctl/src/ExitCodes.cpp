#include "flamingowick/ctl/Reports.h"

#include <algorithm>

namespace flamingowick::ctl {

namespace {

    ExitCode codeOf(const FailureReport& report) noexcept
    {
        return report.exitCode;
    }

    ExitCode codeOf(const ValidateReport& report) noexcept
    {
        return report.findings.empty() ? ExitCode::Ok : ExitCode::BadInput;
    }

    ExitCode codeOf(const DiffReport& report) noexcept
    {
        return configuration::hasConflict(report.changes) ? ExitCode::Conflict : ExitCode::Ok;
    }

    ExitCode codeOf(const ApplyReport& report) noexcept
    {
        switch (report.outcome) {
        case ApplyOutcome::Accepted:
            return ExitCode::Ok;
        case ApplyOutcome::Refused:
            return ExitCode::BadInput;
        case ApplyOutcome::Conflict:
        case ApplyOutcome::Superseded:
            return ExitCode::Conflict;
        case ApplyOutcome::Pending:
        case ApplyOutcome::Unknown:
            break;
        }
        return ExitCode::OutcomeUnknown;
    }

    ExitCode codeOf(const HistoryReport& report) noexcept
    {
        return report.gaps.empty() ? ExitCode::Ok : ExitCode::Failure;
    }

    ExitCode codeOf(const StoryReport& report) noexcept
    {
        return report.lines.empty() ? ExitCode::Failure : ExitCode::Ok;
    }

    ExitCode codeOf(const StatusReport& report) noexcept
    {
        const auto answered = [](const DaemonStatus& daemon) { return daemon.error.empty(); };
        if (std::ranges::all_of(report.daemons, answered))
            return ExitCode::Ok;
        return std::ranges::any_of(report.daemons, answered) ? ExitCode::Failure : ExitCode::Unreachable;
    }

    template <typename Other>
    ExitCode codeOf(const Other&) noexcept
    {
        return ExitCode::Ok;
    }

}

ExitCode exitCodeOf(const Report& report) noexcept
{
    return std::visit([](const auto& each) { return codeOf(each); }, report);
}

}
