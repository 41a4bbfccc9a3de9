#include "heatherridge_transport/http/httpmessagereader.h"

#include "heatherridge_state/config/inidocument.h"
#include "heatherridge_transport/http/headsyntax.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace Heatherridge
{

namespace
{

/** Bytes of a status line up to the one after its status. */
constexpr std::size_t StatusLineBytes = 13;

/** Returns whether the body is sent as it is or in chunks. The parser decodes no other transfer coding. */
bool isBodyDecoded(const std::vector<HttpHeader> &headers)
{
    constexpr std::string_view name = "Transfer-Encoding";
    const auto count = std::count_if(headers.begin(), headers.end(),
                                     [&](const auto &header) { return isSameHeaderName(header.name, name); });
    return count == 0 || (count == 1 && isSameHeaderName(trimmed(headerValue(headers, name)), "chunked"));
}

/**
 * Checks the bytes of a message outside of its body. The parser library, as it is commonly built, accepts any byte
 * after a CR there, and any two bytes after the data of a chunk. It joins a line that begins with a blank to the header
 * before it.
 */
class LineEndCheck
{
public:
    /** Returns whether @p bytes, which follow those of the last call, have an LF after each CR and no line that begins
     * with a blank. */
    bool accept(std::string_view bytes)
    {
        for (const char byte : bytes) {
            const bool isBlank = byte == ' ' || byte == '\t';
            if ((m_expected && byte != *m_expected) || (std::exchange(m_isLineStart, byte == '\n') && isBlank)) {
                return false;
            }
            m_expected = byte == '\r' ? std::optional('\n') : std::nullopt;
        }
        return true;
    }

    /** Called at the end of a chunk's data, which CR and LF must follow. */
    void onChunkEnd()
    {
        m_expected = '\r';
    }

private:
    std::optional<char> m_expected; ///< next byte; if empty, any may follow
    bool m_isLineStart = false;
};

} // namespace

class HttpMessageReader::Implementation
{
public:
    Implementation(Side side, HeadCallback onHead, BodyCallback onBody)
        : m_type(side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE)
        , m_onHead(std::move(onHead))
        , m_onBody(std::move(onBody))
    {
        http_parser_settings_init(&m_settings);
        m_settings.on_message_begin = [](http_parser *parser) {
            self(parser).m_state = State::Head;
            return 0;
        };
        m_settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
            self(parser).append(self(parser).m_head.target, {at, length});
            return 0;
        };
        m_settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
            if (!self(parser).isInTrailers()) {
                self(parser).appendHeaderName({at, length});
            }
            return 0;
        };
        m_settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
            if (!self(parser).isInTrailers()) {
                self(parser).appendHeaderValue({at, length});
            }
            return 0;
        };
        m_settings.on_headers_complete = [](http_parser *parser) { return self(parser).completeHead(); };
        m_settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
            return self(parser).addBody({at, length}) ? 0 : -1;
        };
        m_settings.on_message_complete = [](http_parser *parser) {
            self(parser).m_state = State::Complete;
            http_parser_pause(parser, 1);
            return 0;
        };
        reset();
    }

    void reset()
    {
        http_parser_init(&m_parser, m_type);
        m_parser.data = this;
        takeHead();
        m_blankBytes = 0;
        m_headBytes = 0;
        m_statusLine.clear();
        m_isInHeaderValue = false;
        m_lineEnds = {};
        m_state = State::Idle;
    }

    void setMaxHeadBytes(std::size_t bytes)
    {
        m_maxHeadBytes = std::min(bytes, LargestHeadBytes);
    }

    std::size_t feed(std::string_view bytes)
    {
        std::size_t consumed = 0;
        while (consumed < bytes.size() && m_state != State::Complete && m_state != State::Malformed) {
            const auto piece = acceptablePiece(bytes.substr(consumed));
            if (piece.empty()) {
                m_state = State::Malformed;
                m_headTooLarge = true;
                break;
            }
            consumed += parse(piece);
        }
        return consumed;
    }

    bool isHeadRequest() const
    {
        return m_type == HTTP_REQUEST && m_state != State::Idle && m_parser.method == HTTP_HEAD;
    }

    std::size_t heldBytes() const
    {
        return m_textMemory + m_head.headers.capacity() * sizeof(HttpHeader);
    }

    void feedEndOfStream()
    {
        if (m_state != State::Body) {
            return;
        }
        http_parser_execute(&m_parser, &m_settings, nullptr, 0);
        if (m_state != State::Complete) {
            m_state = State::Malformed;
        }
    }

    State state() const
    {
        return m_state;
    }

    bool isHeadTooLarge() const
    {
        return m_headTooLarge;
    }

