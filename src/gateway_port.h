/// Interfaces that a deployment's adapter implements for the gateway. Only the adapter knows the
/// names and formats of the deployment's wire; it translates and makes no decisions.
#pragma once

#include "forward_types.h"
#include "platform_port.h"

#include <string_view>

namespace magnolia {

/// Encodes calls to the object API of the platform's store and decodes the replies. Stateless.
class store_codec {
public:
    virtual ~store_codec() = default;
    [[nodiscard]] virtual http_request encode(const platform_call& call) const = 0;
    /// Errors: not_found, conflict, too_large, bad_request, platform_busy with retry_after, and
    /// platform_down for any other status or a reply that cannot be parsed.
    [[nodiscard]] virtual result<platform_reply> decode(const platform_call& call,
                                                        const http_response& response) const = 0;
    /// Epoch of the store that the header of a response states, whatever its status; see
    /// store_position.
    [[nodiscard]] virtual std::optional<std::uint64_t>
    read_epoch(const http_headers& headers) const = 0;
};

/// Translates between the gateway's types and the wire format of a deployment. Stateless.
class gateway_codec {
public:
    virtual ~gateway_codec() = default;

    /// Parses the header of a caller's request. Errors: bad_request naming the field.
    [[nodiscard]] virtual result<request_head> read_request(const http_request& request) const = 0;
    /// Builds the request to a backend server from the caller's request. The body is copied.
    [[nodiscard]] virtual http_request
    write_request(const http_request& request, const attempt_parameters& parameters) const = 0;
    /// Parses the status and header of a backend server's response.
    [[nodiscard]] virtual answer_head read_answer(unsigned status,
                                                  const http_headers& headers) const = 0;
    /// Header of a backend server's answer that is forwarded with another status, without the
    /// signature of its own.
    [[nodiscard]] virtual http_headers without_signature(http_headers headers) const = 0;
    /// Header field that a backend server repeats in its response to identify the request.
    [[nodiscard]] virtual http_header echo_header(const request_head& head) const = 0;
    /// Builds the gateway's own error response.
    [[nodiscard]] virtual http_response write_failure(const request_head& head,
                                                      const error& failure) const = 0;

    /// Object of the store that holds the configuration.
    [[nodiscard]] virtual object_id config_object() const = 0;
    /// Parses the configuration. Errors: bad_request naming the field.
    [[nodiscard]] virtual result<routing_config> read_config(std::string_view value) const = 0;
    /// Kind of the objects under which backend servers register themselves.
    [[nodiscard]] virtual std::string backend_kind() const = 0;
    /// Parses the entry of a backend server. Errors: bad_request naming the field.
    [[nodiscard]] virtual result<backend_info> read_backend(const std::string& id,
                                                            std::string_view value) const = 0;

    /// Kind of the objects by which operators evacuate zones: while there is one with the name of a
    /// zone, nothing is sent to the backend servers of that zone. Empty if there are none.
    [[nodiscard]] virtual std::string evacuation_kind() const = 0;

    /// Builds a request that reserves memory on an engine for the time to live, or renews the
    /// reservation with this id. An engine with another id refuses it.
    [[nodiscard]] virtual http_request write_reserve(std::string_view backend_id,
                                                     std::string_view reservation_id,
                                                     std::uint32_t tokens,
                                                     milliseconds ttl) const = 0;
    /// Builds a request that releases the reservation.
    [[nodiscard]] virtual http_request write_release(std::string_view backend_id,
                                                     std::string_view reservation_id) const = 0;

    /// Builds a liveness probe of the backend server with this id; it occupies no slot there.
    [[nodiscard]] virtual http_request write_probe(std::string_view backend_id) const = 0;
    /// Parses the answer to a liveness probe.
    [[nodiscard]] virtual probe_answer read_probe(const http_response& response) const = 0;

    /// Path of the readiness check: whether the host accepts new connections.
    [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

} // namespace magnolia
