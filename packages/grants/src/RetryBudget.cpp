#include "flamingowick/grants/RetryBudget.h"

#include <algorithm>

namespace flamingowick::grants {

void setAllowance(RetryAllowance& allowance, double ratio, double burst) noexcept
{
    if (allowance.burst == 0)
        allowance.tokens = burst / 2;
    allowance.ratio = ratio;
    allowance.burst = burst;
    allowance.tokens = std::min(allowance.tokens, burst);
}

void earnRetry(RetryAllowance& allowance) noexcept
{
    allowance.tokens = std::min(allowance.tokens + allowance.ratio, allowance.burst);
}

bool spendRetry(RetryAllowance& allowance) noexcept
{
    if (allowance.tokens < 1)
        return false;
    allowance.tokens -= 1;
    return true;
}

}
