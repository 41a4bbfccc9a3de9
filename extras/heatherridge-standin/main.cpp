#include "enginestandin.h"
#include "heatherridge_transport/app/eventloop.h"
#include "hoststandin.h"
#include "logstandin.h"
#include "plainstandin.h"
#include "rankstandin.h"
#include "weightstandin.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>

using namespace Heatherridge;

namespace
{

namespace Options = boost::program_options;

constexpr int ExitUsage = 2;
constexpr int ServerThreads = 2;
constexpr std::size_t MaxBodyBytes = 64UL << 20U; // fits an exported cache; each mode sets lower limits of its own

struct Mode
{
    std::string name{};
    std::string summary{};
    std::function<std::unique_ptr<StandIn>(EventLoop &)> make{};
};

template<typename StandInType>
std::unique_ptr<StandIn> make(EventLoop &loop)
{
    return std::make_unique<StandInType>(loop);
}

const std::vector<Mode> &modes()
{
    static const std::vector<Mode> All{
        {.name = "log", .summary = "the platform's append-only log", .make = make<LogStandIn>},
        {.name = "hosts", .summary = "the platform's lagging host list", .make = make<HostStandIn>},
        {.name = "weights", .summary = "the platform's rate-limited weight store", .make = make<WeightStandIn>},
        {.name = "engine", .summary = "a model engine", .make = make<EngineStandIn>},
        {.name = "rank", .summary = "one rank's engine of a lock-step group", .make = make<RankStandIn>},
        {.name = "plain", .summary = "a booking service", .make = make<PlainStandIn>},
    };
    return All;
}

void printUsage(std::ostream &out)
{
    out << "usage: heatherridge-standin MODE [--listen ADDRESS:PORT] [--SWITCH VALUE ...]\n\n"
           "Simulates one part of the platform or one back end. Port 0 lets the kernel choose; the line\n"
           "`ready MODE ADDRESS:PORT` shows where it listens. POST /faults sets switches at run time.\n\nmodes:\n";
    for (const auto &mode : modes()) {
        out << "  " << mode.name << "\t" << mode.summary << "\n";
    }
    out << "\nheatherridge-standin MODE --help lists the mode's switches.\n";
}

const Mode *findMode(std::string_view name)
{
    for (const auto &mode : modes()) {
        if (mode.name == name) {
            return &mode;
        }
    }
    return nullptr;
}

/** Parses the address to listen on; unlike in an inventory, port 0 is allowed. */
std::optional<Endpoint> parseListenEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    const auto port = colon == std::string::npos ? std::nullopt : parseNumber(text.substr(colon + 1), 0, 65535);
    if (!port) {
        return std::nullopt;
    }
    return Endpoint{.address = text.substr(0, colon), .port = static_cast<int>(*port)};
}

Options::options_description describeOptions(const FaultSwitches &switches)
{
    Options::options_description description("options");
    description.add_options()("help", "print this and exit")(
        "listen", Options::value<std::string>()->default_value("127.0.0.1:0"), "address to listen on");
    for (const auto &[name, entry] : switches.all()) {
        description.add_options()(name.c_str(), Options::value<long long>()->default_value(entry.value),
                                  entry.summary.c_str());
    }
    return description;
}

/** Serves until SIGTERM or SIGINT, which must be blocked in all threads. */
int serve(const std::string &mode, EventLoop &loop, StandIn &standIn, const Endpoint &listen)
{
    HttpServer server({.listen = listen, .threads = ServerThreads, .maxBodyBytes = MaxBodyBytes},
                      [&loop, &standIn](const std::shared_ptr<HttpExchange> &exchange) {
                          loop.post([&standIn, exchange] { standIn.handle(exchange); });
                      });
    const auto started = server.start();
    if (const auto *error = errorIn(started)) {
        std::cerr << "heatherridge-standin: " << error->detail << "\n";
        return EXIT_FAILURE;
    }
    loop.start();
    std::cout << "ready " << mode << " " << toString(std::get<Endpoint>(started)) << std::endl;
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
    loop.stop();
    server.stop();
    return EXIT_SUCCESS;
}

int run(int argc, char **argv)
{
    const auto *mode = argc > 1 ? findMode(argv[1]) : nullptr;
    if (mode == nullptr) {
        const bool help = argc > 1 && std::string_view(argv[1]) == "--help";
        printUsage(help ? std::cout : std::cerr);
        return help ? EXIT_SUCCESS : ExitUsage;
    }
    EventLoop loop;
    const auto standIn = mode->make(loop);
    auto &switches = standIn->faults();
    const auto description = describeOptions(switches);
    Options::variables_map values;
    Options::store(Options::parse_command_line(argc - 1, argv + 1, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    auto switchValues = nlohmann::json::object();
    for (const auto &[name, entry] : switches.all()) {
        switchValues[name] = values[name].as<long long>();
    }
    switches.set(switchValues);
    const auto listen = parseListenEndpoint(values["listen"].as<std::string>());
    if (!listen) {
        std::cerr << "heatherridge-standin: --listen must be of the form ADDRESS:PORT with a numeric IP address\n";
        return ExitUsage;
    }
    return serve(mode->name, loop, *standIn, *listen);
}

/** Blocks SIGTERM and SIGINT before any thread starts, so that only sigwait receives them. */
void blockTerminationSignals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

int main(int argc, char **argv)
{
    blockTerminationSignals();
    try {
        return run(argc, argv);
    } catch (const Options::error &error) {
        std::cerr << "heatherridge-standin: " << error.what() << "\n";
        return ExitUsage;
    }
}
