#include "heatherridge_transport/platform/httplogservice.h"

#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/jsondocument.h"

namespace Heatherridge
{

namespace
{

constexpr int StatusOk = 200;
constexpr int FirstServerError = 500;
/** Largest page of records that is read. */
constexpr std::size_t MaxPageBytes = 64UL << 20U;

Error unavailable(const std::string &reason, ExecutionStatus ran)
{
    return Error{.kind = ErrorKind::PlatformUnavailable, .detail = "log: " + reason, .ran = ran};
}

std::string recordsPath(const StreamName &stream)
{
    return "/streams/" + stream.text() + "/records";
}

/** Parses the offset in the response to an append. */
Result<LogOffset> parseOffset(const HttpResponse &response)
{
    if (response.status != StatusOk) {
        // A client error proves that nothing was appended. A server error does not: it may come from a gateway that
        // lost the log's response, in which case an append reported as not executed would still take effect.
        const auto ran = response.status < FirstServerError ? ExecutionStatus::No : ExecutionStatus::Unknown;
        return unavailable("status " + std::to_string(response.status), ran);
    }
    const auto body = parseJson(response.body);
    if (!body.is_object() || !body.contains("offset") || !body["offset"].is_number_unsigned()) {
        return unavailable("response has no offset", ExecutionStatus::Unknown);
    }
    return static_cast<LogOffset>(body["offset"].get<std::uint64_t>());
}

Result<LogRecord> parseRecord(const nlohmann::json &map)
{
    CborReader reader(map);
    LogRecord record{.offset = static_cast<LogOffset>(reader.number("o")),
                     .appended = WallTime(std::chrono::milliseconds(reader.integer("t", 0, INT64_MAX))),
                     .payload = reader.bytes("p")};
    if (!reader.ok()) {
        return unavailable("malformed record", ExecutionStatus::No);
    }
    return record;
}

Result<LogPage> parsePage(const HttpResponse &response)
{
    if (response.status != StatusOk) {
        return unavailable("status " + std::to_string(response.status), ExecutionStatus::No);
    }
    nlohmann::json map;
    if (!CborReader::parse(Bytes(response.body.begin(), response.body.end()), map)) {
        return unavailable("malformed page", ExecutionStatus::No);
    }
    CborReader reader(map);
    LogPage page{.first = static_cast<LogOffset>(reader.number("first")),
                 .last = static_cast<LogOffset>(reader.number("last"))};
    const auto *records = reader.array("records");
    if (!reader.ok()) {
        return unavailable("malformed page", ExecutionStatus::No);
    }
    for (const auto &entry : *records) {
        auto record = parseRecord(entry);
        if (const auto *error = errorIn(record)) {
            return *error;
        }
        page.records.push_back(std::get<LogRecord>(std::move(record)));
    }
    return page;
}

} // namespace

HttpLogService::HttpLogService(HttpClient &client, Options options)
    : m_client(client)
    , m_options(std::move(options))
{
}

void HttpLogService::append(const StreamName &stream, Bytes payload, AppendDone done)
{
    HttpRequest request{
        .method = "POST", .path = recordsPath(stream), .body = std::string(payload.begin(), payload.end())};
    request.headers.push_back({.name = "Content-Type", .value = "application/octet-stream"});
    // Uses a new connection: libcurl would silently retry an append if a reused connection broke. A duplicate record is
    // applied only once, but counts against the log's rate limit.
    m_client.send({.endpoint = m_options.endpoint,
                   .request = std::move(request),
                   .timeout = m_options.timeout,
                   .reuseConnection = false},
                  [done = std::move(done)](const std::variant<HttpResponse, HttpClient::Failure> &result) {
                      if (const auto *failure = std::get_if<HttpClient::Failure>(&result)) {
                          done(unavailable(failure->reason,
                                           failure->mayHaveArrived ? ExecutionStatus::Unknown : ExecutionStatus::No));
                      } else {
                          done(parseOffset(std::get<HttpResponse>(result)));
                      }
                  });
}

void HttpLogService::read(const StreamName &stream, LogOffset from, std::size_t maxRecords,
                          std::chrono::milliseconds maxWait, ReadDone done)
{
    HttpRequest request{.method = "GET",
                        .path = recordsPath(stream),
                        .query = "from=" + std::to_string(toNumber(from)) + "&most=" + std::to_string(maxRecords)
                            + "&wait-ms=" + std::to_string(maxWait.count())};
    m_client.send(
        {.endpoint = m_options.endpoint, .request = std::move(request), .timeout = m_options.timeout + maxWait},
        [done = std::move(done)](const std::variant<HttpResponse, HttpClient::Failure> &result) {
            if (const auto *failure = std::get_if<HttpClient::Failure>(&result)) {
                done(unavailable(failure->reason, ExecutionStatus::No));
            } else {
                done(parsePage(std::get<HttpResponse>(result)));
            }
        },
        MaxPageBytes);
}

} // namespace Heatherridge
