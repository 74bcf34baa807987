#pragma once

#include "flamingowick/daemon/CoreContext.h"

#include <functional>
#include <unordered_map>

// Hands requests to the dispatcher of their service, on this daemon or another, and brings back one
// final answer for each.
namespace flamingowick::daemon {

// Who waits for a forwarded request's answer.
enum class ForwardClient : std::uint8_t {
    Entry,
    KeyOwner,
};

struct ForwardNeighbours {
    // Runs a request on the local dispatcher; its answer comes by ForwardService::answered.
    std::function<void(peers::ForwardRequest)> dispatchLocally;
    std::function<void(const RequestId&, std::uint32_t attempt)> cancelLocally;
    // Takes the final answer.
    std::function<void(ForwardClient, const RequestId&, Answer)> onAnswer;
};

class ForwardService {
public:
    ForwardService(CoreContext&, ForwardNeighbours);

    // Sends a request to the first dispatcher in rank that can be reached.
    void submit(ForwardClient, Request, TimePoint now);

    // The caller has gone; the answer is no longer waited for.
    void cancel(const RequestId&);

    // A dispatcher's answer. Answers of earlier attempts, and answers that nobody waits for, are
    // dropped and counted.
    void answered(const peers::ForwardAnswer&);

    // A forwarded request was certainly not sent.
    void notSent(const peers::ForwardRequest&);

    // A daemon is lost: requests sent to it may have run. Idempotent ones are sent once more.
    void memberLost(const DaemonId&);

    // Gives up requests past their deadline.
    void tick(TimePoint now);

    std::size_t pending() const noexcept { return this->waiting.size(); }

private:
    struct Waiting {
        ForwardClient client { ForwardClient::Entry };
        Request request;
        std::uint32_t attempt { 0 };
        DaemonId dispatcher;
        // All dispatchers that were tried, the present one included.
        std::vector<DaemonId> tried;
        // An earlier attempt was sent and its end is not known.
        bool mayHaveRun { false };
        bool sentAgain { false };
        std::multimap<TimePoint, RequestId>::iterator deadline;
    };

    const Member* nextDispatcher(const Waiting&) const;
    void forward(Waiting&);
    void forwardAgain(Waiting&);
    void finish(const RequestId&, Answer);

    CoreContext& context;
    ForwardNeighbours neighbours;
    std::unordered_map<RequestId, Waiting> waiting;
    std::multimap<TimePoint, RequestId> deadlines;
};

}
