#pragma once

#include "flamingowick/standins/StandinTargets.h"

#include <string>
#include <string_view>

// JSON texts of the stand-in targets.
namespace flamingowick::standins::detail {

// Changes the faults that the body of a control call names. Returns false when it is no JSON object
// or a value has the wrong type.
bool applyControl(std::string_view body, TargetFaults&);

// Renders a ledger; without its runs when withRuns is false.
std::string renderLedger(const TargetLedger&, bool withRuns);

// Renders the body of an answered run, padded to at least the given size.
std::string renderRun(const RunRecord&, std::string_view target, std::size_t minBytes);

}