private:
    static Implementation &self(http_parser *parser)
    {
        return *static_cast<Implementation *>(parser->data);
    }

    /** Returns the beginning of @p bytes that may be parsed within the limits; empty if the next byte exceeds one.
     * Counts the bytes of blank lines and of the head. */
    std::string_view acceptablePiece(std::string_view bytes)
    {
        if (m_state == State::Body) {
            return bytes;
        }
        const auto blank = m_state == State::Idle ? std::min(bytes.find_first_not_of("\r\n"), bytes.size()) : 0;
        auto &count = blank > 0 ? m_blankBytes : m_headBytes;
        const auto piece = bytes.substr(
            0, std::min(blank > 0 ? blank : bytes.size(), m_maxHeadBytes - std::min(count, m_maxHeadBytes)));
        count += piece.size();
        if (blank == 0 && m_type == HTTP_RESPONSE) {
            m_statusLine.append(piece.substr(0, StatusLineBytes - m_statusLine.size()));
        }
        return piece;
    }

    std::size_t parse(std::string_view bytes)
    {
        m_unchecked = bytes.data();
        const auto consumed = http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        const bool hasFailed = m_state != State::Complete && error != HPE_OK;
        if (hasFailed || !acceptLineEnds(bytes.data() + consumed)) {
            m_state = State::Malformed;
            m_headTooLarge = error == HPE_HEADER_OVERFLOW;
        }
        return consumed;
    }

    bool isInTrailers() const
    {
        return m_state == State::Body;
    }

    /** Appends @p piece to @p text, a part of the head. */
    void append(std::string &text, std::string_view piece)
    {
        const auto before = allocatedBytes(text);
        text.append(piece);
        m_textMemory += allocatedBytes(text) - before;
    }

    HttpMessageHead takeHead()
    {
        m_textMemory = 0;
        return std::exchange(m_head, {});
    }

    void appendHeaderName(std::string_view piece)
    {
        if (m_isInHeaderValue || m_head.headers.empty()) {
            m_head.headers.emplace_back();
            m_isInHeaderValue = false;
        }
        append(m_head.headers.back().name, piece);
    }

    void appendHeaderValue(std::string_view piece)
    {
        m_isInHeaderValue = true;
        append(m_head.headers.back().value, piece);
    }

    bool addBody(std::string_view piece)
    {
        if (!acceptLineEnds(piece.data())) {
            return false;
        }
        m_unchecked = piece.data() + piece.size();
        if ((m_parser.flags & F_CHUNKED) != 0 && m_parser.content_length == 0) {
            m_lineEnds.onChunkEnd();
        }
        m_onBody(piece);
        return true;
    }

    /** Checks the bytes from the last check, or from the last piece of the body, to @p end. */
    bool acceptLineEnds(const char *end)
    {
        const auto *begin = std::exchange(m_unchecked, end);
        return m_lineEnds.accept({begin, static_cast<std::size_t>(end - begin)});
    }

    int completeHead()
    {
        if (isInTrailers()) {
            return 0;
        }
        // The parser library accepts names with blanks as it is commonly built, and statuses of any number of digits.
        const bool isResponse = m_type == HTTP_RESPONSE;
        if (!areHeadersWellFormed(m_head.headers) || !isBodyDecoded(m_head.headers)
            || (isResponse && !isStatusLine(m_statusLine))) {
            return -1;
        }
        if (m_type == HTTP_REQUEST) {
            m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
        }
        m_head.status = m_type == HTTP_RESPONSE ? static_cast<int>(m_parser.status_code) : 0;
        m_head.isHttp10 = m_parser.http_major < 1 || (m_parser.http_major == 1 && m_parser.http_minor == 0);
        m_head.isKeepAlive = http_should_keep_alive(&m_parser) != 0;
        if ((m_parser.flags & F_CONTENTLENGTH) != 0) {
            m_head.contentLength = m_parser.content_length;
        }
        m_head.isChunked = (m_parser.flags & F_CHUNKED) != 0;
        m_head.endsWithConnection =
            m_type == HTTP_RESPONSE && isBodyAllowed(m_head.status) && !m_head.isChunked && !m_head.contentLength;
        m_state = State::Body;
        return m_onHead(takeHead()) ? 0 : 1;
    }

    http_parser_type m_type;
    HeadCallback m_onHead;
    BodyCallback m_onBody;
    http_parser_settings m_settings{};
    http_parser m_parser{};
    HttpMessageHead m_head; ///< until it is complete
    std::string m_statusLine; ///< beginning of a response
    std::size_t m_textMemory = 0; ///< allocated for the strings of the head
    std::size_t m_maxHeadBytes = LargestHeadBytes;
    std::size_t m_blankBytes = 0; ///< before the head
    std::size_t m_headBytes = 0; ///< so far; after the head without meaning
    LineEndCheck m_lineEnds;
    const char *m_unchecked = nullptr; ///< in the bytes that are fed
    bool m_isInHeaderValue = false;
    bool m_headTooLarge = false;
    State m_state = State::Idle;
};

HttpMessageReader::HttpMessageReader(Side side, HeadCallback onHead, BodyCallback onBody)
    : m_implementation(std::make_unique<Implementation>(side, std::move(onHead), std::move(onBody)))
{
}

HttpMessageReader::~HttpMessageReader() = default;

void HttpMessageReader::setMaxHeadBytes(std::size_t bytes)
{
    m_implementation->setMaxHeadBytes(bytes);
}

std::size_t HttpMessageReader::feed(std::string_view bytes)
{
    return m_implementation->feed(bytes);
}

void HttpMessageReader::feedEndOfStream()
{
    m_implementation->feedEndOfStream();
}

void HttpMessageReader::reset()
{
    m_implementation->reset();
}

HttpMessageReader::State HttpMessageReader::state() const
{
    return m_implementation->state();
}

bool HttpMessageReader::isHeadTooLarge() const
{
    return m_implementation->isHeadTooLarge();
}

bool HttpMessageReader::isHeadRequest() const
{
    return m_implementation->isHeadRequest();
}

std::size_t HttpMessageReader::heldBytes() const
{
    return m_implementation->heldBytes();
}

} // namespace Heatherridge
