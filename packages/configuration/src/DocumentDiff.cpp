#include "flamingowick/configuration/DocumentDiff.h"

#include "flamingowick/settings/JsonValue.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

namespace flamingowick::configuration {

namespace {

    using settings::JsonKind;
    using settings::JsonMember;
    using settings::JsonValue;

    // The same place in the three texts; null where a text lacks it.
    struct Place {
        const JsonValue* base { nullptr };
        const JsonValue* mine { nullptr };
        const JsonValue* theirs { nullptr };
    };

    std::array<const JsonValue*, 3> valuesAt(const Place& place)
    {
        return { place.base, place.mine, place.theirs };
    }

    // Returns whether the place holds values of this kind in every text.
    bool areAll(const Place& place, JsonKind kind)
    {
        return std::ranges::all_of(valuesAt(place), [kind](const JsonValue* value) { return value && value->kind == kind; });
    }

    std::string textOf(const JsonValue* value)
    {
        return value ? settings::compactJson(*value) : "";
    }

    ChangeSide sideOf(const DocumentChange& change)
    {
        if (change.mine == change.theirs)
            return ChangeSide::Both;
        if (change.theirs == change.base)
            return ChangeSide::Mine;
        return change.mine == change.base ? ChangeSide::Theirs : ChangeSide::Conflict;
    }

    void compareValues(const Place& place, const std::string& pointer, std::vector<DocumentChange>& changes)
    {
        DocumentChange change { pointer, textOf(place.base), textOf(place.mine), textOf(place.theirs), ChangeSide::Mine };
        if (change.mine == change.base && change.theirs == change.base)
            return;
        change.side = sideOf(change);
        changes.push_back(std::move(change));
    }

    const JsonValue* memberOf(const JsonValue* object, std::string_view name)
    {
        const JsonMember* member = settings::findMember(*object, name);
        return member ? &member->value : nullptr;
    }

    void comparePlace(const Place& place, const std::string& pointer, std::vector<DocumentChange>& changes);

    void compareMembers(const Place& place, const std::string& pointer, std::vector<DocumentChange>& changes)
    {
        std::set<std::string_view> names;
        for (const JsonValue* object : valuesAt(place)) {
            for (const JsonMember& member : object->members)
                names.insert(member.name);
        }
        for (const std::string_view name : names) {
            const Place child { memberOf(place.base, name), memberOf(place.mine, name), memberOf(place.theirs, name) };
            comparePlace(child, settings::childPointer(pointer, name), changes);
        }
    }

    void compareItems(const Place& place, const std::string& pointer, std::vector<DocumentChange>& changes)
    {
        for (std::size_t index = 0; index < place.base->items.size(); ++index) {
            const Place child { &place.base->items[index], &place.mine->items[index], &place.theirs->items[index] };
            comparePlace(child, settings::childPointer(pointer, std::to_string(index)), changes);
        }
    }

    bool haveEqualLength(const Place& place)
    {
        const std::size_t length = place.base->items.size();
        return place.mine->items.size() == length && place.theirs->items.size() == length;
    }

    void comparePlace(const Place& place, const std::string& pointer, std::vector<DocumentChange>& changes)
    {
        if (areAll(place, JsonKind::Object))
            compareMembers(place, pointer, changes);
        else if (areAll(place, JsonKind::Array) && haveEqualLength(place))
            compareItems(place, pointer, changes);
        else
            compareValues(place, pointer, changes);
    }

    // Parses one text; its findings get the text's name before their message.
    JsonValue parseNamed(std::string_view text, const std::string& name, std::vector<Finding>& findings)
    {
        Checked<JsonValue> parsed = settings::parseJsonText(text);
        for (Finding& finding : parsed.findings) {
            finding.message.insert(0, name + ": ");
            findings.push_back(std::move(finding));
        }
        return std::move(parsed.value);
    }

}

Checked<std::vector<DocumentChange>> diffDocuments(std::string_view base, std::string_view mine, std::string_view theirs)
{
    Checked<std::vector<DocumentChange>> result;
    const JsonValue baseValue = parseNamed(base, "base", result.findings);
    const JsonValue mineValue = parseNamed(mine, "mine", result.findings);
    const JsonValue theirsValue = parseNamed(theirs, "theirs", result.findings);
    if (result.accepted())
        comparePlace({ &baseValue, &mineValue, &theirsValue }, "", result.value);
    return result;
}

bool hasConflict(std::span<const DocumentChange> changes) noexcept
{
    return std::ranges::any_of(changes, [](const DocumentChange& change) { return change.side == ChangeSide::Conflict; });
}

}
