#pragma once

#include "Fleet.h"

// The baseline that writes every key into the platform's store before it is dispatched, in batches.
namespace flamingowick::keys::bench {

// Runs one disturbance of the journaling way under the same load. Its store is ideal: a batch of one
// daemon never conflicts with another's, so the figures favour it.
Measured runJournal(const Setup&);

}
