#include "heatherridge_protocol/attemptid.h"

namespace Heatherridge
{

namespace
{

constexpr char AttemptMark = '.';

} // namespace

RequestId attemptId(const RequestId &id, int attempt)
{
    return RequestId(id.text() + AttemptMark + std::to_string(attempt));
}

RequestId requestOfAttempt(const RequestId &id)
{
    return RequestId(id.text().substr(0, id.text().find(AttemptMark)));
}

} // namespace Heatherridge
