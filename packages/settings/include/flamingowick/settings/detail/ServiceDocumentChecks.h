#pragma once

#include "flamingowick/model/ServiceDocument.h"
#include "flamingowick/settings/JsonValue.h"
#include "flamingowick/settings/detail/FindingList.h"

// Checks between the fields of a service document.
namespace flamingowick::settings::detail {

// Reports fields that contradict each other, and routes that stand twice. root gives the lines. The
// cost is that of sorting the routes; may throw std::bad_alloc.
void checkServiceDocument(const ServiceDocument&, const JsonValue& root, FindingList&);

}
