#pragma once

#include "flamingowick/model/Identifiers.h"

#include <string>

// Targets as the platform's lagging list and the targets' own signals show them.
namespace flamingowick {

struct Target {
    TargetAddress address;
    std::string failureDomain;
    // True once the list, the target itself or a peer has said that it is going away.
    bool leaving { false };

    bool operator==(const Target&) const = default;
};

}
