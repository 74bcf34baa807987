#include "flamingowick/platform/Port.h"

namespace flamingowick::platform {

CallId callId(const Result& result) noexcept
{
    return std::visit([](const auto& typed) { return typed.id; }, result);
}

CallId callId(const Call& call) noexcept
{
    return std::visit([](const auto& typed) { return typed.id; }, call);
}

}
