#include "flamingowick/model/Identifiers.h"

namespace flamingowick {

std::string toString(const DaemonId& id)
{
    return id.vm + "/" + std::to_string(id.incarnation);
}

std::string toString(const RequestId& id)
{
    return toString(id.origin) + "/" + std::to_string(id.counter);
}

}
