#pragma once

#include <span>
#include <string>
#include <vector>

// Problems found in settings and documents, with the place of each.
namespace flamingowick {

// One problem in a JSON text.
struct Finding {
    // A stable number from docs/ERRORS.md, 100 to 199.
    int number { 0 };
    // RFC 6901 pointer to the value, "" for the whole text.
    std::string pointer;
    // Line in the text, from 1; 0 when there is none.
    unsigned line { 0 };
    std::string message;

    bool operator==(const Finding&) const = default;
};

// A parsed value together with all that was found wrong with it. The value is usable only when
// findings is empty.
template <typename Value>
struct Checked {
    Value value;
    std::vector<Finding> findings;

    bool accepted() const noexcept { return this->findings.empty(); }
};

}
