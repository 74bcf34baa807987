#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

#include <CppUTest/TestHarness.h>

// A dispatcher with a few targets, on a clock that the test advances.
namespace flamingowick::dispatch {

inline ServiceDocument serviceWith(unsigned slots, unsigned maxWaiting = 100)
{
    ServiceDocument document;
    document.targets.slots = slots;
    document.queue.maxWaiting = maxWaiting;
    return document;
}

struct Fixture {
    TimePoint now { std::chrono::hours(1) };
    DispatcherState state;
    std::uint64_t counter { 0 };
    std::vector<Action> actions;

    explicit Fixture(ServiceDocument document = {}, unsigned targets = 2)
        : state(makeDispatcher(std::move(document), "a", 1, this->now))
    {
        this->list(targets);
    }

    void send(const Event& event) { this->actions = handle(this->state, event, this->now); }

    void list(unsigned count, bool leaving = false)
    {
        std::vector<Target> targets;
        for (unsigned index = 0; index < count; ++index)
            targets.push_back({ "t" + std::to_string(index), "a", leaving });
        this->send(TargetsChanged { targets });
    }

    RequestId submit(bool idempotent = true, std::string_view caller = "c", std::uint64_t digest = 0)
    {
        Ticket ticket;
        ticket.id = { { "vm", 1 }, ++this->counter };
        ticket.caller = caller;
        ticket.idempotent = idempotent;
        ticket.deadline = this->now + std::chrono::seconds(10);
        ticket.digest = digest != 0 ? digest : 1000 + this->counter;
        this->send(Submit { ticket });
        return ticket.id;
    }

    // Reports the end of the request's running attempt.
    void end(const RequestId& id, AttemptKind kind, unsigned status = 0)
    {
        TargetAddress target = this->state.requests.at(id).attempt->target;
        this->send(TargetAnswered { id, target, { kind, status } });
    }

    // Returns the first action of the type, or null if there is none.
    template <typename Type>
    const Type* first() const
    {
        for (const Action& action : this->actions) {
            if (const Type* found = std::get_if<Type>(&action))
                return found;
        }
        return nullptr;
    }
};

}
