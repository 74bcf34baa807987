#include "flamingowick/model/Request.h"

#include "flamingowick/model/StableHash.h"

namespace flamingowick {

std::uint64_t requestDigest(const Request& request) noexcept
{
    std::uint64_t digest = stableHash(request.service);
    digest = combineHashes(digest, stableHash(request.method));
    digest = combineHashes(digest, stableHash(request.path));
    digest = combineHashes(digest, stableHash(request.caller));
    return combineHashes(digest, stableHash(request.body));
}

Answer makeProblem(unsigned status, Outcome outcome, std::string_view reason, std::chrono::seconds retryAfter)
{
    Answer answer;
    answer.status = status;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    answer.headers.push_back({ "Content-Type", "application/problem+json" });
    answer.body = R"({"type":"about:blank","status":)" + std::to_string(status) + R"(,"title":")";
    answer.body.append(reason).append(R"(","outcome":")").append(toString(outcome)).append("\"}");
    return answer;
}

}
