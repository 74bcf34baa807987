#pragma once

#include "Fleet.h"

// A baseline that writes every key to the object store, in batches, before it is dispatched.
namespace flamingowick::keys::bench {

// Simulates one disturbance of the baseline under the same load. Its store is ideal: batches of different daemons never
// conflict, so the results favour the baseline.
Measurements runJournal(const Setup&);

}
