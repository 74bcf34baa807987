#include "flamingowick/model/Request.h"

#include "flamingowick/model/StableHash.h"

namespace flamingowick {

std::uint64_t requestDigest(const Request& request) noexcept
{
    return requestDigest(request.service, request.method, request.path, request.caller, request.body);
}

std::uint64_t requestDigest(std::string_view scope, std::string_view method, std::string_view path, std::string_view caller, std::string_view body) noexcept
{
    std::uint64_t digest = stableHash(scope);
    digest = combineHashes(digest, stableHash(method));
    digest = combineHashes(digest, stableHash(path));
    digest = combineHashes(digest, stableHash(caller));
    return combineHashes(digest, stableHash(body));
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
