#pragma once

#include "flamingowick/daemon/CoreContext.h"

#include <functional>
#include <map>
#include <unordered_map>

// The entry role: takes callers' requests, finds their service, hands them to a dispatcher and gives
// each caller the one answer to its own request.
namespace flamingowick::daemon {

// What the entry asks of the other roles on the same daemon.
struct EntryNeighbours {
    // Runs a request on the local dispatcher; its answer comes by EntryService::forwardAnswered.
    std::function<void(peers::ForwardRequest)> dispatchLocally;
    std::function<void(const RequestId&, std::uint32_t attempt)> cancelLocally;
};

class EntryService {
public:
    EntryService(CoreContext&, EntryNeighbours);

    // Takes in a caller's request.
    void receive(gateway::HttpRequest, TimePoint now);

    // The caller of an exchange has gone.
    void callerGone(gateway::ExchangeToken);

    // A dispatcher's answer. Answers of earlier attempts, and answers that nobody waits for, are
    // dropped and counted.
    void forwardAnswered(const peers::ForwardAnswer&, TimePoint now);

    // A forwarded request was certainly not sent.
    void forwardNotSent(const peers::ForwardRequest&, TimePoint now);

    // A daemon is lost: requests sent to it may have run.
    void memberLost(const DaemonId&, TimePoint now);

    // Gives up requests past their deadline.
    void tick(TimePoint now);

    // Returns the number of requests without an answer.
    std::size_t pending() const noexcept { return this->waiting.size(); }

private:
    struct Waiting {
        gateway::ExchangeToken token { 0 };
        Request request;
        TimePoint receivedAt;
        std::uint32_t attempt { 0 };
        DaemonId dispatcher;
        // All dispatchers that were tried, the present one included.
        std::vector<DaemonId> tried;
        // An earlier attempt was sent and its end is not known.
        bool mayHaveRun { false };
        // Requests lost with their dispatcher are sent once more, if idempotent.
        bool sentAgain { false };
        std::multimap<TimePoint, RequestId>::iterator deadline;
    };

    void refuse(gateway::ExchangeToken, unsigned status, std::string_view reason);
    const Member* nextDispatcher(const Waiting&) const;
    void forward(Waiting&, TimePoint now);
    void forwardAgain(Waiting&, TimePoint now);
    void finish(const RequestId&, Answer, TimePoint now);
    void count(const Waiting&, const Answer&, TimePoint now);

    CoreContext& context;
    EntryNeighbours neighbours;
    std::uint64_t counter { 0 };
    std::unordered_map<RequestId, Waiting> waiting;
    std::unordered_map<gateway::ExchangeToken, RequestId> byToken;
    std::multimap<TimePoint, RequestId> deadlines;
};

}
