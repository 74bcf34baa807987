#pragma once

#include "flamingowick/model/Finding.h"
#include "flamingowick/model/ServiceDocument.h"

#include <string>
#include <string_view>

// Service documents as JSON with comments.
namespace flamingowick::settings {

// Reads and checks a service document. All findings are reported together, ordered by line; fields
// that are absent keep the defaults of ServiceDocument. Accepts any bytes as text. Linear in the
// length of text, apart from a sort of the routes. Throws nothing but std::bad_alloc.
Checked<ServiceDocument> parseServiceDocument(std::string_view text);

// Writes a document in its canonical form: every field, in a fixed order, indented by four spaces.
// Durations are cut to whole milliseconds. Parsing the result of an accepted document gives the
// same document. Throws nothing but std::bad_alloc.
std::string serviceDocumentJson(const ServiceDocument&);

}
