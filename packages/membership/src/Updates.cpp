#include "flamingowick/membership/Messages.h"

#include <tuple>

namespace flamingowick::membership {

bool supersedes(const Update& current, const Update& candidate) noexcept
{
    if (current.member.id.incarnation != candidate.member.id.incarnation)
        return candidate.member.id.incarnation > current.member.id.incarnation;
    if (current.status == Status::Left || candidate.status == Status::Left)
        return current.status != Status::Left;
    return std::tuple(candidate.version, candidate.status) > std::tuple(current.version, current.status);
}

}
