#pragma once

#include "flamingowick/configuration/detail/Context.h"

// Spreads documents among the daemons: announcements at once, and digest exchanges that repair what
// was missed.
namespace flamingowick::configuration::detail {

// Announces what was learned in this event to a few random peers.
void announceLearned(Context&);

void onMessage(Context&, const std::string& from, const Announcement&);
void onMessage(Context&, const std::string& from, const DocumentRequest&);
void onMessage(Context&, const std::string& from, const DocumentBatch&);
void onMessage(Context&, const std::string& from, const DigestSummary&);
void onMessage(Context&, const std::string& from, const DigestBuckets&);
void onMessage(Context&, const std::string& from, const DigestEntries&);

// Opens a digest exchange with a random peer when one is due, and forgets old exchanges.
void tickDigest(Context&);

// Becomes ready when the documents are complete enough.
void tickReadiness(Context&);

}
