#include "flamingowick/grants/RetryBudget.h"

#include <algorithm>

namespace flamingowick::grants {

void setRetryBudget(RetryBudget& budget, double ratio, double burst) noexcept
{
    if (budget.burst == 0)
        budget.tokens = 1;
    budget.ratio = ratio;
    budget.burst = burst;
    budget.tokens = std::min(budget.tokens, burst);
}

void depositRetryCredit(RetryBudget& budget) noexcept
{
    budget.tokens = std::min(budget.tokens + budget.ratio, budget.burst);
}

void forfeitRetryTokens(RetryBudget& budget) noexcept
{
    budget.tokens = 0;
}

bool takeRetryToken(RetryBudget& budget) noexcept
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

}
