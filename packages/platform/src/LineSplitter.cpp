#include "flamingowick/platform/detail/LineSplitter.h"

#include <algorithm>

namespace flamingowick::platform::detail {

bool LineSplitter::append(std::string_view bytes, std::vector<std::string>& lines)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::string_view piece = bytes.substr(0, end);
        if (this->partialLine.size() + piece.size() > this->maxLineBytes)
            return false;
        this->partialLine.append(piece);
        if (end == std::string_view::npos)
            return true;
        if (!this->partialLine.empty())
            lines.push_back(std::move(this->partialLine));
        this->partialLine.clear();
        bytes.remove_prefix(end + 1);
    }
    return true;
}

}
