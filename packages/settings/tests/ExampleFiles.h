#pragma once

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

// The example files of the repository.
namespace flamingowick::settings::tests {

inline std::string readExample(std::string_view name)
{
    std::ifstream file(std::string(FLAMINGOWICK_EXAMPLES "/") + std::string(name));
    return { std::istreambuf_iterator<char>(file), {} };
}

inline std::vector<std::string> serviceExamples()
{
    return {
        "sohar/parts-catalogue.jsonc",
        "sohar/dereg-ledger.jsonc",
        "sohar/member-settle.jsonc",
        "lima/inventario.jsonc",
        "lima/reservas.jsonc",
        "lima/cobranzas.jsonc",
    };
}

}
