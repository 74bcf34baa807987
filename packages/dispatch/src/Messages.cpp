#include "flamingowick/dispatch/Messages.h"

namespace flamingowick::dispatch {

std::string_view toString(FinishReason reason) noexcept
{
    switch (reason) {
    case FinishReason::QueueFull:
        return "queue-full";
    case FinishReason::WaitTooLong:
        return "wait-too-long";
    case FinishReason::DeadlineExceeded:
        return "deadline-exceeded";
    case FinishReason::CallerCancelled:
        return "caller-cancelled";
    case FinishReason::RequestQuarantined:
        return "request-quarantined";
    case FinishReason::AttemptsExhausted:
        return "attempts-exhausted";
    case FinishReason::RetryBudgetSpent:
        return "retry-budget-spent";
    case FinishReason::NotRepeatable:
        return "not-repeatable";
    }
    return "unknown";
}

}
