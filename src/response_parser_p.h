/// Parser of HTTP responses; included by the source file of the HTTP client only.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace magnolia {

/// Rejects responses that Beast's parser accepts although they are invalid:
/// - bad_status: the status is not 100 to 599 (RFC 9110, section 15), or is 101, as no request asks
///   for another protocol.
class response_parser final
    : public boost::beast::http::response_parser<boost::beast::http::string_body> {
private:
    void on_response_impl(int code, boost::beast::string_view reason, int version,
                          boost::beast::error_code& failure) override {
        constexpr int first_status = 100;
        constexpr int switching_protocols = 101;
        constexpr int last_status = 599;
        if (code < first_status || code > last_status || code == switching_protocols) {
            failure = boost::beast::http::error::bad_status;
            return;
        }
        get().result(static_cast<unsigned>(code));
        get().version(static_cast<unsigned>(version));
        get().reason(reason);
    }
};

} // namespace magnolia
