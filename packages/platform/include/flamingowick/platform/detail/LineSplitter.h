#pragma once

#include <string>
#include <string_view>
#include <vector>

// Cuts a stream of bytes into lines.
namespace flamingowick::platform::detail {

class LineSplitter {
public:
    explicit LineSplitter(std::size_t maxLineBytes)
        : maxLineBytes(maxLineBytes)
    {
    }

    // Takes bytes and adds each line that they complete to lines, without its end. Empty lines are
    // left out. Returns false, and is of no further use, when a line is too long. Linear in bytes.
    bool append(std::string_view bytes, std::vector<std::string>& lines);

private:
    std::string partial;
    std::size_t maxLineBytes;
};

}
