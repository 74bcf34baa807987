#include "flamingowick/model/Error.h"

namespace flamingowick {

namespace {

    std::string describe(std::string_view part, int number, std::string_view message)
    {
        std::string text = "[flamingowick.";
        text.append(part).append(".").append(std::to_string(number)).append("] ");
        return text.append(message);
    }

}

Error::Error(std::string_view part, int number, std::string_view message)
    : std::runtime_error(describe(part, number, message))
    , id(number)
{
}

}
