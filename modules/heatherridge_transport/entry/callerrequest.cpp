#include "heatherridge_transport/entry/callerrequest.h"

#include "heatherridge_protocol/jsondocument.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr int MaxPriority = 10;
/** English text has about four bytes per token. The estimate is used for fair shares and placement only; no guarantee
 * depends on it. */
constexpr double BytesPerToken = 4;
constexpr std::uint64_t DefaultAnswerTokens = 256;
constexpr std::uint64_t MaxAnswerTokens = 1'000'000;
/** Prompts with the same first bytes, up to this number, get the same affinity key, since they can share an entry of a
 * prefix cache; about one cache block of 256 tokens. */
constexpr std::size_t AffinityPrefixBytes = 1024;
/** Maximum length of an idempotency key; a UUID has 36 characters. */
constexpr std::size_t MaxIdempotencyKeyBytes = 128;

/** Headers that apply to a single connection or are set again at each hop; they are not forwarded. */
constexpr std::array<std::string_view, 14> HopByHopHeaders{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Content-Length",
                                                           "Host",
                                                           "Authorization",
                                                           "X-Request-Id",
                                                           "Expect",
                                                           "X-Priority"};

Error makeError(ErrorKind kind, std::string detail)
{
    return Error{.kind = kind, .detail = std::move(detail), .ran = ExecutionStatus::No};
}

std::vector<HeaderField> forwardedHeaders(const std::vector<HttpHeader> &headers)
{
    std::vector<HeaderField> forwarded;
    for (const auto &header : headers) {
        if (!containsHeaderName(HopByHopHeaders, header.name)) {
            forwarded.push_back({.name = header.name, .value = header.value});
        }
    }
    return forwarded;
}

/** Validates one request step by step. Stops at the first step that returns an error. */
class Reader
{
public:
    Reader(const HttpRequest &request, const ConfigView &config, const CallerLimits &limits, CallerRequest &result)
        : m_request(request)
        , m_config(config)
        , m_limits(limits)
        , m_result(result)
    {
    }

    Outcome read()
    {
        for (const auto step : {&Reader::readNames, &Reader::readSizes, &Reader::readWorkspace, &Reader::readPriority,
                                &Reader::readKey, &Reader::readRoute, &Reader::readDeadline}) {
            auto outcome = (this->*step)();
            if (errorIn(outcome) != nullptr) {
                return outcome;
            }
        }
        return {};
    }

private:
    /** Rejects spaces in header names. The server takes the framing from "Content-Length : 2", and a name with a space
     * matches none that is not forwarded. */
    Outcome readNames()
    {
        const bool hasSpace = std::any_of(m_request.headers.begin(), m_request.headers.end(), [](const auto &header) {
            return header.name.find(' ') != std::string::npos;
        });
        if (hasSpace) {
            return makeError(ErrorKind::BadRequest, "a space in the name of a header");
        }
        return {};
    }

    Outcome readSizes()
    {
        if (m_request.body.size() > m_limits.maxBodyBytes) {
            return makeError(ErrorKind::BodyTooLarge, "at most " + std::to_string(m_limits.maxBodyBytes) + " bytes");
        }
        for (const auto &header : m_request.headers) {
            if (header.value.size() > m_limits.maxHeaderBytes) {
                return makeError(ErrorKind::HeaderTooLarge, header.name);
            }
        }
        return {};
    }

    Outcome readWorkspace()
    {
        const auto name = m_request.header("X-Workspace");
        const auto authorization = m_request.header("Authorization");
        const Workspace *workspace = nullptr;
        if (authorization.substr(0, BearerPrefix.size()) == BearerPrefix) {
            workspace = m_config.rules->findByKey(authorization.substr(BearerPrefix.size()));
        } else {
            workspace = m_config.rules->find(WorkspaceName(std::string(name)));
            // A workspace with an API key is selected only by that key; otherwise anybody could use up its share by
            // giving its name.
            if (workspace != nullptr && !workspace->key.empty()) {
                workspace = nullptr;
            }
        }
        if (workspace == nullptr) {
            return makeError(ErrorKind::UnknownWorkspace, name.empty() ? "no workspace given" : std::string(name));
        }
        m_result.submit.workspace = workspace->name;
        m_result.submit.priority = workspace->priority;
        m_result.weight = workspace->weight;
        return {};
    }

    Outcome readPriority()
    {
        const auto text = m_request.header("X-Priority");
        if (text.empty()) {
            return {};
        }
        const auto priority = parseNumber(text, -MaxPriority, MaxPriority);
        if (!priority) {
            return makeError(ErrorKind::BadRequest, "X-Priority must be a whole number from -10 to 10");
        }
        m_result.submit.priority += static_cast<int>(*priority);
        return {};
    }

