#include "heatherridge_transport/entry/streamresume.h"

#include "heatherridge_transport/http/httpmessages.h"

#include <nlohmann/json.hpp>

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
    : m_point(ResumePoint::Options{})
{
}

Result<StreamBytes> StreamResume::take(const Bytes &bytes)
{
    StreamBytes result;
    m_pending.append(bytes.begin(), bytes.end());
    std::size_t begin = 0;
    for (auto end = m_pending.find(EndOfEvent); end != std::string::npos; end = m_pending.find(EndOfEvent, begin)) {
        end += EndOfEvent.size();
        Bytes event(m_pending.begin() + static_cast<std::ptrdiff_t>(begin),
                    m_pending.begin() + static_cast<std::ptrdiff_t>(end));
        const auto size = event.size();
        begin = end;
        auto taken = m_point.acceptToken(m_position++, std::move(event));
        if (const auto *error = errorIn(taken)) {
            return *error;
        }
        const auto &next = std::get<std::optional<Bytes>>(taken);
        if (next) {
            result.passOn.insert(result.passOn.end(), next->begin(), next->end());
        } else {
            result.repeated += size;
        }
    }
    m_pending.erase(0, begin);
    if (m_pending.size() > MostEventBytes) {
        return Error{.kind = ErrorKind::StreamBroken, .detail = "an event of the stream is too large"};
    }
    return result;
}

std::uint64_t StreamResume::beginResume()
{
    m_pending.clear();
    m_position = m_point.beginResume();
    return m_position;
}

Bytes withResumeFrom(const Bytes &body, std::uint64_t token)
{
    auto request = nlohmann::json::parse(body, nullptr, false);
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
               return sameHeaderName(field.name, "Content-Type")
                   && field.value.substr(0, EventStreamType.size()) == EventStreamType;
           });
}

} // namespace Heatherridge
