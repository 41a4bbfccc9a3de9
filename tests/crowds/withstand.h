#pragma once

#include "crowds/crowd.h"
#include "support/childprocess.h"

#include <cstddef>
#include <string>

namespace Heatherridge
{

/** One of the project's programs and what it must keep to, whatever its clients do. */
struct ServerUnderTest
{
    ChildProcess &process;
    Endpoint endpoint{}; ///< at which the crowd and the ordinary caller arrive
    std::string request{}; ///< of the ordinary caller
    int status = 200; ///< of the answer to it
    std::size_t maxMemory = 0; ///< bytes; the memory of its host
    std::size_t maxDescriptors = 0;
};

/** Returns the status of the answer to @p request on a new connection; 0 if there is none. As an ordinary caller does,
 * it tries again a few times after no answer or a refusal, unless it expects the refusal's status @p expected. */
int answerStatus(const Endpoint &endpoint, const std::string &request, int expected = 200);

/**
 * Lets a crowd arrive at @p server and checks that the process lives, that its memory and descriptors stay within the
 * bounds, and that an ordinary caller is answered while the crowd is connected and after it has left.
 */
void expectToWithstand(const ServerUnderTest &server, const CrowdBehaviour &behaviour);

} // namespace Heatherridge
