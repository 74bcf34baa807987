#pragma once

#include "flamingowick/model/Finding.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Three-way comparison of a document's texts, for operators who changed it at the same time.
namespace flamingowick::configuration {

enum class ChangeSide : std::uint8_t {
    Mine,
    Theirs,
    // Both made the same change.
    Both,
    // Both changed the value, to different ones.
    Conflict,
};

// One value that differs from the base. Values are compact JSON, "" where absent.
struct DocumentChange {
    // RFC 6901 pointer to the value.
    std::string pointer;
    std::string base;
    std::string mine;
    std::string theirs;
    ChangeSide side { ChangeSide::Mine };

    bool operator==(const DocumentChange&) const = default;
};

// Compares two texts with the one that both began from, in the order of the pointers. Objects are
// compared member by member, and lists item by item where all three are equally long; other lists as
// a whole. Comments and layout don't count. A text that is no JSON gives findings and no changes.
// O(n log n) in the size of the texts; throws nothing but std::bad_alloc.
Checked<std::vector<DocumentChange>> diffDocuments(std::string_view base, std::string_view mine, std::string_view theirs);

// Returns whether any change is a conflict. Never throws.
bool hasConflict(std::span<const DocumentChange>) noexcept;

}
