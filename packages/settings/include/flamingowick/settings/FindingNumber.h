#pragma once

// The stable numbers of the findings that this package reports, 100 to 199.
namespace flamingowick::settings {

enum class FindingNumber : int {
    Syntax = 100,
    TextTooLong = 101,
    NestedTooDeeply = 102,
    TooManyValues = 103,
    NameTooLong = 104,
    DuplicateField = 105,
    UnknownField = 106,
    MissingField = 107,
    WrongType = 108,
    OutOfRange = 109,
    UnknownChoice = 110,
    MalformedText = 111,
    Contradiction = 112,
    DuplicateEntry = 113,
    WrongCount = 114,
    // Stands last when the rest was left out.
    FurtherFindings = 199,
};

}
