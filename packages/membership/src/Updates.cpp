#include "flamingowick/membership/Messages.h"

#include <tuple>

namespace flamingowick::membership {

bool supersedes(const Update& held, const Update& offered) noexcept
{
    if (held.member.id.incarnation != offered.member.id.incarnation)
        return offered.member.id.incarnation > held.member.id.incarnation;
    if (held.status == Status::Left || offered.status == Status::Left)
        return held.status != Status::Left;
    return std::tuple(offered.version, offered.status) > std::tuple(held.version, held.status);
}

}
