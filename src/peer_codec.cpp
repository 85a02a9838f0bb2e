#include "peer_codec.h"

#include "schema_reader.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace magnolia {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t envelope_fields = 3;
/// Deepest nesting of a message. The msgpack reader of the JSON library recurses for each level.
constexpr std::size_t max_depth = 16;

/// SAX handler that rejects documents nested deeper than max_depth; builds nothing.
class depth_check : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*failure*/) override {
        return false;
    }

private:
    bool enter() { return ++depth_ <= max_depth; }
    bool leave() {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

bool has_bounded_depth(std::span<const std::uint8_t> body) {
    depth_check checker;
    return nlohmann::json::sax_parse(body.begin(), body.end(), &checker,
                                     nlohmann::json::input_format_t::msgpack);
}

std::size_t decode_length(std::span<const std::uint8_t> bytes) {
    std::size_t length = 0;
    for (const auto byte : bytes.first(length_bytes)) {
        length = (length << 8U) | byte;
    }
    return length;
}

std::array<char, length_bytes> encode_length(std::size_t length) {
    return {static_cast<char>(length >> 24U), static_cast<char>(length >> 16U),
            static_cast<char>(length >> 8U), static_cast<char>(length)};
}

/// Whether a field of the envelope is an unsigned number of at most `max`.
bool is_number_up_to(const nlohmann::json& field, std::uint64_t max) {
    return field.is_number_unsigned() && field.get<std::uint64_t>() <= max;
}

} // namespace

result<std::size_t> append_frame(const peer_message& message, std::string& out) {
    const auto start = out.size();
    out.append(length_bytes, '\0');
    nlohmann::json::to_msgpack(
        nlohmann::json::array(
            {config::protocol_release, message_number(message), message_body(message)}),
        nlohmann::detail::output_adapter<char>(out));
    const auto length = out.size() - start - length_bytes;
    if (length > config::max_frame_bytes) {
        out.resize(start);
        return fail(error_code::frame_invalid, std::to_string(length) + " bytes");
    }
    std::ranges::copy(encode_length(length), out.begin() + static_cast<std::ptrdiff_t>(start));
    return length + length_bytes;
}

result<received_frame> read_frame(std::span<const std::uint8_t> body) {
    if (!has_bounded_depth(body)) {
        return fail(error_code::frame_invalid, "msgpack");
    }
    const auto document = nlohmann::json::from_msgpack(body.begin(), body.end(), true, false);
    if (!document.is_array() || document.size() < envelope_fields ||
        !is_number_up_to(document[0], UINT32_MAX) || !is_number_up_to(document[1], UINT16_MAX)) {
        return fail(error_code::frame_invalid, "envelope");
    }
    received_frame frame{document[0].get<std::uint32_t>(), document[1].get<std::uint16_t>(), {}};
    schema_reader reader{unknown_keys::accept};
    peer_message message;
    if (!read_message(frame.number, document[2], reader, message)) {
        return frame;
    }
    if (!reader.errors().empty()) {
        return fail(error_code::frame_invalid, reader.errors().front().path);
    }
    frame.message = std::move(message);
    return frame;
}

void frame_splitter::append(std::span<const std::uint8_t> bytes) {
    bytes_.erase(bytes_.begin(), bytes_.begin() + static_cast<std::ptrdiff_t>(read_));
    read_ = 0;
    bytes_.insert(bytes_.end(), bytes.begin(), bytes.end());
}

result<std::optional<received_frame>> frame_splitter::next() {
    const auto remaining = std::span<const std::uint8_t>{bytes_}.subspan(read_);
    if (remaining.size() < length_bytes) {
        return std::nullopt;
    }
    const auto length = decode_length(remaining);
    if (length > config::max_frame_bytes) {
        return fail(error_code::frame_invalid, std::to_string(length) + " bytes");
    }
    if (remaining.size() < length_bytes + length) {
        return std::nullopt;
    }
    read_ += length_bytes + length;
    auto frame = read_frame(remaining.subspan(length_bytes, length));
    if (!frame) {
        return tl::unexpected{frame.error()};
    }
    return std::optional<received_frame>{std::move(*frame)};
}

} // namespace magnolia
