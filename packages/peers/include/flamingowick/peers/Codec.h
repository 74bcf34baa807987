#pragma once

#include "flamingowick/peers/Message.h"

#include <string>
#include <string_view>

// Messages as bytes, by protobuf.
namespace flamingowick::peers {

// Writes an envelope. Deadlines become the time that is left at now. May throw std::bad_alloc.
std::string encode(const Envelope&, TimePoint now);

// Reads an envelope. Deadlines are set from the time that was left, less the time under way by both
// wall clocks where that is positive. Throws PeerError 301 when the bytes are no envelope or hold
// values out of range.
Envelope decode(std::string_view bytes, TimePoint now, std::int64_t wallMs);

}
