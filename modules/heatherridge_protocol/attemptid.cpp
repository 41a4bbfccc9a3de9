#include "heatherridge_protocol/attemptid.h"

namespace Heatherridge
{

namespace
{

constexpr char AttemptSeparator = '.';

} // namespace

RequestId attemptId(const RequestId &id, int attempt)
{
    return RequestId(id.text() + AttemptSeparator + std::to_string(attempt));
}

RequestId requestOfAttempt(const RequestId &id)
{
    return RequestId(id.text().substr(0, id.text().find(AttemptSeparator)));
}

} // namespace Heatherridge
