#pragma once

namespace Heatherridge
{

/**
 * Cost of a prompt token relative to a generated one.
 *
 * Engines compute prompt tokens in parallel and answer tokens one by one; one generated token takes about ten times the
 * engine time of a prompt token. Counting both equally would make a long prompt with a short answer look ten times too
 * expensive.
 */
inline constexpr double PromptTokenCost = 0.1;

/** Returns the cost of a model request in units of one generated token. Callers of a plain service use 1. */
constexpr double requestCost(double promptTokens, double answerTokens)
{
    return promptTokens * PromptTokenCost + answerTokens;
}

} // namespace Heatherridge
