#include "CallerIdentity.h"

namespace flamingowick::proxy {

namespace {

    std::string_view withoutSurroundingSpace(std::string_view text) noexcept
    {
        constexpr std::string_view space { " \t" };
        const std::size_t first = text.find_first_not_of(space);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(space) - first + 1);
    }

}

CallerIdentity identifyCaller(const HttpMessage& request, const HeaderNames& names, const organisations::KeyIndex& index, const organisations::DigestKey& digestKey, bool routeIsPublic) noexcept
{
    const Header* found = nullptr;
    for (const Header& header : request.headers) {
        if (!headerNamesEqual(header.name, names.organisationKey))
            continue;
        if (found)
            return { KeyVerdict::Several };
        found = &header;
    }
    if (!found)
        return { routeIsPublic ? KeyVerdict::NotNeeded : KeyVerdict::Absent };
    const std::string_view key = withoutSurroundingSpace(found->value);
    if (key.empty())
        return { KeyVerdict::Empty };
    const organisations::Organisation* organisation = findByKey(index, digestOf(digestKey, key));
    return { organisation ? KeyVerdict::Known : KeyVerdict::Unknown, organisation };
}

bool isAdmitted(const CallerIdentity& identity) noexcept
{
    return identity.verdict == KeyVerdict::Known || identity.verdict == KeyVerdict::NotNeeded;
}

std::string_view toString(KeyVerdict verdict) noexcept
{
    switch (verdict) {
    case KeyVerdict::Known:
        return "known-key";
    case KeyVerdict::NotNeeded:
        return "no-key-needed";
    case KeyVerdict::Absent:
        return "no-key";
    case KeyVerdict::Empty:
        return "empty-key";
    case KeyVerdict::Several:
        return "several-keys";
    case KeyVerdict::Unknown:
        break;
    }
    return "unknown-key";
}

}
