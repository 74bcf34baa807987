#pragma once

#include <string>
#include <string_view>
#include <vector>

// Splits a byte stream into lines.
namespace flamingowick::platform::detail {

class LineSplitter {
public:
    explicit LineSplitter(std::size_t maxLineBytes)
        : maxLineBytes(maxLineBytes)
    {
    }

    // Appends each line that bytes complete to lines, without the line feed. Empty lines are skipped. Returns false
    // when a line is longer than maxLineBytes; the splitter must not be used after that. Linear in the size of bytes.
    bool append(std::string_view bytes, std::vector<std::string>& lines);

private:
    std::string partialLine;
    std::size_t maxLineBytes;
};

}
