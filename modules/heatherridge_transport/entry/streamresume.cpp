#include "heatherridge_transport/entry/streamresume.h"

#include "heatherridge_coordination/answers/eventstreamsplitter.h"
#include "heatherridge_protocol/jsondocument.h"
#include "heatherridge_transport/http/httpmessages.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

constexpr std::string_view EndOfEvent = "\n\n";
constexpr std::string_view EventStreamType = "text/event-stream";
constexpr int StatusOk = 200;

} // namespace

StreamResume::StreamResume()
    : m_resumePoint(ResumePoint::Options{})
{
}

Result<ResumedBytes> StreamResume::append(const Bytes &bytes)
{
    ResumedBytes result;
    m_partialEvent.append(bytes.begin(), bytes.end());
    std::size_t begin = 0;
    for (auto end = m_partialEvent.find(EndOfEvent); end != std::string::npos;
         end = m_partialEvent.find(EndOfEvent, begin)) {
        end += EndOfEvent.size();
        Bytes event(m_partialEvent.begin() + static_cast<std::ptrdiff_t>(begin),
                    m_partialEvent.begin() + static_cast<std::ptrdiff_t>(end));
        const auto size = event.size();
        begin = end;
        auto accepted = m_resumePoint.acceptToken(m_nextEvent++, std::move(event));
        if (const auto *error = errorIn(accepted)) {
            return *error;
        }
        const auto &next = std::get<std::optional<Bytes>>(accepted);
        if (next) {
            result.newEvents.insert(result.newEvents.end(), next->begin(), next->end());
        } else {
            result.duplicateBytes += size;
        }
    }
    m_partialEvent.erase(0, begin);
    if (m_partialEvent.size() > MaxEventBytes) {
        return Error{.kind = ErrorKind::StreamBroken, .detail = "an event of the stream is too large"};
    }
    return result;
}

std::optional<std::string_view> StreamResume::brokenOffReason() const
{
    // Comments and blank lines may follow the last event.
    EventStreamSplitter rest;
    rest.feed(m_partialEvent);
    if (rest.hasPartialEvent() || rest.completedEvents() > 0) {
        return "the stream ended in the middle of an event";
    }
    if (m_nextEvent < m_resumePoint.deliveredTokens()) {
        return "the resumed stream ended before the events that the caller has";
    }
    return std::nullopt;
}

std::uint64_t StreamResume::beginResume()
{
    m_partialEvent.clear();
    m_nextEvent = m_resumePoint.beginResume();
    return m_nextEvent;
}

Bytes withResumeFrom(const Bytes &body, std::uint64_t token)
{
    auto request = parseJson({reinterpret_cast<const char *>(body.data()), body.size()});
    if (!request.is_object()) {
        return body;
    }
    request["resume_from"] = token;
    const auto text = request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return {text.begin(), text.end()};
}

bool isEventStream(const AnswerHead &head)
{
    return head.status == StatusOk
        && std::any_of(head.headers.begin(), head.headers.end(), [](const HeaderField &field) {
               return isSameHeaderName(field.name, "Content-Type")
                   && field.value.substr(0, EventStreamType.size()) == EventStreamType;
           });
}

} // namespace Heatherridge
