#include "PreparedCall.h"

#include "flamingowick/platform/detail/Wire.h"

namespace flamingowick::platform {

namespace {

    PreparedCall planFor(CallId id, CallKind kind, Plural plural, std::string_view name, std::string_view method)
    {
        PreparedCall call;
        call.id = id;
        call.kind = kind;
        call.plural = plural;
        call.name = name;
        call.method = method;
        const bool namesObject = kind == CallKind::Get || kind == CallKind::Put || kind == CallKind::Delete;
        call.path = namesObject ? detail::pathOf(plural, name) : detail::pathOf(plural);
        return call;
    }

    Preparation withObject(PreparedCall call, const Object& object)
    {
        std::optional<std::string> body = detail::encodeObject(object);
        if (!body)
            return Rejected { call.id, 0, "the object can't be written as JSON" };
        call.body = std::move(*body);
        return call;
    }

    Rejected withoutName(CallId id) { return { id, 0, "the object has no name" }; }

    Rejected withoutVersion(CallId id) { return { id, 0, "the call names no resource version" }; }

    Result foundObject(const PreparedCall& call, std::string_view body)
    {
        std::optional<Object> object = detail::decodeObject(call.plural, body);
        if (!object || object->name != call.name)
            return Unavailable { call.id, "the answer does not show the object" };
        const std::string version = object->resourceVersion;
        return Found { call.id, { std::move(*object) }, version };
    }

    Result foundList(const PreparedCall& call, std::string_view body)
    {
        std::optional<detail::ObjectList> list = detail::decodeList(call.plural, body);
        if (!list)
            return Unavailable { call.id, "the answer does not show a list" };
        return Found { call.id, std::move(list->objects), std::move(list->resourceVersion) };
    }

    Result appliedObject(const PreparedCall& call, std::string_view body)
    {
        std::optional<Object> object = detail::decodeObject(call.plural, body);
        if (!object || object->name != call.name)
            return UnknownOutcome { call.id, "the answer does not show the object" };
        return Applied { call.id, std::move(*object) };
    }

    Result concludeDone(const PreparedCall& call, std::string_view body)
    {
        if (call.kind == CallKind::Get)
            return foundObject(call, body);
        if (call.kind == CallKind::List)
            return foundList(call, body);
        return appliedObject(call, body);
    }

    std::string reasonOf(const Exchange& exchange)
    {
        return exchange.error.empty() ? "status " + std::to_string(exchange.status) : exchange.error;
    }

}

Preparation prepare(const Get& get)
{
    if (get.name.empty())
        return withoutName(get.id);
    return planFor(get.id, CallKind::Get, get.plural, get.name, "GET");
}

Preparation prepare(const List& list)
{
    return planFor(list.id, CallKind::List, list.plural, "", "GET");
}

Preparation prepare(const Create& create)
{
    if (create.object.name.empty())
        return withoutName(create.id);
    if (!create.object.resourceVersion.empty())
        return Rejected { create.id, 0, "a new object has no resource version" };
    return withObject(planFor(create.id, CallKind::Create, create.object.plural, create.object.name, "POST"), create.object);
}

Preparation prepare(const Put& put)
{
    if (put.object.name.empty())
        return withoutName(put.id);
    if (put.object.resourceVersion.empty())
        return withoutVersion(put.id);
    return withObject(planFor(put.id, CallKind::Put, put.object.plural, put.object.name, "PUT"), put.object);
}

Preparation prepare(const Delete& removal)
{
    if (removal.name.empty())
        return withoutName(removal.id);
    if (removal.resourceVersion.empty())
        return withoutVersion(removal.id);
    PreparedCall call = planFor(removal.id, CallKind::Delete, removal.plural, removal.name, "DELETE");
    call.body = detail::encodePrecondition(removal.resourceVersion);
    return call;
}

bool isWrite(const PreparedCall& call) noexcept
{
    return call.kind != CallKind::Get && call.kind != CallKind::List;
}

Result conclude(const PreparedCall& call, const Exchange& exchange, Verdict verdict, std::string_view body)
{
    switch (verdict) {
    case Verdict::Done:
        return concludeDone(call, body);
    case Verdict::NotFound:
        // No object is named by a List or a Create: there the whole kind is unknown.
        if (call.kind == CallKind::List || call.kind == CallKind::Create)
            break;
        return Absent { call.id };
    case Verdict::Conflict:
        if (!isWrite(call))
            break;
        return Conflict { call.id };
    case Verdict::Unknown:
        return UnknownOutcome { call.id, reasonOf(exchange) };
    case Verdict::Unavailable:
        return Unavailable { call.id, reasonOf(exchange) };
    case Verdict::Expired:
    case Verdict::Rejected:
        break;
    }
    return Rejected { call.id, exchange.status, reasonOf(exchange) };
}

}
