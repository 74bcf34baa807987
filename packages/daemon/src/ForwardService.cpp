#include "flamingowick/daemon/ForwardService.h"

#include <algorithm>

namespace flamingowick::daemon {

namespace {

    constexpr std::chrono::seconds retryAfterLoss { 1 };
    // How long past the deadline the dispatcher's own word is waited for.
    constexpr std::chrono::milliseconds answerGrace { 50 };

}

ForwardService::ForwardService(CoreContext& shared, ForwardNeighbours roles)
    : context(shared)
    , neighbours(std::move(roles))
{
}

void ForwardService::submit(ForwardClient client, Request request, TimePoint)
{
    RequestId id = request.id;
    Waiting entry;
    entry.client = client;
    entry.deadline = this->deadlines.emplace(request.deadline + answerGrace, id);
    entry.request = std::move(request);
    this->forward(this->waiting.insert_or_assign(id, std::move(entry)).first->second);
}

const Member* ForwardService::nextDispatcher(const Waiting& entry) const
{
    for (const std::string& vm : this->context.members.orderFor(entry.request.service)) {
        const Member* member = this->context.members.find(vm);
        if (std::find(entry.tried.begin(), entry.tried.end(), member->id) == entry.tried.end())
            return member;
    }
    return nullptr;
}

void ForwardService::forward(Waiting& entry)
{
    const Member* dispatcher = this->nextDispatcher(entry);
    if (dispatcher == nullptr) {
        Outcome outcome = entry.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        this->finish(entry.request.id, makeProblem(503, outcome, "no-dispatcher", retryAfterLoss));
        return;
    }
    entry.dispatcher = dispatcher->id;
    entry.tried.push_back(dispatcher->id);
    ++entry.attempt;
    peers::ForwardRequest message { entry.request, entry.attempt, this->context.settings.failureDomain };
    if (dispatcher->id == this->context.self) {
        this->neighbours.dispatchLocally(std::move(message));
        return;
    }
    // A refused message comes back like one that found no connection.
    if (!this->context.ports.sendPeer(dispatcher->peerAddress, dispatcher->id.incarnation, message))
        this->notSent(message);
}

void ForwardService::notSent(const peers::ForwardRequest& message)
{
    auto found = this->waiting.find(message.request.id);
    if (found != this->waiting.end() && found->second.attempt == message.attempt)
        this->forward(found->second);
}

void ForwardService::cancel(const RequestId& id)
{
    auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    const Waiting& entry = found->second;
    const Member* dispatcher = this->context.members.find(entry.dispatcher.vm);
    if (entry.dispatcher == this->context.self)
        this->neighbours.cancelLocally(id, entry.attempt);
    else if (dispatcher != nullptr)
        this->context.ports.sendPeer(dispatcher->peerAddress, entry.dispatcher.incarnation, peers::ForwardCancel { id, entry.attempt });
}

void ForwardService::answered(const peers::ForwardAnswer& message)
{
    auto found = this->waiting.find(message.id);
    if (found == this->waiting.end() || found->second.attempt != message.attempt) {
        this->context.metrics.increment("flamingowick_late_answers_total");
        return;
    }
    Answer answer = message.answer;
    // An earlier attempt whose end is not known may have run, whatever the last one says.
    if (answer.outcome == Outcome::NotRun && found->second.mayHaveRun)
        answer.outcome = Outcome::Unknown;
    this->finish(message.id, std::move(answer));
}

void ForwardService::memberLost(const DaemonId& lost)
{
    std::vector<RequestId> affected;
    for (const auto& [id, entry] : this->waiting) {
        if (entry.dispatcher == lost)
            affected.push_back(id);
    }
    for (const RequestId& id : affected) {
        auto found = this->waiting.find(id);
        if (found != this->waiting.end())
            this->forwardAgain(found->second);
    }
}

void ForwardService::forwardAgain(Waiting& entry)
{
    entry.mayHaveRun = true;
    if (!entry.request.idempotent || entry.sentAgain) {
        this->finish(entry.request.id, makeProblem(502, Outcome::Unknown, "dispatcher-lost", retryAfterLoss));
        return;
    }
    entry.sentAgain = true;
    this->context.metrics.increment("flamingowick_forwarded_again_total", "service=\"" + entry.request.service + "\"");
    this->forward(entry);
}

void ForwardService::finish(const RequestId& finished, Answer answer)
{
    auto found = this->waiting.find(finished);
    // finished may refer to the entry that is moved from.
    RequestId id = found->first;
    ForwardClient client = found->second.client;
    this->deadlines.erase(found->second.deadline);
    this->waiting.erase(found);
    this->neighbours.onAnswer(client, id, std::move(answer));
}

void ForwardService::tick(TimePoint now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        RequestId id = this->deadlines.begin()->second;
        this->finish(id, makeProblem(504, Outcome::Unknown, "deadline-exceeded", retryAfterLoss));
    }
}

}
