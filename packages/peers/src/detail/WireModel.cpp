#include "flamingowick/peers/detail/WireModel.h"

#include "flamingowick/model/Error.h"

namespace flamingowick::peers::detail {

namespace {

    template <typename Wire>
    void headersToWire(const std::vector<Header>& headers, Wire& wire)
    {
        for (const Header& header : headers) {
            wire::Header& added = *wire.add_headers();
            added.set_name(header.name);
            added.set_value(header.value);
        }
    }

    template <typename Wire>
    std::vector<Header> headersFromWire(const Wire& wire)
    {
        std::vector<Header> headers;
        headers.reserve(static_cast<std::size_t>(wire.headers_size()));
        for (const wire::Header& header : wire.headers())
            headers.push_back({ header.name(), header.value() });
        return headers;
    }

}

void toWire(const DaemonId& id, wire::Daemon& wire)
{
    wire.set_vm(id.vm);
    wire.set_incarnation(id.incarnation);
}

DaemonId fromWire(const wire::Daemon& wire)
{
    return { wire.vm(), wire.incarnation() };
}

void toWire(const RequestId& id, wire::RequestId& wire)
{
    toWire(id.origin, *wire.mutable_origin());
    wire.set_counter(id.counter);
}

RequestId fromWire(const wire::RequestId& wire)
{
    return { fromWire(wire.origin()), wire.counter() };
}

void toWire(const Request& request, TimePoint now, wire::Request& wire)
{
    toWire(request.id, *wire.mutable_id());
    wire.set_service(request.service);
    wire.set_method(request.method);
    wire.set_path(request.path);
    wire.set_host(request.host);
    headersToWire(request.headers, wire);
    wire.set_body(request.body);
    wire.set_caller(request.caller);
    wire.set_idempotency_key(request.idempotencyKey);
    wire.set_idempotent(request.idempotent);
    wire.set_remaining((request.deadline - now).count());
}

Request fromWire(const wire::Request& wire, TimePoint now, Duration underWay)
{
    Request request;
    request.id = fromWire(wire.id());
    request.service = wire.service();
    request.method = wire.method();
    request.path = wire.path();
    request.host = wire.host();
    request.headers = headersFromWire(wire);
    request.body = wire.body();
    request.caller = wire.caller();
    request.idempotencyKey = wire.idempotency_key();
    request.idempotent = wire.idempotent();
    request.deadline = now + Duration(wire.remaining()) - underWay;
    return request;
}

void toWire(const Answer& answer, wire::Answer& wire)
{
    wire.set_status(answer.status);
    headersToWire(answer.headers, wire);
    wire.set_body(answer.body);
    wire.set_outcome(static_cast<std::uint32_t>(answer.outcome));
    if (answer.retryAfter)
        wire.set_retry_after_seconds(answer.retryAfter->count());
    wire.set_reason(answer.reason);
    wire.set_target(answer.target);
}

Answer fromWire(const wire::Answer& wire)
{
    if (wire.outcome() > static_cast<std::uint32_t>(Outcome::Unknown))
        throw PeerError(301, "An answer has no known outcome");
    Answer answer;
    answer.status = wire.status();
    answer.headers = headersFromWire(wire);
    answer.body = wire.body();
    answer.outcome = static_cast<Outcome>(wire.outcome());
    if (wire.has_retry_after_seconds())
        answer.retryAfter = std::chrono::seconds(wire.retry_after_seconds());
    answer.reason = wire.reason();
    answer.target = wire.target();
    return answer;
}

}
