#pragma once

#include "gateway/conversations/draws.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Heatherridge
{

/** What a target does with one request. */
struct AnswerPlan
{
    enum class Kind {
        Answer, ///< runs the request and answers with `status`
        Refusal, ///< does not run it and says so
        Silence, ///< runs it and sends nothing until the gateway closes the connection
        Garbage, ///< runs it and sends bytes that are not HTTP
        Crash, ///< runs it, sends a part of the answer, and closes all its sockets
    };
    enum class Framing {
        Length,
        Chunked,
        Unframed, ///< ends with its connection
    };
    enum class Ending {
        KeepOpen,
        Close,
        Reset,
    };
    enum class Surplus {
        None,
        Before, ///< an answer with another id first, in the same writes
        Together, ///< a second answer in the same writes
        Late, ///< a second answer after `surplusDelay`
        Duplicate, ///< the first answer once more after `surplusDelay`
        Short, ///< the connection stays open after a length that is too large
    };
    enum class IdOf {
        Request,
        Other, ///< the request that the targets received before this one
        Nobody,
    };

    struct Cut
    {
        enum class From {
            Body,
            Start,
            End,
        };

        From from = From::Body;
        int distance = 0; ///< in bytes, back from the end; modulo the size of the answer
    };

    Kind kind = Kind::Answer;
    int status = 200;
    Framing framing = Framing::Length;
    bool isSigned = true;
    IdOf idOf = IdOf::Request;
    int interimCount = 0; ///< heads with a status of 1xx before the answer
    std::size_t fillBytes = 0; ///< that each event, or the body, has besides its text
    int chunkBytes = 0; ///< size of chunks; 0: one chunk
    bool hasTrailer = false;
    bool hasForbiddenBody = false; ///< sends a body also after 204, after 304 and to a HEAD request
    bool hasEventIds = true;
    int eventShift = 0; ///< of the first event, against the one that was asked for
    std::optional<Cut> cut{}; ///< where the answer breaks off, before `ending`
    Ending ending = Ending::KeepOpen;
    int writes = 1; ///< that the answer is sent in
    std::chrono::milliseconds delay{0}; ///< before the first byte, and between writes
    Surplus surplus = Surplus::None;
    int surplusStatus = 200;
    IdOf surplusIdOf = IdOf::Request;
    std::chrono::milliseconds surplusDelay{0};

    /** Draws an answer with a few properties that make it differ from a sound one. */
    static AnswerPlan draw(Draws draws);

    /** Returns whether a gateway that does its part delivers this answer whole. */
    bool isSound() const;

    /** Returns whether the connection may carry the next request. */
    bool leavesCleanConnection() const;

private:
    void drawProperty(Draws &draws);
    void drawCut(Draws &draws);
    void drawSurplus(Draws &draws);
    void makeConsistent();
};

/** One request of a caller. */
struct RequestPlan
{
    enum class Route {
        LookUp, ///< may be repeated
        Booking, ///< runs at most once
        Stream, ///< may be resumed
    };
    enum class Leaving {
        No,
        AfterSending,
        AfterFirstBytes, ///< of the answer
    };

    Route route = Route::LookUp;
    std::string method = "POST";
    std::size_t bodyBytes = 20;
    bool isHttp10 = false;
    bool expectsContinue = false;
    bool isChunked = false;
    std::optional<std::uint64_t> lastEventId{};
    bool isPipelined = false; ///< sent before the answer to the previous request is read
    int writes = 1;
    std::chrono::milliseconds writeDelay{0};
    std::chrono::milliseconds readDelay{0}; ///< between sending and the first read
    Leaving leaving = Leaving::No;
    std::vector<AnswerPlan> answers{}; ///< of the targets, one to each attempt; sound after the last

    static RequestPlan draw(Draws draws);
};

/** What happens besides requests and answers. */
struct Disturbance
{
    enum class Kind {
        Withdraw, ///< of a target: the register loses its entry
        Return, ///< of the entry, if it was withdrawn
        Crash, ///< of a target
        Stop, ///< of the gateway; at most one takes effect
    };

    Kind kind = Kind::Withdraw;
    int target = 0; ///< modulo the number of targets
    std::chrono::milliseconds after{0}; ///< from the first request on

    static Disturbance draw(Draws draws);
};

/** A random conversation of callers with targets through a gateway. */
struct ConversationPlan
{
    std::vector<std::vector<RequestPlan>> callers{};
    int targets = 2;
    int maxAttempts = 2;
    std::vector<Disturbance> disturbances{};

    bool stopsGateway() const;
};

std::string toText(const AnswerPlan &plan);
std::string toText(const RequestPlan &plan);
std::string toText(const Disturbance &disturbance);
std::string toText(const ConversationPlan &plan);

} // namespace Heatherridge
