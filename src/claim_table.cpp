#include "claims_p.h"
#include "json_text.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace magnolia {
namespace {

using json = nlohmann::json;

/// Version of the encoding; objects of other versions are refused.
constexpr std::uint64_t layout_version = 1;

/// Bytes of punctuation and numbers in one encoded record, upper bound.
constexpr std::size_t record_overhead = 200;

/// Length of the longest JSON escape of one byte.
constexpr std::size_t max_escaped_byte_length = 6;

/// Digits of the bucket number in object names; fixed, so that names sort by creation time.
constexpr int bucket_digits = 12;

/// Upper bound of the length of a string in JSON, without quotes.
std::size_t encoded_bytes(std::string_view text) {
    const auto escaped = std::ranges::count_if(text, [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == '"' ||
               character == '\\' || static_cast<unsigned char>(character) >= 0x7F;
    });
    return text.size() + (static_cast<std::size_t>(escaped) * (max_escaped_byte_length - 1));
}

std::size_t encoded_bytes(const claim_key& key, const claim_record& record) {
    return record_overhead + encoded_bytes(key.workspace) + encoded_bytes(key.key) +
           encoded_bytes(record.answer);
}

json to_value(const claim_key& key, const claim_record& record) {
    const json result = record.result ? json(static_cast<unsigned>(*record.result)) : json();
    return {key.workspace,         key.key,          key.created_ms,     record.owner.origin,
            record.owner.sequence, record.status,    record.fingerprint, result,
            record.answer,         record.claimed_ms};
}

std::optional<outcome> to_outcome(const json& in) {
    if (in.is_null()) {
        return std::nullopt;
    }
    // An outcome that this release does not define is read as unknown: the call may have run.
    const auto value = in.get<unsigned>();
    return value <= static_cast<unsigned>(outcome::unknown) ? static_cast<outcome>(value)
                                                            : outcome::unknown;
}

/// Reads one record. Throws json::exception if it is malformed.
std::pair<claim_key, claim_record> to_record(const json& in) {
    const claim_key key{in.at(0).get<std::string>(), in.at(1).get<std::string>(),
                        in.at(2).get<std::int64_t>()};
    const claim_record record{{in.at(3).get<std::uint64_t>(), in.at(4).get<std::uint64_t>()},
                              in.at(6).get<std::uint64_t>(),
                              to_outcome(in.at(7)),
                              in.at(5).get<unsigned>(),
                              in.at(8).get<std::string>(),
                              in.at(9).get<std::int64_t>()};
    return {key, record};
}

} // namespace

const claim_record* claim_table::find(const claim_key& key) const {
    const auto found = records.find(key);
    return found == records.end() ? nullptr : &found->second;
}

void claim_table::put(const claim_key& key, const claim_record& record) {
    erase(key);
    records.emplace(key, record);
    bytes += encoded_bytes(key, record);
}

void claim_table::erase(const claim_key& key) {
    const auto found = records.find(key);
    if (found != records.end()) {
        bytes -= encoded_bytes(key, found->second);
        records.erase(found);
    }
}

std::string encode_claims(const claim_table& table) {
    auto list = json::array();
    for (const auto& [key, record] : table.records) {
        list.push_back(to_value(key, record));
    }
    const json document{{"layout", layout_version}, {"claims", std::move(list)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_table> decode_claims(const stored_object& object) {
    claim_table table;
    table.version = object.version;
    if (object.version == 0) {
        return table;
    }
    const auto document = parse_json(object.value);
    try {
        if (document.at("layout").get<std::uint64_t>() != layout_version) {
            return fail(error_code::internal, object.id.name + ": unknown layout version");
        }
        for (const auto& item : document.at("claims")) {
            const auto [key, record] = to_record(item);
            table.put(key, record);
        }
    } catch (const json::exception&) {
        return fail(error_code::internal, object.id.name);
    }
    return table;
}

object_id claim_object_id(const claim_key& key, const claim_options& options) {
    const auto bucket = key.created_ms / options.bucket.count();
    const auto text = key.workspace + '\0' + key.key;
    const auto shard = XXH3_64bits(text.data(), text.size()) % options.shards;
    std::array<char, 40> name{};
    const auto length = std::snprintf(name.data(), name.size(), "%0*lld-%03u", bucket_digits,
                                      static_cast<long long>(bucket), static_cast<unsigned>(shard));
    return {"claims", {name.data(), static_cast<std::size_t>(length)}};
}

std::optional<std::int64_t> latest_creation_ms(const object_id& id, const claim_options& options) {
    std::int64_t bucket = 0;
    const auto* end = id.name.data() + id.name.size();
    const auto [stop, failure] = std::from_chars(id.name.data(), end, bucket);
    if (failure != std::errc{} || stop == end || *stop != '-') {
        return std::nullopt;
    }
    return ((bucket + 1) * options.bucket.count()) - 1;
}

result<void> check_key_age(const claim_key& key, const claim_options& options,
                           std::int64_t wall_ms) {
    const auto age = wall_ms - key.created_ms;
    const bool is_future = age < -options.max_clock_error.count();
    if (key.created_ms < 0 || is_future || age > options.retention.count()) {
        return fail(error_code::key_expired, key.key);
    }
    return {};
}

} // namespace magnolia
