#include "gateway/conversations/conversationplan.h"

#include <algorithm>

namespace Heatherridge
{

namespace
{

using std::chrono::milliseconds;

/** Status of a target that is not the one asked for, which always means that the request has not run. */
constexpr int MisdirectedStatus = 421;
constexpr int DelaysMs[] = {0, 0, 0, 1, 2, 5, 10, 30};
constexpr std::size_t FillSizes[] = {0, 0, 0, 0, 10, 300, 5'000, 70'000, 400'000};

std::string toText(const std::optional<AnswerPlan::Cut> &cut)
{
    const char *origins[] = {"body", "start", "end"};
    return cut ? std::string(origins[static_cast<int>(cut->from)]) + " " + std::to_string(cut->distance) : "-";
}

} // namespace

AnswerPlan AnswerPlan::draw(Draws draws)
{
    AnswerPlan plan;
    // Properties that are rare each but many together would leave few answers of which a part reaches a caller.
    const int properties = draws.choice({1, 1, 1, 2, 2, 3, 0, 4});
    for (int i = 0; i < properties; ++i) {
        plan.drawProperty(draws);
    }
    if (plan.framing == Framing::Length) {
        plan.framing = draws.choice({Framing::Length, Framing::Chunked, Framing::Chunked});
    }
    plan.writes = draws.choice({1, 1, 2, 3, 8});
    plan.delay = milliseconds(draws.choice(DelaysMs));
    plan.fillBytes = draws.choice(FillSizes);
    plan.chunkBytes = draws.choice({0, 0, 1, 7, 100});
    plan.hasTrailer = draws.oneIn(8);
    plan.makeConsistent();
    return plan;
}

void AnswerPlan::drawProperty(Draws &draws)
{
    switch (draws.below(20)) {
    case 0:
    case 1:
    case 2:
        drawCut(draws);
        break;
    case 3:
    case 4:
        status = draws.choice({500, 404, 504, 302, 201});
        break;
    case 5:
        status = draws.choice({204, 304});
        hasForbiddenBody = draws.oneIn(2);
        break;
    case 6:
        status = draws.choice({503, 429, 408, 0, 99, 600});
        break;
    case 7:
    case 8:
        kind = Kind::Refusal;
        status = draws.choice({503, 503, 429, 421, 408});
        if (draws.oneIn(2)) {
            drawSurplus(draws);
        }
        break;
    case 9:
    case 10:
        drawSurplus(draws);
        break;
    case 11:
        framing = Framing::Unframed;
        if (draws.oneIn(2)) {
            drawCut(draws);
        }
        break;
    case 12:
        kind = draws.choice({Kind::Silence, Kind::Garbage, Kind::Crash});
        break;
    case 13:
        eventShift = draws.choice({-1, 1, -2});
        break;
    case 14:
        hasEventIds = false;
        break;
    case 15:
        isSigned = false;
        break;
    case 16:
        idOf = draws.choice({IdOf::Other, IdOf::Nobody});
        break;
    case 17:
        interimCount = draws.choice({1, 2});
        break;
    case 18:
        hasForbiddenBody = true;
        break;
    default:
        ending = draws.choice({Ending::Close, Ending::Reset});
        break;
    }
}

void AnswerPlan::drawCut(Draws &draws)
{
    const auto from = draws.choice({Cut::From::Body, Cut::From::End, Cut::From::Start});
    const int distance = draws.oneIn(4) ? draws.below(4) : draws.below(Draws::Bound);
    cut = Cut{.from = from, .distance = distance};
    ending = draws.choice({Ending::Close, Ending::Reset});
}

void AnswerPlan::drawSurplus(Draws &draws)
{
    surplus = draws.choice(
        {Surplus::Late, Surplus::Duplicate, Surplus::Duplicate, Surplus::Together, Surplus::Short, Surplus::Before});
    surplusDelay = milliseconds(draws.choice({0, 1, 2, 5, 10, 30, 100}));
    surplusStatus = draws.choice({200, 200, 500, 503, 404, 421});
    surplusIdOf = draws.choice({IdOf::Request, IdOf::Request, IdOf::Other, IdOf::Nobody});
}

void AnswerPlan::makeConsistent()
{
    if (status == MisdirectedStatus) {
        kind = Kind::Refusal; // by its status alone
    } else if (kind == Kind::Refusal && status != 503 && status != 429 && status != 408) {
        kind = Kind::Answer; // a later property has changed the status
    }
    if ((cut || framing == Framing::Unframed) && ending == Ending::KeepOpen) {
        ending = Ending::Close;
    }
    // More bytes would be a part of an answer without length, and fewer are a cut in other framings.
    const bool isShort = surplus == Surplus::Short;
    const bool isCut = cut || kind == Kind::Crash;
    if (isCut || framing == Framing::Unframed || (isShort && framing != Framing::Length)) {
        surplus = Surplus::None;
    }
    // Of two answers, the one with the id of the request is the answer.
    if (idOf != IdOf::Request && surplusIdOf == IdOf::Request) {
        surplusIdOf = IdOf::Other;
    }
    if (idOf != IdOf::Request && surplus == Surplus::Before) {
        surplus = Surplus::None;
    }
}

bool AnswerPlan::isSound() const
{
    const bool hasFinalStatus = status == 200 || status == 201 || status == 404 || status == 500 || status == 302;
    return kind == Kind::Answer && hasFinalStatus && isSigned && idOf == IdOf::Request && !cut && eventShift == 0
        && hasEventIds && leavesCleanConnection() && framing != Framing::Unframed;
}

bool AnswerPlan::leavesCleanConnection() const
{
    return (kind == Kind::Answer || kind == Kind::Refusal) && idOf == IdOf::Request && ending == Ending::KeepOpen
        && surplus == Surplus::None && !hasForbiddenBody;
}

RequestPlan RequestPlan::draw(Draws draws)
{
    RequestPlan plan;
    plan.route = draws.choice({Route::Stream, Route::Stream, Route::LookUp, Route::Booking});
    plan.isPipelined = draws.oneIn(3);
    plan.method = draws.choice<const char *>({"POST", "POST", "POST", "GET", "HEAD"});
    plan.writes = draws.choice({1, 1, 2, 2, 5});
    plan.leaving = draws.choice({Leaving::No, Leaving::No, Leaving::No, Leaving::No, Leaving::No, Leaving::No,
                                 Leaving::AfterSending, Leaving::AfterFirstBytes});
    plan.isHttp10 = draws.oneIn(6);
    plan.expectsContinue = draws.oneIn(5);
    plan.isChunked = draws.oneIn(8) && !plan.isHttp10;
    plan.lastEventId = draws.oneIn(6) ? std::optional<std::uint64_t>(draws.below(4)) : std::nullopt;
    plan.bodyBytes = draws.choice({20, 20, 1, 3'000});
    plan.writeDelay = milliseconds(draws.choice({0, 1, 3, 10}));
    plan.readDelay = milliseconds(draws.choice({0, 0, 0, 2, 40, 200}));
    if (plan.method != "POST") {
        plan.bodyBytes = 0;
        plan.isChunked = false;
        plan.expectsContinue = false;
    }
    return plan;
}

Disturbance Disturbance::draw(Draws draws)
{
    Disturbance disturbance;
    disturbance.kind = draws.choice({Kind::Withdraw, Kind::Return, Kind::Crash, Kind::Stop});
    disturbance.target = draws.below(4);
    disturbance.after = milliseconds(draws.choice({0, 0, 1, 3, 10, 30, 100, 300}));
    return disturbance;
}

bool ConversationPlan::stopsGateway() const
{
    return std::ranges::any_of(disturbances,
                               [](const auto &disturbance) { return disturbance.kind == Disturbance::Kind::Stop; });
}

std::string toText(const Disturbance &disturbance)
{
    const char *kinds[] = {"withdraw", "return", "crash", "stop"};
    return std::string(kinds[static_cast<int>(disturbance.kind)]) + " " + std::to_string(disturbance.target) + " after "
        + std::to_string(disturbance.after.count()) + " ms";
}

std::string toText(const AnswerPlan &plan)
{
    const char *kinds[] = {"answer", "refusal", "silence", "garbage", "crash"};
    const char *framings[] = {"length", "chunks", "unframed"};
    const char *endings[] = {"open", "close", "reset"};
    const char *surpluses[] = {"none", "before", "together", "late", "duplicate", "short"};
    const char *ids[] = {"own", "other", "none"};
    return std::string(kinds[static_cast<int>(plan.kind)]) + " " + std::to_string(plan.status) + " "
        + framings[static_cast<int>(plan.framing)] + " id " + ids[static_cast<int>(plan.idOf)]
        + (plan.isSigned ? "" : " unsigned") + " cut " + toText(plan.cut) + " ending "
        + endings[static_cast<int>(plan.ending)] + " shift " + std::to_string(plan.eventShift) + " interim "
        + std::to_string(plan.interimCount) + " fill " + std::to_string(plan.fillBytes) + " chunk "
        + std::to_string(plan.chunkBytes) + (plan.hasTrailer ? " trailer" : "")
        + (plan.hasForbiddenBody ? " forbidden-body" : "") + (plan.hasEventIds ? "" : " no-event-ids") + " writes "
        + std::to_string(plan.writes) + " delay " + std::to_string(plan.delay.count()) + " surplus "
        + surpluses[static_cast<int>(plan.surplus)] + " " + std::to_string(plan.surplusStatus) + " of "
        + ids[static_cast<int>(plan.surplusIdOf)] + " after " + std::to_string(plan.surplusDelay.count());
}

std::string toText(const RequestPlan &plan)
{
    const char *routes[] = {"look", "book", "stream"};
    const char *leavings[] = {"", " leaves after sending", " leaves after the first bytes"};
    return std::string(routes[static_cast<int>(plan.route)]) + " " + plan.method + " " + std::to_string(plan.bodyBytes)
        + " bytes" + (plan.isHttp10 ? " 1.0" : "") + (plan.expectsContinue ? " expect" : "")
        + (plan.isChunked ? " chunked" : "") + (plan.lastEventId ? " last " + std::to_string(*plan.lastEventId) : "")
        + (plan.isPipelined ? " pipelined" : "") + " writes " + std::to_string(plan.writes) + " delays "
        + std::to_string(plan.writeDelay.count()) + "/" + std::to_string(plan.readDelay.count())
        + leavings[static_cast<int>(plan.leaving)];
}

std::string toText(const ConversationPlan &plan)
{
    std::string text =
        std::to_string(plan.targets) + " targets, " + std::to_string(plan.maxAttempts) + " attempts" + "\n";
    for (const auto &disturbance : plan.disturbances) {
        text += toText(disturbance) + "\n";
    }
    for (std::size_t caller = 0; caller < plan.callers.size(); ++caller) {
        for (std::size_t request = 0; request < plan.callers[caller].size(); ++request) {
            text += "caller " + std::to_string(caller) + " request " + std::to_string(request) + ": "
                + toText(plan.callers[caller][request]) + "\n";
            for (const auto &answer : plan.callers[caller][request].answers) {
                text += "  answer: " + toText(answer) + "\n";
            }
        }
    }
    return text;
}

} // namespace Heatherridge
