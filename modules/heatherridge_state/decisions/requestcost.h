#pragma once

namespace Heatherridge
{

/**
 * Cost of a prompt token over that of a generated one.
 *
 * Engines compute prompts in parallel and answers token by token; one generated token takes about ten times the engine
 * time. Counting both alike would make a long prompt with a short answer look ten times too dear.
 */
inline constexpr double PromptTokenCost = 0.1;

/** Cost of a model request in units of a generated token; callers of a plain service use 1. */
constexpr double requestCost(double promptTokens, double answerTokens)
{
    return promptTokens * PromptTokenCost + answerTokens;
}

} // namespace Heatherridge
