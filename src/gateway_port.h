/// What a gateway asks of the codec of its deployment: the only place where names of the
/// deployment's wire are known. Nothing here decides.
#pragma once

#include "forward_types.h"
#include "platform_port.h"

#include <string_view>

namespace magnolia {

/// Requests to and answers from the object API of the platform.
class store_codec {
public:
    virtual ~store_codec() = default;
    [[nodiscard]] virtual http_request encode(const platform_call& call) const = 0;
    /// Errors: conflict, platform_busy with retry_after, too_large, bad_request, platform_down for
    /// anything that cannot be read.
    [[nodiscard]] virtual result<platform_reply> decode(const platform_call& call,
                                                        const http_response& response) const = 0;
};

/// Names and formats of a deployment.
class gateway_codec {
public:
    virtual ~gateway_codec() = default;

    /// Errors: bad_request.
    [[nodiscard]] virtual result<request_head> read_request(const http_request& request) const = 0;
    /// The caller's request as one backend server gets it. The body is copied.
    [[nodiscard]] virtual http_request write_request(const http_request& request,
                                                     const attempt_parameters& terms) const = 0;
    [[nodiscard]] virtual answer_head read_answer(unsigned status,
                                                  const http_headers& headers) const = 0;
    /// Field that a backend server repeats in its answer.
    [[nodiscard]] virtual http_header echo_header(const request_head& head) const = 0;
    /// Answer of the gateway itself.
    [[nodiscard]] virtual http_response write_failure(const request_head& head,
                                                      const error& failure) const = 0;

    /// Object that holds the configuration.
    [[nodiscard]] virtual object_id config_object() const = 0;
    /// Errors: bad_request naming the field.
    [[nodiscard]] virtual result<routing_config> read_config(std::string_view value) const = 0;
    /// Kind of the objects that backend servers write.
    [[nodiscard]] virtual std::string backend_kind() const = 0;
    /// Errors: bad_request naming the field.
    [[nodiscard]] virtual result<backend_info> read_backend(const std::string& id,
                                                            std::string_view value) const = 0;

    /// Sets memory of an engine aside, or renews the reservation_id.
    [[nodiscard]] virtual http_request write_reserve(std::string_view reservation_id,
                                                     std::uint32_t tokens,
                                                     milliseconds ttl) const = 0;
    [[nodiscard]] virtual http_request write_release(std::string_view reservation_id) const = 0;

    /// Asks a backend server for a sign of life; costs it no slot.
    [[nodiscard]] virtual http_request write_probe() const = 0;

    /// Path at which the platform asks whether the host takes new connections.
    [[nodiscard]] virtual std::string_view readiness_path() const = 0;
};

} // namespace magnolia
