#include "PreparedCall.h"

#include "flamingowick/platform/detail/Wire.h"

namespace flamingowick::platform {

namespace {

    PreparedCall makeCall(CallId id, CallKind kind, Plural plural, std::string_view name, std::string_view method)
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

    PreparationResult addObjectBody(PreparedCall call, const Object& object)
    {
        std::optional<std::string> body = detail::encodeObject(object);
        if (!body)
            return Rejected { call.id, 0, "the object's spec is not valid JSON or a string is not valid UTF-8" };
        call.body = std::move(*body);
        return call;
    }

    Rejected rejectMissingName(CallId id) { return { id, 0, "the object name is empty" }; }

    Rejected rejectMissingVersion(CallId id) { return { id, 0, "the resource version is empty" }; }

    Result makeFoundObject(const PreparedCall& call, std::string_view body)
    {
        std::optional<Object> object = detail::decodeObject(call.plural, body);
        if (!object || object->name != call.name)
            return Unavailable { call.id, "the response does not contain the requested object" };
        const std::string version = object->resourceVersion;
        return Found { call.id, { std::move(*object) }, version };
    }

    Result makeFoundList(const PreparedCall& call, std::string_view body)
    {
        std::optional<detail::ObjectList> list = detail::decodeList(call.plural, body);
        if (!list)
            return Unavailable { call.id, "the response does not contain a valid list" };
        return Found { call.id, std::move(list->objects), std::move(list->resourceVersion) };
    }

    Result makeApplied(const PreparedCall& call, std::string_view body)
    {
        std::optional<Object> object = detail::decodeObject(call.plural, body);
        if (!object || object->name != call.name)
            return UnknownOutcome { call.id, "the response does not contain the requested object" };
        return Applied { call.id, std::move(*object) };
    }

    Result makeSuccessResult(const PreparedCall& call, std::string_view body)
    {
        if (call.kind == CallKind::Get)
            return makeFoundObject(call, body);
        if (call.kind == CallKind::List)
            return makeFoundList(call, body);
        return makeApplied(call, body);
    }

    std::string failureReason(const Exchange& exchange)
    {
        return exchange.error.empty() ? "status " + std::to_string(exchange.status) : exchange.error;
    }

}

PreparationResult prepare(const Get& get)
{
    if (get.name.empty())
        return rejectMissingName(get.id);
    return makeCall(get.id, CallKind::Get, get.plural, get.name, "GET");
}

PreparationResult prepare(const List& list)
{
    return makeCall(list.id, CallKind::List, list.plural, "", "GET");
}

PreparationResult prepare(const Create& create)
{
    if (create.object.name.empty())
        return rejectMissingName(create.id);
    if (!create.object.resourceVersion.empty())
        return Rejected { create.id, 0, "the resource version of a new object must be empty" };
    return addObjectBody(makeCall(create.id, CallKind::Create, create.object.plural, create.object.name, "POST"), create.object);
}

PreparationResult prepare(const Put& put)
{
    if (put.object.name.empty())
        return rejectMissingName(put.id);
    if (put.object.resourceVersion.empty())
        return rejectMissingVersion(put.id);
    return addObjectBody(makeCall(put.id, CallKind::Put, put.object.plural, put.object.name, "PUT"), put.object);
}

PreparationResult prepare(const Delete& removal)
{
    if (removal.name.empty())
        return rejectMissingName(removal.id);
    if (removal.resourceVersion.empty())
        return rejectMissingVersion(removal.id);
    PreparedCall call = makeCall(removal.id, CallKind::Delete, removal.plural, removal.name, "DELETE");
    call.body = detail::encodeDeleteOptions(removal.resourceVersion);
    return call;
}

bool isWrite(const PreparedCall& call) noexcept
{
    return call.kind != CallKind::Get && call.kind != CallKind::List;
}

Result makeResult(const PreparedCall& call, const Exchange& exchange, Verdict verdict, std::string_view body)
{
    switch (verdict) {
    case Verdict::Done:
        return makeSuccessResult(call, body);
    case Verdict::NotFound:
        // The path of a List or a Create names no object, so 404 means that the store does not know the kind.
        if (call.kind == CallKind::List || call.kind == CallKind::Create)
            break;
        return Absent { call.id };
    case Verdict::Conflict:
        if (!isWrite(call))
            break;
        return Conflict { call.id };
    case Verdict::Unknown:
        return UnknownOutcome { call.id, failureReason(exchange) };
    case Verdict::Unavailable:
        return Unavailable { call.id, failureReason(exchange) };
    case Verdict::Expired:
    case Verdict::Rejected:
        break;
    }
    return Rejected { call.id, exchange.status, failureReason(exchange) };
}

}
