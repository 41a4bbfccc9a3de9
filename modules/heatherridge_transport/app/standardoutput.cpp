#include "heatherridge_transport/app/standardoutput.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace Heatherridge
{

namespace
{

constexpr std::chrono::milliseconds PollPeriod{5};

bool isWritable(std::chrono::milliseconds timeout)
{
    pollfd entry{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return ::poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

} // namespace

bool writeToStandardOutput(std::string_view text, const std::function<bool()> &shouldGiveUp)
{
    while (!text.empty()) {
        if (!isWritable(std::chrono::milliseconds(0))) {
            if (shouldGiveUp()) {
                return false;
            }
            isWritable(PollPeriod);
            continue;
        }
        // A writable pipe takes this many bytes without blocking.
        const auto written = ::write(STDOUT_FILENO, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
        if (written < 0 && errno != EINTR && errno != EAGAIN) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
    return true;
}

} // namespace Heatherridge
