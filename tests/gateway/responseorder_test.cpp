#include "gateway/exchangeservers.h"
#include "gateway/gatewayfixture.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Calls on an exchange, in order: R(espond), B(egin a stream), W(rite), write an empty piece (0), E(nd), A(bort). */
using Calls = std::string;

void perform(HttpExchange &exchange, const Calls &calls, int status = 200)
{
    for (const char call : calls) {
        switch (call) {
        case 'R':
            exchange.respond({.status = status, .body = "whole"});
            break;
        case 'B':
            exchange.beginStream(status, {});
            break;
        case 'W':
            exchange.write("piece", [](bool) {});
            break;
        case '0':
            exchange.write("", [](bool) {});
            break;
        case 'E':
            exchange.end();
            break;
        default:
            exchange.abort();
        }
    }
}

/** Returns all sequences of one to four calls. */
std::vector<Calls> allSequences()
{
    std::vector<Calls> sequences{""};
    for (std::size_t index = 0; sequences[index].size() < 4; ++index) {
        for (const char call : std::string("RBW0EA")) {
            sequences.push_back(sequences[index] + call);
        }
    }
    sequences.erase(sequences.begin());
    return sequences;
}

/** Returns whether @p calls send a whole answer before the first call out of order. */
bool isWholeAnswer(const Calls &calls)
{
    const auto end = calls.find('E');
    const bool isWholeStream = calls.front() == 'B' && end != Calls::npos && calls.find_first_not_of("W0", 1) == end;
    return calls.front() == 'R' || isWholeStream;
}

/** Returns the body of the whole answer that @p calls send. */
std::string wholeBody(const Calls &calls)
{
    if (calls.front() == 'R') {
        return "whole";
    }
    std::string body;
    for (const char call : calls.substr(0, calls.find('E'))) {
        body += call == 'W' ? "piece" : "";
    }
    return body;
}

template<typename Server>
class ResponseOrder : public testing::Test
{
};

using Servers = testing::Types<GatewayCallerServer, RestinioServer>;
TYPED_TEST_SUITE(ResponseOrder, Servers, );

// Guards against a server that writes bytes out of order into a response, whatever its user calls in which order.
TYPED_TEST(ResponseOrder, GivesTheCallerOneWholeResponseOrOneThatIsCutOff)
{
    Calls calls;
    const TypeParam server([&calls](const std::shared_ptr<HttpExchange> &exchange) { perform(*exchange, calls); });
    for (const auto &sequence : allSequences()) {
        calls = sequence;
        RawCaller caller(server.endpoint());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto answer = caller.receive();
        EXPECT_TRUE(answer.isInProtocol) << sequence;
        EXPECT_EQ(answer.isWhole, isWholeAnswer(sequence)) << sequence;
        if (answer.isWhole) {
            EXPECT_EQ(answer.body, wholeBody(sequence)) << sequence;
            const auto rest = caller.receive();
            EXPECT_TRUE(rest.status == 0 && rest.isInProtocol) << "bytes after the response: " << sequence;
        }
    }
}

/** Calls on an exchange that answer /second with a body of its own. */
HttpServer::Handler secondOr(const Calls &calls, int status = 200)
{
    return [&calls, status](const std::shared_ptr<HttpExchange> &exchange) {
        if (exchange->request().path == "/second") {
            exchange->respond({.body = "second"});
        } else {
            perform(*exchange, calls, status);
        }
    };
}

// Guards against bytes after a response that the caller of a kept connection takes for the beginning of the next one.
TYPED_TEST(ResponseOrder, LeavesTheConnectionFitForASecondRequest)
{
    Calls calls;
    const TypeParam server(secondOr(calls));
    for (const auto &sequence : allSequences()) {
        calls = sequence;
        RawCaller caller(server.endpoint());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto answer = caller.receive();
        EXPECT_TRUE(answer.isInProtocol) << sequence;
        EXPECT_EQ(answer.isWhole, isWholeAnswer(sequence)) << sequence;
        caller.send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto second = caller.receive();
        EXPECT_TRUE(second.isInProtocol) << sequence;
        EXPECT_EQ(second.body, isWholeAnswer(sequence) ? "second" : "") << sequence;
    }
}

// Guards against bytes after the head of the response to a HEAD request, which has no body.
TYPED_TEST(ResponseOrder, SendsNoBodyInResponseToAHeadRequest)
{
    Calls calls;
    const TypeParam server(secondOr(calls));
    for (const auto &sequence : allSequences()) {
        calls = sequence;
        RawCaller caller(server.endpoint());
        caller.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto answer = caller.receive(true);
        EXPECT_TRUE(answer.isInProtocol) << sequence;
        EXPECT_TRUE(answer.isWhole || !isWholeAnswer(sequence)) << sequence;
        EXPECT_EQ(answer.body, "") << sequence;
        caller.send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto second = caller.receive();
        EXPECT_TRUE(second.isInProtocol) << sequence;
        EXPECT_TRUE(second.status == 0 || second.body == "second") << sequence;
        EXPECT_TRUE(second.isWhole || sequence.front() != 'R') << sequence;
    }
}

// Guards against bytes after the head of a response whose status allows no body, as 204 and 304: the caller would take
// them for the beginning of the next response.
TYPED_TEST(ResponseOrder, SendsNoBodyWithAStatusThatAllowsNone)
{
    for (const int status : {204, 304}) {
        Calls calls;
        const TypeParam server(secondOr(calls, status));
        for (const auto &sequence : allSequences()) {
            calls = sequence;
            RawCaller caller(server.endpoint());
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            const auto answer = caller.receive();
            EXPECT_TRUE(answer.isInProtocol) << status << " " << sequence;
            EXPECT_TRUE(answer.isWhole || !isWholeAnswer(sequence)) << status << " " << sequence;
            EXPECT_EQ(answer.body, "") << status << " " << sequence;
            EXPECT_EQ(answer.head.find("Transfer-Encoding"), std::string::npos) << status << " " << sequence;
            caller.send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
            const auto second = caller.receive();
            EXPECT_TRUE(second.isInProtocol) << status << " " << sequence;
            EXPECT_TRUE(second.body == "second" || !isWholeAnswer(sequence)) << status << " " << sequence;
            EXPECT_TRUE(second.status == 0 || second.body == "second") << status << " " << sequence;
        }
    }
}

/** Returns the number of @p calls that come out of order. */
std::uint64_t callsOutOfOrder(const Calls &calls)
{
    bool hasBegun = false;
    bool hasEnded = false;
    std::uint64_t count = 0;
    for (const char call : calls) {
        const bool isFirst = call == 'R' || call == 'B';
        const bool isInOrder = call == 'A' || (!hasEnded && isFirst != hasBegun);
        count += isInOrder ? 0 : 1;
        hasEnded = hasEnded || !isInOrder || call == 'A' || call == 'R' || call == 'E';
        hasBegun = true;
    }
    return count;
}

// Guards against calls out of order that nobody notices because they are not counted.
TEST(ResponseOrderCounter, CountsEachCallOutOfOrder)
{
    Calls calls;
    GatewayCallerServer server([&calls](const std::shared_ptr<HttpExchange> &exchange) { perform(*exchange, calls); });
    const auto &counter = server.metrics().counter("heatherridge_responses_out_of_order_total");
    std::uint64_t expected = 0;
    for (const auto &sequence : allSequences()) {
        calls = sequence;
        RawCaller caller(server.endpoint());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        caller.receive();
        server.runAndWait([](CallerServer &) {}); // the handler has returned
        expected += callsOutOfOrder(sequence);
        ASSERT_EQ(counter.value(), expected) << sequence;
    }
}

} // namespace
