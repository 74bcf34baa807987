#pragma once

#include "flamingowick/configuration/detail/Context.h"

#include <span>

// The acceptor role: turns changed sources into accepted documents in the store.
//
// An attempt reads the accepted document first and the source after it, and writes on the condition
// that the accepted document is unchanged. A source that an earlier writer used was read before that
// writer's write, hence before this attempt's source read; so no attempt can accept an older source
// after a newer one. A write whose end is unknown is settled by starting over: if it took effect, the
// document read back carries the source's mark, and if it takes effect later, one of the two writes
// fails on its condition.
namespace flamingowick::configuration::detail {

// Begins an attempt for a source that was noticed, unless it is known to be decided.
void noticeSource(Context&, std::string_view service, const SourceMark&);

// Compares a document that was learned with the source noticed last: ends a waiting attempt that the
// document makes needless, and begins one if the document decided upon another source. The latter
// waits one more turn, since the notice of that source may be on its way.
void reviewAttempt(Context&, const AcceptedDocument&);

void onAcceptedRead(Context&, const AcceptedRead&);
void onSourceRead(Context&, const SourceRead&);
void onArchiveWritten(Context&, const ArchiveWritten&);
void onWriteAnswered(Context&, const WriteAnswered&);
void onCallFailed(Context&, const CallFailed&);

// Starts attempts that are due and fails calls that went unanswered.
void tickAttempts(Context&);

}
