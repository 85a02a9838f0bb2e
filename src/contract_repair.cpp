#include "contract_repair.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace magnolia {
namespace {

/// Time without an answer after which a repair is abandoned.
constexpr std::chrono::milliseconds answer_timeout{2000};
/// Maximum number of names and versions in a message.
constexpr std::size_t max_versions_per_message = 4096;
constexpr std::size_t max_contracts_per_message = 256;
/// Maximum estimated size of the contracts in a message, in bytes; a single contract may exceed it.
constexpr std::size_t max_batch_bytes = std::size_t{256} << 10U;
/// Estimated encoded size of a contract without its lists.
constexpr std::size_t contract_overhead_bytes = 800;

/// Estimated encoded size of a list of strings.
std::size_t text_bytes(std::span<const std::string> texts) {
    return std::accumulate(texts.begin(), texts.end(), texts.size() * 4,
                           [](std::size_t sum, const auto& text) { return sum + text.size(); });
}

std::size_t encoded_bytes(const contract_version& contract) {
    const auto& value = contract.value;
    return contract_overhead_bytes + text_bytes(value.key_hashes) + text_bytes(value.models) +
           text_bytes(value.services);
}

} // namespace

std::size_t batch_size(std::span<const contract_version> contracts) {
    std::size_t bytes = 0;
    const auto end = std::ranges::find_if(contracts, [&](const auto& contract) {
        bytes += encoded_bytes(contract);
        return bytes > max_batch_bytes;
    });
    const auto fitting = static_cast<std::size_t>(end - contracts.begin());
    return std::clamp<std::size_t>(fitting, 1, max_contracts_per_message);
}

std::optional<outgoing_message> contract_repair::start(repair_target target,
                                                       const contract_table& table,
                                                       std::uint32_t number, time_point now) {
    if (target_) {
        return std::nullopt;
    }
    target_ = std::move(target);
    repair_number_ = number;
    last_seen_ = now;
    missing_names_.clear();
    requested_ = 0;
    next_bucket_ = 0;
    return request_versions(table);
}

outgoing_message contract_repair::request_versions(const contract_table& table) const {
    const auto hashes = table.bucket_hashes();
    return {target_->peer,
            config_buckets{repair_number_, next_bucket_, {hashes.begin(), hashes.end()}}};
}

std::optional<outgoing_message> contract_repair::on(const config_versions& message,
                                                    const contract_table& table, time_point now) {
    if (!target_ || message.number != repair_number_ || !missing_names_.empty()) {
        return std::nullopt;
    }
    last_seen_ = now;
    const auto missing = table.list_missing(message.names, message.versions);
    missing_names_.assign(missing.begin(), missing.end());
    if (!missing_names_.empty()) {
        return request_contracts(table);
    }
    next_bucket_ = message.next;
    if (next_bucket_ < config_bucket_count) {
        return request_versions(table);
    }
    finished_ = std::exchange(target_, std::nullopt);
    return std::nullopt;
}

std::optional<outgoing_message> contract_repair::on(const config_contracts& message,
                                                    const contract_table& table, time_point now) {
    if (!target_ || message.number != repair_number_ || requested_ == 0) {
        return std::nullopt;
    }
    last_seen_ = now;
    // An answer without contracts removes one name, so that the repair makes progress.
    const auto received_count =
        std::min(std::max<std::size_t>(message.contracts.size(), 1), missing_names_.size());
    missing_names_.erase(missing_names_.begin(),
                         missing_names_.begin() + static_cast<std::ptrdiff_t>(received_count));
    requested_ = 0;
    return request_contracts(table);
}

std::optional<outgoing_message> contract_repair::request_contracts(const contract_table& table) {
    if (missing_names_.empty()) {
        return request_versions(table);
    }
    requested_ = std::min(max_contracts_per_message, missing_names_.size());
    return outgoing_message{
        target_->peer,
        config_fetch{repair_number_,
                     {missing_names_.begin(),
                      missing_names_.begin() + static_cast<std::ptrdiff_t>(requested_)}}};
}

std::optional<repair_target> contract_repair::take_finished() {
    return std::exchange(finished_, std::nullopt);
}

void contract_repair::expire(time_point now) {
    if (target_ && now - last_seen_ >= answer_timeout) {
        target_.reset();
    }
}

config_versions answer_buckets(const config_buckets& message, const contract_table& table) {
    auto list = table.list_differing(message.hashes, message.first, max_versions_per_message);
    return {message.number, std::move(list.names), std::move(list.versions),
            static_cast<std::uint32_t>(list.next_bucket)};
}

config_contracts answer_fetch(const config_fetch& message, const contract_table& table) {
    config_contracts answer{message.number, {}};
    for (const auto name : message.names) {
        if (const auto* contract = table.find(name)) {
            answer.contracts.push_back(*contract);
        }
        if (answer.contracts.size() == max_contracts_per_message) {
            break;
        }
    }
    if (!answer.contracts.empty()) {
        answer.contracts.resize(std::min(answer.contracts.size(), batch_size(answer.contracts)));
    }
    return answer;
}

} // namespace magnolia
