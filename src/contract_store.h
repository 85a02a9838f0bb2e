/// Contracts in the platform's store: conditional changes, tombstones, history, audit.
#pragma once

#include "conditional_write.h"

#include <memory>
#include <optional>
#include <random>
#include <span>

namespace magnolia {

/// A contract with the version of its object.
struct stored_contract {
    contract value;
    std::uint64_t version = 0;

    bool operator==(const stored_contract&) const = default;
};

/// Why a change was not made.
struct contract_failure {
    error failure;
    /// After a conflict: the version that came first.
    std::optional<stored_contract> current;
    /// The change may have been made, or may still be; look again before repeating it.
    bool may_have_effect = false;
};

template <class T>
using contract_result = tl::expected<T, contract_failure>;

/// Who changes a contract, when, and how long the change may take.
struct change_context {
    std::string changed_by;
    /// ms since 1970.
    std::int64_t wall_ms = 0;
    time_point deadline;
};

/// Part of a list.
struct contract_page {
    std::vector<stored_contract> items;
    std::uint64_t revision = 0;
    bool more = false;
};

/// Changes after a revision.
struct contract_changes {
    std::vector<stored_contract> items;
    std::uint64_t revision = 0;
    bool gap = false;
};

/// Value of a contract's object: the contract, and the tokens of the latest writes.
[[nodiscard]] std::string encode_contract(const contract& value,
                                          std::span<const std::string> tokens);
/// Errors: internal if the object cannot be read.
[[nodiscard]] result<stored_contract> decode_contract(const stored_object& object);

/// Reads and changes contracts through calls to the platform. All members are called on one thread;
/// callbacks come on it.
class contract_store {
public:
    using reply_handler = std::function<void(const result<platform_reply>& reply)>;
    using executor = std::function<void(platform_call call, reply_handler done)>;
    using clock = std::function<time_point()>;
    using change_handler = std::function<void(const contract_result<stored_contract>& outcome)>;

    /// @param seed  seed of the write tokens; different in every process.
    contract_store(executor execute, clock now, std::uint64_t seed);

    /// Errors: not_found, platform_down, platform_busy.
    void get(const std::string& workspace, change_handler done);
    void list(const std::string& after,
              std::function<void(const contract_result<contract_page>& page)> done);
    void watch(std::uint64_t after_revision, std::chrono::milliseconds wait,
               std::function<void(const contract_result<contract_changes>& changes)> done);
    /// Superseded versions, oldest first, the latest fifty.
    void history(
        const std::string& workspace,
        std::function<void(const contract_result<std::vector<stored_contract>>& versions)> done);

    /// Errors: conflict with the current version if the name is or was in use.
    void create(contract value, const change_context& context, change_handler done);
    /// Errors: conflict, not_found, workspace_retired.
    void change(contract value, std::uint64_t expected_version, const change_context& context,
                change_handler done);
    /// Leaves a tombstone. Errors: as change().
    void retire(const std::string& workspace, std::uint64_t expected_version,
                const change_context& context, change_handler done);

private:
    struct pending_change;

    void read_active(const std::string& workspace, std::uint64_t expected_version,
                     change_handler done,
                     std::function<void(const stored_object&, const stored_contract&)> next);
    void write_version(contract value, const stored_object& old, const change_context& context,
                       const change_handler& done);
    void append_to_history(const std::shared_ptr<pending_change>& change, const stored_object& old);
    void write(const std::shared_ptr<pending_change>& change);
    void on_step(const std::shared_ptr<pending_change>& change, const write_step& step);
    [[nodiscard]] std::string make_token();

    executor execute_;
    clock now_;
    std::mt19937_64 random_;
};

} // namespace magnolia
