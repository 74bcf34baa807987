#pragma once

#include "flamingowick/model/Error.h"

// Checks of the system's promises that stay live in release builds.
namespace flamingowick {

// The promises that the program checks of itself, with the numbers that docs/ERRORS.md lists.
enum class Invariant : int {
    CapacityFloor = 901,
    AtMostOnce = 902,
    NotRunIsTrue = 903,
    OwnAnswerOnly = 904,
    NoWorkForLeaving = 905,
    ConfigurationMonotonic = 906,
    SlotLimit = 907,
    RetryBudget = 908,
    SingleOwner = 909,
    MembershipMonotonic = 910,
};

// Throws InvariantViolation with the invariant's number when holds is false. Constant time when it
// is true.
inline void checkInvariant(bool holds, Invariant invariant, std::string_view message)
{
    if (!holds)
        throw InvariantViolation(static_cast<int>(invariant), message);
}

}
