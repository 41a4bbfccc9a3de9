#include "crowds/gatewayprocess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace Heatherridge
{

std::vector<std::string> gatewayArguments(const GatewayProcessOptions &options)
{
    return {"--name",
            "g",
            "--zone",
            "a",
            "--listen",
            "127.0.0.1:0",
            "--ready-listen",
            toString(options.ready),
            "--ready-path",
            "/readyz",
            "--metrics-listen",
            toString(options.metrics),
            "--log-service",
            toString(options.log),
            "--memory-mb",
            std::to_string(options.memoryMebibytes),
            "--max-connections",
            std::to_string(options.maxConnections),
            "--log-stream",
            "standard-output"};
}

Endpoint freeEndpoint()
{
    asio::io_context loop;
    const asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0}, /*reuse_addr=*/false);
    return {.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
}

} // namespace Heatherridge
