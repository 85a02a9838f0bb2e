/// Parser of HTTP responses; included by the source file of the HTTP client only.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string_view>

namespace magnolia {

/// Rejects responses that Beast's parser accepts although they are invalid:
/// - bad_status: the status is not 100 to 599 (RFC 9110, section 15), or is 101, as no request asks
///   for another protocol.
/// - bad_field: a line of the header or trailers begins with a blank. Beast appends it to the value
///   of the line before (RFC 9112, section 5.2), so that a field that the peer meant to send, its
///   Content-Length for example, would be lost.
class response_parser final
    : public boost::beast::http::response_parser<boost::beast::http::string_body> {
public:
    /// @param input  holds the bytes that are parsed until the parser has consumed them.
    explicit response_parser(const boost::beast::flat_buffer& input) : input_{input} {}

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

    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name,
                       boost::beast::string_view value,
                       boost::beast::error_code& failure) override {
        if (is_continued(name)) {
            failure = boost::beast::http::error::bad_field;
            return;
        }
        get().insert(field, name, value);
    }

    /// Whether the line after the one of the field begins with a blank.
    /// @param name  name of the field, in the input.
    [[nodiscard]] bool is_continued(boost::beast::string_view name) const {
        const std::string_view input{static_cast<const char*>(input_.data().data()),
                                     input_.data().size()};
        const auto start = static_cast<std::size_t>(name.data() - input.data());
        const auto line_end = input.find("\r\n", start);
        const auto next_line = input.substr(line_end + 2, 1);
        return next_line == " " || next_line == "\t";
    }

    const boost::beast::flat_buffer& input_;
};

} // namespace magnolia