    Outcome readKey()
    {
        const auto key = m_request.header("Idempotency-Key");
        if (key.size() > MaxIdempotencyKeyBytes) {
            return makeError(ErrorKind::BadIdempotencyKey,
                             "at most " + std::to_string(MaxIdempotencyKeyBytes) + " bytes");
        }
        m_result.submit.key = IdempotencyKey(std::string(key));
        return {};
    }

    Outcome readRoute()
    {
        m_result.submit.method = m_request.method;
        m_result.submit.query = m_request.query;
        m_result.submit.headers = forwardedHeaders(m_request.headers);
        m_result.submit.body = Bytes(m_request.body.begin(), m_request.body.end());
        if (m_request.path == ChatPath) {
            return readChat();
        }
        if (m_request.path.substr(0, ServicesPrefix.size()) == ServicesPrefix) {
            return readPlainCall();
        }
        return makeError(ErrorKind::NotFound, m_request.path);
    }

    Outcome readChat()
    {
        if (m_request.method != "POST") {
            return makeError(ErrorKind::MethodNotAllowed, m_request.method);
        }
        const auto body = parseJson(m_request.body);
        if (!body.is_object()) {
            return makeError(ErrorKind::BadRequest, "the body is not a JSON object");
        }
        const auto model = body.find("model");
        const auto messages = body.find("messages");
        if (model == body.end() || !model->is_string() || messages == body.end() || !messages->is_array()) {
            return makeError(ErrorKind::BadRequest, "'model' must be a string and 'messages' an array");
        }
        m_result.model = ModelName(model->get<std::string>());
        const auto stream = body.find("stream");
        m_result.wantsStream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
        readCost(body, messages->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        m_result.submit.path = ChatPath;
        // A chat request has no side effects, so it can safely run twice.
        m_result.submit.mayRepeat = true;
        return findService();
    }

    void readCost(const nlohmann::json &body, const std::string &prompt)
    {
        const auto tokens = body.find("max_tokens");
        const bool hasLimit = tokens != body.end() && tokens->is_number_unsigned();
        const auto answerTokens =
            std::min(hasLimit ? tokens->get<std::uint64_t>() : DefaultAnswerTokens, MaxAnswerTokens);
        m_result.promptTokens = static_cast<double>(prompt.size()) / BytesPerToken;
        m_result.submit.cost =
            static_cast<std::uint64_t>(requestCost(m_result.promptTokens, static_cast<double>(answerTokens)) + 1);
        m_result.affinityKey = XXH3_64bits(prompt.data(), std::min(prompt.size(), AffinityPrefixBytes));
        m_result.prefixChain = PrefixIndex::hashChain(prompt);
    }

    Outcome findService()
    {
        for (const auto &[name, target] : m_config.inventory->targets()) {
            if (std::find(target.models.begin(), target.models.end(), m_result.model) != target.models.end()) {
                m_result.submit.service = target.service;
                return {};
            }
        }
        return makeError(ErrorKind::UnknownModel, m_result.model.text());
    }

    Outcome readPlainCall()
    {
        const auto servicePath = std::string_view(m_request.path).substr(ServicesPrefix.size());
        const auto slash = servicePath.find('/');
        const ServiceName service(std::string(servicePath.substr(0, slash)));
        const auto targets = m_config.inventory->targetsOf(service);
        if (targets.empty() || targets.front()->kind != TargetKind::Plain) {
            return makeError(ErrorKind::UnknownService, service.text());
        }
        m_result.submit.service = service;
        m_result.submit.path = slash == std::string_view::npos ? "/" : std::string(servicePath.substr(slash));
        m_result.submit.mayRepeat = m_config.rules->isRepeatable(service, m_request.method, m_result.submit.path);
        return {};
    }

    Outcome readDeadline()
    {
        m_result.timeout = m_config.rules->serviceRules(m_result.submit.service).timeout;
        const auto text = m_request.header("X-Deadline-Ms");
        if (text.empty()) {
            return {};
        }
        const auto deadline = parseNumber(text, 1, m_limits.maxTimeout.count());
        if (!deadline) {
            return makeError(ErrorKind::BadDeadline,
                             "X-Deadline-Ms must be a whole number from 1 to "
                                 + std::to_string(m_limits.maxTimeout.count()));
        }
        m_result.timeout = std::chrono::milliseconds(*deadline);
        return {};
    }

    const HttpRequest &m_request;
    const ConfigView &m_config;
    const CallerLimits &m_limits;
    CallerRequest &m_result;
};

} // namespace

Result<CallerRequest> readCallerRequest(const HttpRequest &request, const RequestId &id, const ConfigView &config,
                                        const CallerLimits &limits)
{
    CallerRequest result;
    result.submit.id = id;
    auto outcome = Reader(request, config, limits, result).read();
    if (const auto *error = errorIn(outcome)) {
        return *error;
    }
    return result;
}

} // namespace Heatherridge
