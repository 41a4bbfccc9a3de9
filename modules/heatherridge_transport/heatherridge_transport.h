#pragma once

/**
 * Module heatherridge_transport.
 *
 * Purpose: sockets, HTTP, threads, logs and metrics: the implementations of the interfaces that the lower modules
 * declare, and the parts from which the daemons are put together.
 *
 * Dependencies: heatherridge_coordination, Asio, websocketpp, RESTinio, libcurl, Boost.Log, Boost.Program_options,
 * Boost.Histogram. Heavy headers stay in the source files.
 */
