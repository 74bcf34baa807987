#pragma once

#include "flamingowick/daemon/CoreContext.h"

#include <functional>
#include <unordered_map>

// The entry role: takes callers' requests, finds their service, passes them on, and gives each
// caller the one answer to its own request.
namespace flamingowick::daemon {

// What the entry asks of the other roles on the same daemon.
struct EntryNeighbours {
    // Runs a request by way of its dispatcher. The answer comes by EntryService::answered.
    std::function<void(Request)> forward;
    std::function<void(const RequestId&)> cancelForward;
    // Runs a non-idempotent request with a key by way of the key's owner. The answer comes by
    // EntryService::answered.
    std::function<void(Request)> runKeyed;
    std::function<void(const RequestId&)> cancelKeyed;
    // Tells whether the documents are complete, so that a missing route is a fact.
    std::function<bool()> documentsComplete;
};

// An answer that may be told only up to a time.
struct TimedAnswer {
    Answer answer;
    // Past this time otherwise is told instead.
    std::optional<TimePoint> tellBy;
    std::optional<Answer> otherwise;
};

class EntryService {
public:
    EntryService(CoreContext&, EntryNeighbours);

    // Takes in a caller's request.
    void receive(gateway::HttpRequest, TimePoint now);

    // The caller of an exchange has gone.
    void callerGone(gateway::ExchangeToken);

    // The final answer of a request. Ignored when it has been answered already.
    void answered(const RequestId&, TimedAnswer, TimePoint now);

    // Returns the number of requests without an answer.
    std::size_t pending() const noexcept { return this->waiting.size(); }

private:
    struct Waiting {
        gateway::ExchangeToken token { 0 };
        std::string service;
        TimePoint receivedAt;
        bool keyed { false };
    };

    void refuse(gateway::ExchangeToken, unsigned status, std::string_view reason);
    void refuseUnroutable(gateway::ExchangeToken);
    void pass(Request, bool keyed);
    void count(const Waiting&, const RequestId&, const Answer&, TimePoint now);

    CoreContext& context;
    EntryNeighbours neighbours;
    std::uint64_t counter { 0 };
    std::unordered_map<RequestId, Waiting> waiting;
    std::unordered_map<gateway::ExchangeToken, RequestId> byToken;
};

}
