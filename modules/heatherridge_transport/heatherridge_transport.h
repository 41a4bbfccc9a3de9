#pragma once

/**
 * Module heatherridge_transport.
 *
 * Purpose: sockets, HTTP, threads, logging and metrics. Implements the interfaces that the lower modules declare and
 * provides the components of the daemons.
 *
 * Dependencies: heatherridge_coordination, Asio, websocketpp, RESTinio, libcurl, Boost.Log, Boost.Program_options,
 * Boost.Histogram. Headers that are expensive to compile are included only in source files.
 */
