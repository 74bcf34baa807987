#include "flamingowick/settings/FindingText.h"

namespace flamingowick::settings {

namespace {

    void appendPrintable(std::string& output, std::string_view text)
    {
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            const bool control = byte < 0x20 || byte == 0x7f;
            output += control ? '?' : character;
        }
    }

}

std::string renderFindings(std::span<const Finding> findings, std::string_view fileName)
{
    std::string output;
    for (const Finding& finding : findings) {
        appendPrintable(output, fileName);
        if (finding.line > 0)
            output += ":" + std::to_string(finding.line);
        output += ": [flamingowick.settings." + std::to_string(finding.number) + "] ";
        if (!finding.pointer.empty()) {
            appendPrintable(output, finding.pointer);
            output += ": ";
        }
        appendPrintable(output, finding.message);
        output += '\n';
    }
    return output;
}

}
