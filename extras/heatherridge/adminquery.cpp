#include "adminquery.h"

#include "heatherridge_transport/app/eventloop.h"
#include "heatherridge_transport/http/httpclient.h"

#include <future>

namespace Heatherridge
{

namespace
{

constexpr std::size_t MaxResponseBytes = 64UL << 20U;

void storeResult(AdminResponse &answer, const std::variant<HttpResponse, HttpClient::Failure> &result)
{
    if (const auto *failure = std::get_if<HttpClient::Failure>(&result)) {
        answer.failure = failure->reason;
        return;
    }
    const auto &response = std::get<HttpResponse>(result);
    answer.status = response.status;
    if (auto body = nlohmann::json::parse(response.body, nullptr, false); !body.is_discarded()) {
        answer.body = std::move(body);
    }
}

} // namespace

std::vector<AdminResponse> queryAll(const std::vector<Endpoint> &processes, const std::string &path,
                                    const std::string &query, std::chrono::milliseconds timeout)
{
    std::vector<AdminResponse> answers;
    answers.reserve(processes.size());
    for (const auto &process : processes) {
        answers.push_back({.process = process});
    }
    std::size_t pending = answers.size();
    std::promise<void> done;
    EventLoop loop;
    HttpClient client(loop.context(), {});
    loop.post([&] {
        for (auto &answer : answers) {
            HttpClient::Call call{.endpoint = answer.process,
                                  .request = {.method = "GET", .path = path, .query = query},
                                  .timeout = timeout};
            client.send(
                std::move(call),
                [&](const std::variant<HttpResponse, HttpClient::Failure> &result) {
                    storeResult(answer, result);
                    if (--pending == 0) {
                        done.set_value();
                    }
                },
                MaxResponseBytes);
        }
    });
    loop.start();
    done.get_future().wait();
    loop.stop();
    return answers;
}

} // namespace Heatherridge
