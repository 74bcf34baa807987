#pragma once

#include "flamingowick/cost/CostModel.h"

namespace flamingowick::cost {

// Returns the weight that remains of the mean's observations after the time since its last one. A time before it changes
// nothing.
double decayedWeight(const DecayingMean&, double timeConstantSeconds, TimePoint now) noexcept;

// Adds a value, which counts as one at most maxDistance from the expected value.
void add(DecayingMean&, double value, double expected, double maxDistance, double timeConstantSeconds, TimePoint now) noexcept;

}
