#include "flamingowick/gateway/HttpServer.h"

#include <strings.h>

namespace flamingowick::gateway {

const std::string* findHeader(std::span<const Header> headers, std::string_view name) noexcept
{
    for (const Header& header : headers) {
        if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return &header.value;
    }
    return nullptr;
}

}
